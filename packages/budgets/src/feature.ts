/** Budgets within a leader's term: connects the core's feature interface with the ledger, limits and records. */
import type { AdmissionHold } from '@shaleyoke/core/cluster/admission-hold';
import type { ActiveJob, Machine, TaskAttempt } from '@shaleyoke/core/cluster/cluster-model';
import type { ReportedTask } from '@shaleyoke/core/domain/heartbeat';
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';
import type { Micros } from '@shaleyoke/core/domain/time';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { DependencyLinks, Feature, FeatureTerm } from '@shaleyoke/core/feature-api';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';

import type { Calendar } from './calendar.js';
import { estimatedCost, machineWeight } from './estimate.js';
import { FULLY_KEPT, Ledger, type OpenJob } from './ledger.js';
import { Limits, totalSpent } from './limits.js';
import { formatMoney, type Money, rateOf } from './money.js';
import { outcomeOf } from './outcome.js';
import { closedKey, type ClosedRecord, LIMITS_PREFIX, readLimit } from './records.js';
import type { BudgetSettings } from './settings.js';
import { LedgerStore } from './store.js';

/** A month is closed this long after its end at the latest, even if costs are still pending. */
const MONTH_CLOSE_GRACE: Micros = 24 * 3600 * SECOND;
/** How long jobs and results wait for the ledger to be read; after that, jobs are admitted without it. */
const MAX_READING_TIME: Micros = 30 * SECOND;
const LIMITS_READ_INTERVAL: Micros = 20 * SECOND;
const MONTH_CHECK_INTERVAL: Micros = 10 * SECOND;
/** A machine is unseen after this many report intervals without a report. */
const LATE_REPORT_INTERVALS = 1.3;
const STOPPED_LOG_INTERVAL: Micros = 60 * SECOND;
/** A longer time without accounting, because budgets were switched off, is not accounted afterwards. */
const MAX_ACCOUNTING_GAP: Micros = 600 * SECOND;
/** Ends of attempts that are kept until the ledger has been read; further ones are ignored. */
const MAX_EARLY_ENDS = 50_000;
/** A worker keeps a result for the ledger no longer than this. */
const MAX_RESULT_RETENTION: Micros = 120 * SECOND;

/** The end of an attempt that was reported before the ledger was read. */
interface EarlyEnd {
  readonly job: string;
  /** Index of the task. */
  readonly index: number;
  /** Number of the attempt. */
  readonly number: number;
  /** Whether the task was done. */
  readonly done: boolean;
  /** Whether the attempt was done or had saved a checkpoint. */
  readonly kept: boolean;
}

const attemptKey = (job: string, index: number, number: number): string => `${job}/${index}/${number}`;

/** Accounts for the cluster's costs and enforces budgets during one leader term. */
export class BudgetTerm implements FeatureTerm {
  /** The accounts in memory. */
  readonly ledger: Ledger;
  /** Decides which jobs may begin. */
  readonly limits: Limits;
  /** Reads and writes the ledger's records. */
  readonly store: LedgerStore;
  /** The ledger has been read and the core's state restored: events are accounted. */
  private accounting = false;
  private coreRestored = false;
  private loaded: { accountedUntil: Micros | null; limits: readonly StoredItem[] } | null = null;
  private accountedSince: Micros = 0;
  private earlyEnds: EarlyEnd[] = [];
  /** Attempts that were done but are not in the ledger's records yet, with the time of their end. */
  private readonly unrecordedResults = new Map<string, Micros>();
  /** By owner: the month in which reaching the soft limit was logged. */
  private readonly softLimitReported = new Map<string, string>();
  /** Recorded jobs that ended under an earlier leader; closed once all machines have reported. */
  private endedBeforeTerm: string[] = [];
  /** Machines that an earlier leader recorded; only they may run attempts that it started. */
  private recordedMachines: ReadonlySet<string> = new Set();
  /** Some recorded attempts may still be reported by machines for the first time. */
  private awaitingFirstReports = true;
  /** Closed months whose statement may have to be recorded yet, the oldest first. */
  private closingMonths: { owner: string; month: string; requested: boolean }[] = [];
  /** When each machine last renewed its lease, as of the last maintenance run. */
  private readonly lastReportAt = new Map<string, Micros>();
  private nextLimitsReadAt: Micros = 0;
  private nextMonthCheckAt: Micros = 0;
  private stoppedLoggedAt = -Infinity;

