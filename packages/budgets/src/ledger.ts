/**
 * The ledger: accrues what machines cost, divides it among the tasks that run on them, and charges an owner once an
 * attempt's result is kept. A state machine without I/O that reads no clock: callers report events and set the time
 * (microseconds since the epoch). At every moment, exactly:
 *
 *   cost = charged to owners + pending + paid by the platform
 */
import type { Micros } from '@shaleyoke/core/domain/time';

import type { Calendar } from './calendar.js';
import { Meter, type Money, portion, split } from './money.js';

/**
 * Why the platform pays for a cost rather than an owner. The names are stored in the head record.
 *
 *   boot      the machine was not up yet
 *   unused    no task occupied this share of the machine
 *   lost      work was lost with a machine or by an error
 *   stopped   work was lost because the attempt was stopped, as by a preemption
 *   unseen    the machine was not heard of for longer than usual
 *   takeover  not attributable after a change of leader
 */
export const PLATFORM_REASONS = ['boot', 'unused', 'lost', 'stopped', 'unseen', 'takeover'] as const;
/** One of `PLATFORM_REASONS`. */
export type PlatformReason = (typeof PLATFORM_REASONS)[number];

/** Platform costs of zero for every reason, to be added to. */
export const zeroPlatformCosts = (): Record<PlatformReason, Money> => ({
  boot: 0,
  unused: 0,
  lost: 0,
  stopped: 0,
  unseen: 0,
  takeover: 0,
});

/** The weight of an attempt that occupies a whole machine; weights are fractions of it. */
export const FULL_WEIGHT = 1_000_000_000;

/** What was charged for a job, or for all jobs of an owner, in one month. */
export interface Charge {
  /** Charged to the owner. */
  money: Money;
  /** Task run time that was charged, in microseconds. */
  runUs: Micros;
  /** Cost of the job's run time that the platform pays, because the work was lost. */
  uncharged: Money;
  /** Preemptions that lost work. */
  stops: number;
  /** The part of `money` that belongs to an earlier month which was already closed. */
  late: Money;
}
/** A charge of zero, to be added to. */
export const zeroCharge = (): Charge => ({ money: 0, runUs: 0, uncharged: 0, stops: 0, late: 0 });
/** Adds each field of `added` to `sum`. */
export const addCharge = (sum: Charge, added: Readonly<Charge>): void => {
  sum.money += added.money;
  sum.runUs += added.runUs;
  sum.uncharged += added.uncharged;
  sum.stops += added.stops;
  sum.late += added.late;
};

/** Cost of a running attempt within one month that is not yet charged to anyone. */
interface PendingCharge {
  readonly month: string;
  money: Money;
  /** Run time of the attempt within the month. */
  runUs: Micros;
}

/** An attempt at a task that runs, or that was recorded as running by an earlier leader. */
export interface RunningAttempt {
  readonly job: OpenJob;
  /** Index of the task within its job. */
  readonly index: number;
  /** The attempt number that the core assigned; tells attempts at one task apart. */
  readonly number: number;
  /** Share of the machine's price, as a fraction of `FULL_WEIGHT`. */
  weight: number;
  /** Accrued so far, one entry for each month, the oldest first. */
  readonly pending: PendingCharge[];
  /** Null: recorded as running, but not yet reported to this leader by any machine. */
  machine: MachineAccount | null;
}

/** A job whose amounts may still change. */
export class OpenJob {
  /** Charges by month, without those of months that are closed. */
  readonly months = new Map<string, Charge>();
  /** Running attempts by task index. */
  readonly attempts = new Map<number, RunningAttempt>();
  /** The estimated total cost, set when the job is admitted; null before. */
  commitment: Money | null = null;

  constructor(
    readonly id: string,
    readonly owner: string,
    readonly jobClass: string,
    readonly service: boolean,
  ) {}

  /** Charged to the owner in all months that are not closed. */
  charged(): Money {
    let sum = 0;
    for (const charge of this.months.values()) sum += charge.money;
    return sum;
  }

  /** Accrued by running attempts and not yet charged. */
  pending(): Money {
    let sum = 0;
    for (const attempt of this.attempts.values()) for (const part of attempt.pending) sum += part.money;
    return sum;
  }
}

