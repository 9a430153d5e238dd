/** One size of an emulated deployment, measured: at rest, in a burst of mixed work, and at a change of leader. */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';

import { ClusterSimulation } from '../cluster-simulation.js';
import { Random } from '../random.js';
import { LeaderProbe, type PhaseReport } from './leader-probe.js';
import { clusterSettings, isUrgent, LARGEST_GANG, mixedJobs, TEAMS } from './load.js';
import { summarize, type Summary } from './statistics.js';

const CONTROLLERS = 3;
const ZONES = 2;
/** Until a leader is there and all machines have reported to it. */
const SETTLE_MOST: Micros = 60 * SECOND;
const REST: Micros = 10 * SECOND;
/** A burst's jobs are submitted evenly over this time. */
const BURST_ARRIVES: Micros = 5 * SECOND;
/** A burst that has not ended by then is given up, and said to be so. */
const BURST_MOST: Micros = 150 * SECOND;
const TAKEOVER_MOST: Micros = 40 * SECOND;
const LOOK_EVERY: Micros = 100 * MILLI;

export interface SlopeOptions {
  readonly machines: number;
  readonly burstTasks: number;
  readonly seed: number;
}

export interface SizeReport extends SlopeOptions {
  readonly jobs: number;
  readonly rest: PhaseReport & { readonly seconds: number; readonly coreShare: number };
  readonly burst: PhaseReport & {
    readonly seconds: number;
    readonly tasks: number;
    /** Until the last start was sent; null: some were not. */
    readonly allStartedS: number | null;
    /** Whether all tasks that end were done in time. */
    readonly allDone: boolean;
    /** All that a task costs the leader from submission to end; what the machines cost at rest is taken off. */
    readonly coreMsPerStart: number;
    readonly startsPerCoreSecond: number;
    readonly putsPerStart: number;
    readonly bytesPerStart: number;
    /** From submission until the start is sent, in seconds; what never started counts as the burst's end. */
    readonly timeToStartS: Summary;
    readonly urgentTimeToStartS: Summary;
  };
  readonly takeover: PhaseReport & {
    readonly leaderAfterS: number | null;
    readonly readyAfterS: number | null;
  };
  /** Heap of the whole emulation, all nodes and stand-ins together, in megabytes. */
  readonly heapMb: number;
  readonly brokenRules: readonly string[];
}

/** Plays until the condition holds, or the time is over: whether it held. */
const playUntil = (world: ClusterSimulation, most: Micros, condition: () => boolean): boolean => {
  const end = world.now + most;
  while (world.now < end) {
    if (condition()) return true;
    world.runFor(LOOK_EVERY);
  }
  return condition();
};

class SizeRun {
  private readonly probe = new LeaderProbe();
  private readonly world: ClusterSimulation;
  private readonly startedAt = new Map<string, Micros>();
  private readonly submittedAt = new Map<string, Micros>();
  private readyAt: Micros | null = null;

  constructor(private readonly options: SlopeOptions) {
    const { machines, seed } = options;
    // Twice what a team's share of a burst takes: quotas are counted, and hold nobody up.
    const quota = Math.max(4 * LARGEST_GANG, Math.ceil((16 * machines) / TEAMS.length));
    this.world = new ClusterSimulation(
      new Random(seed),
      CONTROLLERS,
      clusterSettings(quota),
      quota,
      Math.ceil(machines / ZONES),
    );
    this.world.meter = this.probe;
    this.world.onLog = (_node, event) => {
      if (event === 'leader.state_restored') this.readyAt = this.world.now;
    };
    this.probe.onStart = (order) => {
      const task = `${order.job}/${order.index}`;
      if (!this.startedAt.has(task)) this.startedAt.set(task, this.world.now);
    };
    this.world.stand(machines);
  }

  private get leaderName(): string {
    return this.world.nodes[this.world.leader()]?.name ?? '';
  }

