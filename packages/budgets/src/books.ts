/**
 * The books: what machines cost, whose running tasks hold which share of that, and what of it is proven useful
 * and hence the owner's. A state machine: told of events with their times (microseconds of time of day), it does
 * no I/O and reads no clock. At every moment, to the last unit:
 *
 *   cost = charged to owners + pending + the platform's account
 */
import type { Micros } from '@shaleyoke/core/domain/time';

import type { Calendar } from './calendar.js';
import { Meter, type Money, portion, split } from './money.js';

/** Why the platform pays. */
export const REASONS = ['boot', 'unused', 'lost', 'stopped', 'unseen', 'takeover'] as const;
export type Reason = (typeof REASONS)[number];

export const noReasons = (): Record<Reason, Money> => ({
  boot: 0,
  unused: 0,
  lost: 0,
  stopped: 0,
  unseen: 0,
  takeover: 0,
});

/** A machine's whole, in the unit of weights. */
export const WHOLE = 1_000_000_000;

/** What was charged for a job, or for all jobs of an owner, in one month. */
export interface Charge {
  money: Money;
  /** Time that tasks ran for it. */
  us: Micros;
  /** Ran for it too, but the platform pays. */
  free: Money;
  /** Stops for higher priority that lost work. */
  stops: number;
  /** Of `money`: for an earlier month that was closed already. */
  late: Money;
}
export const noCharge = (): Charge => ({ money: 0, us: 0, free: 0, stops: 0, late: 0 });
export const addCharge = (a: Charge, b: Readonly<Charge>): void => {
  a.money += b.money;
  a.us += b.us;
  a.free += b.free;
  a.stops += b.stops;
  a.late += b.late;
};

interface Pending {
  readonly month: string;
  money: Money;
  us: Micros;
}

export interface RunningAttempt {
  readonly job: OpenJob;
  readonly index: number;
  readonly no: number;
  /** Share of the machine's price, of `WHOLE`. */
  weight: number;
  readonly pending: Pending[];
  /** Null: on record as running, and not seen by this leader yet. */
  machine: MachineAccount | null;
}

export class OpenJob {
  readonly months = new Map<string, Charge>();
  readonly attempts = new Map<number, RunningAttempt>();
  /** What it will probably cost in all, once it may begin. */
  commit: Money | null = null;

  constructor(
    readonly id: string,
    readonly owner: string,
    readonly cls: string,
    readonly service: boolean,
  ) {}

  charged(): Money {
    let sum = 0;
    for (const c of this.months.values()) sum += c.money;
    return sum;
  }

  pending(): Money {
    let sum = 0;
    for (const r of this.attempts.values()) for (const p of r.pending) sum += p.money;
    return sum;
  }
}

interface MachineAccount {
  readonly name: string;
  rate: Money;
  up: boolean;
  /** All is accounted up to here. */
  through: Micros;
  readonly meter: Meter;
  readonly running: Set<RunningAttempt>;
  /** From before this term: nothing is accounted until it has told what runs there. */
  holding: boolean;
  joining: { readonly run: RunningAttempt; readonly recorded: boolean; readonly at: Micros }[];
}

/** Amounts of a job that will not change any more, to be put into the journal. */
export interface Final {
  readonly id: string;
  readonly owner: string;
  readonly cls: string;
  readonly months: ReadonlyMap<string, Readonly<Charge>>;
  /** Nothing more of the job will come; false where only a month of it was closed. */
  readonly over: boolean;
}

/** How an attempt ended, for money. */
export interface Outcome {
  /** How much of what it ran is not lost: all, or the first so many microseconds. */
  readonly keptUs: Micros;
  /** Who or what the rest was lost to. */
  readonly rest: 'lost' | 'stopped' | 'unseen' | 'takeover';
}
export const ALL: Outcome = { keptUs: Infinity, rest: 'lost' };

export interface BooksState {
  readonly cost: Money;
  readonly platform: Readonly<Record<Reason, Money>>;
}

