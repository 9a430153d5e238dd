/** Plays one seed of a soak, and judges it. */
import { Random } from '../random.js';
import { checkHistory, longestUnansweredMs, type Violation } from './checkers.js';
import type { SoakEvent, SoakHistory } from './history.js';
import { CANCEL_MS, CORES_PER_MACHINE, SoakCluster, TEAM } from './soak-cluster.js';
import { SoakUsers } from './soak-users.js';
import { TroubleMaker } from './trouble-maker.js';
import { describeTroubles, drawTroubles, type TroubleKind } from './trouble-schedule.js';

/** How a seed is played. */
export interface SoakOptions {
  readonly seed: number;
  /** How to start a controller, up to `serve`. */
  readonly program: readonly string[];
  readonly controllers: number;
  readonly workers: number;
  /** How long troubles come, in milliseconds. */
  readonly troubleMs: number;
  /** Kinds of troubles that may come. */
  readonly kinds: readonly TroubleKind[];
  /** A job is submitted this often. */
  readonly submitIntervalMs: number;
  /** Rules on times are judged as well; not so where the machine may be busy with other work. */
  readonly judgesTimes: boolean;
}

/** `inconclusive`: this process itself was late, so that rules on times can't be judged. */
export type SoakResult = 'passed' | 'failed' | 'inconclusive';

/** What came of a seed. */
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
  /** The longest that this process was late, in seconds. */
  readonly latenessS: number;
  /** How long the run took, in seconds. */
  readonly tookS: number;
  /** The newest log lines of each controller; only of a run that did not pass. */
  readonly logs?: Readonly<Record<string, readonly string[]>>;
}

