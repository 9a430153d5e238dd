/** Limits and commitments: decides which jobs may begin. Does no I/O; what was spent is in the ledger. */
import type { ActiveJob } from '@shaleyoke/core/cluster/cluster-model';
import type { DependencyLinks } from '@shaleyoke/core/feature-api';

import type { Ledger } from './ledger.js';
import { formatMoney, type Money } from './money.js';
import type { LimitRecord } from './records.js';
import type { BudgetSettings, Limit } from './settings.js';
import { NO_LIMIT } from './settings.js';

/** An owner's spending in its current month. */
export interface Standing {
  /** The current month in the owner's time zone. */
  readonly month: string;
  /** The limits in force. */
  readonly limit: Limit;
  /** Overrun of the previous month, which counts against this month's limit. */
  readonly carried: Money;
  /** Charged in this month. */
  readonly charged: Money;
  /** Accrued by running attempts and not yet charged. */
  readonly pending: Money;
  /** The part of commitments that is neither charged nor pending yet. */
  readonly committed: Money;
}
/** Everything that counts against the limits of the month. */
export const totalSpent = (s: Standing): Money => s.carried + s.charged + s.pending + s.committed;

/** Why the needed amounts, by owner, exceed a hard limit; null if they don't. `linked`: number of linked jobs. */
export const limitExceededReason = (
  needs: ReadonlyMap<string, Money>,
  standing: (owner: string) => Standing,
  currency: string,
  linked: number,
): string | null => {
  for (const [owner, cost] of needs) {
    const ownerStanding = standing(owner);
    const { hard } = ownerStanding.limit;
    if (hard === null || totalSpent(ownerStanding) + cost <= hard) continue;
    const left = formatMoney(Math.max(0, hard - totalSpent(ownerStanding)));
    return (
      `budget of ${owner}: ${left} of ${formatMoney(hard)} ${currency} left in ${ownerStanding.month}, ` +
      `about ${formatMoney(cost)} needed${linked > 1 ? ` more by ${linked} linked jobs` : ''}`
    );
  }
  return null;
};

/** What `Limits` asks of the leader's state. */
export interface LimitsContext {
  /** An active job by its id. */
  findJob(id: string): ActiveJob | undefined;
  /** All active jobs. */
  jobs(): Iterable<ActiveJob>;
  /** Which jobs depend on a job. */
  links: DependencyLinks;
  /** The estimated total cost of a job; of a service, of one hour. */
  estimate(job: ActiveJob): Money;
  /** The month before one in the owner's calendar. */
  monthBefore(owner: string, month: string): string;
}

/** Admits jobs whose estimated cost fits within their owners' hard limits. */
export class Limits {
  /** Limits set by operators at run time, which take precedence over those of the file. */
  private readonly overrides = new Map<string, Limit>();
  /** By owner: a month, and the overrun of the previous month that counts against its limit. */
  readonly carriedOverruns = new Map<string, readonly [string, Money]>();
  /** Cached until `clearStandings`. */
  private standings = new Map<string, Standing>();

  constructor(
    private readonly settings: BudgetSettings,
    private readonly ledger: Ledger,
    private readonly context: LimitsContext,
  ) {}

  /** Takes over a limit that operators set at run time. */
  setOverride(owner: string, record: LimitRecord): void {
    this.overrides.set(owner, { soft: record.soft, hard: record.hard });
    this.standings.delete(owner);
  }

  /** The limit in force: the operators' override, or else that of the file. */
  limitOf(owner: string): Limit {
    return this.overrides.get(owner) ?? this.settings.owners.get(owner)?.limit ?? NO_LIMIT;
  }

  /** The overrun of the previous month, which counts against this month's limit. */
  carriedInto(owner: string, month: string): Money {
    const [carriedMonth, amount] = this.carriedOverruns.get(owner) ?? ['', 0];
    if (carriedMonth === month) return amount;
    // The previous month is not closed yet: its overrun so far.
    return this.overrun(owner, this.context.monthBefore(owner, month));
  }

  /** By how much a month exceeds its hard limit, including the overrun that it carried itself. */
  overrun(owner: string, month: string): Money {
    const { hard } = this.limitOf(owner);
    if (hard === null) return 0;
    const [carriedMonth, amount] = this.carriedOverruns.get(owner) ?? ['', 0];
    const spent = this.ledger.accounts.get(owner)?.get(month)?.money ?? 0;
    return Math.max(0, spent + (carriedMonth === month ? amount : 0) - hard);
  }

