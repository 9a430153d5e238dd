/** Budgets within a leader's term: joins the core's ports with books, limits and records. */
import type { AdmissionHold } from '@shaleyoke/core/cluster/admission-hold';
import type { ActiveJob, Machine, TaskAttempt } from '@shaleyoke/core/cluster/cluster-model';
import type { ReportedTask } from '@shaleyoke/core/domain/heartbeat';
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';
import type { Micros } from '@shaleyoke/core/domain/time';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { DependencyLinks, Feature, FeatureTerm } from '@shaleyoke/core/feature-api';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';

import { ALL, Books, type OpenJob } from './books.js';
import type { Calendar } from './calendar.js';
import { probableCost, weightOf } from './estimate.js';
import { Limits, spentOf } from './limits.js';
import { formatMoney, type Money, rateOf } from './money.js';
import { outcomeOf } from './outcome.js';
import { closedKey, type ClosedRecord, LIMITS, readLimit } from './records.js';
import type { BudgetSettings } from './settings.js';
import { Store } from './store.js';

/** A month is closed a day after its end at the latest, whatever is still pending. */
const GRACE: Micros = 24 * 3600 * SECOND;
/** Jobs wait so long for the books to be read; then they go on without. */
const READING: Micros = 30 * SECOND;
const LIMITS_EVERY: Micros = 20 * SECOND;
const MONTHS_EVERY: Micros = 10 * SECOND;
/** Report intervals between two reports that are usual. */
const LATE = 1.3;
const COMPLAIN_EVERY: Micros = 60 * SECOND;
/** A longer time without books is not accounted afterwards. */
const LONGEST_GAP: Micros = 600 * SECOND;
/** Ends that are told before the books are read. */
const MAX_EARLY = 50_000;
/** A worker keeps a result no longer than that for the books' sake. */
const LONGEST_KEPT: Micros = 120 * SECOND;

interface EarlyEnd {
  readonly job: string;
  readonly index: number;
  readonly no: number;
  readonly done: boolean;
  readonly kept: boolean;
}

const keptKey = (job: string, index: number, no: number): string => `${job}/${index}/${no}`;

export class BudgetTerm implements FeatureTerm {
  readonly books: Books;
  readonly limits: Limits;
  readonly store: Store;
  /** The books are read and the term has begun: what happens is accounted. */
  private entered = false;
  private coreReady = false;
  private found: { w: Micros | null; limits: readonly StoredItem[] } | null = null;
  private since: Micros = 0;
  private early: EarlyEnd[] = [];
  /** Attempts that were done and are on no record of the books yet, and since when. */
  private readonly unwritten = new Map<string, Micros>();
  private readonly told = new Map<string, string>();
  /** Jobs on record that ended under an earlier leader: closed once all machines have told. */
  private endedBefore: string[] = [];
  /** Machines that an earlier leader had on record: only they may run what it started. */
  private roster: ReadonlySet<string> = new Set();
  private unseen = true;
  private closing: { owner: string; month: string; asked: boolean }[] = [];
  /** When a report of each machine was last taken before now, by the last sweep. */
  private readonly heard = new Map<string, Micros>();
  private limitsAt: Micros = 0;
  private monthsAt: Micros = 0;
  private complainedAt = -Infinity;

  constructor(
    private readonly term: LeaderTerm,
    links: DependencyLinks,
    private readonly settings: BudgetSettings,
  ) {
    const calendars = new Map([...settings.owners].map(([name, o]) => [name, o.calendar]));
    this.books = new Books(calendars);
    const { cluster: estate } = term;
    this.limits = new Limits(settings, this.books, {
      job: (id) => estate.jobs.get(id),
      jobs: () => estate.jobs.values(),
      links,
      estimate: (job) =>
        probableCost(job.spec, term.context.types, estate.runtimeEstimates, settings.quantile),
      monthBefore: (owner, month) => this.calendar(owner).before(month),
    });
    this.store = new Store(
      term,
      this.books,
      { told: this.told, carried: this.limits.carried },
      settings.changesPerS,
    );
    this.store.load((found) => {
      this.found = found;
      this.enter();
    });
  }

  /** The leader's term, by its number. */
  get termNo(): number {
    return this.term.number;
  }

  private calendar(owner: string): Calendar {
    return this.settings.owners.get(owner)!.calendar;
  }

  private get wall(): Micros {
    return this.term.context.wallNow;
  }

