/**
 * The life of an attempt: decided, put on record, sent, seen, stopped, ended. An attempt counts as there from
 * the decision until proven otherwise (docs/safety.md).
 */
import { attemptKey, type ActiveJob, type Attempt, type Machine } from '../cluster/cluster-model.js';
import { leftovers, wholeGang } from './gang-attempts.js';
import type { CommandReply, Heartbeat, ReportedTask } from '../domain/heartbeat.js';
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';
import type { Term } from '../leadership/leader-term.js';

/** Orders that one message to a worker holds: it may have 64 KiB. */
export const MAX_ORDERS = 400;

export interface AttemptsHost {
  /** Puts the places of a job on record: nothing is sent there before. */
  place(job: ActiveJob, then: () => void, refused: () => void): void;
  /** A report that came with the answer to orders. */
  report(m: Machine, r: Heartbeat): void;
  /** Nothing of an ended job may be left. */
  released(job: ActiveJob): void;
  /** An attempt is not there any more. */
  ended(a: Attempt, exit: ReportedTask | null): void;
  /** Takes a machine out of use once it is empty, or at `latest`. */
  retireWhenEmpty(m: Machine, reason: string, latest: Micros): void;
}

export class Attempts {
  /** Completed or stopped runs that were learned from since the last time this was set back. */
  noted = 0;
  /** Machines with starts that leave at the end of the step. */
  private readonly toPump = new Set<Machine>();

  constructor(
    private readonly term: Term,
    private readonly host: AttemptsHost,
  ) {}

  /** Decided: from here on the tasks count as being there. `places`: tasks and where they go. */
  begin(job: ActiveJob, places: readonly { index: number; machine: Machine }[]): void {
    const { ctx } = this.term;
    const gang = job.spec.shape === 'gang';
    let no = gang ? this.term.nextAttempt() : 0;
    const attempts: Attempt[] = [];
    for (const { index, machine } of places) {
      if (!gang) no = this.term.nextAttempt();
      const a: Attempt = {
        job,
        index,
        no,
        machine,
        session: machine.session,
        state: 'recording',
        token: 0,
        orderedAt: ctx.now,
        runningAt: null,
        timed: true,
        proven: true,
        stopping: null,
      };
      this.attach(a);
      machine.idleSince = ctx.now;
      attempts.push(a);
    }
    job.startedOnce = true;
    ctx.debug('job.start', () => ({
      job: job.id,
      tasks: places.map((p) => `${p.index}@${p.machine.name}`),
      attempt: no,
      waitedS: (ctx.wallNow - job.at) / SECOND,
    }));
    // A job's places are on record before anything is sent there: a new leader then knows which
    // machines may hold its tasks, and waits for no others.
    const missing = attempts.some((a) => !job.placedOn.has(a.machine.name));
    const send = (): void => {
      for (const a of attempts) this.launch(a);
    };
    if (!missing) send();
    else
      this.host.place(job, send, () => {
        // What can't be put on record is not started, and not tried again at once.
        job.notBefore = Math.max(job.notBefore, ctx.now + 30 * SECOND);
        for (const a of attempts) if (a.state === 'recording') this.end(a, null);
      });
  }

  /** A task of an earlier leader's attempt, as a machine reports it; `proven` with a token of this term. */
  adopt(m: Machine, job: ActiveJob, t: ReportedTask, proven: boolean): Attempt {
    const a: Attempt = {
      job,
      index: t.index,
      no: t.attempt,
      machine: m,
      session: m.session,
      state: 'fetching',
      token: 0,
      orderedAt: this.term.ctx.now,
      runningAt: null,
      timed: false,
      proven,
      stopping: null,
    };
    this.term.ctx.debug('attempt.adopted', {
      job: job.id,
      task: t.index,
      machine: m.name,
      attempt: t.attempt,
    });
    this.attach(a);
    return a;
  }

  private attach(a: Attempt): void {
    a.job.live.set(a.index, a);
    a.machine.attempts.set(attemptKey(a.job.id, a.index), a);
    a.machine.touch();
  }

  /** Out of the picture; false if it was not in it. */
  private detach(a: Attempt): boolean {
    const { job, machine: m } = a;
    const key = attemptKey(job.id, a.index);
    if (m.attempts.get(key) !== a) return false;
    m.attempts.delete(key);
    m.touch();
    if (job.live.get(a.index) === a) job.live.delete(a.index);
    if (m.attempts.size === 0) m.idleSince = this.term.ctx.now;
    job.reopen(a.index);
    return true;
  }

  /**
   * What only an older report told of is not there, or is elsewhere: it need never have been there in this term, so nothing
   * is learned from it, and no gang is broken by it.
   */
  disown(a: Attempt): void {
    if (!this.detach(a)) return;
    const { job, machine } = a;
    this.term.ctx.debug('attempt.disowned', {
      job: job.id,
      task: a.index,
      machine: machine.name,
      attempt: a.no,
    });
    this.host.ended(a, null);
    this.host.released(job);
    this.term.planSoon();
  }

