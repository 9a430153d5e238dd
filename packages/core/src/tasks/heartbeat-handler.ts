/** What workers report: which tasks are where, what ended and how, and what each worker is to do. */
import { MAX_COMMANDS, type AttemptLifecycle } from './attempt-lifecycle.js';
import type { ActiveJob, TaskAttempt, Machine } from '../cluster/cluster-model.js';
import { attemptKey } from '../cluster/task-attempt.js';
import { gangAttempt, leftovers } from './gang-attempts.js';
import type { WorkerCommand, Heartbeat, ReportedTask, HeartbeatResponse } from '../domain/heartbeat.js';
import type { JobSpec } from '../domain/job.js';
import { SECOND } from '../domain/time.js';
import type { MachineLifecycle } from '../machines/machine-lifecycle.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

export interface TaskEvents {
  /** The results of a task are there. */
  markDone(job: ActiveJob, index: number): void;
  /** A task runs. */
  running(a: TaskAttempt): void;
  /** The end of an attempt that this leader did not know. */
  exited(job: string, exit: ReportedTask): void;
  /** Whether its worker is to keep the end of a done attempt, though it is on record. */
  keeps(exit: ReportedTask): boolean;
}

export class HeartbeatHandler {
  /** Reports that came while the records were being read. */
  private readonly early = new Map<Machine, Heartbeat>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly park: MachineLifecycle,
    private readonly attempts: AttemptLifecycle,
    private readonly host: TaskEvents,
  ) {}

  /** A report that could not be answered with 200 still shows that its sender is there. */
  recordLiveness(r: Heartbeat): void {
    const m = this.term.cluster.machines.get(r.machine);
    if (m?.isNewerHeartbeat(r) === true) m.lastHeartbeatAt = this.term.ctx.now;
  }

  respond(r: Heartbeat): HeartbeatResponse {
    const { ctx } = this.term;
    const m = this.park.registerHeartbeat(r);
    // A report that was held back outlives its machine.
    if (m === null) return { kind: 'unavailable' };
    if (r.fencingToken > this.term.fencingTokenOf(m)) {
      // It would drop a 200 of ours, and stay here until its lease has run out.
      ctx.info('heartbeat.token_ahead', { machine: m.name, token: r.fencingToken });
      return { kind: 'unavailable' };
    }
    const newer = m.isNewerHeartbeat(r);
    // The answer renews the lease if this is no late copy, which nobody can tell; but a copy shows nothing of now.
    m.leaseRenewedAt = ctx.now;
    if (newer) {
      m.address = r.address;
      m.lastHeartbeatAt = ctx.now;
      this.apply(m, r);
    }
    this.park.persist(m);
    // Whatever is answered with 200 renews the lease of all that runs there: it has the orders to stop what is over,
    // also if something newer was heard meanwhile by another way, and while the records are still being read.
    const stops = this.term.ready ? this.stopsFor(m, r) : this.earlyStops(r);
    if (stops.length > MAX_COMMANDS) {
      // More than an answer holds: they are sent directly, and what they are for is not renewed before it is less.
      if (m.queuedCommands.length === 0) m.queuedCommands.push(...stops);
      this.attempts.pump(m);
      return { kind: 'unavailable' };
    }
    this.attempts.refuseLate(m);
    const forgets = newer && this.term.ready ? this.forgetsFor(m, r, MAX_COMMANDS - stops.length) : [];
    return { kind: 'accepted', fencingToken: this.term.fencingTokenOf(m), commands: [...stops, ...forgets] };
  }

  /**
   * Matches what came while the records were being read. A machine that sent a report is not empty for that:
   * its tasks were once started anew elsewhere (ran_twice on a grown krakow day).
   */
  replayEarlyHeartbeats(): void {
    for (const [m, r] of this.early)
      if (this.term.cluster.machines.get(m.name) === m && !this.park.removeStaleMachine(m, r))
        this.takeTasks(m, r);
    this.early.clear();
  }

  /** A report newer than all that is known of its machine. */
  apply(m: Machine, r: Heartbeat): void {
    const { ctx } = this.term;
    if (r.agentEpoch > m.agentEpoch) {
      if (m.agentEpoch > 0) ctx.info('machine.epoch_changed', { machine: m.name, session: r.agentEpoch });
      for (const a of [...m.attempts.values()]) if (a.agentEpoch < r.agentEpoch) this.attempts.end(a, null);
      m.agentEpoch = r.agentEpoch;
      // It began by now, and lasts for a whole lease from its beginning. Who hears of it from the answer to an order, which
      // renews nothing, would else end at once what it had just started there (ran_twice in a generated history).
      m.leaseRenewedAt = ctx.now;
      m.cachedImages.clear();
      m.markChanged();
    }
    m.lastSequence = r.sequence;
    m.acknowledgedToken = Math.max(m.acknowledgedToken, r.fencingToken);
    if (!m.up) {
      m.up = true;
      m.upSince = ctx.now;
      m.idleSince = ctx.now;
      ctx.info('machine.ready', {
        machine: m.name,
        type: m.type,
        afterS: (ctx.now - m.provisionedAt) / SECOND,
      });
      this.term.schedulePass();
    }
    const noticed = r.terminationNoticeUs === null ? null : ctx.now + r.terminationNoticeUs;
    if (noticed !== null && m.terminationAt === null) {
      ctx.info('machine.termination_noticed', { machine: m.name, leftS: r.terminationNoticeUs! / SECOND });
      m.terminationAt = noticed;
      this.term.schedulePass();
    } else if (noticed === null) m.terminationAt = null;
    if (!this.term.ready) {
      this.early.set(m, r);
      return;
    }
    this.takeTasks(m, r);
  }

  private takeTasks(m: Machine, r: Heartbeat): void {
    if (m.awaitingReconciliation && r.fencingToken >= this.term.firstFencingToken) {
      // Fenced from every older leader: what it lists is all there can be.
      m.awaitingReconciliation = false;
      this.term.schedulePass();
    }
    this.matchTasks(m, r);
    if (m.terminationAt !== null) this.drainNoticed(m);
    if (m.attempts.size > 0 || m.unknownTaskCount > 0) m.idleSince = this.term.ctx.now;
  }

  private matchTasks(m: Machine, r: Heartbeat): void {
    const listed = new Set<TaskAttempt>();
    const proof = this.isProof(r);
    m.unknownTaskCount = 0;
    for (const t of r.tasks) {
      const job = this.term.cluster.jobs.get(t.job);
      let a = m.attempts.get(attemptKey(t.job, t.index));
      if (a !== undefined && a.number !== t.attempt && proof && !a.confirmed) {
        this.attempts.disown(a);
        a = undefined;
      }
      if (a !== undefined && a.number !== t.attempt) {
        if (t.state !== 'exited') m.unknownTaskCount++;
        continue;
      }
      if (t.state === 'exited') {
        this.onExit(m, job, a, t);
        continue;
      }
      if (a === undefined && job !== undefined) a = this.adopt(m, job, t, proof);
      if (a === undefined) {
        m.unknownTaskCount++;
        continue;
      }
      listed.add(a);
      this.prove(a, proof);
      this.onTaskState(m, a, t);
    }
    for (const a of [...m.attempts.values()]) {
      if (listed.has(a)) continue;
      // An order whose answer was lost may still be executed, until the worker is fenced from it.
      if (a.state === 'recording' || a.state === 'sent') continue;
      if (a.state === 'unknown' && r.fencingToken <= a.fencingToken) continue;
      this.attempts.end(a, null);
    }
  }

  /**
   * Whether the report was made after its worker had heard of this term. An older one may be a late copy: it adds places to wait
   * for, but does not decide which of two attempts is the true one. It once did: the true one was stopped, and begun a third
   * time before it had heard of that (docs/incidents/kept-reports.md).
   */
  private isProof(r: Heartbeat): boolean {
    return r.fencingToken >= this.term.firstFencingToken;
  }

  /** Whether the task may be of use where it is reported. */
  private isWanted(t: ReportedTask): boolean {
    const job = this.term.cluster.jobs.get(t.job);
    return job?.phase === 'active' && t.index < job.spec.tasks && !job.done.has(t.index);
  }

  private adopt(m: Machine, job: ActiveJob, t: ReportedTask, proof: boolean): TaskAttempt | undefined {
    if (!this.isWanted(t)) return undefined;
    // Seen here by now, so what older reports told of it is over. A gang has one attempt at a time.
    const rivals =
      job.spec.shape === 'gang'
        ? [...job.liveAttempts.values()].filter((a) => a.number !== t.attempt || a.index === t.index)
        : [job.liveAttempts.get(t.index)].filter((a) => a !== undefined);
    if (proof) for (const a of rivals) if (!a.confirmed) this.attempts.disown(a);
    if (job.liveAttempts.has(t.index)) return undefined;
    if (job.spec.shape === 'gang') {
      const no = gangAttempt(job);
      if (no !== null && no !== t.attempt) return undefined;
    }
    return this.attempts.adopt(m, job, t, proof);
  }

  private prove(a: TaskAttempt, proof: boolean): void {
    if (a.confirmed || !proof) return;
    a.confirmed = true;
    a.machine.notifyObserver();
    if (a.runningAt !== null) this.host.running(a);
  }

  private onTaskState(m: Machine, a: TaskAttempt, t: ReportedTask): void {
    if (t.state === 'exited' || a.state === t.state) return;
    const { ctx } = this.term;
    ctx.debug('attempt.state_changed', { job: a.job.id, task: a.index, machine: m.name, state: t.state });
    a.state = t.state;
    m.markChanged();
    if (t.state === 'running' && a.runningAt === null) {
      a.runningAt = ctx.now;
      if (a.confirmed) this.host.running(a);
    }
    if (t.state !== 'fetching') this.holdImage(m, a.job.spec);
    this.term.schedulePass();
  }

  private holdImage(m: Machine, spec: JobSpec): void {
    m.cachedImages.delete(spec.image);
    m.cachedImages.set(spec.image, spec.imageGb);
    const cache = this.term.ctx.types.get(m.type)?.imageCacheGb ?? Infinity;
    let sum = 0;
    for (const gb of m.cachedImages.values()) sum += gb;
    for (const [image, gb] of m.cachedImages) {
      if (sum <= cache) break;
      m.cachedImages.delete(image);
      sum -= gb;
    }
  }

  private onExit(m: Machine, job: ActiveJob | undefined, a: TaskAttempt | undefined, t: ReportedTask): void {
    if (a === undefined) this.host.exited(t.job, t);
    if (t.cause === 'done') {
      m.consecutiveErrors = 0;
      m.failedJobs.clear();
      if (a !== undefined) this.attempts.end(a, t);
      if (job !== undefined && job.phase === 'active') this.host.markDone(job, t.index);
      return;
    }
    if (a !== undefined) this.attempts.end(a, t);
  }

  /** Before a noticed machine goes: save what would be lost, in time, unless it ends by itself first. */
  private drainNoticed(m: Machine): void {
    const left = m.terminationAt! - this.term.ctx.now;
    for (const a of [...m.attempts.values()]) {
      if (a.stopping !== null) continue;
      const { spec } = a.job;
      const ends = this.term.cluster.remainingRunTime(a);
      if (spec.shape !== 'service' && ends < left * 0.6) continue;
      const grace = Math.max(0, Math.min(spec.checkpointDurationUs + SECOND, left - SECOND));
      if (spec.shape === 'gang') {
        for (const b of leftovers(a.job)) this.attempts.stop(b, Math.max(grace, spec.checkpointDurationUs));
        a.job.gangBroken = true;
      } else this.attempts.stop(a, grace);
    }
  }

  /** Derived anew from each report, so nothing is forgotten when an answer is lost. */
  private stopsFor(m: Machine, r: Heartbeat): WorkerCommand[] {
    const orders: WorkerCommand[] = [];
    const listed = new Set<TaskAttempt>();
    for (const t of r.tasks) {
      if (t.state === 'exited') continue;
      const id = { job: t.job, index: t.index, attempt: t.attempt };
      const a = m.attempts.get(attemptKey(t.job, t.index));
      if (a === undefined || a.number !== t.attempt) {
        // Whether it is the true attempt is not known before a report of this term tells.
        if (this.isProof(r) || !this.isWanted(t)) orders.push({ op: 'stop', ...id, graceUs: 0 });
        continue;
      }
      listed.add(a);
      if (a.stopping === null) continue;
      const late = this.term.ctx.now - a.stopping.since > a.stopping.graceUs + 3 * SECOND;
      const over = late || a.job.phase === 'ended';
      if (t.state !== 'saving' || over)
        orders.push({ op: 'stop', ...id, graceUs: over ? 0 : a.stopping.graceUs });
    }
    // Begun since the report was made, or the order to stop is still on its way.
    for (const a of m.attempts.values())
      if (!listed.has(a) && a.stopping !== null && a.job.phase === 'ended')
        orders.push({ op: 'stop', job: a.job.id, index: a.index, attempt: a.number, graceUs: 0 });
    return orders;
  }

  /** Before the records are read: tasks of jobs that had ended by then. Nothing else is known to be over. */
  private earlyStops(r: Heartbeat): WorkerCommand[] {
    const { unendedJobs: listed } = this.term;
    return r.tasks
      .filter((t) => t.state !== 'exited' && listed !== null && !listed.has(t.job))
      .map((t) => ({ op: 'stop' as const, job: t.job, index: t.index, attempt: t.attempt, graceUs: 0 }));
  }

  private forgetsFor(m: Machine, r: Heartbeat, most: number): WorkerCommand[] {
    const orders: WorkerCommand[] = [];
    for (const t of r.tasks) {
      if (orders.length >= most) break;
      if (t.state !== 'exited') continue;
      const job = this.term.cluster.jobs.get(t.job);
      // The worker keeps a result until it is written; only then may it forget.
      const held =
        t.cause === 'done' &&
        job !== undefined &&
        (job.phase === 'finishing' || (job.phase === 'active' && !job.durablyDone.has(t.index)));
      // Only what was done: its task never starts again, so nobody is refused for what is kept there.
      if (held || (t.cause === 'done' && this.host.keeps(t))) continue;
      if (!this.attempts.mayForget(m)) break;
      orders.push({ op: 'forget', job: t.job, index: t.index, attempt: t.attempt });
    }
    return orders;
  }
}
