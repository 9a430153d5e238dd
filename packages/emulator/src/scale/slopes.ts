/** Measures a simulated deployment of one size: idle, during a burst of mixed jobs, and during a change of leader. */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import { ClusterSimulation } from '../cluster-simulation.js';
import { Random } from '../random.js';
import { LeaderProbe, type PhaseReport } from './leader-probe.js';
import { summarize, type Summary } from './statistics.js';
import { clusterSettings, generateMixedJobs, isUrgent, LARGEST_GANG, TEAM_NAMES } from './workload.js';

const CONTROLLERS = 3;
const ZONES = 2;
/** Limit on the time until a leader is elected and all machines have sent it a heartbeat. */
const MAX_SETTLE_TIME: Micros = 60 * SECOND;
const REST_DURATION: Micros = 10 * SECOND;
/** The jobs of a burst are submitted evenly over this time. */
const BURST_SUBMISSION_TIME: Micros = 5 * SECOND;
/** Limit on the duration of a burst; the report says so if its tasks have not all started or ended by then. */
const MAX_BURST_DURATION: Micros = 150 * SECOND;
const MAX_TAKEOVER_TIME: Micros = 40 * SECOND;
const CHECK_INTERVAL: Micros = 100 * MILLISECOND;

/** Size and seed of a measurement. */
export interface SizeOptions {
  readonly machines: number;
  readonly burstTasks: number;
  readonly seed: number;
}

/** The measurements of one size, as stored in a JSON file. */
export interface SizeReport extends SizeOptions {
  readonly jobs: number;
  readonly rest: PhaseReport & { readonly seconds: number; readonly coreShare: number };
  readonly burst: PhaseReport & {
    readonly seconds: number;
    readonly tasks: number;
    /** Time until the last start command was sent; null: some were not sent within the limit. */
    readonly allStartedS: number | null;
    /** Whether all jobs other than services completed within the limit. */
    readonly allDone: boolean;
    /** Leader CPU time per started task from submission to end, without the cost of the idle deployment. */
    readonly coreMsPerStart: number;
    readonly startsPerCoreSecond: number;
    readonly putsPerStart: number;
    readonly bytesPerStart: number;
    /** Seconds from submission until the start command; tasks that never started count until the end of the burst. */
    readonly timeToStartS: Summary;
    readonly urgentTimeToStartS: Summary;
  };
  readonly takeover: PhaseReport & {
    readonly leaderAfterS: number | null;
    readonly readyAfterS: number | null;
  };
  /** Heap size of the simulation with all nodes, workers, store and cloud, in megabytes. */
  readonly heapMb: number;
  readonly brokenRules: readonly string[];
}

/** Runs the simulation until the condition holds or the time is over; returns whether the condition held. */
const runUntil = (world: ClusterSimulation, maxDuration: Micros, condition: () => boolean): boolean => {
  const end = world.now + maxDuration;
  while (world.now < end) {
    if (condition()) return true;
    world.runFor(CHECK_INTERVAL);
  }
  return condition();
};

class SizeRun {
  private readonly probe = new LeaderProbe();
  private readonly world: ClusterSimulation;
  private readonly startedAt = new Map<string, Micros>();
  private readonly submittedAt = new Map<string, Micros>();
  private readyAt: Micros | null = null;

  constructor(private readonly options: SizeOptions) {
    const { machines, seed } = options;
    // Twice a team's share of a burst: quotas are evaluated but delay no task.
    const quota = Math.max(4 * LARGEST_GANG, Math.ceil((16 * machines) / TEAM_NAMES.length));
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
    this.world.addMachines(machines);
  }

  private get leaderName(): string {
    return this.world.nodes[this.world.leaderIndex()]?.name ?? '';
  }

  run(): SizeReport {
    this.waitUntilSettled();
    const rest = this.measureRest();
    const jobs = generateMixedJobs(this.options.burstTasks, 1, new Random(this.options.seed));
    const burst = this.measureBurst(jobs, rest.coreShare);
    const takeover = this.measureTakeover();
    return {
      ...this.options,
      jobs: jobs.length,
      rest,
      burst,
      takeover,
      heapMb: Math.round(process.memoryUsage().heapUsed / 2 ** 20),
      brokenRules: [...new Set(this.world.violations)].slice(0, 20),
    };
  }

