/** The queue order of waiting jobs: urgent work, then fair-share turns, then priority and objectives within reach. */
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
import { GANG_PROGRESS } from '../cluster/task-attempt.js';
import type { Priority } from '../domain/job.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';

/** A team's fair-share turns. */
interface FairShareTurn {
  /** The job whose turn it is; null: none. */
  job: ActiveJob | null;
  /** Since when it is that job's turn. */
  since: Micros;
  /** When the next turn is due, while there is none. */
  nextAt: Micros;
}

/** Pools of capacity that are ordered by themselves, the first before the second among equals. */
const POOL_KINDS = ['cpu', 'gpu'] as const;
type PoolKind = (typeof POOL_KINDS)[number];

const HIGHEST_PRIORITY_FIRST = [...PRIORITIES].reverse();

const levelKey = (priority: Priority, kind: PoolKind): string => `${priority}|${kind}`;

/** Jobs by priority and pool, in the given order. */
const groupByLevel = (jobs: readonly ActiveJob[]): Map<string, ActiveJob[]> => {
  const levels = new Map<string, ActiveJob[]>();
  for (const job of jobs) {
    const key = levelKey(job.priority, job.spec.gpus > 0 ? 'gpu' : 'cpu');
    const level = levels.get(key) ?? [];
    level.push(job);
    levels.set(key, level);
  }
  return levels;
};

/**
 * By team, the oldest job of its highest priority that waits: a turn must not put low work ahead of what may preempt it.
 */
const oldestByTeam = (waiting: readonly ActiveJob[]): Map<string, ActiveJob> => {
  const oldest = new Map<string, ActiveJob>();
  for (const job of waiting) {
    const former = oldest.get(job.spec.team);
    if (
      former === undefined ||
      job.priority > former.priority ||
      (job.priority === former.priority && job.acceptedAt < former.acceptedAt)
    )
      oldest.set(job.spec.team, job);
  }
  return oldest;
};

/** Orders waiting jobs, and keeps the teams' turns from one order to the next. */
export class QueueOrder {
  /** By team. */
  private readonly turns = new Map<string, FairShareTurn>();
  private readonly context: NodeContext;

  constructor(private readonly cluster: ClusterState) {
    this.context = cluster.context;
  }

  /** Whether it is this job's fair-share turn. */
  hasTurn(job: ActiveJob): boolean {
    return this.turns.get(job.spec.team)?.job === job;
  }

  /** All jobs that can be started, in queue order. Turns begin and end here. */
  inOrder(): ActiveJob[] {
    const startable = [...this.cluster.jobs.values()].filter((job) => this.cluster.isStartable(job));
    const waiting = fairShareOrder(startable, this.context.settings.teams);
    const first = this.exemptFromObjectives(waiting);
    const levels = groupByLevel(waiting.filter((job) => !first.has(job)));
    const ordered: ActiveJob[] = [];
    for (const priority of HIGHEST_PRIORITY_FIRST) {
      const orders: ObjectiveOrder[] = [];
      for (const kind of POOL_KINDS) {
        const jobs = levels.get(levelKey(priority, kind));
        if (jobs !== undefined) orders.push(this.orderPool(jobs, kind === 'gpu', priority));
      }
      ordered.push(...mergeOrders(orders));
    }
    return [...first, ...ordered];
  }

  /** What goes before the order by objectives: urgent work, then turns, then jobs that capacity is being freed for. */
  private exemptFromObjectives(waiting: readonly ActiveJob[]): Set<ActiveJob> {
    const { objectives } = this.context.settings;
    // With hundreds of teams there is always a turn due: what can't wait for it comes before all of them.
    const first = new Set(waiting.filter((job) => mustStartAtOnce(job.spec, objectives)));
    for (const job of this.jobsWithTurn(waiting)) first.add(job);
    for (const job of waiting) if (job.reservedUntil > this.context.now) first.add(job);
    return first;
  }

  /** Jobs whose turn it is now. */
  private jobsWithTurn(waiting: readonly ActiveJob[]): ActiveJob[] {
    const jobs: ActiveJob[] = [];
    const stillWaiting = new Set(waiting);
    for (const [team, oldest] of oldestByTeam(waiting)) {
      const job = this.updateTurn(team, oldest, stillWaiting);
      if (job !== null) jobs.push(job);
    }
    return jobs;
  }

  /** Ends and begins the team's turn where that is due. Returns the job whose turn it is; null: none. */
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
      // It started, or ended: the turn is over.
      turn.job = null;
      turn.nextAt = nextAt;
    }
    if (turn.job === null && now >= turn.nextAt) {
      turn.job = oldest;
      turn.since = now;
    }
    if (turn.job !== null && now - turn.since > fairShareDrainUs) {
      // The drain is bounded: others go on, and the team gets another turn.
      turn.job = null;
      turn.nextAt = nextAt;
    }
    return turn.job;
  }

  /** Orders the jobs of one priority that share a pool. */
  private orderPool(jobs: readonly ActiveJob[], gpu: boolean, priority: Priority): ObjectiveOrder {
    let work = 0;
    let amounts = 0;
    let cores = 0;
    const candidates = jobs.map((job): ObjectiveCandidate => {
      const { spec, waitingCount } = job;
      const checkpointed = job.checkpointedProgress.get(GANG_PROGRESS) ?? 0;
      const runTime = this.cluster.expectedRunTime(job, checkpointed);
      const amount = waitingCount * (gpu ? spec.gpus : spec.cores);
      work += runTime * amount;
      amounts += amount;
      cores += waitingCount * spec.cores;
      return { job, amount, latestStart: this.cluster.slackOf(job) };
    });
    const meanRunTime = amounts > 0 ? work / amounts : SECOND;
    const coresPerGpu = gpu && amounts > 0 ? cores / amounts : 1;
    const capacity = this.cluster.usageTotals.capacityFor(gpu, priority, coresPerGpu);
    return orderByObjectives(candidates, capacity.free, capacity.total / Math.max(meanRunTime, SECOND));
  }
}