  /** An attempt is surely not on its machine any more. `exit` tells how it ended, where that is known. */
  end(a: Attempt, exit: ReportedTask | null): void {
    if (!a.proven && exit === null) {
      this.disown(a);
      return;
    }
    if (!this.detach(a)) return;
    const { job, machine: m } = a;
    const { ctx } = this.term;
    if (exit !== null) m.endedUnder.add(attemptKey(job.id, a.index));
    const cause = exit?.cause ?? null;
    ctx.debug('attempt.ended', { job: job.id, task: a.index, machine: m.name, cause: cause ?? 'gone' });
    this.host.ended(a, exit);
    this.learn(a, cause, exit?.checkpointed === true);
    if (cause === 'error') this.onError(m, job);
    if (cause === 'noRoom' || cause === 'busy' || cause === 'unknown')
      job.notBefore = Math.max(job.notBefore, ctx.now + SECOND);
    if (job.spec.shape === 'gang' && cause !== 'done' && job.live.size > 0) this.breakGang(job);
    if (job.live.size === 0) job.broken = false;
    this.host.released(job);
    this.term.planSoon();
  }

  private learn(a: Attempt, cause: string | null, saved: boolean): void {
    const { job, machine: m } = a;
    const { timings } = this.term.estate;
    if (a.runningAt === null || job.spec.shape === 'service') return;
    const slot = job.spec.shape === 'gang' ? -1 : a.index;
    const before = job.credit.get(slot) ?? 0;
    const ran = this.term.ctx.now - a.runningAt;
    const total = before + ran;
    if (cause === 'done') {
      if (a.timed && (job.spec.shape !== 'gang' || a.index === 0)) {
        timings.note(job.spec.class, m.type, job.spec.estimatedRunUs, total, true);
        this.noted++;
      }
      job.credit.delete(slot);
      return;
    }
    if (a.timed && cause !== 'error')
      timings.note(job.spec.class, m.type, job.spec.estimatedRunUs, total, false);
    if (cause === 'error') return;
    const every = job.spec.checkpointIntervalUs;
    if (saved) job.credit.set(slot, total);
    else if (every > 0) job.credit.set(slot, Math.max(before, Math.floor(total / every) * every));
  }

  /** Failures are the machine's, mostly; but a job that fails everywhere is not blamed on machines. */
  private onError(m: Machine, job: ActiveJob): void {
    const { ctx, estate } = this.term;
    job.failedOn.set(m.name, (job.failedOn.get(m.name) ?? 0) + 1);
    job.failuresInRow++;
    const everywhere = job.failedOn.size >= 3 && job.done.count === 0;
    const pause = everywhere ? Math.min(60, 2 ** Math.min(job.failuresInRow - 2, 6)) : 0;
    job.notBefore = Math.max(job.notBefore, ctx.now + pause * SECOND);
    if (everywhere) {
      ctx.info('job.fails_everywhere', { job: job.id, failures: job.failuresInRow });
      for (const name of job.failedOn.keys()) estate.machines.get(name)?.errorJobs.delete(job.id);
      return;
    }
    m.errorsInRow++;
    m.errorJobs.add(job.id);
    if (m.errorsInRow >= 2 && (m.errorJobs.size >= 2 || m.errorsInRow >= 4) && m.retiring === null) {
      m.retiring = 'faulty';
      for (const a of [...m.attempts.values()]) this.stop(a, a.job.spec.checkpointDurationUs + SECOND);
      this.host.retireWhenEmpty(m, 'faulty', ctx.now + 8 * SECOND);
    }
  }

  private breakGang(job: ActiveJob): void {
    if (job.phase !== 'active' || job.complete) return;
    if (!job.broken) this.term.ctx.info('gang.broken', { job: job.id, left: job.live.size });
    job.broken = true;
    for (const a of leftovers(job)) this.stop(a, 0);
  }

  /** Attempts of a gang that can't become whole any more, for example after taking over. */
  checkGangs(): void {
    const { jobs, machines } = this.term.estate;
    for (const job of jobs.values()) {
      if (job.spec.shape !== 'gang' || job.phase !== 'active' || job.broken || job.live.size === 0) continue;
      if (job.complete || wholeGang(job)) continue;
      let open = false;
      for (const name of job.unresolved) open ||= machines.get(name)?.unresolved === true;
      if (!open) this.breakGang(job);
    }
  }

  // ---- orders ------------------------------------------------------------------------------------