  private waitUntilSettled(): void {
    const { world } = this;
    const settled = runUntil(
      world,
      MAX_SETTLE_TIME,
      () => this.readyAt !== null && [...world.workers.values()].every((w) => w.fencingToken > 0),
    );
    if (!settled)
      throw new Error(`no leader has heartbeats of all ${this.options.machines} machines after a minute`);
    world.runFor(5 * SECOND);
  }

  private measureRest(): SizeReport['rest'] {
    this.probe.startPhase(this.leaderName);
    this.world.runFor(REST_DURATION);
    const report = this.probe.report();
    const seconds = REST_DURATION / SECOND;
    return { ...report, seconds, coreShare: report.coreS / seconds };
  }

  private measureBurst(jobs: readonly JobSpec[], restCoreShare: number): SizeReport['burst'] {
    const { world } = this;
    const tasks = jobs.reduce((sum, job) => sum + job.tasks, 0);
    this.probe.startPhase(this.leaderName);
    const began = world.now;
    jobs.forEach((job, i) => {
      const after = Math.round((BURST_SUBMISSION_TIME * i) / jobs.length);
      this.submittedAt.set(job.id, began + after);
      world.runAfter(after, () => {
        world.submit(job);
      });
    });
    const allStarted = runUntil(world, MAX_BURST_DURATION, () => this.startedAt.size >= tasks);
    const allStartedS = allStarted ? (world.now - began) / SECOND : null;
    const finite = jobs.filter((job) => job.shape !== 'service');
    const allDone = runUntil(world, began + MAX_BURST_DURATION - world.now, () =>
      finite.every((job) => world.work.isDone(job.id)),
    );
    // The last task ends have yet to be reported and stored.
    world.runFor(5 * SECOND);
    const report = this.probe.report();
    const seconds = (world.now - began) / SECOND;
    const started = Math.max(1, this.startedAt.size);
    const coreS = Math.max(1e-6, report.coreS - restCoreShare * seconds);
    const summarizeDelays = (wanted: readonly JobSpec[]): Summary => summarize(this.startDelaysOf(wanted));
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
      timeToStartS: summarizeDelays(jobs),
      urgentTimeToStartS: summarizeDelays(jobs.filter(isUrgent)),
    };
  }

  private startDelaysOf(jobs: readonly JobSpec[]): number[] {
    const delays: number[] = [];
    for (const job of jobs)
      for (let index = 0; index < job.tasks; index++)
        delays.push(
          ((this.startedAt.get(`${job.id}/${index}`) ?? this.world.now) - this.submittedAt.get(job.id)!) /
            SECOND,
        );
    return delays;
  }

  private measureTakeover(): SizeReport['takeover'] {
    const { world } = this;
    const former = world.leaderIndex();
    this.readyAt = null;
    const began = world.now;
    if (former >= 0) world.crash(former, MAX_TAKEOVER_TIME);
    runUntil(world, MAX_TAKEOVER_TIME, () => world.leaderIndex() >= 0);
    const leaderAfterS = world.leaderIndex() >= 0 ? (world.now - began) / SECOND : null;
    this.probe.startPhase(this.leaderName);
    runUntil(world, MAX_TAKEOVER_TIME, () => this.readyAt !== null);
    const readyAfterS = this.secondsUntilReady(began);
    world.runFor(REST_DURATION);
    return { ...this.probe.report(), leaderAfterS, readyAfterS };
  }

  /** Seconds until a leader had restored the state; null if none has. */
  private secondsUntilReady(began: Micros): number | null {
    return this.readyAt === null ? null : (this.readyAt - began) / SECOND;
  }
}

/** Simulates and measures one size; 12,000 machines take several minutes of CPU time. */
export const measureSize = (options: SizeOptions): SizeReport => new SizeRun(options).run();