  run(): SizeReport {
    this.settle();
    const rest = this.rest();
    const jobs = mixedJobs(this.options.burstTasks, 1, new Random(this.options.seed));
    const burst = this.burst(jobs, rest.coreShare);
    const takeover = this.takeover();
    return {
      ...this.options,
      jobs: jobs.length,
      rest,
      burst,
      takeover,
      heapMb: Math.round(process.memoryUsage().heapUsed / 2 ** 20),
      brokenRules: [...new Set(this.world.broken)].slice(0, 20),
    };
  }

  private settle(): void {
    const { world } = this;
    const settled = playUntil(
      world,
      SETTLE_MOST,
      () => this.readyAt !== null && [...world.workers.values()].every((w) => w.token > 0),
    );
    if (!settled) throw new Error(`no leader knows all ${this.options.machines} machines within a minute`);
    world.runFor(5 * SECOND);
  }

  private rest(): SizeReport['rest'] {
    this.probe.begin(this.leaderName);
    this.world.runFor(REST);
    const report = this.probe.report();
    const seconds = REST / SECOND;
    return { ...report, seconds, coreShare: report.coreS / seconds };
  }

  private burst(jobs: readonly JobSpec[], restShare: number): SizeReport['burst'] {
    const { world } = this;
    const tasks = jobs.reduce((sum, job) => sum + job.tasks, 0);
    this.probe.begin(this.leaderName);
    const began = world.now;
    jobs.forEach((job, i) => {
      const after = Math.round((BURST_ARRIVES * i) / jobs.length);
      this.submittedAt.set(job.id, began + after);
      world.later(after, () => {
        world.submit(job);
      });
    });
    const allStarted = playUntil(world, BURST_MOST, () => this.startedAt.size >= tasks);
    const allStartedS = allStarted ? (world.now - began) / SECOND : null;
    const finite = jobs.filter((job) => job.shape !== 'service');
    const allDone = playUntil(world, began + BURST_MOST - world.now, () =>
      finite.every((job) => world.work.isDone(job.id)),
    );
    // The last ends are still to be reported and put on record.
    world.runFor(5 * SECOND);
    const report = this.probe.report();
    const seconds = (world.now - began) / SECOND;
    const started = Math.max(1, this.startedAt.size);
    const coreS = Math.max(1e-6, report.coreS - restShare * seconds);
    const waits = (wanted: readonly JobSpec[]): Summary => summarize(this.waitsOf(wanted));
    return {
      ...report,
      seconds,
      tasks,
      allStartedS,
      allDone,
      coreMsPerStart: (coreS * 1000) / started,
      startsPerCoreSecond: started / coreS,
      putsPerStart: report.puts / started,
      bytesPerStart: report.putBytes / started,
      timeToStartS: waits(jobs),
      urgentTimeToStartS: waits(jobs.filter(isUrgent)),
    };
  }

  private waitsOf(jobs: readonly JobSpec[]): number[] {
    const waits: number[] = [];
    for (const job of jobs)
      for (let index = 0; index < job.tasks; index++)
        waits.push(
          ((this.startedAt.get(`${job.id}/${index}`) ?? this.world.now) - this.submittedAt.get(job.id)!) /
            SECOND,
        );
    return waits;
  }

  private takeover(): SizeReport['takeover'] {
    const { world } = this;
    const former = world.leader();
    this.readyAt = null;
    const began = world.now;
    if (former >= 0) world.crash(former, TAKEOVER_MOST);
    playUntil(world, TAKEOVER_MOST, () => world.leader() >= 0);
    const leaderAfterS = world.leader() >= 0 ? (world.now - began) / SECOND : null;
    this.probe.begin(this.leaderName);
    playUntil(world, TAKEOVER_MOST, () => this.readyAt !== null);
    const readyAfterS = this.secondsUntilReady(began);
    world.runFor(REST);
    return { ...this.probe.report(), leaderAfterS, readyAfterS };
  }

  /** Null: no leader has restored the state since. */
  private secondsUntilReady(began: Micros): number | null {
    return this.readyAt === null ? null : (this.readyAt - began) / SECOND;
  }
}

/** Plays and measures one size. Takes up to some minutes of processor time at 12,000 machines. */
export const measureSize = (options: SlopeOptions): SizeReport => new SizeRun(options).run();
