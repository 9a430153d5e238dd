/** The order in which waiting jobs are looked at: turns first, then priority and the aims that can be met. */
import {
  mergeOrders,
  mustStartAtOnce,
  orderByObjectives,
  type ObjectiveOrder,
  type ObjectiveCandidate,
} from '../cluster/objectives.js';
import type { NodeContext } from '../node/node-context.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import type { ActiveJob } from '../cluster/cluster-model.js';
import type { Priority } from '../domain/job.js';
import { SECOND, type Micros } from '../domain/time.js';
import { fairShareOrder } from '../cluster/fair-share.js';

export class QueueOrder {
  /** Team's turns: since when its oldest job has been at the head, and when the next turn is due. */
  private readonly turns = new Map<string, { job: ActiveJob | null; since: Micros; next: Micros }>();

  private readonly ctx: NodeContext;

  constructor(private readonly estate: ClusterState) {
    this.ctx = estate.ctx;
  }

  /** Whether it is this job's turn. */
  hasTurn(job: ActiveJob): boolean {
    return this.turns.get(job.spec.team)?.job === job;
  }

  /** Jobs whose turn it is first, then by priority and by the aims that can still be met. */
  inOrder(): ActiveJob[] {
    const waiting = fairShareOrder(
      [...this.estate.jobs.values()].filter((j) => this.estate.isStartable(j)),
      this.ctx.settings.teams,
    );
    const first = this.aheadOfAims(waiting);
    const rest = waiting.filter((job) => !first.has(job));
    const levels = new Map<string, ActiveJob[]>();
    for (const j of rest) {
      const key = `${j.priority}|${j.spec.gpus > 0 ? 'gpu' : 'cpu'}`;
      const level = levels.get(key) ?? [];
      level.push(j);
      levels.set(key, level);
    }
    const ordered: ActiveJob[] = [];
    for (const priority of [3, 2, 1, 0] as const) {
      const orders = ['cpu', 'gpu']
        .map((kind) => ({ kind, jobs: levels.get(`${priority}|${kind}`) }))
        .filter((l) => l.jobs !== undefined)
        .map((l) => this.byAims(l.jobs!, l.kind === 'gpu', priority));
      ordered.push(...mergeOrders(orders));
    }
    return [...first, ...ordered];
  }

  /** What goes before the order by aims: urgent work, then turns, then jobs that room is being made for. */
  private aheadOfAims(waiting: readonly ActiveJob[]): Set<ActiveJob> {
    const { objectives } = this.ctx.settings;
    // With hundreds of teams there is always a turn due: what can't wait for it comes before all of them.
    const first = new Set(waiting.filter((job) => mustStartAtOnce(job.spec, objectives)));
    for (const job of this.dueTurns(waiting)) first.add(job);
    for (const job of waiting) if (job.reservedUntil > this.ctx.now) first.add(job);
    return first;
  }

  private dueTurns(waiting: readonly ActiveJob[]): ActiveJob[] {
    const { tuning } = this.ctx.settings;
    const { now } = this.ctx;
    const oldest = new Map<string, ActiveJob>();
    for (const j of waiting) {
      const o = oldest.get(j.spec.team);
      // Of the highest priority that waits: a turn must not put low work ahead of what may preempt it.
      if (
        o === undefined ||
        j.priority > o.priority ||
        (j.priority === o.priority && j.acceptedAt < o.acceptedAt)
      )
        oldest.set(j.spec.team, j);
    }
    const out: ActiveJob[] = [];
    const stillWaiting = new Set(waiting);
    for (const [team, job] of oldest) {
      const t = this.turns.get(team) ?? { job: null, since: now, next: now + tuning.fairShareTurnIntervalUs };
      this.turns.set(team, t);
      if (t.job !== null && !stillWaiting.has(t.job)) {
        // It started, or ended: the turn is over.
        t.job = null;
        t.next = now + tuning.fairShareTurnIntervalUs;
      }
      if (t.job === null && now >= t.next) {
        t.job = job;
        t.since = now;
      }
      if (t.job === null) continue;
      if (now - t.since > tuning.fairShareDrainUs) {
        // The drain was bounded: others get on, and the turn comes round again.
        t.job = null;
        t.next = now + tuning.fairShareTurnIntervalUs;
      } else out.push(t.job);
    }
    return out;
  }

  private byAims(jobs: readonly ActiveJob[], gpu: boolean, priority: Priority): ObjectiveOrder {
    let work = 0;
    let amounts = 0;
    let cores = 0;
    const contenders = jobs.map((job): ObjectiveCandidate => {
      const { spec } = job;
      const credit = job.checkpointedProgress.get(-1) ?? 0;
      const run = this.estate.runtimeEstimates.remaining(
        spec.class,
        spec.machineTypes?.[0] ?? '',
        spec.estimatedRunUs,
        credit,
      );
      const amount = job.waitingCount * (gpu ? spec.gpus : spec.cores);
      work += run * amount;
      amounts += amount;
      cores += job.waitingCount * spec.cores;
      return { job, amount, latestStart: this.estate.slackOf(job) };
    });
    const mean = amounts > 0 ? work / amounts : SECOND;
    const room = this.estate.usageTotals.capacityFor(gpu, priority, gpu && amounts > 0 ? cores / amounts : 1);
    return orderByObjectives(contenders, room.free, room.total / Math.max(mean, SECOND));
  }
}