  constructor(
    private readonly term: LeaderTerm,
    links: DependencyLinks,
    private readonly settings: BudgetSettings,
  ) {
    const calendars = new Map([...settings.owners].map(([name, o]) => [name, o.calendar]));
    this.ledger = new Ledger(calendars);
    const { cluster } = term;
    this.limits = new Limits(settings, this.ledger, {
      findJob: (id) => cluster.jobs.get(id),
      jobs: () => cluster.jobs.values(),
      links,
      estimate: (job) =>
        estimatedCost(job.spec, term.context.machineTypes, cluster.runtimeEstimates, settings.quantile),
      monthBefore: (owner, month) => this.calendar(owner).previousMonth(month),
    });
    this.store = new LedgerStore(
      term,
      this.ledger,
      { softLimitReported: this.softLimitReported, carried: this.limits.carriedOverruns },
      settings.changesPerS,
    );
    this.store.load((loaded) => {
      this.loaded = loaded;
      this.startAccounting();
    });
  }

  /** Number of the leader's term, for finding the newest one. */
  get termNumber(): number {
    return this.term.number;
  }

  private calendar(owner: string): Calendar {
    return this.settings.owners.get(owner)!.calendar;
  }

  private get wallNow(): Micros {
    return this.term.context.wallNow;
  }

  // ---- start -------------------------------------------------------------------------------------

  /** The core has restored the cluster's state; accounting starts once the ledger has been read too. */
  stateRestored(): void {
    this.coreRestored = true;
    this.recordedMachines = new Set(
      [...this.term.cluster.machines.values()].filter((m) => m.recorded === 'yes').map((m) => m.name),
    );
    this.startAccounting();
  }

  /** Starts accounting as soon as both the core's state and the ledger are there. */
  private startAccounting(): void {
    const { loaded, ledger } = this;
    if (!this.coreRestored || loaded === null || this.accounting || this.store.stoppedBy !== null) return;
    this.accounting = true;
    const { cluster, context } = this.term;
    ledger.setTime(this.wallNow);
    // After a long time with budgets switched off, accounting starts now: nothing recorded what ran meanwhile.
    const gap = this.wallNow - (loaded.accountedUntil ?? -Infinity) > MAX_ACCOUNTING_GAP;
    this.accountedSince = gap ? this.wallNow : (loaded.accountedUntil ?? this.wallNow);
    if (loaded.accountedUntil === null)
      for (const [owner, { calendar }] of this.settings.owners)
        ledger.closedMonths.set(owner, calendar.previousMonth(ledger.monthOf(owner)));
    else
      for (const [owner, month] of ledger.closedMonths)
        this.closingMonths.push({ owner, month, requested: false });
    this.applyLimits(loaded.limits);
    // Attempts of earlier leaders are matched by their numbers as each machine reports.
    for (const machine of cluster.machines.values())
      this.addMachine(machine, !gap && this.recordedMachines.has(machine.name));
    for (const end of this.earlyEnds) {
      if (end.done) this.retainResult(end.job, end.index, end.number);
      ledger.endAttempt(
        end.job,
        end.index,
        end.number,
        end.kept ? FULLY_KEPT : { keptUs: 0, lossReason: 'lost' },
      );
    }
    this.earlyEnds = [];
    for (const job of cluster.jobs.values())
      for (const attempt of job.liveAttempts.values())
        if (attempt.confirmed && attempt.runningAt !== null) this.taskRunning(attempt);
    for (const id of ledger.jobs.keys()) if (!cluster.jobs.has(id)) this.endedBeforeTerm.push(id);
    // An earlier leader may have closed a month before all its rows were in the journal.
    for (const [owner, month] of ledger.closedMonths) ledger.closeMonth(owner, month);
    this.limits.commitStartedJobs();
    context.info('budgets.restored', {
      jobs: ledger.jobs.size,
      openPages: this.store.lastJournalPage,
      firstTime: loaded.accountedUntil === null,
    });
    this.term.schedulePass();
  }

  private applyLimits(items: readonly StoredItem[]): void {
    for (const item of items) {
      const owner = item.key.slice(LIMITS_PREFIX.length);
      const record = readLimit(item.value);
      if (record === null) this.term.context.error('budgets.limit_unreadable', { key: item.key });
      else if (this.settings.owners.has(owner)) this.limits.setOverride(owner, record);
    }
  }

  /** Stops accounting with the term; the next leader continues from the records. */
  termEnded(): void {
    this.accounting = false;
  }

  // ---- events ------------------------------------------------------------------------------------

  private openJobOf(job: ActiveJob): OpenJob {
    const { spec } = job;
    return this.ledger.openJob(spec.id, spec.team, spec.class, spec.shape === 'service');
  }

