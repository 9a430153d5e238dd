/** The queue order of waiting jobs: urgent work, then fair-share turns, then by priority and reachable objectives. */
import { PRIORITIES } from '../cluster/capacity-by-kind.js';
import type { ActiveJob } from '../cluster/cluster-model.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import { fairShareOrder } from '../cluster/fair-share.js';
import {
  mergeOrders,
  mustStartAtOnce,
  type ObjectiveCandidate,
  type ObjectiveOrder,
  orderByObjectives,
} from '../cluster/objectives.js';
import { GANG_PROGRESS_KEY } from '../cluster/task-attempt.js';
import type { Priority } from '../domain/job.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';

/** State of a team's fair-share turns: in a turn, the team's oldest job goes before the order by objectives. */
interface FairShareTurn {
  /** The job whose turn it is; null if there is none. */
  job: ActiveJob | null;
  /** When that job's turn began. */
  since: Micros;
  /** When the next turn is due, if none is in progress. */
  nextAt: Micros;
}

/** Pools of capacity whose jobs are ordered separately; on ties the first pool goes first. */
const POOL_KINDS = ['cpu', 'gpu'] as const;
type PoolKind = (typeof POOL_KINDS)[number];

const HIGHEST_PRIORITY_FIRST = [...PRIORITIES].reverse();

const priorityPoolKey = (priority: Priority, kind: PoolKind): string => `${priority}|${kind}`;

/** Groups jobs by priority and pool, and keeps their order. */
const groupByPriorityAndPool = (jobs: readonly ActiveJob[]): Map<string, ActiveJob[]> => {
  const groups = new Map<string, ActiveJob[]>();
  for (const job of jobs) {
    const key = priorityPoolKey(job.priority, job.spec.gpus > 0 ? 'gpu' : 'cpu');
    const group = groups.get(key) ?? [];
    group.push(job);
    groups.set(key, group);
  }
  return groups;
};

/**
 * Each team's oldest waiting job among those of the team's highest waiting priority. A turn must not put work of low
 * priority ahead of work that may preempt it.
 */
const oldestByTeam = (waiting: readonly ActiveJob[]): Map<string, ActiveJob> => {
  const oldest = new Map<string, ActiveJob>();
  for (const job of waiting) {
    const previous = oldest.get(job.spec.team);
    if (
      previous === undefined ||
      job.priority > previous.priority ||
      (job.priority === previous.priority && job.acceptedAt < previous.acceptedAt)
    )
      oldest.set(job.spec.team, job);
  }
  return oldest;
};

/** Orders waiting jobs, and keeps the state of the teams' turns between calls. */
export class QueueOrder {
  /** Fair-share turns by team. */
  private readonly turns = new Map<string, FairShareTurn>();
  private readonly context: NodeContext;

  constructor(private readonly cluster: ClusterState) {
    this.context = cluster.context;
  }

  /** Whether the job currently has its team's fair-share turn. */
  hasTurn(job: ActiveJob): boolean {
    return this.turns.get(job.spec.team)?.job === job;
  }

  /**
   * All startable jobs that `canBePlaced` accepts, in queue order. Also begins and ends fair-share turns. A job that can't be
   * placed gets no turn and counts for no guarantee or objective, since it would take them from jobs that can.
   */
  startableJobs(canBePlaced: (job: ActiveJob) => boolean = () => true): ActiveJob[] {
    const startable = [...this.cluster.jobs.values()].filter(
      (job) => this.cluster.isStartable(job) && canBePlaced(job),
    );
    const waiting = fairShareOrder(startable, this.context.settings.teams);
    const exempt = this.exemptFromObjectives(waiting);
    const groups = groupByPriorityAndPool(waiting.filter((job) => !exempt.has(job)));
    const ordered: ActiveJob[] = [];
    for (const priority of HIGHEST_PRIORITY_FIRST) {
      const orders: ObjectiveOrder[] = [];
      for (const kind of POOL_KINDS) {
        const jobs = groups.get(priorityPoolKey(priority, kind));
        if (jobs !== undefined) orders.push(this.orderPool(jobs, kind === 'gpu', priority));
      }
      ordered.push(...mergeOrders(orders));
    }
    return [...exempt, ...ordered];
  }

  /** Jobs placed before the order by objectives: urgent ones, then turns, then jobs that capacity is being freed for. */
  private exemptFromObjectives(waiting: readonly ActiveJob[]): Set<ActiveJob> {
    const { objectives } = this.context.settings;
    // With hundreds of teams some turn is always due, so urgent work goes before all turns.
    const exempt = new Set(waiting.filter((job) => mustStartAtOnce(job.spec, objectives)));
    for (const job of this.jobsWithTurn(waiting)) exempt.add(job);
    for (const job of waiting) if (job.reservedUntil > this.context.now) exempt.add(job);
    return exempt;
  }

  /** Jobs whose turn it is now, after the turns of all teams are updated. */
  private jobsWithTurn(waiting: readonly ActiveJob[]): ActiveJob[] {
    const jobs: ActiveJob[] = [];
    const stillWaiting = new Set(waiting);
    for (const [team, oldest] of oldestByTeam(waiting)) {
      const job = this.updateTurn(team, oldest, stillWaiting);
      if (job !== null) jobs.push(job);
    }
    return jobs;
  }

  /** Ends or begins the team's turn if due. Returns the job whose turn it is; null if there is none. */
  private updateTurn(
    team: string,
    oldest: ActiveJob,
    stillWaiting: ReadonlySet<ActiveJob>,
  ): ActiveJob | null {
    const { now, settings } = this.context;
    const { fairShareTurnIntervalUs, fairShareDrainUs } = settings.tuning;
    const nextAt = now + fairShareTurnIntervalUs;
    const turn = this.turns.get(team) ?? { job: null, since: now, nextAt };
    this.turns.set(team, turn);
    if (turn.job !== null && !stillWaiting.has(turn.job)) {
      // The job started or ended, which ends its turn.
      turn.job = null;
      turn.nextAt = nextAt;
    }
    if (turn.job === null && now >= turn.nextAt) {
      turn.job = oldest;
      turn.since = now;
    }
    if (turn.job !== null && now - turn.since > fairShareDrainUs) {
      // The drain time is bounded: other jobs continue, and the team gets another turn later.
      turn.job = null;
      turn.nextAt = nextAt;
    }
    return turn.job;
  }

  /** Orders the jobs of one priority and pool by their objectives, given the pool's capacity. */
  private orderPool(jobs: readonly ActiveJob[], gpu: boolean, priority: Priority): ObjectiveOrder {
    let totalWork = 0;
    let totalAmount = 0;
    let totalCores = 0;
    const candidates = jobs.map((job): ObjectiveCandidate => {
      const { spec, waitingCount } = job;
      const checkpointed = job.checkpointedProgress.get(GANG_PROGRESS_KEY) ?? 0;
      const runTime = this.cluster.expectedRunTime(job, checkpointed);
      const amount = waitingCount * (gpu ? spec.gpus : spec.cores);
      totalWork += runTime * amount;
      totalAmount += amount;
      totalCores += waitingCount * spec.cores;
      return { job, amount, latestStart: this.cluster.slackOf(job) };
    });
    const meanRunTime = totalAmount > 0 ? totalWork / totalAmount : SECOND;
    const coresPerGpu = gpu && totalAmount > 0 ? totalCores / totalAmount : 1;
    const capacity = this.cluster.usageTotals.capacityFor(gpu, priority, coresPerGpu);
    return orderByObjectives(candidates, capacity.free, capacity.total / Math.max(meanRunTime, SECOND));
  }
}
