/** The order in which waiting jobs are looked at: turns first, then priority and the aims that can be met. */
import { mergeOrders, orderByAims, type AimOrder, type Contender } from '../picture/aims.js';
import type { Context } from '../base/context.js';
import type { Estate } from '../picture/estate.js';
import type { ActiveJob } from '../picture/cluster.js';
import { SECOND, type Micros } from '../model.js';
import { turnOrder } from '../picture/teams.js';

export class Ordering {
  /** Team's turns: since when its oldest job has been at the head, and when the next turn is due. */
  private readonly turns = new Map<string, { job: ActiveJob | null; since: Micros; next: Micros }>();

  private readonly ctx: Context;

  constructor(private readonly estate: Estate) {
    this.ctx = estate.ctx;
  }

  /** Whether it is this job's turn. */
  hasTurn(job: ActiveJob): boolean {
    return this.turns.get(job.spec.team)?.job === job;
  }

  /** Jobs whose turn it is first, then by priority and by the aims that can still be met. */
  inOrder(): ActiveJob[] {
    const waiting = turnOrder(
      [...this.estate.jobs.values()].filter((j) => this.estate.startable(j)),
      this.ctx.settings.teams,
    );
    const first = this.dueTurns(waiting);
    for (const j of waiting) if (j.promisedUntil > this.ctx.now && !first.includes(j)) first.push(j);
    const rest = waiting.filter((j) => !first.includes(j));
    const levels = new Map<string, ActiveJob[]>();
    for (const j of rest) {
      const key = `${j.priority}|${j.spec.gpus > 0 ? 'gpu' : 'cpu'}`;
      const level = levels.get(key) ?? [];
      level.push(j);
      levels.set(key, level);
    }
    const ordered: ActiveJob[] = [];
    for (const priority of [3, 2, 1, 0]) {
      const orders = ['cpu', 'gpu']
        .map((kind) => ({ kind, jobs: levels.get(`${priority}|${kind}`) }))
        .filter((l) => l.jobs !== undefined)
        .map((l) => this.byAims(l.jobs!, l.kind === 'gpu', priority));
      ordered.push(...mergeOrders(orders));
    }
    return [...first, ...ordered];
  }

  private dueTurns(waiting: readonly ActiveJob[]): ActiveJob[] {
    const { tuning } = this.ctx.settings;
    const { now } = this.ctx;
    const oldest = new Map<string, ActiveJob>();
    for (const j of waiting) {
      const o = oldest.get(j.spec.team);
      // Of the highest priority that waits: a turn must not put low work ahead of what may preempt it.
      if (o === undefined || j.priority > o.priority || (j.priority === o.priority && j.at < o.at))
        oldest.set(j.spec.team, j);
    }
    const out: ActiveJob[] = [];
    for (const [team, job] of oldest) {
      const t = this.turns.get(team) ?? { job: null, since: now, next: now + tuning.turnEveryUs };
      this.turns.set(team, t);
      if (t.job !== null && !waiting.includes(t.job)) {
        // It started, or ended: the turn is over.
        t.job = null;
        t.next = now + tuning.turnEveryUs;
      }
      if (t.job === null && now >= t.next) {
        t.job = job;
        t.since = now;
      }
      if (t.job === null) continue;
      if (now - t.since > tuning.turnWaitUs) {
        // The drain was bounded: others get on, and the turn comes round again.
        t.job = null;
        t.next = now + tuning.turnEveryUs;
      } else out.push(t.job);
    }
    return out;
  }

  private byAims(jobs: readonly ActiveJob[], gpu: boolean, priority: number): AimOrder {
    let work = 0;
    let amounts = 0;
    let cores = 0;
    const contenders = jobs.map((job): Contender => {
      const { spec } = job;
      const credit = job.credit.get(-1) ?? 0;
      const run = this.estate.timings.remaining(spec.class, spec.types?.[0] ?? '', spec.estimateUs, credit);
      const amount = job.waiting * (gpu ? spec.gpus : spec.cores);
      work += run * amount;
      amounts += amount;
      cores += job.waiting * spec.cores;
      return { job, amount, latest: this.estate.slackOf(job) };
    });
    const mean = amounts > 0 ? work / amounts : SECOND;
    const room = this.roomFor(gpu, priority, gpu && amounts > 0 ? cores / amounts : 1);
    return orderByAims(contenders, room.free, room.total / Math.max(mean, SECOND));
  }

  /**
   * What work of this kind and priority can have: all in all, and now. GPUs count as far as there are cores beside them:
   * where work without GPUs fills machines with GPUs, more seemed to come free than did, everything seemed to be in
   * time, and in the order of latest starts nearly everything came too late (gedeeld-fleet loss: 0.18 of the arrays in
   * time, though ten jobs ended in every half minute). Cores count whole: work with GPUs leaves them to others sooner
   * or later, and taking them off was tried (krakow-next, one play each: price 2.3 -> 3.0 and 3.5 -> 4.1).
   */
  private roomFor(gpu: boolean, priority: number, coresEach: number): { total: number; free: number } {
    let total = 0;
    let free = 0;
    for (const m of this.estate.machines.values()) {
      const type = this.ctx.types.get(m.type);
      if (type === undefined || m.retiring !== null) continue;
      if (gpu && type.gpus === 0) continue;
      const left = m.freeOf(type);
      // Beside GPUs, cores and GPUs that this work has no right to; and what it could have of lower priorities.
      let cores = 0;
      let gpus = 0;
      let lower = 0;
      for (const { job } of m.attempts.values()) {
        if (job.priority < priority) lower += gpu ? job.spec.gpus : job.spec.cores;
        else if (gpu && (job.priority > priority || job.spec.gpus === 0)) {
          cores += job.spec.cores;
          gpus += job.spec.gpus;
        }
      }
      total += gpu ? Math.min(type.gpus - gpus, Math.max(0, type.cores - cores) / coresEach) : type.cores;
      if (!m.up) continue;
      // Room held by lower priorities can be had: without it, large jobs seem to come too late always.
      free += Math.max(0, gpu ? Math.min(left.gpus, left.cores / coresEach) : left.cores) + lower;
    }
    return { total, free };
  }
}