interface MachineAccount {
  readonly name: string;
  /** Price per hour. */
  rate: Money;
  /** Whether the machine has booted; before that, the platform pays for it as `boot`. */
  up: boolean;
  /** The machine's cost is accrued up to this moment. */
  accountedUntil: Micros;
  /** Carries fractions of a unit from one interval to the next. */
  readonly meter: Meter;
  /** Attempts that share the machine's cost. */
  readonly running: Set<RunningAttempt>;
  /** Recorded before this term: nothing accrues until the machine has reported what runs there. */
  awaitingReport: boolean;
  /** Attempts reported so far while `awaitingReport`. */
  reportedAttempts: { readonly attempt: RunningAttempt; readonly onRecord: boolean; readonly at: Micros }[];
}

/** Amounts of a job that can no longer change and are to be appended to the journal. */
export interface FinalAmounts {
  readonly id: string;
  readonly owner: string;
  readonly jobClass: string;
  /** Charges by month. */
  readonly months: ReadonlyMap<string, Readonly<Charge>>;
  /** Whether the job can no longer be charged; false where only some of its months were closed. */
  readonly jobComplete: boolean;
}

/** How much of an attempt's run time is charged to its owner once it has ended. */
export interface Outcome {
  /** Run time whose work was kept, counted from the beginning of the attempt; infinite if all of it was. */
  readonly keptUs: Micros;
  /** Why the platform pays for the remaining run time. */
  readonly lossReason: 'lost' | 'stopped' | 'unseen' | 'takeover';
}
/** All work of the attempt was kept, so the owner pays for all of it. */
export const FULLY_KEPT: Outcome = { keptUs: Infinity, lossReason: 'lost' };

/** The totals of the head record that a new leader continues from. */
export interface LedgerTotals {
  /** The total cost of all machines. */
  readonly cost: Money;
  /** Paid by the platform, by reason. */
  readonly platform: Readonly<Record<PlatformReason, Money>>;
}

/** The accounts of machines, jobs and owners in memory; see the head of this file. */
export class Ledger {
  /** The total cost of all machines. */
  cost: Money = 0;
  /** Paid by the platform, by reason. */
  readonly platform = zeroPlatformCosts();
  /** Jobs whose amounts may still change, by id. */
  readonly jobs = new Map<string, OpenJob>();
  /** Total charges by owner and month, of open and of ended jobs. */
  readonly accounts = new Map<string, Map<string, Charge>>();
  /** Amounts that are not yet in the journal, the oldest first. */
  finalAmounts: FinalAmounts[] = [];
  /** By owner: the last month whose statement is closed. */
  readonly closedMonths = new Map<string, string>();
  private readonly machines = new Map<string, MachineAccount>();
  private now: Micros = 0;

  constructor(private readonly calendars: ReadonlyMap<string, Calendar>) {}

  // ---- jobs and accounts -------------------------------------------------------------------------

  /** The open job of this id, which is created if there is none. */
  openJob(id: string, owner: string, jobClass: string, service: boolean): OpenJob {
    let job = this.jobs.get(id);
    if (job === undefined) this.jobs.set(id, (job = new OpenJob(id, owner, jobClass, service)));
    return job;
  }

  /** The total of an owner's month, which is created at zero if there is none. */
  account(owner: string, month: string): Charge {
    let months = this.accounts.get(owner);
    if (months === undefined) this.accounts.set(owner, (months = new Map<string, Charge>()));
    let charge = months.get(month);
    if (charge === undefined) months.set(month, (charge = zeroCharge()));
    return charge;
  }

  /** The current month in the owner's time zone. */
  monthOf(owner: string): string {
    return this.calendars.get(owner)?.monthAt(this.now).id ?? '';
  }

  /** Charges a job; an amount for a closed month goes to the current month and is marked late. */
  private charge(job: OpenJob, month: string, charge: Charge): void {
    const isClosed = month <= (this.closedMonths.get(job.owner) ?? '');
    const postedMonth = isClosed ? this.monthOf(job.owner) : month;
    if (isClosed) charge.late = charge.money;
    const own = job.months.get(postedMonth) ?? zeroCharge();
    job.months.set(postedMonth, own);
    addCharge(own, charge);
    addCharge(this.account(job.owner, postedMonth), charge);
  }