  // ---- beginning ---------------------------------------------------------------------------------

  stateRestored(): void {
    this.coreReady = true;
    this.roster = new Set(
      [...this.term.cluster.machines.values()].filter((m) => m.recorded === 'yes').map((m) => m.name),
    );
    this.enter();
  }

  private enter(): void {
    const { found, books } = this;
    if (!this.coreReady || found === null || this.entered || this.store.blind !== null) return;
    this.entered = true;
    const { cluster: estate, context: ctx } = this.term;
    books.at(this.wall);
    // Long without books, because nobody had them switched on: that time is on no record.
    const gap = this.wall - (found.w ?? -Infinity) > LONGEST_GAP;
    this.since = gap ? this.wall : (found.w ?? this.wall);
    if (found.w === null)
      for (const [owner, { calendar }] of this.settings.owners)
        books.closed.set(owner, calendar.before(books.monthOf(owner)));
    else for (const [owner, month] of books.closed) this.closing.push({ owner, month, asked: false });
    this.takeLimits(found.limits);
    // What earlier leaders had running is matched by attempt numbers, machine by machine, as they report.
    for (const m of estate.machines.values()) this.see(m, !gap && this.roster.has(m.name));
    for (const e of this.early) {
      if (e.done) this.keep(e.job, e.index, e.no);
      books.end(e.job, e.index, e.no, e.kept ? ALL : { keptUs: 0, rest: 'lost' });
    }
    this.early = [];
    for (const job of estate.jobs.values())
      for (const a of job.liveAttempts.values()) if (a.confirmed && a.runningAt !== null) this.taskRunning(a);
    for (const id of books.jobs.keys()) if (!estate.jobs.has(id)) this.endedBefore.push(id);
    // A month may have been closed while some of its rows were not in the journal yet.
    for (const [owner, month] of books.closed) books.closeMonth(owner, month);
    this.limits.commitBegun();
    ctx.info('budgets.restored', {
      jobs: books.jobs.size,
      openPages: this.store.lastJournalPage,
      firstTime: found.w === null,
    });
    this.term.schedulePass();
  }

  private takeLimits(items: readonly StoredItem[]): void {
    for (const it of items) {
      const owner = it.key.slice(LIMITS.length);
      const record = readLimit(it.value);
      if (record === null) this.term.context.error('budgets.limit_unreadable', { key: it.key });
      else if (this.settings.owners.has(owner)) this.limits.note(owner, record);
    }
  }

  termEnded(): void {
    this.entered = false;
  }

  // ---- what happens ------------------------------------------------------------------------------

  private jobOf(job: ActiveJob): OpenJob {
    const { spec } = job;
    return this.books.job(spec.id, spec.team, spec.class, spec.shape === 'service');
  }

  private rate(m: Machine): Money | null {
    const type = this.term.context.types.get(m.type);
    return type === undefined ? null : rateOf(m.spot ? type.spotPrice : type.price);
  }

  /**
   * On record by an earlier leader, silent for a whole lease: dead, mostly, since before this term. Each new leader
   * counted such machines from the last record until it gave them up, and after many changes of leader the
   * books' cost was twice the cloud's bill (found on loopback). One that reports after all counts from then.
   */
  private ghost(m: Machine): boolean {
    return this.roster.has(m.name) && m.agentEpoch === 0 && !m.awaitingReconciliation;
  }

  /** Accounts for a machine from when it was rented, but never for time before the books went on. */
  private see(m: Machine, holding: boolean): void {
    const rate = this.rate(m);
    if (rate === null || this.books.has(m.name) || this.ghost(m)) return;
    const from = holding ? this.since : Math.max(this.since, m.provisionedAt + this.term.context.wallOffset);
    this.books.machine(m.name, rate, from, holding);
    if (!holding && m.up) this.books.update(m.name, rate, true);
  }

  taskRunning(a: TaskAttempt): void {
    if (!this.entered) return;
    this.books.at(this.wall);
    this.see(a.machine, false);
    const type = this.term.context.types.get(a.machine.type);
    if (type === undefined) return;
    this.books.update(a.machine.name, this.rate(a.machine)!, true);
    this.books.run(a.machine.name, this.jobOf(a.job), a.index, a.number, weightOf(a.job.spec, type));
  }