  private hourlyRateOf(machine: Machine): Money | null {
    const type = this.term.context.machineTypes.get(machine.type);
    return type === undefined ? null : rateOf(machine.spot ? type.spotPrice : type.price);
  }

  /**
   * Whether a machine was recorded by an earlier leader and has not reported for a whole lease: most such machines
   * died before this term. When each new leader accounted for them from the last record until it gave them up, many
   * changes of leader made the ledger's cost twice the cloud's bill. A machine that reports later is accounted from
   * then on.
   */
  private isPresumedDead(machine: Machine): boolean {
    return (
      this.recordedMachines.has(machine.name) && machine.agentEpoch === 0 && !machine.awaitingReconciliation
    );
  }

  /** Accounts for a machine since it was provisioned, but never for time before accounting started. */
  private addMachine(machine: Machine, awaitingReport: boolean): void {
    const rate = this.hourlyRateOf(machine);
    if (rate === null || this.ledger.hasMachine(machine.name) || this.isPresumedDead(machine)) return;
    const from = awaitingReport
      ? this.accountedSince
      : Math.max(this.accountedSince, machine.provisionedAt + this.term.context.wallOffset);
    this.ledger.addMachine(machine.name, rate, from, awaitingReport);
    if (!awaitingReport && machine.up) this.ledger.updateMachine(machine.name, rate, true);
  }

  /** An attempt runs: its machine's cost is shared with it from now on. */
  taskRunning(attempt: TaskAttempt): void {
    if (!this.accounting) return;
    this.ledger.setTime(this.wallNow);
    this.addMachine(attempt.machine, false);
    const type = this.term.context.machineTypes.get(attempt.machine.type);
    if (type === undefined) return;
    this.ledger.updateMachine(attempt.machine.name, this.hourlyRateOf(attempt.machine)!, true);
    this.ledger.startAttempt(
      attempt.machine.name,
      this.openJobOf(attempt.job),
      attempt.index,
      attempt.number,
      machineWeight(attempt.job.spec, type),
    );
  }

  /** An attempt has ended: charges its owner for what was kept. `exit`: null where no report tells how it ended. */
  attemptEnded(attempt: TaskAttempt, exit: ReportedTask | null): void {
    if (!this.accounting) {
      this.noteEarlyEnd(attempt.job.id, attempt.index, attempt.number, exit);
      return;
    }
    this.ledger.setTime(this.wallNow);
    const runUs = this.ledger.runTimeOf(attempt.job.id, attempt.index, attempt.number);
    if (exit?.cause === 'done') this.retainResult(attempt.job.id, attempt.index, attempt.number);
    this.ledger.endAttempt(
      attempt.job.id,
      attempt.index,
      attempt.number,
      outcomeOf(attempt, exit, runUs, this.unseenUs(attempt)),
    );
  }

  /**
   * The last part of an attempt's run time in which its machine was not heard of for longer than usual. An attempt
   * whose end is reported late may have ended at any time in it, so its owner doesn't pay for it: otherwise a task
   * that was done kept costing its owner while no leader received reports.
   */
  private unseenUs(attempt: TaskAttempt): Micros {
    const { now, settings } = this.term.context;
    const last = Math.max(this.lastReportAt.get(attempt.machine.name) ?? 0, attempt.runningAt ?? 0);
    return Math.max(0, Math.round(now - last - LATE_REPORT_INTERVALS * settings.heartbeatIntervalUs));
  }

  /** A worker reported the exit of an attempt that the core doesn't know any more, but the ledger may. */
  unknownAttemptExited(job: string, exit: ReportedTask): void {
    if (!this.accounting) {
      this.noteEarlyEnd(job, exit.index, exit.attempt, exit);
      return;
    }
    this.ledger.setTime(this.wallNow);
    const kept = exit.cause === 'done' || exit.checkpointed;
    if (exit.cause === 'done') this.retainResult(job, exit.index, exit.attempt);
    this.ledger.endAttempt(
      job,
      exit.index,
      exit.attempt,
      kept ? FULLY_KEPT : { keptUs: 0, lossReason: 'lost' },
    );
  }

  /**
   * Makes the worker keep a result until the ledger's records have it too. The core lets a worker drop a result once
   * the job's record has it, and the ledger is written later: when the leader died in between, nothing showed how the
   * attempt had ended, and the platform paid for its whole run time.
   */
  private retainResult(job: string, index: number, number: number): void {
    if (this.ledger.runTimeOf(job, index, number) > 0)
      this.unrecordedResults.set(attemptKey(job, index, number), this.term.context.now);
  }

