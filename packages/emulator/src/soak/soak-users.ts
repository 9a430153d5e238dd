/** Simulated users of a soak run: they submit, resubmit, poll and cancel jobs, and request jobs that don't exist. */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { decodeBody, MalformedMessageError, readMap } from '@shaleyoke/protocol/body';

import { httpCall } from '../loopback-http.js';
import type { Random } from '../random.js';
import { makeJobSpec } from '../specs.js';
import { encodeSubmission, type WireResponse } from '../wire.js';
import type { RequestKind, SoakEvent } from './history.js';
import { type SoakCluster, TEAM } from './soak-cluster.js';

const POLL_TIMEOUT_MS = 2_000;
const REQUEST_TIMEOUT_MS = 5_000;
const RETRY_DELAY_MS = 1_000;
const POLL_INTERVAL_MS = 1_500;
/** The requests of a burst are spread over this time. */
const BURST_WINDOW_MS = 30;
const BURST_REQUESTS_PER_CONTROLLER = 2;
const INVALID_REQUEST_INTERVAL_MS = 1_500;
const CANCELLED_SHARE = 0.25;
const CANCELLED_ON_ACCEPTANCE_SHARE = 0.08;
const BURST_SHARE = 0.4;
const REPEATED_SUBMISSION_SHARE = 0.1;
const POLL_AFTER_END_SHARE = 0.05;
/** First numbers of jobs that are never submitted, and of jobs that can't run; distinct from those of regular jobs. */
const FIRST_UNKNOWN_JOB_NUMBER = 900_000;
const FIRST_IMPOSSIBLE_JOB_NUMBER = 800_000;
const IMPOSSIBLE_CORES = 1_000;

const PRIORITIES: readonly JobSpec['priority'][] = [0, 1, 2];

interface UserJob {
  readonly spec: JobSpec;
  accepted: boolean;
  /** `done` or `withdrawn` once a response has reported it; null before. */
  finalStage: string | null;
}

/** The job stage in a response; null if it has none. */
const parseStage = (answer: WireResponse): string | null => {
  try {
    const stage = readMap(decodeBody(answer.body), 'answer')['stage'];
    return typeof stage === 'string' ? stage : null;
  } catch (error) {
    if (error instanceof MalformedMessageError) return null;
    throw error;
  }
};

/** Sends the requests of all users and records each outcome. */
export class SoakUsers {
  /** Ids of submitted jobs that no machine can run. */
  readonly impossibleJobs = new Set<string>();
  private readonly jobs: UserJob[] = [];
  private nextNumber = 1;
  private isStopped = false;

  constructor(
    private readonly cluster: SoakCluster,
    private readonly random: Random,
    private readonly record: (event: SoakEvent) => void,
  ) {}

  /** Submits jobs at this interval until `submitForMs` have passed; other requests continue until `stop`. */
  start(intervalMs: number, submitForMs: number): void {
    const until = this.cluster.now() + submitForMs;
    this.repeat(intervalMs, () => {
      if (this.cluster.now() < until) this.submitNew();
    });
    this.repeat(INVALID_REQUEST_INTERVAL_MS, () => {
      this.sendInvalidRequests();
    });
  }

  /** Prevents further requests. */
  stop(): void {
    this.isStopped = true;
  }

  /** Accepted jobs for which no response has reported a final stage yet. */
  unfinishedJobs(): JobSpec[] {
    return this.jobs
      .filter(({ accepted, finalStage }) => accepted && finalStage === null)
      .map(({ spec }) => spec);
  }

  /** Number of jobs whose submission was started. */
  get submittedCount(): number {
    return this.jobs.length;
  }

  private repeat(intervalMs: number, run: () => void): void {
    const runAndReschedule = (): void => {
      if (this.isStopped) return;
      run();
      setTimeout(runAndReschedule, intervalMs);
    };
    runAndReschedule();
  }

  private schedule(delayMs: number, run: () => void): void {
    setTimeout(() => {
      if (!this.isStopped) run();
    }, delayMs);
  }

  private newSpec(): JobSpec {
    const id = `run-${String(this.nextNumber++).padStart(6, '0')}`;
    const { random } = this;
    const isGang = random.chance(0.3);
    const isLarge = random.chance(0.1);
    return makeJobSpec(id, {
      team: TEAM,
      shape: isGang ? 'gang' : 'array',
      sameZone: isGang && random.chance(0.5),
      zone: random.chance(0.1) ? 'zone-a' : null,
      priority: PRIORITIES[random.below(PRIORITIES.length)]!,
      tasks: isLarge ? 6 : 1 + random.below(3),
      estimatedRunUs: (1 + random.below(5)) * SECOND,
    });
  }

  private submitNew(): void {
    const spec = this.newSpec();
    const job: UserJob = { spec, accepted: false, finalStage: null };
    this.jobs.push(job);
    this.cluster.specs.set(spec.id, spec);
    void this.submit(job);
    if (this.random.chance(CANCELLED_SHARE))
      this.schedule(this.random.below(15_000), () => {
        void this.cancel(job);
      });
  }