  attemptEnded(a: TaskAttempt, exit: ReportedTask | null): void {
    if (!this.entered) {
      this.noteEarly(a.job.id, a.index, a.number, exit);
      return;
    }
    this.books.at(this.wall);
    const ran = this.books.ranFor(a.job.id, a.index, a.number);
    if (exit?.cause === 'done') this.keep(a.job.id, a.index, a.number);
    this.books.end(a.job.id, a.index, a.number, outcomeOf(a, exit, ran, this.unseenUs(a)));
  }

  /**
   * An end that is told late came nobody knows when: while no leader could listen, a task that was done went on
   * costing its owner (found by generated histories). What lies beyond the usual time between two reports is not
   * the owner's.
   */
  private unseenUs(a: TaskAttempt): Micros {
    const { now, settings } = this.term.context;
    const last = Math.max(this.heard.get(a.machine.name) ?? 0, a.runningAt ?? 0);
    return Math.max(0, Math.round(now - last - LATE * settings.heartbeatIntervalUs));
  }

  unknownAttemptExited(job: string, exit: ReportedTask): void {
    if (!this.entered) {
      this.noteEarly(job, exit.index, exit.attempt, exit);
      return;
    }
    this.books.at(this.wall);
    const kept = exit.cause === 'done' || exit.checkpointed;
    if (exit.cause === 'done') this.keep(job, exit.index, exit.attempt);
    this.books.end(job, exit.index, exit.attempt, kept ? ALL : { keptUs: 0, rest: 'lost' });
  }

  /**
   * The core lets a worker forget a result once the job's record has it. The books are written later: when the
   * leader died in between, nobody knew any more how the attempt had ended, and all that it had ever run became
   * the platform's. So its worker keeps the word until the books have it too.
   */
  private keep(job: string, index: number, no: number): void {
    if (this.books.ranFor(job, index, no) > 0)
      this.unwritten.set(keptKey(job, index, no), this.term.context.now);
  }

  retainsResult(exit: ReportedTask): boolean {
    const { context: ctx, lease: office } = this.term;
    if (this.store.blind !== null) return false;
    if (!this.entered) return ctx.now - office.heldSince < READING;
    const since = this.unwritten.get(keptKey(exit.job, exit.index, exit.attempt));
    return since !== undefined && ctx.now - since < LONGEST_KEPT;
  }

  private noteEarly(job: string, index: number, no: number, exit: ReportedTask | null): void {
    if (this.early.length >= MAX_EARLY) return;
    const done = exit?.cause === 'done';
    this.early.push({ job, index, no, done, kept: done || exit?.checkpointed === true });
  }

  machineRemoved(m: Machine): void {
    if (!this.entered) return;
    this.books.at(this.wall);
    if (m.agentEpoch === 0 && this.roster.has(m.name)) this.books.vanish(m.name);
    this.books.gone(m.name);
    this.heard.delete(m.name);
  }

  jobClosed(job: ActiveJob): void {
    if (!this.entered) return;
    this.books.at(this.wall);
    this.books.close(job.id);
  }

  /** Money holds back only what has not begun; while the books can't be read, nothing for long. */
  admissionHold(job: ActiveJob): AdmissionHold | null {
    if (this.store.blind !== null) return null;
    if (!this.entered)
      return this.term.context.now - this.term.lease.heldSince < READING
        ? { reason: 'budgets are being read', transient: true }
        : null;
    // Without prices nothing can be said about what it costs; nothing can be placed then either.
    if (this.term.context.types.size === 0) return { reason: 'prices are not known yet', transient: true };
    const reason = this.limits.holds(job);
    return reason === null ? null : { reason, transient: false };
  }

  // ---- the sweep ---------------------------------------------------------------------------------

  maintain(entitled: boolean): void {
    const { context: ctx, cluster: estate, lease: office } = this.term;
    if (this.store.blind !== null) {
      this.complain();
      this.giveUp();
    }
    if (!this.entered) return;
    const { books } = this;
    books.at(this.wall);
    for (const m of estate.machines.values()) {
      this.see(m, false);
      const rate = this.rate(m);
      if (rate !== null) books.update(m.name, rate, m.up);
      if (this.ghost(m)) books.vanish(m.name);
      else if (!m.awaitingReconciliation) books.resolve(m.name);
      this.heard.set(m.name, m.leaseRenewedAt);
    }
    for (const name of [...books.names()]) if (!estate.machines.has(name)) books.gone(name);
    if (this.unseen && !books.holding && ctx.now > office.heldSince + 2 * ctx.settings.heartbeatIntervalUs) {
      // All machines have told what runs there: what nobody reports is nowhere.
      this.unseen = false;
      books.forsakeUnseen();
      for (const id of this.endedBefore) if (!estate.jobs.has(id)) books.close(id);
      this.endedBefore = [];
    }
    this.limits.refresh();
    this.limits.commitBegun();
    this.warn();
    if (ctx.now >= this.limitsAt) this.rereadLimits();
    if (ctx.now >= this.monthsAt) this.closeMonths();
    if (entitled && this.store.ready && !books.holding) {
      this.writeClosed();
      books.advance();
      const settled = [...this.unwritten.keys()];
      this.store.flush(this.wall, () => {
        for (const key of settled) this.unwritten.delete(key);
      });
    }
  }

