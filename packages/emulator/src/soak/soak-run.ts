/** Executes one seed of the soak test and checks the resulting history. */
import { Random } from '../random.js';
import { checkHistory, longestUnansweredMs, type Violation } from './checkers.js';
import { FaultInjector } from './fault-injector.js';
import { describeFaults, type FaultKind, generateFaults } from './fault-schedule.js';
import type { SoakEvent, SoakHistory } from './history.js';
import { CANCEL_GRACE_MS, CORES_PER_MACHINE, SoakCluster, TEAM } from './soak-cluster.js';
import { SoakUsers } from './soak-users.js';

/** Parameters of one soak run. */
export interface SoakOptions {
  readonly seed: number;
  /** The command that starts a controller, without `serve` and its options. */
  readonly program: readonly string[];
  readonly controllers: number;
  readonly workers: number;
  /** Duration of fault injection, in milliseconds. */
  readonly faultMs: number;
  /** Kinds of faults that may be injected. */
  readonly faultKinds: readonly FaultKind[];
  /** Interval between job submissions. */
  readonly submitIntervalMs: number;
  /** Whether timed rules count; false where the machine may be busy with other work. */
  readonly checksTimedRules: boolean;
}

/** `inconclusive`: the timers of this process fired late, so timed rules can't be evaluated. */
export type SoakResult = 'passed' | 'failed' | 'inconclusive';

/** The outcome of one seed, as written to the results file. */
export interface SoakSummary {
  readonly seed: number;
  readonly result: SoakResult;
  readonly troubles: readonly string[];
  readonly violations: readonly Violation[];
  readonly jobs: number;
  readonly unfinished: readonly string[];
  readonly requests: number;
  readonly answers: number;
  readonly longestUnansweredS: number;
  /** The greatest delay of this process's timers, in seconds. */
  readonly latenessS: number;
  /** Duration of the run, in seconds. */
  readonly tookS: number;
  /** The newest log lines of each controller; only for a run that did not pass. */
  readonly logs?: Readonly<Record<string, readonly string[]>>;
}

/** Job submission continues for this long after fault injection ends. */
const SUBMIT_AFTER_FAULTS_MS = 3_000;
/** Maximum wait for jobs to end; longer than the limits after which a job counts as forgotten or left waiting. */
const MAX_COMPLETION_WAIT_MS = 100_000;
/** Timed rules are not evaluated if a timer of this process fired later than this. */
const MAX_LATENESS_MS = 1_000;
const SAMPLE_INTERVAL_MS = 1_000;
const LATENESS_CHECK_INTERVAL_MS = 100;
const ELECTION_TIMEOUT_MS = 30_000;
const MAX_REPORTED_LOG_LINES = 400;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A soak run of one seed, which can be stopped from outside. */
export class SoakRun {
  private readonly events: SoakEvent[] = [];
  private readonly cluster: SoakCluster;
  private readonly users: SoakUsers;
  private readonly random: Random;
  private readonly timers: NodeJS.Timeout[] = [];
  private latenessMs = 0;

  constructor(private readonly options: SoakOptions) {
    const record = (event: SoakEvent): void => {
      this.events.push(event);
    };
    this.random = new Random(options.seed);
    this.cluster = new SoakCluster(options, record);
    this.users = new SoakUsers(this.cluster, this.random, record);
  }

  /** Executes the run and stops everything it started, also on failure. */
  async run(): Promise<SoakSummary> {
    try {
      this.measureLateness();
      await this.cluster.start();
      await this.waitForLeader();
      this.sampleWaitingJobs();
      await this.injectFaults();
      await this.waitForCompletion();
      this.users.stop();
      return this.summarize();
    } finally {
      this.stop();
    }
  }

  /** Stops users, timers and the cluster. */
  stop(): void {
    this.users.stop();
    for (const timer of this.timers) clearInterval(timer);
    this.cluster.stop();
  }

  private get faults(): ReturnType<typeof generateFaults> {
    const { seed, faultMs, controllers, faultKinds: kinds } = this.options;
    return generateFaults(seed, faultMs, controllers, kinds);
  }

  private async waitForLeader(): Promise<void> {
    const until = this.cluster.now() + ELECTION_TIMEOUT_MS;
    while (this.cluster.leader() === null && this.cluster.now() < until) await sleep(SAMPLE_INTERVAL_MS / 10);
  }

  private async injectFaults(): Promise<void> {
    const { faultMs, submitIntervalMs } = this.options;
    this.users.start(submitIntervalMs, faultMs + SUBMIT_AFTER_FAULTS_MS);
    const injector = new FaultInjector(this.cluster, new Random(this.options.seed + 2));
    for (const fault of this.faults)
      this.timers.push(
        setTimeout(() => {
          injector.inject(fault);
        }, fault.startMs),
      );
    await sleep(faultMs);
    this.cluster.heal();
    this.events.push({ kind: 'faultsEnded', at: this.cluster.now() });
  }

