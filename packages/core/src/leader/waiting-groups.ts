/** Groups waiting work into identical tasks of one job, in the order in which a plan considers them. */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { STAGE_HANDOVER_TIME } from '../cluster/cluster-state.js';
import type { QuotaUsage } from '../cluster/fair-share.js';
import { GANG_PROGRESS_KEY } from '../cluster/task-attempt.js';
import type { Team } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import type { DependencyGraph } from '../jobs/dependency-graph.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import type { BackfillWork } from '../scheduling/placement-search.js';
import { gpuKind, type TaskGroup } from '../scheduling/plan-input.js';
import type { QueueOrder } from '../scheduling/queue-order.js';
import { taskKind } from '../scheduling/task-kind.js';
import type { TotalCapacity } from '../scheduling/total-capacity.js';
import { upcomingStages } from '../scheduling/upcoming-stages.js';

/** Maximum number of tasks per job for which the search compares placements. */
const MAX_COMPARED_TASKS = 160;
/** Maximum number of tasks per job that a plan backfills in addition to the compared ones. */
const MAX_BACKFILLED_TASKS = 10_000;

/** Components that determine the order and the urgency of waiting work. */
export interface WaitingParts {
  /** Orders the waiting jobs. */
  readonly queueOrder: QueueOrder;
  /** Provides the blocked jobs and what they depend on. */
  readonly dependencies: DependencyGraph;
  /** Tells urgent work from the rest. */
  readonly autoscaler: Pick<Autoscaler, 'mustStartAtOnce'>;
}

/** The work that one plan places. */
export interface WaitingWork {
  /** Groups for which placements are compared; they start now or later. */
  readonly groups: readonly TaskGroup[];
  /** Work placed after them without comparison, where there is room now. */
  readonly backfill: BackfillWork;
  /** The job of a group; undefined for hypothetical groups. */
  jobOf(group: TaskGroup): ActiveJob | undefined;
}