  /** Makes standings be computed anew; called once per maintenance run. */
  clearStandings(): void {
    this.standings.clear();
  }

  /** The owner's standing, from a cache that commitments keep up to date. */
  standing(owner: string): Standing {
    let standing = this.standings.get(owner);
    if (standing !== undefined) return standing;
    const month = this.ledger.monthOf(owner);
    let pending = 0;
    let committed = 0;
    for (const job of this.ledger.jobs.values()) {
      if (job.owner !== owner) continue;
      const pendingOfJob = job.pending();
      pending += pendingOfJob;
      // A service is committed for the next hour at any time.
      if (job.commitment !== null)
        committed += job.service
          ? job.commitment
          : Math.max(0, job.commitment - job.charged() - pendingOfJob);
    }
    standing = {
      month,
      limit: this.limitOf(owner),
      carried: this.carriedInto(owner, month),
      charged: this.ledger.accounts.get(owner)?.get(month)?.money ?? 0,
      pending,
      committed,
    };
    this.standings.set(owner, standing);
    return standing;
  }

  private commit(job: ActiveJob, amount: Money): void {
    const { spec } = job;
    this.ledger.openJob(job.id, spec.team, spec.class, spec.shape === 'service').commitment = amount;
    const standing = this.standings.get(spec.team);
    if (standing !== undefined)
      this.standings.set(spec.team, { ...standing, committed: standing.committed + amount });
  }

  /** A job and all active jobs that are linked to it by dependencies, directly or through others. */
  private linkedJobsOf(first: ActiveJob): ActiveJob[] {
    const chain = new Set([first]);
    const queue = [first];
    for (let job = queue.pop(); job !== undefined; job = queue.pop()) {
      const linked = [...this.context.links.dependentsOf(job.id)];
      for (const neededId of job.spec.dependsOn) {
        const needed = this.context.findJob(neededId);
        if (needed !== undefined) linked.push(needed);
      }
      for (const other of linked)
        if (!chain.has(other)) {
          chain.add(other);
          queue.push(other);
        }
    }
    return [...chain];
  }

  /** Whether the job has started or a job that it depends on has ended; its chain is then no longer held back. */
  private hasBegun(job: ActiveJob): boolean {
    return job.hasStarted || job.spec.dependsOn.some((n) => this.context.findJob(n) === undefined);
  }

  private isCommitted(job: ActiveJob): boolean {
    return (this.ledger.jobs.get(job.id)?.commitment ?? null) !== null;
  }

  /** Commits jobs that have started without a commitment, which a crash may have lost. */
  commitStartedJobs(): void {
    for (const job of this.context.jobs())
      if (
        job.phase === 'active' &&
        job.hasStarted &&
        (this.ledger.jobs.get(job.id)?.commitment ?? null) === null
      )
        this.commit(job, this.context.estimate(job));
  }

  /**
   * Commits a job and all jobs linked to it, or returns why the job is held back; null if it may begin. A chain of
   * linked jobs is admitted as a whole: before any of it has begun, all its jobs known by now must fit within the
   * limits; once any of it has begun, none of it is held back.
   */
  admit(job: ActiveJob): string | null {
    const linked =
      job.spec.dependsOn.length > 0 ||
      !this.context.links.dependentsOf(job.id)[Symbol.iterator]().next().done;
    const chain = linked ? this.linkedJobsOf(job) : [job];
    const open = chain.filter((j) => !this.isCommitted(j));
    if (open.length === 0) return null;
    const costs = new Map(open.map((j) => [j, this.context.estimate(j)]));
    if (!chain.some((j) => this.hasBegun(j))) {
      const reason = this.exceededReason(costs, chain.length);
      if (reason !== null) {
        // Jobs joined a chain that was committed before; none of it has begun, so its commitments are revoked.
        for (const linkedJob of chain) this.revokeCommitment(linkedJob);
        return reason;
      }
    }
    for (const [openJob, cost] of costs) this.commit(openJob, cost);
    return null;
  }

  private exceededReason(costs: ReadonlyMap<ActiveJob, Money>, linked: number): string | null {
    const needs = new Map<string, Money>();
    for (const [job, cost] of costs) needs.set(job.spec.team, (needs.get(job.spec.team) ?? 0) + cost);
    return limitExceededReason(needs, (owner) => this.standing(owner), this.settings.currency, linked);
  }

  private revokeCommitment(job: ActiveJob): void {
    const openJob = this.ledger.jobs.get(job.id);
    if (openJob === undefined || openJob.commitment === null) return;
    openJob.commitment = null;
    this.standings.delete(job.spec.team);
  }
}