export class Books {
  cost: Money = 0;
  readonly platform = noReasons();
  readonly jobs = new Map<string, OpenJob>();
  /** Charged in all, by owner and month: jobs that ended and jobs that have not. */
  readonly accounts = new Map<string, Map<string, Charge>>();
  finals: Final[] = [];
  /** The last month of each owner whose statement is closed. */
  readonly closed = new Map<string, string>();
  private readonly machines = new Map<string, MachineAccount>();
  private now: Micros = 0;

  constructor(private readonly calendars: ReadonlyMap<string, Calendar>) {}

  // ---- jobs and accounts -------------------------------------------------------------------------

  job(id: string, owner: string, cls: string, service: boolean): OpenJob {
    let j = this.jobs.get(id);
    if (j === undefined) this.jobs.set(id, (j = new OpenJob(id, owner, cls, service)));
    return j;
  }

  account(owner: string, month: string): Charge {
    let months = this.accounts.get(owner);
    if (months === undefined) this.accounts.set(owner, (months = new Map<string, Charge>()));
    let c = months.get(month);
    if (c === undefined) months.set(month, (c = noCharge()));
    return c;
  }

  /** The month that the owner's time is in now. */
  monthOf(owner: string): string {
    return this.calendars.get(owner)?.at(this.now).id ?? '';
  }

  private post(job: OpenJob, month: string, c: Charge): void {
    const isClosed = month <= (this.closed.get(job.owner) ?? '');
    const posted = isClosed ? this.monthOf(job.owner) : month;
    if (isClosed) c.late = c.money;
    const own = job.months.get(posted) ?? noCharge();
    job.months.set(posted, own);
    addCharge(own, c);
    addCharge(this.account(job.owner, posted), c);
  }

  /** What was on record of a job that ended or has not. */
  restore(owner: string, month: string, c: Readonly<Charge>, job: OpenJob | null): void {
    addCharge(this.account(owner, month), c);
    if (job !== null) job.months.set(month, { ...c });
  }