  /** Whether a worker must keep a result, because the ledger's records don't have it yet. */
  retainsResult(exit: ReportedTask): boolean {
    const { context, lease } = this.term;
    if (this.store.stoppedBy !== null) return false;
    if (!this.accounting) return context.now - lease.heldSince < MAX_READING_TIME;
    const since = this.unrecordedResults.get(attemptKey(exit.job, exit.index, exit.attempt));
    return since !== undefined && context.now - since < MAX_RESULT_RETENTION;
  }

  /** Keeps the end of an attempt until the ledger has been read. */
  private noteEarlyEnd(job: string, index: number, number: number, exit: ReportedTask | null): void {
    if (this.earlyEnds.length >= MAX_EARLY_ENDS) return;
    const done = exit?.cause === 'done';
    this.earlyEnds.push({ job, index, number, done, kept: done || exit?.checkpointed === true });
  }

  /** Stops accounting for a machine that the core has given up. */
  machineRemoved(machine: Machine): void {
    if (!this.accounting) return;
    this.ledger.setTime(this.wallNow);
    if (machine.agentEpoch === 0 && this.recordedMachines.has(machine.name))
      this.ledger.discardUnreported(machine.name);
    this.ledger.removeMachine(machine.name);
    this.lastReportAt.delete(machine.name);
  }

  /** Makes the amounts of a job final that has ended, with no task left on any machine. */
  jobClosed(job: ActiveJob): void {
    if (!this.accounting) return;
    this.ledger.setTime(this.wallNow);
    this.ledger.closeJob(job.id);
  }

  /**
   * Why a job that has not begun may not begin now. While the ledger is being read, jobs are held back for
   * `MAX_READING_TIME` at most; if it can't be read, not at all.
   */
  admissionHold(job: ActiveJob): AdmissionHold | null {
    if (this.store.stoppedBy !== null) return null;
    if (!this.accounting)
      return this.term.context.now - this.term.lease.heldSince < MAX_READING_TIME
        ? { reason: 'budgets are being read', transient: true }
        : null;
    // Without prices the cost can't be estimated; without machine types nothing can be placed anyway.
    if (this.term.context.machineTypes.size === 0)
      return { reason: 'prices are not known yet', transient: true };
    const reason = this.limits.admit(job);
    return reason === null ? null : { reason, transient: false };
  }

  // ---- maintenance -------------------------------------------------------------------------------

  /**
   * Brings the ledger up to date with the cluster and flushes it when due. `entitled`: whether this leader may write
   * now.
   */
  maintain(entitled: boolean): void {
    const { context, cluster, lease } = this.term;
    if (this.store.stoppedBy !== null) {
      this.logStopped();
      this.stopAccounting();
    }
    if (!this.accounting) return;
    const { ledger } = this;
    ledger.setTime(this.wallNow);
    for (const machine of cluster.machines.values()) {
      this.addMachine(machine, false);
      const rate = this.hourlyRateOf(machine);
      if (rate !== null) ledger.updateMachine(machine.name, rate, machine.up);
      if (this.isPresumedDead(machine)) ledger.discardUnreported(machine.name);
      else if (!machine.awaitingReconciliation) ledger.resumeMachine(machine.name);
      this.lastReportAt.set(machine.name, machine.leaseRenewedAt);
    }
    for (const name of [...ledger.machineNames()])
      if (!cluster.machines.has(name)) ledger.removeMachine(name);
    if (
      this.awaitingFirstReports &&
      !ledger.awaitingReports &&
      context.now > lease.heldSince + 2 * context.settings.heartbeatIntervalUs
    ) {
      // All machines have reported what runs there, so a recorded attempt that none reported doesn't run.
      this.awaitingFirstReports = false;
      ledger.writeOffUnreported();
      for (const id of this.endedBeforeTerm) if (!cluster.jobs.has(id)) ledger.closeJob(id);
      this.endedBeforeTerm = [];
    }
    this.limits.clearStandings();
    this.limits.commitStartedJobs();
    this.reportSoftLimits();
    if (context.now >= this.nextLimitsReadAt) this.rereadLimits();
    if (context.now >= this.nextMonthCheckAt) this.closeMonths();
    if (entitled && this.store.ready && !ledger.awaitingReports) {
      this.recordClosedMonth();
      ledger.accrueAll();
      const recordedResults = [...this.unrecordedResults.keys()];
      this.store.flush(this.wallNow, () => {
        for (const key of recordedResults) this.unrecordedResults.delete(key);
      });
    }
  }