  /** Restores a recorded charge; `job`: the open job it belongs to, or null for sums of ended jobs. */
  restoreCharge(owner: string, month: string, charge: Readonly<Charge>, job: OpenJob | null): void {
    addCharge(this.account(owner, month), charge);
    if (job !== null) job.months.set(month, { ...charge });
  }

  /** Makes a job's amounts final, once none of its tasks runs anywhere. */
  closeJob(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined) return;
    for (const attempt of [...job.attempts.values()]) this.writeOff(attempt);
    this.jobs.delete(id);
    if (job.months.size > 0)
      this.finalAmounts.push({
        id,
        owner: job.owner,
        jobClass: job.jobClass,
        months: job.months,
        jobComplete: true,
      });
  }

  /**
   * Closes an owner's month: from now on nothing is charged to it or to an earlier one. What open jobs were charged
   * in those months becomes final.
   */
  closeMonth(owner: string, month: string): void {
    this.closedMonths.set(owner, month);
    for (const job of this.jobs.values()) {
      if (job.owner !== owner) continue;
      const finalMonths = [...job.months].filter(([m]) => m <= month);
      if (finalMonths.length === 0) continue;
      for (const [closedMonth, charge] of finalMonths) {
        job.months.delete(closedMonth);
        if (job.commitment !== null) job.commitment = Math.max(0, job.commitment - charge.money);
      }
      this.finalAmounts.push({
        id: job.id,
        owner,
        jobClass: job.jobClass,
        months: new Map(finalMonths),
        jobComplete: false,
      });
    }
  }

  /** Whether the owner has pending costs of this month or of an earlier one. */
  hasPendingIn(owner: string, month: string): boolean {
    for (const job of this.jobs.values())
      if (job.owner === owner)
        for (const attempt of job.attempts.values())
          if (attempt.pending.some((p) => p.month <= month)) return true;
    return false;
  }

  // ---- machines ----------------------------------------------------------------------------------

  /** Whether the machine's cost is being accounted. */
  hasMachine(name: string): boolean {
    return this.machines.has(name);
  }

  /** The names of all machines that are being accounted. */
  machineNames(): Iterable<string> {
    return this.machines.keys();
  }

  /** Adds a machine that costs `rate` an hour since `from`; `awaitingReport`: see `MachineAccount`. */
  addMachine(name: string, rate: Money, from: Micros, awaitingReport: boolean): void {
    if (this.machines.has(name)) return;
    const account: MachineAccount = {
      name,
      rate,
      up: awaitingReport,
      accountedUntil: Math.min(from, this.now),
      meter: new Meter(),
      running: new Set(),
      awaitingReport,
      reportedAttempts: [],
    };
    this.machines.set(name, account);
  }

  /** Sets a machine's price and state from now on; the time until now is accrued with the former values. */
  updateMachine(name: string, rate: Money, up: boolean): void {
    const machine = this.machines.get(name);
    if (machine === undefined || (machine.rate === rate && machine.up === up)) return;
    if (!machine.awaitingReport) this.accrue(machine, this.now);
    machine.rate = rate;
    machine.up = up || machine.awaitingReport;
  }

  /** Begins to accrue a machine that has reported what runs there. */
  resumeMachine(name: string): void {
    const machine = this.machines.get(name);
    if (machine?.awaitingReport === true && (machine.reportedAttempts[0]?.at ?? -1) < this.now)
      this.resume(machine);
  }

  /** Whether any machine has yet to report what runs there. */
  get awaitingReports(): boolean {
    for (const machine of this.machines.values()) if (machine.awaitingReport) return true;
    return false;
  }

  /** Accrues a machine up to now, writes off what runs there, and stops accounting for it. */
  removeMachine(name: string): void {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    if (machine.awaitingReport) this.resume(machine);
    this.accrue(machine, this.now);
    for (const attempt of [...machine.running]) this.writeOff(attempt);
    this.machines.delete(name);
  }

  /**
   * Drops a recorded machine that never reported to this leader, without accruing it: nothing shows that it still
   * existed after the record was written.
   */
  discardUnreported(name: string): void {
    const machine = this.machines.get(name);
    if (machine?.awaitingReport !== true || machine.reportedAttempts.length > 0) return;
    this.machines.delete(name);
  }

  /** Accrues a machine since the record and ends its wait for a report. */
  private resume(machine: MachineAccount): void {
    const { reportedAttempts: reports } = machine;
    machine.reportedAttempts = [];
    // An attempt that is on record with the same number has run ever since, so it shares the cost of that time.
    for (const joined of reports) if (joined.onRecord) machine.running.add(joined.attempt);
    this.accrue(machine, reports[0]?.at ?? this.now);
    machine.awaitingReport = false;
    for (const joined of reports) machine.running.add(joined.attempt);
    this.accrue(machine, this.now);
  }

  // ---- time --------------------------------------------------------------------------------------

  /** Advances the current time; an earlier time is ignored, so that accounts never go back with a clock. */
  setTime(now: Micros): void {
    this.now = Math.max(this.now, now);
  }

  /** Accrues all machines that have reported up to now. */
  accrueAll(): void {
    for (const machine of this.machines.values()) if (!machine.awaitingReport) this.accrue(machine, this.now);
  }

  private accrue(machine: MachineAccount, now: Micros): void {
    while (machine.accountedUntil < now) {
      let to = now;
      // Split at the end of each owner's month.
      for (const attempt of machine.running) {
        const end = this.calendars.get(attempt.job.owner)?.monthAt(machine.accountedUntil).to ?? Infinity;
        to = Math.min(to, end);
      }
      this.accrueInterval(machine, to);
    }
  }

  /** Divides the cost of an interval that lies within one month of every owner concerned. */
  private accrueInterval(machine: MachineAccount, to: Micros): void {
    const elapsedUs = to - machine.accountedUntil;
    const cost = machine.meter.accrue(machine.rate, elapsedUs);
    this.cost += cost;
    const running = [...machine.running];
    const weights = running.map((r) => r.weight);
    const unusedWeight = Math.max(0, FULL_WEIGHT - weights.reduce((sum, w) => sum + w, 0));
    const parts = split(cost, [...weights, unusedWeight]);
    running.forEach((attempt, i) => {
      const month = this.calendars.get(attempt.job.owner)?.monthAt(machine.accountedUntil).id ?? '';
      this.addToAttempt(attempt, month, parts[i]!, elapsedUs);
    });
    this.platform[machine.awaitingReport ? 'takeover' : machine.up ? 'unused' : 'boot'] +=
      parts[running.length]!;
    machine.accountedUntil = to;
  }

  /** Services are charged as they run; other jobs once the attempt has ended. */
  private addToAttempt(attempt: RunningAttempt, month: string, money: Money, runUs: Micros): void {
    if (attempt.job.service) {
      this.charge(attempt.job, month, { ...zeroCharge(), money, runUs });
      return;
    }
    const last = attempt.pending.at(-1);
    if (last?.month === month) {
      last.money += money;
      last.runUs += runUs;
    } else attempt.pending.push({ month, money, runUs });
  }

  // ---- attempts ----------------------------------------------------------------------------------

  /** Restores an attempt that the last leader recorded as running; called once for each month it has costs in. */
  restoreAttempt(job: OpenJob, index: number, number: number, pending: PendingCharge): void {
    const attempt = job.attempts.get(index);
    if (attempt?.number === number) attempt.pending.push(pending);
    else if (attempt === undefined)
      job.attempts.set(index, { job, index, number, weight: 0, pending: [pending], machine: null });
  }

  /** An attempt runs on a machine from now on, or since the record was written if it is on record. */
  startAttempt(name: string, job: OpenJob, index: number, number: number, weight: number): void {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    const previous = job.attempts.get(index);
    if (previous?.number === number && previous.machine !== null) return;
    if (previous !== undefined && previous.number !== number) this.writeOff(previous);
    const onRecord = previous?.number === number;
    const attempt: RunningAttempt = onRecord
      ? previous
      : { job, index, number, weight, pending: [], machine };
    attempt.weight = weight;
    attempt.machine = machine;
    job.attempts.set(index, attempt);
    if (machine.awaitingReport && (machine.reportedAttempts[0]?.at ?? this.now) < this.now)
      this.resume(machine);
    if (machine.awaitingReport) machine.reportedAttempts.push({ attempt, onRecord, at: this.now });
    else {
      this.accrue(machine, this.now);
      machine.running.add(attempt);
    }
  }

  /** Settles an attempt that has ended. Unknown attempts and other attempts at the same task are ignored. */
  endAttempt(id: string, index: number, number: number, outcome: Outcome): void {
    const attempt = this.jobs.get(id)?.attempts.get(index);
    if (attempt?.number !== number) return;
    const machine = attempt.machine;
    if (machine !== null) {
      if (machine.awaitingReport && (machine.reportedAttempts[0]?.at ?? this.now) < this.now)
        this.resume(machine);
      if (!machine.awaitingReport) this.accrue(machine, this.now);
    }
    this.settle(attempt, outcome);
  }

  /** Accounted run time of an attempt up to now, in microseconds; 0 for an unknown attempt. */
  runTimeOf(id: string, index: number, number: number): Micros {
    const attempt = this.jobs.get(id)?.attempts.get(index);
    if (attempt?.number !== number) return 0;
    const machine = attempt.machine;
    const unaccountedUs = machine !== null && !machine.awaitingReport ? this.now - machine.accountedUntil : 0;
    return attempt.pending.reduce((sum, p) => sum + p.runUs, 0) + unaccountedUs;
  }

  /** Charges the kept part of an attempt to its owner and the remaining part to the platform. */
  private settle(attempt: RunningAttempt, outcome: Outcome): void {
    const { job } = attempt;
    job.attempts.delete(attempt.index);
    if (attempt.machine !== null) {
      attempt.machine.running.delete(attempt);
      attempt.machine.reportedAttempts = attempt.machine.reportedAttempts.filter(
        (j) => j.attempt !== attempt,
      );
    }
    let kept = outcome.keptUs;
    let uncharged = 0;
    for (const part of attempt.pending) {
      const money = portion(part.money, Math.min(kept, part.runUs), part.runUs);
      const keptUs = Math.min(kept, part.runUs);
      kept -= keptUs;
      const lost = part.money - money;
      this.platform[outcome.lossReason] += lost;
      uncharged += lost;
      this.charge(job, part.month, { ...zeroCharge(), money, runUs: keptUs, uncharged: lost });
    }
    if (outcome.lossReason === 'stopped' && uncharged > 0)
      this.charge(job, this.monthOf(job.owner), { ...zeroCharge(), stops: 1 });
    attempt.pending.length = 0;
  }

  /** Settles an attempt whose end is unknown; the platform pays for all of it. */
  private writeOff(attempt: RunningAttempt): void {
    this.settle(attempt, { keptUs: 0, lossReason: 'takeover' });
  }

  /** Writes off the recorded attempts that no machine has reported to this leader. */
  writeOffUnreported(): void {
    for (const job of this.jobs.values())
      for (const attempt of [...job.attempts.values()]) if (attempt.machine === null) this.writeOff(attempt);
  }

  // ---- balance -----------------------------------------------------------------------------------

  /** Charged to all owners in all months. */
  totalCharged(): Money {
    let sum = 0;
    for (const months of this.accounts.values()) for (const charge of months.values()) sum += charge.money;
    return sum;
  }

  /** Accrued by all running attempts and not yet charged. */
  totalPending(): Money {
    let sum = 0;
    for (const job of this.jobs.values()) sum += job.pending();
    return sum;
  }

  /** The total cost less all charges, pending costs and platform costs; 0 unless there is a fault. */
  imbalance(): Money {
    let platform = 0;
    for (const reason of PLATFORM_REASONS) platform += this.platform[reason];
    return this.cost - this.totalCharged() - this.totalPending() - platform;
  }

  /**
   * Restores the recorded totals, after all charges and attempts. The platform pays the difference that a crash
   * between two writes leaves.
   */
  restoreTotals(state: LedgerTotals): void {
    this.cost = state.cost;
    for (const reason of PLATFORM_REASONS) this.platform[reason] = state.platform[reason];
    this.platform.takeover += this.imbalance();
  }
}