  /** Nothing can be put on record any more: nothing is kept in memory for it either. */
  private giveUp(): void {
    if (!this.entered) return;
    this.entered = false;
    this.early = [];
    this.books.jobs.clear();
    this.books.finals.length = 0;
  }

  private complain(): void {
    const { context: ctx } = this.term;
    if (ctx.now - this.complainedAt < COMPLAIN_EVERY) return;
    this.complainedAt = ctx.now;
    ctx.error('budgets.stopped', { key: this.store.blind, effect: 'nothing is accounted or held back' });
  }

  private warn(): void {
    for (const owner of this.settings.owners.keys()) {
      if (this.limits.limitOf(owner).soft === null) continue;
      const s = this.limits.standing(owner);
      if (s.limit.soft === null || spentOf(s) < s.limit.soft || this.told.get(owner) === s.month) continue;
      this.told.set(owner, s.month);
      this.term.context.info('budgets.soft_limit_reached', {
        owner,
        month: s.month,
        spent: formatMoney(spentOf(s)),
        soft: formatMoney(s.limit.soft),
        currency: this.settings.currency,
      });
    }
  }

  private rereadLimits(): void {
    this.limitsAt = this.term.context.now + LIMITS_EVERY;
    this.store.list(LIMITS, '', (items) => {
      this.takeLimits(items);
    });
  }

  // ---- months ------------------------------------------------------------------------------------

  private closeMonths(): void {
    const { books } = this;
    this.monthsAt = this.term.context.now + MONTHS_EVERY;
    if (books.holding) return;
    books.advance();
    for (const owner of this.settings.owners.keys()) {
      const calendar = this.calendar(owner);
      const last = books.closed.get(owner) ?? calendar.before(books.monthOf(owner));
      books.closed.set(owner, last);
      const month = calendar.after(last);
      const { to } = calendar.month(month);
      if (this.wall < to || (books.pendingIn(owner, month) && this.wall < to + GRACE)) continue;
      this.limits.carried.set(owner, [calendar.after(month), this.limits.overrun(owner, month)]);
      books.closeMonth(owner, month);
      this.closing.push({ owner, month, asked: false });
    }
  }

  /** A statement is put on record once all that it rests on is in the journal. */
  private writeClosed(): void {
    const next = this.closing[0];
    if (next === undefined || next.asked || this.books.finals.length > 0) return;
    next.asked = true;
    const { owner, month } = next;
    const key = closedKey(owner, month);
    this.store.get(key, (item) => {
      if (item !== null || !this.entered || this.store.inJournal(owner, month)[1] === 0) {
        // Closed by an earlier leader, or nothing ran: statements never change, and empty ones need no record.
        this.closing.shift();
        return;
      }
      const calendar = this.calendar(owner);
      const { from, to } = calendar.month(month);
      const [, carried] = this.limits.carried.get(owner) ?? ['', 0];
      const record: ClosedRecord = {
        v: 1,
        owner,
        month,
        zone: calendar.zone,
        currency: this.settings.currency,
        from,
        to,
        at: this.wall,
        row: this.store.inJournal(owner, month),
        limit: this.limits.limitOf(owner),
        carried,
        last: this.store.lastJournalPage,
      };
      this.store.with(owner, { kind: 'put', key, value: record }, () => {
        this.closing.shift();
      });
    });
  }
}

/** `settings`: the checked file. The newest term is for tests and tools. */
export class Budgets implements Feature {
  readonly name = 'budgets';
  current: BudgetTerm | null = null;

  constructor(private readonly settings: BudgetSettings) {}

  begin(term: LeaderTerm, links: DependencyLinks): FeatureTerm {
    this.current = new BudgetTerm(term, links, this.settings);
    return this.current;
  }
}