  /** Drops what is in memory for records that can no longer be written. */
  private stopAccounting(): void {
    if (!this.accounting) return;
    this.accounting = false;
    this.earlyEnds = [];
    this.ledger.jobs.clear();
    this.ledger.finalAmounts.length = 0;
  }

  /** Repeats the error while accounting is stopped, at most once per `STOPPED_LOG_INTERVAL`. */
  private logStopped(): void {
    const { context } = this.term;
    if (context.now - this.stoppedLoggedAt < STOPPED_LOG_INTERVAL) return;
    this.stoppedLoggedAt = context.now;
    context.error('budgets.stopped', {
      key: this.store.stoppedBy,
      effect: 'nothing is accounted or held back',
    });
  }

  /** Logs each soft limit once in the month in which it is reached. */
  private reportSoftLimits(): void {
    for (const owner of this.settings.owners.keys()) {
      if (this.limits.limitOf(owner).soft === null) continue;
      const standing = this.limits.standing(owner);
      if (
        standing.limit.soft === null ||
        totalSpent(standing) < standing.limit.soft ||
        this.softLimitReported.get(owner) === standing.month
      )
        continue;
      this.softLimitReported.set(owner, standing.month);
      this.term.context.info('budgets.soft_limit_reached', {
        owner,
        month: standing.month,
        spent: formatMoney(totalSpent(standing)),
        soft: formatMoney(standing.limit.soft),
        currency: this.settings.currency,
      });
    }
  }

  private rereadLimits(): void {
    this.nextLimitsReadAt = this.term.context.now + LIMITS_READ_INTERVAL;
    this.store.list(LIMITS_PREFIX, '', (items) => {
      this.applyLimits(items);
    });
  }

  // ---- months ------------------------------------------------------------------------------------

  /** Closes each owner's month once it is over and nothing of it is pending, or after `MONTH_CLOSE_GRACE`. */
  private closeMonths(): void {
    const { ledger } = this;
    this.nextMonthCheckAt = this.term.context.now + MONTH_CHECK_INTERVAL;
    if (ledger.awaitingReports) return;
    ledger.accrueAll();
    for (const owner of this.settings.owners.keys()) {
      const calendar = this.calendar(owner);
      const last = ledger.closedMonths.get(owner) ?? calendar.previousMonth(ledger.monthOf(owner));
      ledger.closedMonths.set(owner, last);
      const month = calendar.nextMonth(last);
      const { to } = calendar.month(month);
      if (this.wallNow < to || (ledger.hasPendingIn(owner, month) && this.wallNow < to + MONTH_CLOSE_GRACE))
        continue;
      this.limits.carriedOverruns.set(owner, [calendar.nextMonth(month), this.limits.overrun(owner, month)]);
      ledger.closeMonth(owner, month);
      this.closingMonths.push({ owner, month, requested: false });
    }
  }

  /** Records a closed month for its statement once all its amounts are in the journal. */
  private recordClosedMonth(): void {
    const next = this.closingMonths[0];
    if (next === undefined || next.requested || this.ledger.finalAmounts.length > 0) return;
    next.requested = true;
    const { owner, month } = next;
    const key = closedKey(owner, month);
    this.store.get(key, (item) => {
      if (item !== null || !this.accounting || this.store.journaledRow(owner, month)[1] === 0) {
        // Recorded by an earlier leader, and such records never change; or nothing was charged, which needs none.
        this.closingMonths.shift();
        return;
      }
      const calendar = this.calendar(owner);
      const { from, to } = calendar.month(month);
      const [, carried] = this.limits.carriedOverruns.get(owner) ?? ['', 0];
      const record: ClosedRecord = {
        v: 1,
        owner,
        month,
        zone: calendar.zone,
        currency: this.settings.currency,
        from,
        to,
        at: this.wallNow,
        row: this.store.journaledRow(owner, month),
        limit: this.limits.limitOf(owner),
        carried,
        last: this.store.lastJournalPage,
      };
      this.store.writeWithHead(owner, { kind: 'put', key, value: record }, () => {
        this.closingMonths.shift();
      });
    });
  }
}

/** The budgets feature of a controller, made from the checked settings. */
export class Budgets implements Feature {
  /** Names the feature in the core's registry. */
  readonly name = 'budgets';
  /** The newest term, for tests and tools; null before this controller first leads. */
  current: BudgetTerm | null = null;

  constructor(private readonly settings: BudgetSettings) {}

  /** Begins to read the ledger for a term of this leader. */
  beginTerm(term: LeaderTerm, links: DependencyLinks): FeatureTerm {
    this.current = new BudgetTerm(term, links, this.settings);
    return this.current;
  }
}