  /** No task of it is anywhere any more: its amounts are final. */
  close(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined) return;
    for (const r of [...job.attempts.values()]) this.forsake(r);
    this.jobs.delete(id);
    if (job.months.size > 0)
      this.finals.push({ id, owner: job.owner, cls: job.cls, months: job.months, over: true });
  }

  /**
   * The owner's statement of a month is closed: nothing is charged to it, or to one before, from now on. What
   * jobs that go on were charged in it is final.
   */
  closeMonth(owner: string, month: string): void {
    this.closed.set(owner, month);
    for (const job of this.jobs.values()) {
      if (job.owner !== owner) continue;
      const over = [...job.months].filter(([m]) => m <= month);
      if (over.length === 0) continue;
      for (const [m, c] of over) {
        job.months.delete(m);
        if (job.commit !== null) job.commit = Math.max(0, job.commit - c.money);
      }
      this.finals.push({ id: job.id, owner, cls: job.cls, months: new Map(over), over: false });
    }
  }

  /** Whether anything that ran in a month, or before, is still pending for the owner. */
  pendingIn(owner: string, month: string): boolean {
    for (const j of this.jobs.values())
      if (j.owner === owner)
        for (const r of j.attempts.values()) if (r.pending.some((p) => p.month <= month)) return true;
    return false;
  }

  // ---- machines ----------------------------------------------------------------------------------

  has(name: string): boolean {
    return this.machines.has(name);
  }

  names(): Iterable<string> {
    return this.machines.keys();
  }

  /** A machine that costs `rate` an hour from `from` on; `holding`: see `MachineAccount`. */
  machine(name: string, rate: Money, from: Micros, holding: boolean): void {
    if (this.machines.has(name)) return;
    const m: MachineAccount = {
      name,
      rate,
      up: holding,
      through: Math.min(from, this.now),
      meter: new Meter(),
      running: new Set(),
      holding,
      joining: [],
    };
    this.machines.set(name, m);
  }

  /** What is known of a machine now. All up to now counts as it was known before. */
  update(name: string, rate: Money, up: boolean): void {
    const m = this.machines.get(name);
    if (m === undefined || (m.rate === rate && m.up === up)) return;
    if (!m.holding) this.accrue(m, this.now);
    m.rate = rate;
    m.up = up || m.holding;
  }

  /** It has told what runs there, or has been given up: from here on it is accounted. */
  resolve(name: string): void {
    const m = this.machines.get(name);
    if (m?.holding === true && (m.joining[0]?.at ?? -1) < this.now) this.release(m);
  }

  get holding(): boolean {
    for (const m of this.machines.values()) if (m.holding) return true;
    return false;
  }

  /** It costs nothing from now on. */
  gone(name: string): void {
    const m = this.machines.get(name);
    if (m === undefined) return;
    if (m.holding) this.release(m);
    this.accrue(m, this.now);
    for (const r of [...m.running]) this.forsake(r);
    this.machines.delete(name);
  }

  /** On record, and never heard of by this leader: nobody can tell that it was there at all since the record. */
  vanish(name: string): void {
    const m = this.machines.get(name);
    if (m?.holding !== true || m.joining.length > 0) return;
    this.machines.delete(name);
  }

  private release(m: MachineAccount): void {
    const { joining } = m;
    m.joining = [];
    // What ran all the time since the record was written, by its attempt number, has its share of that time.
    for (const j of joining) if (j.recorded) m.running.add(j.run);
    this.accrue(m, joining[0]?.at ?? this.now);
    m.holding = false;
    for (const j of joining) m.running.add(j.run);
    this.accrue(m, this.now);
  }

  // ---- time --------------------------------------------------------------------------------------

  /** Time never runs backwards in the books, whatever the clocks do. */
  at(now: Micros): void {
    this.now = Math.max(this.now, now);
  }

  /** Accounts for all up to now. */
  advance(): void {
    for (const m of this.machines.values()) if (!m.holding) this.accrue(m, this.now);
  }

  private accrue(m: MachineAccount, now: Micros): void {
    while (m.through < now) {
      let to = now;
      // Time that crosses the end of an owner's month is split there.
      for (const r of m.running) {
        const end = this.calendars.get(r.job.owner)?.at(m.through).to ?? Infinity;
        to = Math.min(to, end);
      }
      this.interval(m, to);
    }
  }

  private interval(m: MachineAccount, to: Micros): void {
    const us = to - m.through;
    const cost = m.meter.run(m.rate, us);
    this.cost += cost;
    const running = [...m.running];
    const weights = running.map((r) => r.weight);
    const rest = Math.max(0, WHOLE - weights.reduce((sum, w) => sum + w, 0));
    const parts = split(cost, [...weights, rest]);
    running.forEach((r, i) => {
      const month = this.calendars.get(r.job.owner)?.at(m.through).id ?? '';
      this.add(r, month, parts[i]!, us);
    });
    this.platform[m.holding ? 'takeover' : m.up ? 'unused' : 'boot'] += parts[running.length]!;
    m.through = to;
  }

  private add(r: RunningAttempt, month: string, money: Money, us: Micros): void {
    if (r.job.service) {
      this.post(r.job, month, { ...noCharge(), money, us });
      return;
    }
    const last = r.pending.at(-1);
    if (last?.month === month) {
      last.money += money;
      last.us += us;
    } else r.pending.push({ month, money, us });
  }

  // ---- attempts ----------------------------------------------------------------------------------

  /** On record as running when the last leader wrote. */
  recorded(job: OpenJob, index: number, no: number, pending: Pending): void {
    const r = job.attempts.get(index);
    if (r?.no === no) r.pending.push(pending);
    else if (r === undefined)
      job.attempts.set(index, { job, index, no, weight: 0, pending: [pending], machine: null });
  }

  /** A task runs on a machine from now on; or, where it is on record, has run all the time. */
  run(name: string, job: OpenJob, index: number, no: number, weight: number): void {
    const m = this.machines.get(name);
    if (m === undefined) return;
    const before = job.attempts.get(index);
    if (before?.no === no && before.machine !== null) return;
    if (before !== undefined && before.no !== no) this.forsake(before);
    const recorded = before?.no === no;
    const r: RunningAttempt = recorded ? before : { job, index, no, weight, pending: [], machine: m };
    r.weight = weight;
    r.machine = m;
    job.attempts.set(index, r);
    if (m.holding && (m.joining[0]?.at ?? this.now) < this.now) this.release(m);
    if (m.holding) m.joining.push({ run: r, recorded, at: this.now });
    else {
      this.accrue(m, this.now);
      m.running.add(r);
    }
  }

  /** The attempt is not there any more. Nothing happens for one that is not known, or not that one. */
  end(id: string, index: number, no: number, outcome: Outcome): void {
    const r = this.jobs.get(id)?.attempts.get(index);
    if (r?.no !== no) return;
    const m = r.machine;
    if (m !== null) {
      if (m.holding && (m.joining[0]?.at ?? this.now) < this.now) this.release(m);
      if (!m.holding) this.accrue(m, this.now);
    }
    this.settle(r, outcome);
  }

  /** Microseconds that an attempt ran, as far as the books know. */
  ranFor(id: string, index: number, no: number): Micros {
    const r = this.jobs.get(id)?.attempts.get(index);
    if (r?.no !== no) return 0;
    const m = r.machine;
    const since = m !== null && !m.holding ? this.now - m.through : 0;
    return r.pending.reduce((sum, p) => sum + p.us, 0) + since;
  }

  private settle(r: RunningAttempt, outcome: Outcome): void {
    const { job } = r;
    job.attempts.delete(r.index);
    if (r.machine !== null) {
      r.machine.running.delete(r);
      r.machine.joining = r.machine.joining.filter((j) => j.run !== r);
    }
    let kept = outcome.keptUs;
    let free = 0;
    for (const p of r.pending) {
      const money = portion(p.money, Math.min(kept, p.us), p.us);
      const us = Math.min(kept, p.us);
      kept -= us;
      const rest = p.money - money;
      this.platform[outcome.rest] += rest;
      free += rest;
      this.post(job, p.month, { ...noCharge(), money, us, free: rest });
    }
    if (outcome.rest === 'stopped' && free > 0)
      this.post(job, this.monthOf(job.owner), { ...noCharge(), stops: 1 });
    r.pending.length = 0;
  }

  /** Nobody can tell what became of it: the platform's. */
  private forsake(r: RunningAttempt): void {
    this.settle(r, { keptUs: 0, rest: 'takeover' });
  }

  /** Attempts on record that no machine of this leader reports. */
  forsakeUnseen(): void {
    for (const j of this.jobs.values())
      for (const r of [...j.attempts.values()]) if (r.machine === null) this.forsake(r);
  }

  // ---- balance -----------------------------------------------------------------------------------

  chargedInAll(): Money {
    let sum = 0;
    for (const months of this.accounts.values()) for (const c of months.values()) sum += c.money;
    return sum;
  }

  pendingInAll(): Money {
    let sum = 0;
    for (const j of this.jobs.values()) sum += j.pending();
    return sum;
  }

  /** Cost less all accounts: 0, always. */
  difference(): Money {
    let platform = 0;
    for (const r of REASONS) platform += this.platform[r];
    return this.cost - this.chargedInAll() - this.pendingInAll() - platform;
  }

  /**
   * Takes over a state on record, after all that was charged and is pending has been restored: what the record
   * can't explain, because a crash came between two writes, is the platform's.
   */
  takeOver(state: BooksState): void {
    this.cost = state.cost;
    for (const r of REASONS) this.platform[r] = state.platform[r];
    this.platform.takeover += this.difference();
  }
}