/** Jobs go on being submitted for this long after the troubles. */
const SUBMIT_AFTER_MS = 3_000;
/** The longest that is waited for jobs to end, more than the time after which a job counts as forgotten or left waiting. */
const MAX_SETTLE_MS = 100_000;
/** Times are not judged where this process was later than this. */
const MAX_LATENESS_MS = 1_000;
const SAMPLE_INTERVAL_MS = 1_000;
const LATENESS_INTERVAL_MS = 100;
const START_TIMEOUT_MS = 30_000;
const LOG_LINES_KEPT = 400;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A run that goes on; it can be stopped from outside. */
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

  /** Plays the seed; everything is ended at its end. */
  async play(): Promise<SoakSummary> {
    try {
      this.measureLateness();
      await this.cluster.start();
      await this.untilSomebodyLeads();
      this.sampleWaitingJobs();
      await this.playTroubles();
      await this.settle();
      this.users.stop();
      return this.summarize();
    } finally {
      this.stop();
    }
  }

  /** Ends everything that it started. */
  stop(): void {
    this.users.stop();
    for (const timer of this.timers) clearInterval(timer);
    this.cluster.stop();
  }

  private get troubles(): ReturnType<typeof drawTroubles> {
    const { seed, troubleMs, controllers, kinds } = this.options;
    return drawTroubles(seed, troubleMs, controllers, kinds);
  }

  private async untilSomebodyLeads(): Promise<void> {
    const until = this.cluster.now() + START_TIMEOUT_MS;
    while (this.cluster.leader() === null && this.cluster.now() < until) await pause(SAMPLE_INTERVAL_MS / 10);
  }

  private async playTroubles(): Promise<void> {
    const { troubleMs, submitIntervalMs } = this.options;
    this.users.start(submitIntervalMs, troubleMs + SUBMIT_AFTER_MS);
    const maker = new TroubleMaker(this.cluster, new Random(this.options.seed + 2));
    for (const trouble of this.troubles)
      this.timers.push(
        setTimeout(() => {
          maker.begin(trouble);
        }, trouble.atMs),
      );
    await pause(troubleMs);
    this.cluster.heal();
    this.events.push({ kind: 'troublesOver', at: this.cluster.now() });
  }

  /** Waits until all jobs have ended, and the tasks of cancelled ones may no longer be there. */
  private async settle(): Promise<void> {
    const from = this.cluster.now();
    await pause(SUBMIT_AFTER_MS + SAMPLE_INTERVAL_MS);
    while (this.cluster.now() - from < MAX_SETTLE_MS) {
      if (this.users.unfinished().length === 0 && this.cluster.now() - from > CANCEL_MS) return;
      await pause(SAMPLE_INTERVAL_MS);
    }
  }

  private measureLateness(): void {
    let expected = performance.now() + LATENESS_INTERVAL_MS;
    this.timers.push(
      setInterval(() => {
        const now = performance.now();
        this.latenessMs = Math.max(this.latenessMs, now - expected);
        expected = now + LATENESS_INTERVAL_MS;
      }, LATENESS_INTERVAL_MS),
    );
  }

  private sampleWaitingJobs(): void {
    this.timers.push(
      setInterval(() => {
        const jobs = this.waitingBesideRoom();
        if (jobs.length > 0) this.events.push({ kind: 'waitingBesideRoom', at: this.cluster.now(), jobs });
      }, SAMPLE_INTERVAL_MS),
    );
  }

  /** Jobs without any task on a machine, though one that fits has room and the team is under its limit. */
  private waitingBesideRoom(): string[] {
    const usedCores = new Map<string, number>();
    const begun = new Set<string>();
    for (const event of this.events) {
      if (event.kind !== 'arrived' && event.kind !== 'left') continue;
      const cores = this.cluster.specs.get(event.job)?.cores ?? 0;
      const sign = event.kind === 'arrived' ? 1 : -1;
      usedCores.set(event.machine, (usedCores.get(event.machine) ?? 0) + sign * cores);
      begun.add(event.job);
    }
    const total = [...usedCores.values()].reduce((sum, cores) => sum + cores, 0);
    const free = this.cluster
      .workersUp()
      .map((worker) => ({ zone: worker.zone, cores: CORES_PER_MACHINE - (usedCores.get(worker.name) ?? 0) }));
    return this.users
      .unfinished()
      .filter(({ id }) => !begun.has(id))
      .filter(({ zone, cores, tasks, shape, sameZone }) => {
        const needed = shape === 'gang' ? tasks * cores : cores;
        if (total + needed > this.cluster.teamCores) return false;
        const zones = zone === null ? ['zone-a', 'zone-b'] : [zone];
        const rooms = zones.map((each) => sumOfFree(free, each));
        return sameZone || shape !== 'gang'
          ? rooms.some((room) => room >= needed)
          : rooms.reduce((sum, room) => sum + room, 0) >= needed;
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
      cancelMs: CANCEL_MS,
      endedAt: this.cluster.now(),
    };
  }

  private summarize(): SoakSummary {
    const history = this.history();
    const violations = checkHistory(history);
    const asked = history.events.filter((event) => event.kind === 'asked');
    const isLate = this.latenessMs > MAX_LATENESS_MS;
    const result = resultOf(violations, isLate, this.options.judgesTimes);
    return {
      seed: this.options.seed,
      result,
      troubles: describeTroubles(this.troubles),
      violations,
      jobs: this.users.submitted,
      unfinished: this.users.unfinished().map(({ id }) => id),
      requests: asked.length,
      answers: asked.filter(({ status }) => status !== null).length,
      longestUnansweredS: longestUnansweredMs(history) / 1_000,
      latenessS: this.latenessMs / 1_000,
      tookS: this.cluster.now() / 1_000,
      ...(result === 'passed' ? {} : { logs: this.newestLogLines() }),
    };
  }

  private newestLogLines(): Record<string, readonly string[]> {
    return Object.fromEntries(
      this.cluster.controllers.map(({ place, log }) => [place.member, log.slice(-LOG_LINES_KEPT)]),
    );
  }
}

const sumOfFree = (free: readonly { zone: string; cores: number }[], zone: string): number =>
  free.filter((each) => each.zone === zone).reduce((sum, { cores }) => sum + cores, 0);

/** Rules that don't rest on times are judged even where this process was late; a late run never passes. */
export const resultOf = (
  violations: readonly Violation[],
  isLate: boolean,
  judgesTimes = true,
): SoakResult => {
  const certain = violations.filter(({ timed }) => !timed || (judgesTimes && !isLate));
  if (certain.length > 0) return 'failed';
  return isLate && judgesTimes ? 'inconclusive' : 'passed';
};