  /** `graceUs`: time to save; 0 stops at once. */
  stop(a: Attempt, graceUs: Micros): void {
    // Whoever is saving is not waited for once the job is over.
    const sooner = a.job.phase !== 'active' && graceUs === 0 && a.stopping !== null && a.stopping.graceUs > 0;
    if (a.stopping !== null && !sooner) return;
    if (a.state === 'recording') {
      // Never sent, so it is nowhere.
      this.end(a, null);
      return;
    }
    const { ctx } = this.term;
    a.stopping = { since: ctx.now, graceUs };
    a.machine.touch();
    ctx.debug('attempt.stop', { job: a.job.id, task: a.index, machine: a.machine.name, graceUs });
    a.machine.outbox.push({ op: 'stop', job: a.job.id, index: a.index, attempt: a.no, graceUs });
    this.pump(a.machine);
  }

  /**
   * Whether the worker may forget what ended there. After a `forget` it would take a late copy of the start for a new one,
   * and run a task that is elsewhere by then (found by a generated history of repeated messages): so the token goes up
   * with it, unless a start is on its way, which that would refuse.
   */
  mayForget(m: Machine): boolean {
    if (m.calling) return false;
    this.raise(m);
    return true;
  }

  /**
   * A start on its way whose job has ended: whoever is answered without having it yet must refuse it, else it could be
   * begun as long as the lease that the answer renews.
   */
  refuseLate(m: Machine): void {
    const token = this.term.tokenOf(m);
    for (const a of m.attempts.values())
      if (a.job.phase === 'ended' && a.state === 'sent' && a.token >= token) {
        m.fence++;
        return;
      }
  }

  /** From the worker's next message on, copies of all starts sent so far are refused. */
  private raise(m: Machine): void {
    if (m.startedUnder === this.term.tokenOf(m)) m.fence++;
    m.endedUnder.clear();
  }

  private launch(a: Attempt): void {
    const { machine: m, job } = a;
    if (m.attempts.get(attemptKey(job.id, a.index)) !== a || a.state !== 'recording') return;
    const ok =
      job.phase === 'active' &&
      !job.broken &&
      !job.held &&
      m.usable() &&
      m.session === a.session &&
      this.term.mayStart();
    if (!ok) {
      this.end(a, null);
      return;
    }
    m.outbox.push({ op: 'start', job: job.id, index: a.index, attempt: a.no });
    this.pumpTogether(m);
  }

  /** Starts on a machine that are decided, or put on record, in one step go out in one call. */
  private pumpTogether(m: Machine): void {
    if (this.toPump.size === 0)
      this.term.ctx.atEndOfStep(() => {
        const machines = [...this.toPump];
        this.toPump.clear();
        for (const machine of machines) this.pump(machine);
      });
    this.toPump.add(m);
  }

  /** Sends what waits for a machine, one call at a time. */
  pump(m: Machine): void {
    if (m.calling || m.outbox.length === 0 || m.address === '') return;
    const batch = m.outbox.splice(0, MAX_ORDERS);
    const starts: Attempt[] = [];
    // The same task again takes the place of what the worker keeps of its end, as a `forget` does.
    if (batch.some((o) => o.op === 'start' && m.endedUnder.has(attemptKey(o.job, o.index)))) this.raise(m);
    const token = this.term.tokenOf(m);
    const entitled = this.term.entitled() && !this.term.stopped;
    const mayStart = entitled && this.term.mayStart();
    const orders = batch.filter((o) => {
      if (o.op !== 'start') return entitled;
      const a = m.attempts.get(attemptKey(o.job, o.index));
      if (a === undefined || a.no !== o.attempt || a.state !== 'recording') return false;
      if (!mayStart || a.session !== m.session || a.job.phase !== 'active') {
        this.end(a, null);
        return false;
      }
      a.state = 'sent';
      a.token = token;
      starts.push(a);
      return true;
    });
    if (orders.length === 0) return;
    if (starts.length > 0) m.startedUnder = token;
    m.calling = true;
    const session = m.session;
    this.term.ctx.orders(m.address, token, session, orders, (r) => {
      m.calling = false;
      if (this.term.stopped) return;
      this.onOrdersReply(m, starts, r);
      this.pump(m);
    });
  }

  private onOrdersReply(m: Machine, starts: readonly Attempt[], r: CommandReply): void {
    const { ctx } = this.term;
    if (r.kind === 'lost') {
      if (starts.length > 0) {
        m.fence++;
        ctx.info('orders.lost', { machine: m.name, starts: starts.length });
      }
      for (const a of starts) if (a.state === 'sent') a.state = 'unknown';
      return;
    }
    if (r.kind === 'refused') {
      ctx.info('orders.refused', { machine: m.name, starts: starts.length });
      for (const a of starts) if (a.state === 'sent') this.end(a, null);
    } else {
      // Executed before its report was made: what the report doesn't list is not there.
      for (const a of starts) if (a.state === 'sent') a.state = 'fetching';
    }
    const report = r.heartbeat;
    if (report !== null && report.machine === m.name && m.isNewer(report)) this.host.report(m, report);
  }
}
