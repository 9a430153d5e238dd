/** Users of a soak: they submit, poll at all controllers, repeat, cancel and ask about jobs that nobody submitted. */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { asFields, decodeBody, MalformedMessageError } from '@shaleyoke/protocol/body';

import { call } from '../loopback-http.js';
import type { Random } from '../random.js';
import { specOf } from '../specs.js';
import { type Answer, encodeSubmission } from '../wire.js';
import type { RequestKind, SoakEvent } from './history.js';
import { type SoakCluster, TEAM } from './soak-cluster.js';

const POLL_TIMEOUT_MS = 2_000;
const REQUEST_TIMEOUT_MS = 5_000;
const RETRY_MS = 1_000;
const POLL_INTERVAL_MS = 1_500;
/** Requests of a close look come within this time. */
const CLOSE_LOOK_MS = 30;
const CLOSE_LOOK_ROUNDS = 2;
const ODD_REQUEST_INTERVAL_MS = 1_500;
const CANCELLED_SHARE = 0.25;
const CANCELLED_AT_ONCE_SHARE = 0.08;
const CLOSE_LOOK_SHARE = 0.4;
const REPEATED_SHARE = 0.1;
const LATE_POLL_SHARE = 0.05;
/** Jobs that nobody submits, and those that can't run, are numbered from here. */
const UNKNOWN_FROM = 900_000;
const IMPOSSIBLE_FROM = 800_000;
const TOO_MANY_CORES = 1_000;

const PRIORITIES: readonly JobSpec['priority'][] = [0, 1, 2];

interface UserJob {
  readonly spec: JobSpec;
  accepted: boolean;
  /** `done` or `withdrawn`, once that was told. */
  finalStage: string | null;
}

/** A job's stage in an answer; null if there is none. */
const stageIn = (answer: Answer): string | null => {
  try {
    const stage = asFields(decodeBody(answer.body), 'answer')['stage'];
    return typeof stage === 'string' ? stage : null;
  } catch (error) {
    if (error instanceof MalformedMessageError) return null;
    throw error;
  }
};

/** All users of a run. */
export class SoakUsers {
  readonly impossibleJobs = new Set<string>();
  private readonly jobs: UserJob[] = [];
  private nextNumber = 1;
  private isStopped = false;

  constructor(
    private readonly cluster: SoakCluster,
    private readonly random: Random,
    private readonly record: (event: SoakEvent) => void,
  ) {}

  /** Submits jobs at this interval until `submitForMs` have passed. */
  start(intervalMs: number, submitForMs: number): void {
    const until = this.cluster.now() + submitForMs;
    this.repeat(intervalMs, () => {
      if (this.cluster.now() < until) this.submitNew();
    });
    this.repeat(ODD_REQUEST_INTERVAL_MS, () => {
      this.askOddly();
    });
  }

  /** No further requests. */
  stop(): void {
    this.isStopped = true;
  }

  /** Accepted jobs whose end was not told yet. */
  unfinished(): JobSpec[] {
    return this.jobs
      .filter(({ accepted, finalStage }) => accepted && finalStage === null)
      .map(({ spec }) => spec);
  }

  /** Jobs that were submitted. */
  get submitted(): number {
    return this.jobs.length;
  }

  private repeat(intervalMs: number, run: () => void): void {
    const again = (): void => {
      if (this.isStopped) return;
      run();
      setTimeout(again, intervalMs);
    };
    again();
  }

  private later(delayMs: number, run: () => void): void {
    setTimeout(() => {
      if (!this.isStopped) run();
    }, delayMs);
  }

  // ---- jobs ----------------------------------------------------------------------------------------

