/**
 * The life of an attempt: decided, put on record, sent, seen, stopped, ended. An attempt counts as there from
 * the decision until proven otherwise (docs/safety.md).
 */
import type { ActiveJob, TaskAttempt, Machine } from '../cluster/cluster-model.js';
import { attemptKey } from '../cluster/task-attempt.js';
import { leftovers, wholeGang } from './gang-attempts.js';
import type { CommandReply, Heartbeat, ReportedTask } from '../domain/heartbeat.js';
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Orders that one message to a worker holds: it may have 64 KiB. */
export const MAX_COMMANDS = 400;

export interface AttemptEvents {
  /** Puts the places of a job on record: nothing is sent there before. */
  place(job: ActiveJob, then: () => void, refused: () => void): void;
  /** A report that came with the answer to orders. */
  report(m: Machine, r: Heartbeat): void;
  /** Nothing of an ended job may be left. */
  released(job: ActiveJob): void;
  /** An attempt is not there any more. */
  ended(a: TaskAttempt, exit: ReportedTask | null): void;
  /** Takes a machine out of use once it is empty, or at `latest`. */
  retireWhenEmpty(m: Machine, reason: string, latest: Micros): void;
}

export class AttemptLifecycle {
  /** Completed or stopped runs that were learned from since the last time this was set back. */
  noted = 0;
  /** Machines with starts that leave at the end of the step. */
  private readonly toPump = new Set<Machine>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly host: AttemptEvents,
  ) {}

  /** Decided: from here on the tasks count as being there. `places`: tasks and where they go. */
  begin(job: ActiveJob, places: readonly { index: number; machine: Machine }[]): void {
    const { ctx } = this.term;
    const gang = job.spec.shape === 'gang';
    let no = gang ? this.term.nextAttemptNumber() : 0;
    const attempts: TaskAttempt[] = [];
    for (const { index, machine } of places) {
      if (!gang) no = this.term.nextAttemptNumber();
      const a: TaskAttempt = {
        job,
        index,
        number: no,
        machine,
        agentEpoch: machine.agentEpoch,
        state: 'recording',
        fencingToken: 0,
        commandedAt: ctx.now,
        runningAt: null,
        startTimeKnown: true,
        confirmed: true,
        stopping: null,
      };
      this.attach(a);
      machine.idleSince = ctx.now;
      attempts.push(a);
    }
    job.startedBefore = true;
    ctx.debug('job.tasks_dispatched', () => ({
      job: job.id,
      tasks: places.map((p) => `${p.index}@${p.machine.name}`),
      attempt: no,
      waitedS: (ctx.wallNow - job.acceptedAt) / SECOND,
    }));
    // A job's places are on record before anything is sent there: a new leader then knows which
    // machines may hold its tasks, and waits for no others.
    const missing = attempts.some((a) => !job.recordedMachines.has(a.machine.name));
    const send = (): void => {
      for (const a of attempts) this.launch(a);
    };
    if (!missing) send();
    else
      this.host.place(job, send, () => {
        // What can't be put on record is not started, and not tried again at once.
        job.retryNotBefore = Math.max(job.retryNotBefore, ctx.now + 30 * SECOND);
        for (const a of attempts) if (a.state === 'recording') this.end(a, null);
      });
  }

  /** A task of an earlier leader's attempt, as a machine reports it; `proven` with a token of this term. */
  adopt(m: Machine, job: ActiveJob, t: ReportedTask, proven: boolean): TaskAttempt {
    const a: TaskAttempt = {
      job,
      index: t.index,
      number: t.attempt,
      machine: m,
      agentEpoch: m.agentEpoch,
      state: 'fetching',
      fencingToken: 0,
      commandedAt: this.term.ctx.now,
      runningAt: null,
      startTimeKnown: false,
      confirmed: proven,
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

  private attach(a: TaskAttempt): void {
    a.job.liveAttempts.set(a.index, a);
    a.machine.attempts.set(attemptKey(a.job.id, a.index), a);
    a.machine.markChanged();
  }

  /** Out of the picture; false if it was not in it. */
  private detach(a: TaskAttempt): boolean {
    const { job, machine: m } = a;
    const key = attemptKey(job.id, a.index);
    if (m.attempts.get(key) !== a) return false;
    m.attempts.delete(key);
    m.markChanged();
    if (job.liveAttempts.get(a.index) === a) job.liveAttempts.delete(a.index);
    if (m.attempts.size === 0) m.idleSince = this.term.ctx.now;
    job.requeue(a.index);
    return true;
  }

  /**
   * What only an older report told of is not there, or is elsewhere: it need never have been there in this term, so nothing
   * is learned from it, and no gang is broken by it.
   */
  disown(a: TaskAttempt): void {
    if (!this.detach(a)) return;
    const { job, machine } = a;
    this.term.ctx.debug('attempt.discarded', {
      job: job.id,
      task: a.index,
      machine: machine.name,
      attempt: a.number,
    });
    this.host.ended(a, null);
    this.host.released(job);
    this.term.schedulePass();
  }

  /** An attempt is surely not on its machine any more. `exit` tells how it ended, where that is known. */
  end(a: TaskAttempt, exit: ReportedTask | null): void {
    if (!a.confirmed && exit === null) {
      this.disown(a);
      return;
    }
    if (!this.detach(a)) return;
    const { job, machine: m } = a;
    const { ctx } = this.term;
    if (exit !== null) m.endedSinceFencing.add(attemptKey(job.id, a.index));
    const cause = exit?.cause ?? null;
    ctx.debug('attempt.ended', { job: job.id, task: a.index, machine: m.name, cause: cause ?? 'gone' });
    this.host.ended(a, exit);
    this.learn(a, cause, exit?.checkpointed === true);
    if (cause === 'error') this.onError(m, job);
    if (cause === 'noRoom' || cause === 'busy' || cause === 'unknown')
      job.retryNotBefore = Math.max(job.retryNotBefore, ctx.now + SECOND);
    if (job.spec.shape === 'gang' && cause !== 'done' && job.liveAttempts.size > 0) this.breakGang(job);
    if (job.liveAttempts.size === 0) job.gangBroken = false;
    this.host.released(job);
    this.term.schedulePass();
  }

  private learn(a: TaskAttempt, cause: string | null, saved: boolean): void {
    const { job, machine: m } = a;
    const { runtimeEstimates: timings } = this.term.cluster;
    if (a.runningAt === null || job.spec.shape === 'service') return;
    const slot = job.spec.shape === 'gang' ? -1 : a.index;
    const before = job.checkpointedProgress.get(slot) ?? 0;
    const ran = this.term.ctx.now - a.runningAt;
    const total = before + ran;
    if (cause === 'done') {
      if (a.startTimeKnown && (job.spec.shape !== 'gang' || a.index === 0)) {
        timings.recordRun(job.spec.class, m.type, job.spec.estimatedRunUs, total, true);
        this.noted++;
      }
      job.checkpointedProgress.delete(slot);
      return;
    }
    if (a.startTimeKnown && cause !== 'error')
      timings.recordRun(job.spec.class, m.type, job.spec.estimatedRunUs, total, false);
    if (cause === 'error') return;
    const every = job.spec.checkpointIntervalUs;
    if (saved) job.checkpointedProgress.set(slot, total);
    else if (every > 0)
      job.checkpointedProgress.set(slot, Math.max(before, Math.floor(total / every) * every));
  }

  /** Failures are the machine's, mostly; but a job that fails everywhere is not blamed on machines. */
  private onError(m: Machine, job: ActiveJob): void {
    const { ctx, cluster: estate } = this.term;
    job.failuresByMachine.set(m.name, (job.failuresByMachine.get(m.name) ?? 0) + 1);
    job.consecutiveFailures++;
    const everywhere = job.failuresByMachine.size >= 3 && job.done.count === 0;
    const pause = everywhere ? Math.min(60, 2 ** Math.min(job.consecutiveFailures - 2, 6)) : 0;
    job.retryNotBefore = Math.max(job.retryNotBefore, ctx.now + pause * SECOND);
    if (everywhere) {
      ctx.info('job.failing_everywhere', { job: job.id, failures: job.consecutiveFailures });
      for (const name of job.failuresByMachine.keys()) estate.machines.get(name)?.failedJobs.delete(job.id);
      return;
    }
    m.consecutiveErrors++;
    m.failedJobs.add(job.id);
    if (
      m.consecutiveErrors >= 2 &&
      (m.failedJobs.size >= 2 || m.consecutiveErrors >= 4) &&
      m.retirementReason === null
    ) {
      m.retirementReason = 'faulty';
      for (const a of [...m.attempts.values()]) this.stop(a, a.job.spec.checkpointDurationUs + SECOND);
      this.host.retireWhenEmpty(m, 'faulty', ctx.now + 8 * SECOND);
    }
  }

  private breakGang(job: ActiveJob): void {
    if (job.phase !== 'active' || job.isComplete) return;
    if (!job.gangBroken) this.term.ctx.info('gang.broken', { job: job.id, left: job.liveAttempts.size });
    job.gangBroken = true;
    for (const a of leftovers(job)) this.stop(a, 0);
  }

  /** Attempts of a gang that can't become whole any more, for example after taking over. */
  checkGangs(): void {
    const { jobs, machines } = this.term.cluster;
    for (const job of jobs.values()) {
      if (
        job.spec.shape !== 'gang' ||
        job.phase !== 'active' ||
        job.gangBroken ||
        job.liveAttempts.size === 0
      )
        continue;
      if (job.isComplete || wholeGang(job)) continue;
      let open = false;
      for (const name of job.unreconciledMachines)
        open ||= machines.get(name)?.awaitingReconciliation === true;
      if (!open) this.breakGang(job);
    }
  }

  // ---- orders ------------------------------------------------------------------------------------

  /** `graceUs`: time to save; 0 stops at once. */
  stop(a: TaskAttempt, graceUs: Micros): void {
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
    a.machine.markChanged();
    ctx.debug('attempt.stop_requested', { job: a.job.id, task: a.index, machine: a.machine.name, graceUs });
    a.machine.queuedCommands.push({ op: 'stop', job: a.job.id, index: a.index, attempt: a.number, graceUs });
    this.pump(a.machine);
  }

  /**
   * Whether the worker may forget what ended there. After a `forget` it would take a late copy of the start for a new one,
   * and run a task that is elsewhere by then (found by a generated history of repeated messages): so the token goes up
   * with it, unless a start is on its way, which that would refuse.
   */
  mayForget(m: Machine): boolean {
    if (m.commandInFlight) return false;
    this.raise(m);
    return true;
  }

  /**
   * A start on its way whose job has ended: whoever is answered without having it yet must refuse it, else it could be
   * begun as long as the lease that the answer renews.
   */
  refuseLate(m: Machine): void {
    const token = this.term.fencingTokenOf(m);
    for (const a of m.attempts.values())
      if (a.job.phase === 'ended' && a.state === 'sent' && a.fencingToken >= token) {
        m.fencingCounter++;
        return;
      }
  }

  /** From the worker's next message on, copies of all starts sent so far are refused. */
  private raise(m: Machine): void {
    if (m.lastStartToken === this.term.fencingTokenOf(m)) m.fencingCounter++;
    m.endedSinceFencing.clear();
  }

  private launch(a: TaskAttempt): void {
    const { machine: m, job } = a;
    if (m.attempts.get(attemptKey(job.id, a.index)) !== a || a.state !== 'recording') return;
    const ok =
      job.phase === 'active' &&
      !job.gangBroken &&
      !job.blockedOnDependencies &&
      m.isUsable() &&
      m.agentEpoch === a.agentEpoch &&
      this.term.canDispatch();
    if (!ok) {
      this.end(a, null);
      return;
    }
    m.queuedCommands.push({ op: 'start', job: job.id, index: a.index, attempt: a.number });
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
    if (m.commandInFlight || m.queuedCommands.length === 0 || m.address === '') return;
    const batch = m.queuedCommands.splice(0, MAX_COMMANDS);
    const starts: TaskAttempt[] = [];
    // The same task again takes the place of what the worker keeps of its end, as a `forget` does.
    if (batch.some((o) => o.op === 'start' && m.endedSinceFencing.has(attemptKey(o.job, o.index))))
      this.raise(m);
    const token = this.term.fencingTokenOf(m);
    const entitled = this.term.canActAsLeader() && !this.term.stopped;
    const mayStart = entitled && this.term.canDispatch();
    const orders = batch.filter((o) => {
      if (o.op !== 'start') return entitled;
      const a = m.attempts.get(attemptKey(o.job, o.index));
      if (a === undefined || a.number !== o.attempt || a.state !== 'recording') return false;
      if (!mayStart || a.agentEpoch !== m.agentEpoch || a.job.phase !== 'active') {
        this.end(a, null);
        return false;
      }
      a.state = 'sent';
      a.fencingToken = token;
      starts.push(a);
      return true;
    });
    if (orders.length === 0) return;
    if (starts.length > 0) m.lastStartToken = token;
    m.commandInFlight = true;
    const session = m.agentEpoch;
    this.term.ctx.sendCommands(m.address, token, session, orders, (r) => {
      m.commandInFlight = false;
      if (this.term.stopped) return;
      this.onOrdersReply(m, starts, r);
      this.pump(m);
    });
  }

  private onOrdersReply(m: Machine, starts: readonly TaskAttempt[], r: CommandReply): void {
    const { ctx } = this.term;
    if (r.kind === 'lost') {
      if (starts.length > 0) {
        m.fencingCounter++;
        ctx.info('command.unanswered', { machine: m.name, starts: starts.length });
      }
      for (const a of starts) if (a.state === 'sent') a.state = 'unknown';
      return;
    }
    if (r.kind === 'refused') {
      ctx.info('command.rejected', { machine: m.name, starts: starts.length });
      for (const a of starts) if (a.state === 'sent') this.end(a, null);
    } else {
      // Executed before its report was made: what the report doesn't list is not there.
      for (const a of starts) if (a.state === 'sent') a.state = 'fetching';
    }
    const report = r.heartbeat;
    if (report !== null && report.machine === m.name && m.isNewerHeartbeat(report))
      this.host.report(m, report);
  }
}
