/** What waits, as groups of equal tasks in the order in which a plan looks at them. */
import { stagesAhead } from '../scheduling/look-ahead.js';
import type { QueueOrder } from '../scheduling/queue-order.js';
import { gpuKind, taskKind, type TaskGroup } from '../scheduling/plan-input.js';
import type { BackfillWork } from '../scheduling/placement-search.js';
import type { DependencyGraph } from '../jobs/dependencies.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import type { Team } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import type { ActiveJob } from '../cluster/cluster-model.js';
import { STAGE_HANDOVER } from '../cluster/cluster-state.js';
import type { QuotaUsage } from '../cluster/fair-share.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Tasks of one job that a play-out represents. */
const MAX_REPRESENTED = 160;
/** Tasks of one job that a plan places beyond those that it represents. */
const MAX_OVERFLOW = 10_000;

export interface WaitingParts {
  readonly ordering: QueueOrder;
  readonly deps: DependencyGraph;
  readonly fleet: Pick<Autoscaler, 'mustStartAtOnce'>;
}

/** What one plan works on. */
export interface Waiting {
  /** Compared and placed, now or later. */
  readonly groups: readonly TaskGroup[];
  /** Placed behind them, where there is room now. */
  readonly overflow: BackfillWork;
  jobOf(group: TaskGroup): ActiveJob | undefined;
}

export class WaitingGroups {
  private readonly teams: ReadonlyMap<string, Team>;

  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: WaitingParts,
  ) {
    this.teams = new Map(term.ctx.settings.teams.map((team) => [team.name, team]));
  }

  /** All that may start, within the limits of its teams. `urgentOnly`: what must start at once. */
  collect(urgentOnly: boolean): Waiting {
    const usage = this.term.cluster.usage();
    const jobs = new Map<TaskGroup, ActiveJob>();
    const groups: TaskGroup[] = [];
    const beyond: ActiveJob[] = [];
    const order = this.parts.ordering.inOrder();
    const lowest = order.reduce((least, j) => Math.min(least, j.priority), 3);
    // Work with and without GPUs is limited apart: many waiting gangs must not keep arrays from the plan.
    const taken = [0, 0];
    for (const job of order) {
      if (urgentOnly && !this.parts.fleet.mustStartAtOnce(job.spec)) continue;
      const kind = gpuKind(job.spec);
      if (taken[kind]! >= this.term.ctx.settings.tuning.maxGroupsPerPlan) {
        beyond.push(job);
        continue;
      }
      const group = this.groupOf(job, usage, lowest, MAX_REPRESENTED);
      if (group === null) continue;
      jobs.set(group, job);
      groups.push(group);
      taken[kind]!++;
      if (job.spec.shape !== 'gang' && job.waitingCount > MAX_REPRESENTED) beyond.push(job);
    }
    const represented = new Map([...jobs].map(([group, job]) => [job, group.count]));
    return {
      groups,
      overflow: {
        kinds: [...new Map(beyond.map((job) => [taskKind(job.spec), job.spec])).values()],
        groups: this.overflow(beyond, represented, usage, lowest, jobs),
      },
      jobOf: (group) => jobs.get(group),
    };
  }

  /** Made one by one as they are asked for, which may be a moment later: what has changed meanwhile is passed over. */
  private *overflow(
    beyond: readonly ActiveJob[],
    represented: ReadonlyMap<ActiveJob, number>,
    usage: QuotaUsage,
    lowest: number,
    jobs: Map<TaskGroup, ActiveJob>,
  ): Generator<TaskGroup> {
    for (const job of beyond) {
      if (!this.term.cluster.isStartable(job)) continue;
      const group = this.groupOf(job, usage, lowest, MAX_OVERFLOW, represented.get(job) ?? 0);
      if (group === null) continue;
      jobs.set(group, job);
      yield group;
    }
  }

  /** Up to `most` of the job's waiting tasks behind the first `behind` of them; null: none may start. */
  private groupOf(
    job: ActiveJob,
    usage: QuotaUsage,
    lowest: number,
    most: number,
    behind = 0,
  ): TaskGroup | null {
    const { ctx, cluster: estate } = this.term;
    const spec = job.priority === job.spec.priority ? job.spec : { ...job.spec, priority: job.priority };
    const room = usage.room(spec, this.teams.get(spec.team));
    const waiting = job.waitingCount - behind;
    const count = Math.min(waiting, room, spec.shape === 'gang' ? Infinity : most);
    if (count <= 0 || (spec.shape === 'gang' && count < spec.tasks)) return null;
    usage.add(spec, count);
    const promised = job.reservedUntil > ctx.now;
    return {
      spec,
      count,
      zones: job.tasksByZone(),
      avoid: new Set(job.failuresByMachine.keys()),
      checkpointedProgress: job.checkpointedProgress.get(-1) ?? 0,
      scaleOutThreshold: estate.scaleOutThreshold(job),
      allowedDelay: estate.allowedDelay(job),
      reserve: spec.priority > lowest || promised || this.parts.ordering.hasTurn(job),
      allowedMachines: promised ? job.reservedMachines : null,
      hypothetical: false,
      runTimes: new Map(),
      costPenalties: new Map(),
    };
  }

  /** What the next stages will need while a machine could boot for them. */
  ahead(): TaskGroup[] {
    const { deps } = this.parts;
    const { ctx, cluster: estate } = this.term;
    if (deps.blockedCount === 0) return [];
    const { now } = ctx;
    let boot = 0;
    for (const t of ctx.types.values()) boot = Math.max(boot, t.bootUs);
    const endOf = (job: ActiveJob): Micros => {
      let left = job.waitingCount > 0 ? estate.expectedDuration(job) : 0;
      for (const a of job.liveAttempts.values()) left = Math.max(left, estate.remainingRunTime(a));
      return now + left + STAGE_HANDOVER;
    };
    const ahead = stagesAhead(estate.jobs.values(), deps, (id) => estate.jobs.get(id), endOf, now + boot);
    return ahead.map(({ job, ready }) => ({
      spec: {
        ...job.spec,
        shape: 'array',
        sameZone: false,
        spreadAcrossZones: false,
        priority: job.priority,
      },
      count: Math.min(job.spec.tasks, MAX_REPRESENTED),
      zones: new Map(),
      avoid: new Set(),
      checkpointedProgress: 0,
      scaleOutThreshold: estate.scaleOutThreshold(job),
      allowedDelay: estate.allowedDelay(job),
      allowedMachines: null,
      reserve: false,
      hypothetical: true,
      notBefore: ready,
      runTimes: new Map(),
      costPenalties: new Map(),
    }));
  }
}
