/** Waiting work as groups of equal tasks, in the order in which a plan considers them. */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { STAGE_HANDOVER } from '../cluster/cluster-state.js';
import type { QuotaUsage } from '../cluster/fair-share.js';
import { GANG_PROGRESS } from '../cluster/task-attempt.js';
import type { Team } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import type { DependencyGraph } from '../jobs/dependency-graph.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import type { BackfillWork } from '../scheduling/placement-search.js';
import { gpuKind, type TaskGroup, taskKind } from '../scheduling/plan-input.js';
import type { QueueOrder } from '../scheduling/queue-order.js';
import { upcomingStages } from '../scheduling/upcoming-stages.js';

/** The most tasks of one job that the search compares placements for. */
const MAX_COMPARED = 160;
/** The most tasks of one job that a plan backfills beyond those that it compares. */
const MAX_BACKFILLED = 10_000;

/** What the order and the urgency of work are asked of. */
export interface WaitingParts {
  readonly queueOrder: QueueOrder;
  readonly dependencies: DependencyGraph;
  readonly autoscaler: Pick<Autoscaler, 'mustStartAtOnce'>;
}

/** The work that one plan places. */
export interface WaitingWork {
  /** Placements of these are compared, and begin now or later. */
  readonly groups: readonly TaskGroup[];
  /** Placed behind them where there is room now, without comparison. */
  readonly backfill: BackfillWork;
  jobOf(group: TaskGroup): ActiveJob | undefined;
}

/** Collects the work of a plan. */
export class WaitingGroups {
  private readonly teams: ReadonlyMap<string, Team>;

  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: WaitingParts,
  ) {
    this.teams = new Map(term.context.settings.teams.map((team) => [team.name, team]));
  }

  /** All work that may start within the quotas of its teams; with `urgentOnly` only what must start at once. */
  collect(urgentOnly: boolean): WaitingWork {
    const usage = this.term.cluster.usage();
    const jobs = new Map<TaskGroup, ActiveJob>();
    const groups: TaskGroup[] = [];
    const beyond: ActiveJob[] = [];
    const order = this.parts.queueOrder.inOrder();
    const lowest = order.reduce((least, { priority }) => Math.min(least, priority), 3);
    // Work with and without GPUs is limited separately: many waiting gangs must not keep arrays out of the plan.
    const taken = [0, 0];
    for (const job of order) {
      if (urgentOnly && !this.parts.autoscaler.mustStartAtOnce(job.spec)) continue;
      const kind = gpuKind(job.spec);
      if (taken[kind]! >= this.term.context.settings.tuning.maxGroupsPerPlan) {
        beyond.push(job);
        continue;
      }
      const group = this.groupOf(job, usage, lowest, MAX_COMPARED);
      if (group === null) continue;
      jobs.set(group, job);
      groups.push(group);
      taken[kind]!++;
      if (job.spec.shape !== 'gang' && job.waitingCount > MAX_COMPARED) beyond.push(job);
    }
    const compared = new Map([...jobs].map(([group, job]) => [job, group.count]));
    return {
      groups,
      backfill: {
        kinds: [...new Map(beyond.map((job) => [taskKind(job.spec), job.spec])).values()],
        groups: this.backfillGroups(beyond, compared, usage, lowest, jobs),
      },
      jobOf: (group) => jobs.get(group),
    };
  }

  /** Generated one by one, possibly a moment later: jobs that changed meanwhile are skipped. */
  private *backfillGroups(
    beyond: readonly ActiveJob[],
    compared: ReadonlyMap<ActiveJob, number>,
    usage: QuotaUsage,
    lowest: number,
    jobs: Map<TaskGroup, ActiveJob>,
  ): Generator<TaskGroup> {
    for (const job of beyond) {
      if (!this.term.cluster.isStartable(job)) continue;
      const group = this.groupOf(job, usage, lowest, MAX_BACKFILLED, compared.get(job) ?? 0);
      if (group === null) continue;
      jobs.set(group, job);
      yield group;
    }
  }

  /** Up to `limit` of the job's waiting tasks after the first `skipped` of them; null: none may start. */
  private groupOf(
    job: ActiveJob,
    usage: QuotaUsage,
    lowest: number,
    limit: number,
    skipped = 0,
  ): TaskGroup | null {
    const { context: ctx, cluster } = this.term;
    const spec = job.priority === job.spec.priority ? job.spec : { ...job.spec, priority: job.priority };
    const room = usage.remainingTasks(spec, this.teams.get(spec.team));
    const waiting = job.waitingCount - skipped;
    const count = Math.min(waiting, room, spec.shape === 'gang' ? Infinity : limit);
    if (count <= 0 || (spec.shape === 'gang' && count < spec.tasks)) return null;
    usage.add(spec, count);
    const hasReservation = job.reservedUntil > ctx.now;
    return {
      spec,
      count,
      zones: job.tasksByZone(),
      avoid: new Set(job.failuresByMachine.keys()),
      checkpointedProgress: job.checkpointedProgress.get(GANG_PROGRESS) ?? 0,
      scaleOutThreshold: cluster.scaleOutThreshold(job),
      allowedDelay: cluster.allowedDelay(job),
      reserve: spec.priority > lowest || hasReservation || this.parts.queueOrder.hasTurn(job),
      allowedMachines: hasReservation ? job.reservedMachines : null,
      hypothetical: false,
      runTimes: new Map(),
      costPenalties: new Map(),
    };
  }

  /** Hypothetical groups for blocked jobs whose dependencies will be met before a new machine could boot. */
  upcomingStages(): TaskGroup[] {
    const { dependencies } = this.parts;
    const { context: ctx, cluster } = this.term;
    if (dependencies.blockedCount === 0) return [];
    const { now } = ctx;
    let longestBoot = 0;
    for (const type of ctx.types.values()) longestBoot = Math.max(longestBoot, type.bootUs);
    const endOf = (job: ActiveJob): Micros => {
      let left = job.waitingCount > 0 ? cluster.expectedDuration(job) : 0;
      for (const attempt of job.liveAttempts.values())
        left = Math.max(left, cluster.remainingRunTime(attempt));
      return now + left + STAGE_HANDOVER;
    };
    const ahead = upcomingStages(
      cluster.jobs.values(),
      dependencies,
      (id) => cluster.jobs.get(id),
      endOf,
      now + longestBoot,
    );
    return ahead.map(({ job, ready }) => ({
      spec: {
        ...job.spec,
        shape: 'array',
        sameZone: false,
        spreadAcrossZones: false,
        priority: job.priority,
      },
      count: Math.min(job.spec.tasks, MAX_COMPARED),
      zones: new Map(),
      avoid: new Set(),
      checkpointedProgress: 0,
      scaleOutThreshold: cluster.scaleOutThreshold(job),
      allowedDelay: cluster.allowedDelay(job),
      allowedMachines: null,
      reserve: false,
      hypothetical: true,
      notBefore: ready,
      runTimes: new Map(),
      costPenalties: new Map(),
    }));
  }
}