  /** Waits until all jobs have ended and the grace period of cancelled jobs is over, or the maximum wait is reached. */
  private async waitForCompletion(): Promise<void> {
    const from = this.cluster.now();
    await sleep(SUBMIT_AFTER_FAULTS_MS + SAMPLE_INTERVAL_MS);
    while (this.cluster.now() - from < MAX_COMPLETION_WAIT_MS) {
      if (this.users.unfinishedJobs().length === 0 && this.cluster.now() - from > CANCEL_GRACE_MS) return;
      await sleep(SAMPLE_INTERVAL_MS);
    }
  }

  private measureLateness(): void {
    let expected = performance.now() + LATENESS_CHECK_INTERVAL_MS;
    this.timers.push(
      setInterval(() => {
        const now = performance.now();
        this.latenessMs = Math.max(this.latenessMs, now - expected);
        expected = now + LATENESS_CHECK_INTERVAL_MS;
      }, LATENESS_CHECK_INTERVAL_MS),
    );
  }

  private sampleWaitingJobs(): void {
    this.timers.push(
      setInterval(() => {
        const jobs = this.jobsWaitingDespiteCapacity();
        if (jobs.length > 0)
          this.events.push({ kind: 'waitingDespiteCapacity', at: this.cluster.now(), jobs });
      }, SAMPLE_INTERVAL_MS),
    );
  }

  /** Unfinished jobs that never had a task on a machine although free cores and the team's limit allow a start. */
  private jobsWaitingDespiteCapacity(): string[] {
    const usedCores = new Map<string, number>();
    const everStarted = new Set<string>();
    for (const event of this.events) {
      if (event.kind !== 'arrived' && event.kind !== 'left') continue;
      const cores = this.cluster.specs.get(event.job)?.cores ?? 0;
      const sign = event.kind === 'arrived' ? 1 : -1;
      usedCores.set(event.machine, (usedCores.get(event.machine) ?? 0) + sign * cores);
      everStarted.add(event.job);
    }
    const total = [...usedCores.values()].reduce((sum, cores) => sum + cores, 0);
    const freeByWorker = this.cluster
      .runningWorkers()
      .map((worker) => ({ zone: worker.zone, cores: CORES_PER_MACHINE - (usedCores.get(worker.name) ?? 0) }));
    return this.users
      .unfinishedJobs()
      .filter(({ id }) => !everStarted.has(id))
      .filter(({ zone, cores, tasks, shape, sameZone }) => {
        const needed = shape === 'gang' ? tasks * cores : cores;
        if (total + needed > this.cluster.teamCores) return false;
        const zones = zone === null ? ['zone-a', 'zone-b'] : [zone];
        const freeCores = zones.map((each) => freeCoresIn(freeByWorker, each));
        return sameZone || shape !== 'gang'
          ? freeCores.some((room) => room >= needed)
          : freeCores.reduce((sum, room) => sum + room, 0) >= needed;
      })
      .map(({ id }) => id);
  }

  private history(): SoakHistory {
    return {
      events: [...this.events].sort((left, right) => left.at - right.at),
      jobs: this.cluster.specs,
      impossibleJobs: this.users.impossibleJobs,
      machines: this.cluster.machines,
      teamCores: new Map([[TEAM, this.cluster.teamCores]]),
      cancelGraceMs: CANCEL_GRACE_MS,
      endedAt: this.cluster.now(),
    };
  }

  private summarize(): SoakSummary {
    const history = this.history();
    const violations = checkHistory(history);
    const requests = history.events.filter((event) => event.kind === 'request');
    const isLate = this.latenessMs > MAX_LATENESS_MS;
    const result = resultOf(violations, isLate, this.options.checksTimedRules);
    return {
      seed: this.options.seed,
      result,
      troubles: describeFaults(this.faults),
      violations,
      jobs: this.users.submittedCount,
      unfinished: this.users.unfinishedJobs().map(({ id }) => id),
      requests: requests.length,
      answers: requests.filter(({ status }) => status !== null).length,
      longestUnansweredS: longestUnansweredMs(history) / 1_000,
      latenessS: this.latenessMs / 1_000,
      tookS: this.cluster.now() / 1_000,
      ...(result === 'passed' ? {} : { logs: this.newestLogLines() }),
    };
  }

  private newestLogLines(): Record<string, readonly string[]> {
    return Object.fromEntries(
      this.cluster.controllers.map(({ endpoint, logLines: log }) => [
        endpoint.member,
        log.slice(-MAX_REPORTED_LOG_LINES),
      ]),
    );
  }
}

const freeCoresIn = (free: readonly { zone: string; cores: number }[], zone: string): number =>
  free.filter((each) => each.zone === zone).reduce((sum, { cores }) => sum + cores, 0);

/** Untimed rules count even if this process was late; a late run never passes if timed rules are checked. */
export const resultOf = (
  violations: readonly Violation[],
  isLate: boolean,
  checksTimedRules = true,
): SoakResult => {
  const counted = violations.filter(({ timed }) => !timed || (checksTimedRules && !isLate));
  if (counted.length > 0) return 'failed';
  return isLate && checksTimedRules ? 'inconclusive' : 'passed';
};