  private newSpec(): JobSpec {
    const id = `run-${String(this.nextNumber++).padStart(6, '0')}`;
    const { random } = this;
    const isGang = random.chance(0.3);
    const isLarge = random.chance(0.1);
    return specOf(id, {
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
      this.later(this.random.below(15_000), () => {
        void this.cancel(job);
      });
  }

  private async submit(job: UserJob): Promise<void> {
    while (!this.isStopped) {
      const { status } = await this.ask(
        job.spec.id,
        'submit',
        this.anyController(),
        encodeSubmission(job.spec),
      );
      if (status === 200 || status === 201) break;
      await this.pause(RETRY_MS);
    }
    if (this.isStopped) return;
    job.accepted = true;
    this.lookClosely(job);
    if (this.random.chance(CANCELLED_AT_ONCE_SHARE)) void this.cancel(job);
    void this.pollUntilEnd(job);
  }

  private async pollUntilEnd(job: UserJob): Promise<void> {
    while (!this.isStopped) {
      const wasFinal = job.finalStage !== null;
      if (!wasFinal || this.random.chance(LATE_POLL_SHARE)) await this.poll(job, this.anyController());
      if (!wasFinal && job.finalStage !== null) this.lookClosely(job);
      if (this.random.chance(REPEATED_SHARE)) void this.repeatSubmission(job, this.anyController());
      await this.pause(POLL_INTERVAL_MS + this.random.below(POLL_INTERVAL_MS));
    }
  }

  /** Asks all controllers within milliseconds, again and again. */
  private lookClosely(job: UserJob): void {
    if (!this.random.chance(CLOSE_LOOK_SHARE)) return;
    for (let controller = 0; controller < this.cluster.controllers.length; controller++)
      for (let round = 0; round < CLOSE_LOOK_ROUNDS; round++)
        this.later(this.random.below(CLOSE_LOOK_MS), () => {
          if (this.random.chance(0.3)) void this.repeatSubmission(job, controller);
          else void this.poll(job, controller);
        });
  }

  private async poll(job: UserJob, controller: number): Promise<void> {
    this.note(job, (await this.ask(job.spec.id, 'poll', controller, null)).stage);
  }

  private async repeatSubmission(job: UserJob, controller: number): Promise<void> {
    const body = encodeSubmission(job.spec);
    this.note(job, (await this.ask(job.spec.id, 'submit', controller, body)).stage);
  }

  private async cancel(job: UserJob): Promise<void> {
    while (!this.isStopped) {
      const { stage, status } = await this.ask(job.spec.id, 'cancel', this.anyController(), Buffer.alloc(0));
      this.note(job, stage);
      // Some cancel before the job is accepted.
      if (status === 200 || status === 404) return;
      await this.pause(RETRY_MS);
    }
  }

  private note(job: UserJob, stage: string | null): void {
    if (stage === 'done' || stage === 'withdrawn') job.finalStage ??= stage;
  }

  /** Jobs that nobody submitted, and some that can't run. */
  private askOddly(): void {
    const unknown = `run-${UNKNOWN_FROM + this.random.below(1_000)}`;
    void this.ask(unknown, this.random.chance(0.7) ? 'poll' : 'cancel', this.anyController(), null);
    const impossible = `run-${IMPOSSIBLE_FROM + this.random.below(1_000)}`;
    this.impossibleJobs.add(impossible);
    const body = encodeSubmission(specOf(impossible, { team: TEAM, cores: TOO_MANY_CORES }));
    void this.ask(impossible, 'submit', this.anyController(), body);
  }

  // ---- requests ------------------------------------------------------------------------------------

  private anyController(): number {
    return this.random.below(this.cluster.controllers.length);
  }

  private pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, delayMs));
  }

  /** Asks a controller, and records what came of it. */
  private async ask(
    job: string,
    request: RequestKind,
    controller: number,
    body: Buffer | null,
  ): Promise<{ status: number | null; stage: string | null }> {
    const { place } = this.cluster.controllers[controller]!;
    const askedAt = this.cluster.now();
    const answer = await this.send(job, request, controller, body);
    const status = answer?.status ?? null;
    const stage = answer === null ? null : stageIn(answer);
    const at = this.cluster.now();
    this.record({ kind: 'asked', at, askedAt, job, request, controller: place.member, status, stage });
    return { status, stage };
  }

  private send(
    job: string,
    request: RequestKind,
    controller: number,
    body: Buffer | null,
  ): Promise<Answer | null> {
    const { address } = this.cluster.controllers[controller]!.place;
    const timeoutMs = request === 'poll' ? POLL_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
    const path = { submit: '/api/jobs', poll: `/api/jobs/${job}`, cancel: `/api/jobs/${job}/abort` }[request];
    const method = request === 'poll' ? 'GET' : 'POST';
    const patience = new Promise<null>((resolve) => {
      setTimeout(() => {
        resolve(null);
      }, timeoutMs);
    });
    const link = this.cluster.links[controller]!.fromUsers;
    const answer = link.carry(() =>
      call(address, method, path, body ?? (method === 'POST' ? Buffer.alloc(0) : null), timeoutMs),
    );
    return Promise.race([answer, patience]);
  }
}