  private async submit(job: UserJob): Promise<void> {
    while (!this.isStopped) {
      const { status } = await this.sendAndRecord(
        job.spec.id,
        'submit',
        this.randomController(),
        encodeSubmission(job.spec),
      );
      if (status === 200 || status === 201) break;
      await this.sleep(RETRY_DELAY_MS);
    }
    if (this.isStopped) return;
    job.accepted = true;
    this.sendBurst(job);
    if (this.random.chance(CANCELLED_ON_ACCEPTANCE_SHARE)) void this.cancel(job);
    void this.pollUntilEnd(job);
  }

  private async pollUntilEnd(job: UserJob): Promise<void> {
    while (!this.isStopped) {
      const wasFinal = job.finalStage !== null;
      if (!wasFinal || this.random.chance(POLL_AFTER_END_SHARE))
        await this.poll(job, this.randomController());
      if (!wasFinal && job.finalStage !== null) this.sendBurst(job);
      if (this.random.chance(REPEATED_SUBMISSION_SHARE))
        void this.repeatSubmission(job, this.randomController());
      await this.sleep(POLL_INTERVAL_MS + this.random.below(POLL_INTERVAL_MS));
    }
  }

  /** Sends several requests to every controller within milliseconds, to detect contradictory responses. */
  private sendBurst(job: UserJob): void {
    if (!this.random.chance(BURST_SHARE)) return;
    for (let controller = 0; controller < this.cluster.controllers.length; controller++)
      for (let round = 0; round < BURST_REQUESTS_PER_CONTROLLER; round++)
        this.schedule(this.random.below(BURST_WINDOW_MS), () => {
          if (this.random.chance(0.3)) void this.repeatSubmission(job, controller);
          else void this.poll(job, controller);
        });
  }

  private async poll(job: UserJob, controller: number): Promise<void> {
    this.noteFinalStage(job, (await this.sendAndRecord(job.spec.id, 'poll', controller, null)).stage);
  }

  private async repeatSubmission(job: UserJob, controller: number): Promise<void> {
    const body = encodeSubmission(job.spec);
    this.noteFinalStage(job, (await this.sendAndRecord(job.spec.id, 'submit', controller, body)).stage);
  }

  private async cancel(job: UserJob): Promise<void> {
    while (!this.isStopped) {
      const { stage, status } = await this.sendAndRecord(
        job.spec.id,
        'cancel',
        this.randomController(),
        Buffer.alloc(0),
      );
      this.noteFinalStage(job, stage);
      // 404: the cancellation arrived before the job was accepted.
      if (status === 200 || status === 404) return;
      await this.sleep(RETRY_DELAY_MS);
    }
  }

  private noteFinalStage(job: UserJob, stage: string | null): void {
    if (stage === 'done' || stage === 'withdrawn') job.finalStage ??= stage;
  }

  /** Requests a job that was never submitted, and submits one that can't run. */
  private sendInvalidRequests(): void {
    const unknown = `run-${FIRST_UNKNOWN_JOB_NUMBER + this.random.below(1_000)}`;
    void this.sendAndRecord(
      unknown,
      this.random.chance(0.7) ? 'poll' : 'cancel',
      this.randomController(),
      null,
    );
    const impossible = `run-${FIRST_IMPOSSIBLE_JOB_NUMBER + this.random.below(1_000)}`;
    this.impossibleJobs.add(impossible);
    const body = encodeSubmission(makeJobSpec(impossible, { team: TEAM, cores: IMPOSSIBLE_CORES }));
    void this.sendAndRecord(impossible, 'submit', this.randomController(), body);
  }

  private randomController(): number {
    return this.random.below(this.cluster.controllers.length);
  }

  private sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, delayMs));
  }

  /** Sends a request to a controller and records its outcome. */
  private async sendAndRecord(
    job: string,
    request: RequestKind,
    controller: number,
    body: Buffer | null,
  ): Promise<{ status: number | null; stage: string | null }> {
    const { endpoint } = this.cluster.controllers[controller]!;
    const sentAt = this.cluster.now();
    const answer = await this.send(job, request, controller, body);
    const status = answer?.status ?? null;
    const stage = answer === null ? null : parseStage(answer);
    const at = this.cluster.now();
    this.record({ kind: 'request', at, sentAt, job, request, controller: endpoint.member, status, stage });
    return { status, stage };
  }

  private send(
    job: string,
    request: RequestKind,
    controller: number,
    body: Buffer | null,
  ): Promise<WireResponse | null> {
    const { address } = this.cluster.controllers[controller]!.endpoint;
    const timeoutMs = request === 'poll' ? POLL_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
    const path = { submit: '/api/jobs', poll: `/api/jobs/${job}`, cancel: `/api/jobs/${job}/abort` }[request];
    const method = request === 'poll' ? 'GET' : 'POST';
    const timeout = new Promise<null>((resolve) => {
      setTimeout(() => {
        resolve(null);
      }, timeoutMs);
    });
    const link = this.cluster.links[controller]!.fromUsers;
    const answer = link.exchange(() =>
      httpCall(address, method, path, body ?? (method === 'POST' ? Buffer.alloc(0) : null), timeoutMs),
    );
    return Promise.race([answer, timeout]);
  }
}