/** Collects the waiting and the upcoming work that a plan places. */
export class WaitingGroups {
  private readonly teams: ReadonlyMap<string, Team>;
  /** Gangs that were logged as exceeding the capacity. */
  private readonly loggedGangs = new WeakSet<ActiveJob>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: WaitingParts,
  ) {
    this.teams = new Map(term.context.settings.teams.map((team) => [team.name, team]));
  }

  /**
   * All work that may start within the quotas of its teams; with `urgentOnly`, only work that must start at once. Gangs that
   * `totalCapacity` never holds at once are left out: they would take quota, turns and the places of other groups in vain.
   */
  collect(urgentOnly: boolean, totalCapacity: TotalCapacity): WaitingWork {
    const usage = this.term.cluster.usage();
    const jobs = new Map<TaskGroup, ActiveJob>();
    const groups: TaskGroup[] = [];
    const overflowJobs: ActiveJob[] = [];
    const order = this.parts.queueOrder.startableJobs((job) => this.fitsAtOnce(job, totalCapacity));
    const lowestPriority = order.reduce((least, { priority }) => Math.min(least, priority), 3);
    // Work with and without GPUs is limited separately, so that many waiting gangs don't keep arrays out of the plan.
    const groupCounts = [0, 0];
    for (const job of order) {
      if (urgentOnly && !this.parts.autoscaler.mustStartAtOnce(job.spec)) continue;
      const kind = gpuKind(job.spec);
      if (groupCounts[kind]! >= this.term.context.settings.tuning.maxGroupsPerPlan) {
        overflowJobs.push(job);
        continue;
      }
      const group = this.groupOf(job, usage, lowestPriority, MAX_COMPARED_TASKS);
      if (group === null) continue;
      jobs.set(group, job);
      groups.push(group);
      groupCounts[kind]!++;
      if (job.spec.shape !== 'gang' && job.waitingCount > MAX_COMPARED_TASKS) overflowJobs.push(job);
    }
    const comparedCounts = new Map([...jobs].map(([group, job]) => [job, group.count]));
    return {
      groups,
      backfill: {
        kinds: [...new Map(overflowJobs.map((job) => [taskKind(job.spec), job.spec])).values()],
        groups: this.backfillGroups(overflowJobs, comparedCounts, usage, lowestPriority, jobs),
      },
      jobOf: (group) => jobs.get(group),
    };
  }

  /** Whether all tasks that have to run at the same time could do so; logs a gang that is found too large. */
  private fitsAtOnce(job: ActiveJob, totalCapacity: TotalCapacity): boolean {
    const { spec } = job;
    if (spec.shape !== 'gang' || totalCapacity.holdsAtOnce(spec, spec.tasks)) return true;
    if (!this.loggedGangs.has(job)) {
      this.loggedGangs.add(job);
      const capacity = totalCapacity.tasksAtOnce(spec);
      this.term.context.info('job.exceeds_capacity', { job: job.id, tasks: spec.tasks, capacity });
    }
    return false;
  }

  /** Generates groups on demand, possibly in a later slice; skips jobs that can't start any more by then. */
  private *backfillGroups(
    overflowJobs: readonly ActiveJob[],
    comparedCounts: ReadonlyMap<ActiveJob, number>,
    usage: QuotaUsage,
    lowestPriority: number,
    jobs: Map<TaskGroup, ActiveJob>,
  ): Generator<TaskGroup> {
    for (const job of overflowJobs) {
      if (!this.term.cluster.isStartable(job)) continue;
      const group = this.groupOf(
        job,
        usage,
        lowestPriority,
        MAX_BACKFILLED_TASKS,
        comparedCounts.get(job) ?? 0,
      );
      if (group === null) continue;
      jobs.set(group, job);
      yield group;
    }
  }

  /** Up to `limit` waiting tasks of the job, after the first `skipped` ones; null if none may start. */
  private groupOf(
    job: ActiveJob,
    usage: QuotaUsage,
    lowestPriority: number,
    limit: number,
    skipped = 0,
  ): TaskGroup | null {
    const { context, cluster } = this.term;
    const spec = job.priority === job.spec.priority ? job.spec : { ...job.spec, priority: job.priority };
    const room = usage.remainingTasks(spec, this.teams.get(spec.team));
    const waiting = job.waitingCount - skipped;
    const count = Math.min(waiting, room, spec.shape === 'gang' ? Infinity : limit);
    if (count <= 0 || (spec.shape === 'gang' && count < spec.tasks)) return null;
    usage.add(spec, count);
    const hasReservation = job.reservedUntil > context.now;
    return {
      spec,
      count,
      zones: job.tasksByZone(),
      avoidedMachines: new Set(job.failuresByMachine.keys()),
      checkpointedProgress: job.checkpointedProgress.get(GANG_PROGRESS_KEY) ?? 0,
      scaleOutThreshold: cluster.scaleOutThreshold(job),
      allowedDelay: cluster.allowedDelay(job),
      reservesCapacity:
        spec.priority > lowestPriority || hasReservation || this.parts.queueOrder.hasTurn(job),
      allowedMachines: hasReservation ? job.reservedMachines : null,
      hypothetical: false,
      runTimes: new Map(),
      relativePrices: new Map(),
    };
  }

  /**
   * Hypothetical groups for blocked jobs whose dependencies are predicted to be met before a new machine could boot, except for
   * gangs that `totalCapacity` never holds at once.
   */
  upcomingStages(totalCapacity: TotalCapacity): TaskGroup[] {
    const { dependencies } = this.parts;
    const { context, cluster } = this.term;
    if (dependencies.blockedCount === 0) return [];
    const { now } = context;
    let longestBoot = 0;
    for (const type of context.machineTypes.values()) longestBoot = Math.max(longestBoot, type.bootUs);
    const predictedEnd = (job: ActiveJob): Micros => {
      let remaining = job.waitingCount > 0 ? cluster.expectedDuration(job) : 0;
      for (const attempt of job.liveAttempts.values())
        remaining = Math.max(remaining, cluster.remainingRunTime(attempt));
      return now + remaining + STAGE_HANDOVER_TIME;
    };
    const upcoming = upcomingStages(
      cluster.jobs.values(),
      dependencies,
      (id) => cluster.jobs.get(id),
      predictedEnd,
      now + longestBoot,
    );
    const placeable = upcoming.filter(({ job }) => this.fitsAtOnce(job, totalCapacity));
    return placeable.map(({ job, readyAt }) => ({
      spec: {
        ...job.spec,
        shape: 'array',
        sameZone: false,
        spreadAcrossZones: false,
        priority: job.priority,
      },
      count: Math.min(job.spec.tasks, MAX_COMPARED_TASKS),
      zones: new Map(),
      avoidedMachines: new Set(),
      checkpointedProgress: 0,
      scaleOutThreshold: cluster.scaleOutThreshold(job),
      allowedDelay: cluster.allowedDelay(job),
      allowedMachines: null,
      reservesCapacity: false,
      hypothetical: true,
      notBefore: readyAt,
      runTimes: new Map(),
      relativePrices: new Map(),
    }));
  }
}
