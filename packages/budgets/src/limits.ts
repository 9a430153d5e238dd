/** Limits and commitments: which jobs may begin. Decides only; what was spent is in the books. */
import type { ActiveJob } from '@shaleyoke/core/cluster/cluster-model';
import type { DependencyLinks } from '@shaleyoke/core/feature-api';

import type { Books } from './books.js';
import { formatMoney, type Money } from './money.js';
import type { LimitRecord } from './records.js';
import type { BudgetSettings, Limit } from './settings.js';
import { NO_LIMIT } from './settings.js';

/** Where an owner stands in its present month. */
export interface Standing {
  readonly month: string;
  readonly limit: Limit;
  readonly carried: Money;
  readonly charged: Money;
  readonly pending: Money;
  /** What commitments still leave open. */
  readonly committed: Money;
}
export const spentOf = (s: Standing): Money => s.carried + s.charged + s.pending + s.committed;

/** Why what is needed, by owner, does not fit; null if it does. */
export const tooDear = (
  needs: ReadonlyMap<string, Money>,
  standing: (owner: string) => Standing,
  currency: string,
  linked: number,
): string | null => {
  for (const [owner, cost] of needs) {
    const s = standing(owner);
    const { hard } = s.limit;
    if (hard === null || spentOf(s) + cost <= hard) continue;
    const left = formatMoney(Math.max(0, hard - spentOf(s)));
    return (
      `budget of ${owner}: ${left} of ${formatMoney(hard)} ${currency} left in ${s.month}, ` +
      `about ${formatMoney(cost)} needed${linked > 1 ? ` more by ${linked} linked jobs` : ''}`
    );
  }
  return null;
};

export interface LimitsHost {
  job(id: string): ActiveJob | undefined;
  jobs(): Iterable<ActiveJob>;
  links: DependencyLinks;
  estimate(job: ActiveJob): Money;
  monthBefore(owner: string, month: string): string;
}

export class Limits {
  /** Limits set by operators, which count before those of the file. */
  private readonly set = new Map<string, Limit>();
  readonly carried = new Map<string, readonly [string, Money]>();
  private standings = new Map<string, Standing>();

  constructor(
    private readonly settings: BudgetSettings,
    private readonly books: Books,
    private readonly host: LimitsHost,
  ) {}

  note(owner: string, record: LimitRecord): void {
    this.set.set(owner, { soft: record.soft, hard: record.hard });
    this.standings.delete(owner);
  }

  limitOf(owner: string): Limit {
    return this.set.get(owner) ?? this.settings.owners.get(owner)?.limit ?? NO_LIMIT;
  }

  /** The overrun of the month before, which comes off this one. */
  carriedInto(owner: string, month: string): Money {
    const [m, amount] = this.carried.get(owner) ?? ['', 0];
    if (m === month) return amount;
    // The month before is not closed yet: what is known of it so far.
    return this.overrun(owner, this.host.monthBefore(owner, month));
  }

  /** By how much a month went over its hard limit, what it carried itself included. */
  overrun(owner: string, month: string): Money {
    const { hard } = this.limitOf(owner);
    if (hard === null) return 0;
    const [m, amount] = this.carried.get(owner) ?? ['', 0];
    const spent = this.books.accounts.get(owner)?.get(month)?.money ?? 0;
    return Math.max(0, spent + (m === month ? amount : 0) - hard);
  }

  /** Counted anew from here on: called before a round of questions. */
  refresh(): void {
    this.standings.clear();
  }

  standing(owner: string): Standing {
    let s = this.standings.get(owner);
    if (s !== undefined) return s;
    const month = this.books.monthOf(owner);
    let pending = 0;
    let committed = 0;
    for (const j of this.books.jobs.values()) {
      if (j.owner !== owner) continue;
      const own = j.pending();
      pending += own;
      // Of a service, always the next hour.
      if (j.commit !== null) committed += j.service ? j.commit : Math.max(0, j.commit - j.charged() - own);
    }
    s = {
      month,
      limit: this.limitOf(owner),
      carried: this.carriedInto(owner, month),
      charged: this.books.accounts.get(owner)?.get(month)?.money ?? 0,
      pending,
      committed,
    };
    this.standings.set(owner, s);
    return s;
  }

  private commit(job: ActiveJob, amount: Money): void {
    const { spec } = job;
    this.books.job(job.id, spec.team, spec.class, spec.shape === 'service').commit = amount;
    const s = this.standings.get(spec.team);
    if (s !== undefined) this.standings.set(spec.team, { ...s, committed: s.committed + amount });
  }

  /** What is linked to a job, directly or through others, among those that have not ended. */
  private chainOf(first: ActiveJob): ActiveJob[] {
    const chain = new Set([first]);
    const next = [first];
    for (let job = next.pop(); job !== undefined; job = next.pop()) {
      const linked = [...this.host.links.dependentsOf(job.id)];
      for (const n of job.spec.dependsOn) {
        const needed = this.host.job(n);
        if (needed !== undefined) linked.push(needed);
      }
      for (const l of linked)
        if (!chain.has(l)) {
          chain.add(l);
          next.push(l);
        }
    }
    return [...chain];
  }

  /** Whether it, or a job that it needs, has begun or ended: then its chain is under way, whatever it costs. */
  private underWay(job: ActiveJob): boolean {
    return job.hasStarted || job.spec.dependsOn.some((n) => this.host.job(n) === undefined);
  }

  private committed(job: ActiveJob): boolean {
    return (this.books.jobs.get(job.id)?.commit ?? null) !== null;
  }

  /** Jobs that have begun count with what they will probably cost, also if a crash lost the commitment. */
  commitBegun(): void {
    for (const job of this.host.jobs())
      if (job.phase === 'active' && job.hasStarted && (this.books.jobs.get(job.id)?.commit ?? null) === null)
        this.commit(job, this.host.estimate(job));
  }

  /**
   * Why the job may not begin now, or null; then it is committed, and with it all that is linked to it. A chain is
   * one thing: while nothing of it has begun it is judged with all that is known of it by now, and once something
   * has, nothing of it is held back.
   */
  holds(job: ActiveJob): string | null {
    const linked =
      job.spec.dependsOn.length > 0 || !this.host.links.dependentsOf(job.id)[Symbol.iterator]().next().done;
    const chain = linked ? this.chainOf(job) : [job];
    const open = chain.filter((j) => !this.committed(j));
    if (open.length === 0) return null;
    const costs = new Map(open.map((j) => [j, this.host.estimate(j)]));
    if (!chain.some((j) => this.underWay(j))) {
      const reason = this.tooDear(costs, chain.length);
      if (reason !== null) {
        // What was promised to a shorter chain is taken back: nothing of it has begun.
        for (const j of chain) this.withdraw(j);
        return reason;
      }
    }
    for (const [j, cost] of costs) this.commit(j, cost);
    return null;
  }

  private tooDear(costs: ReadonlyMap<ActiveJob, Money>, linked: number): string | null {
    const needs = new Map<string, Money>();
    for (const [j, cost] of costs) needs.set(j.spec.team, (needs.get(j.spec.team) ?? 0) + cost);
    return tooDear(needs, (owner) => this.standing(owner), this.settings.currency, linked);
  }

  private withdraw(job: ActiveJob): void {
    const j = this.books.jobs.get(job.id);
    if (j === undefined || j.commit === null) return;
    j.commit = null;
    this.standings.delete(job.spec.team);
  }
}
