/** What workers report: which tasks are where, what ended and how, and what each worker is to do. */
import { MAX_ORDERS, type Attempts } from './attempt-lifecycle.js';
import { attemptKey, type ActiveJob, type Attempt, type Machine } from '../cluster/cluster-model.js';
import { gangAttempt, leftovers } from './gang-attempts.js';
import type { WorkerCommand, Heartbeat, ReportedTask, HeartbeatResponse } from '../domain/heartbeat.js';
import type { JobSpec } from '../domain/job.js';
import { SECOND } from '../domain/time.js';
import type { Park } from '../machines/machine-lifecycle.js';
import type { Term } from '../leadership/leader-term.js';

export interface ReportsHost {
  /** The results of a task are there. */
  markDone(job: ActiveJob, index: number): void;
  /** A task runs. */
  running(a: Attempt): void;
  /** The end of an attempt that this leader did not know. */
  exited(job: string, exit: ReportedTask): void;
  /** Whether its worker is to keep the end of a done attempt, though it is on record. */
  keeps(exit: ReportedTask): boolean;
}

export class Reports {
  /** Reports that came while the records were being read. */
  private readonly early = new Map<Machine, Heartbeat>();

  constructor(
    private readonly term: Term,
    private readonly park: Park,
    private readonly attempts: Attempts,
    private readonly host: ReportsHost,
  ) {}

  /** A report that could not be answered with 200 still shows that its sender is there. */
  heard(r: Heartbeat): void {
    const m = this.term.estate.machines.get(r.machine);
    if (m?.isNewer(r) === true) m.lastReport = this.term.ctx.now;
  }

  answer(r: Heartbeat): HeartbeatResponse {
    const { ctx } = this.term;
    const m = this.park.reporting(r);
    // A report that was held back outlives its machine.
    if (m === null) return { kind: 'unavailable' };
    if (r.fencingToken > this.term.tokenOf(m)) {
      // It would drop a 200 of ours, and stay here until its lease has run out.
      ctx.info('report.token_ahead', { machine: m.name, token: r.fencingToken });
      return { kind: 'unavailable' };
    }
    const newer = m.isNewer(r);
    // The answer renews the lease if this is no late copy, which nobody can tell; but a copy shows nothing of now.
    m.leaseFrom = ctx.now;
    if (newer) {
      m.address = r.address;
      m.lastReport = ctx.now;
      this.take(m, r);
    }
    this.park.record(m);
    // Whatever is answered with 200 renews the lease of all that runs there: it has the orders to stop what is over,
    // also if something newer was heard meanwhile by another way, and while the records are still being read.
    const stops = this.term.ready ? this.stopsFor(m, r) : this.earlyStops(r);
    if (stops.length > MAX_ORDERS) {
      // More than an answer holds: they are sent directly, and what they are for is not renewed before it is less.
      if (m.outbox.length === 0) m.outbox.push(...stops);
      this.attempts.pump(m);
      return { kind: 'unavailable' };
    }
    this.attempts.refuseLate(m);
    const forgets = newer && this.term.ready ? this.forgetsFor(m, r, MAX_ORDERS - stops.length) : [];
    return { kind: 'accepted', token: this.term.tokenOf(m), orders: [...stops, ...forgets] };
  }

  /**
   * Matches what came while the records were being read. A machine that sent a report is not empty for that:
   * its tasks were once started anew elsewhere (ran_twice on a grown krakow day).
   */
  takeEarly(): void {
    for (const [m, r] of this.early)
      if (this.term.estate.machines.get(m.name) === m && !this.park.letGoGhost(m, r)) this.takeTasks(m, r);
    this.early.clear();
  }

  /** A report newer than all that is known of its machine. */
  take(m: Machine, r: Heartbeat): void {
    const { ctx } = this.term;
    if (r.agentEpoch > m.session) {
      if (m.session > 0) ctx.info('machine.session', { machine: m.name, session: r.agentEpoch });
      for (const a of [...m.attempts.values()]) if (a.session < r.agentEpoch) this.attempts.end(a, null);
      m.session = r.agentEpoch;
      // It began by now, and lasts for a whole lease from its beginning. Who hears of it from the answer to an order, which
      // renews nothing, would else end at once what it had just started there (ran_twice in a generated history).
      m.leaseFrom = ctx.now;
      m.images.clear();
      m.touch();
    }
    m.seq = r.sequence;
    m.seenToken = Math.max(m.seenToken, r.fencingToken);
    if (!m.up) {
      m.up = true;
      m.upSince = ctx.now;
      m.idleSince = ctx.now;
      ctx.info('machine.up', { machine: m.name, type: m.type, afterS: (ctx.now - m.rentedAt) / SECOND });
      this.term.planSoon();
    }
    const noticed = r.terminationNoticeUs === null ? null : ctx.now + r.terminationNoticeUs;
    if (noticed !== null && m.notice === null) {
      ctx.info('machine.notice', { machine: m.name, leftS: r.terminationNoticeUs! / SECOND });
      m.notice = noticed;
      this.term.planSoon();
    } else if (noticed === null) m.notice = null;
    if (!this.term.ready) {
      this.early.set(m, r);
      return;
    }
    this.takeTasks(m, r);
  }

  private takeTasks(m: Machine, r: Heartbeat): void {
    if (m.unresolved && r.fencingToken >= this.term.firstToken) {
      // Fenced from every older leader: what it lists is all there can be.
      m.unresolved = false;
      this.term.planSoon();
    }
    this.matchTasks(m, r);
    if (m.notice !== null) this.drainNoticed(m);
    if (m.attempts.size > 0 || m.strangers > 0) m.idleSince = this.term.ctx.now;
  }

  private matchTasks(m: Machine, r: Heartbeat): void {
    const listed = new Set<Attempt>();
    const proof = this.isProof(r);
    m.strangers = 0;
    for (const t of r.tasks) {
      const job = this.term.estate.jobs.get(t.job);
      let a = m.attempts.get(attemptKey(t.job, t.index));
      if (a !== undefined && a.no !== t.attempt && proof && !a.proven) {
        this.attempts.disown(a);
        a = undefined;
      }
      if (a !== undefined && a.no !== t.attempt) {
        if (t.state !== 'exited') m.strangers++;
        continue;
      }
      if (t.state === 'exited') {
        this.onExit(m, job, a, t);
        continue;
      }
      if (a === undefined && job !== undefined) a = this.adopt(m, job, t, proof);
      if (a === undefined) {
        m.strangers++;
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
      if (a.state === 'unknown' && r.fencingToken <= a.token) continue;
      this.attempts.end(a, null);
    }
  }

  /**
   * Whether the report was made after its worker had heard of this term. An older one may be a late copy: it adds places to wait
   * for, but does not decide which of two attempts is the true one. It once did: the true one was stopped, and begun a third
   * time before it had heard of that (docs/incidents/kept-reports.md).
   */
  private isProof(r: Heartbeat): boolean {
    return r.fencingToken >= this.term.firstToken;
  }

  /** Whether the task may be of use where it is reported. */
  private isWanted(t: ReportedTask): boolean {
    const job = this.term.estate.jobs.get(t.job);
    return job?.phase === 'active' && t.index < job.spec.tasks && !job.done.has(t.index);
  }

  private adopt(m: Machine, job: ActiveJob, t: ReportedTask, proof: boolean): Attempt | undefined {
    if (!this.isWanted(t)) return undefined;
    // Seen here by now, so what older reports told of it is over. A gang has one attempt at a time.
    const rivals =
      job.spec.shape === 'gang'
        ? [...job.live.values()].filter((a) => a.no !== t.attempt || a.index === t.index)
        : [job.live.get(t.index)].filter((a) => a !== undefined);
    if (proof) for (const a of rivals) if (!a.proven) this.attempts.disown(a);
    if (job.live.has(t.index)) return undefined;
    if (job.spec.shape === 'gang') {
      const no = gangAttempt(job);
      if (no !== null && no !== t.attempt) return undefined;
    }
    return this.attempts.adopt(m, job, t, proof);
  }

  private prove(a: Attempt, proof: boolean): void {
    if (a.proven || !proof) return;
    a.proven = true;
    a.machine.notifyObserver();
    if (a.runningAt !== null) this.host.running(a);
  }

  private onTaskState(m: Machine, a: Attempt, t: ReportedTask): void {
    if (t.state === 'exited' || a.state === t.state) return;
    const { ctx } = this.term;
    ctx.debug('attempt.state', { job: a.job.id, task: a.index, machine: m.name, state: t.state });
    a.state = t.state;
    m.touch();
    if (t.state === 'running' && a.runningAt === null) {
      a.runningAt = ctx.now;
      if (a.proven) this.host.running(a);
    }
    if (t.state !== 'fetching') this.holdImage(m, a.job.spec);
    this.term.planSoon();
  }

  private holdImage(m: Machine, spec: JobSpec): void {
    m.images.delete(spec.image);
    m.images.set(spec.image, spec.imageGb);
    const cache = this.term.ctx.types.get(m.type)?.imageCacheGb ?? Infinity;
    let sum = 0;
    for (const gb of m.images.values()) sum += gb;
    for (const [image, gb] of m.images) {
      if (sum <= cache) break;
      m.images.delete(image);
      sum -= gb;
    }
  }

  private onExit(m: Machine, job: ActiveJob | undefined, a: Attempt | undefined, t: ReportedTask): void {
    if (a === undefined) this.host.exited(t.job, t);
    if (t.cause === 'done') {
      m.errorsInRow = 0;
      m.errorJobs.clear();
      if (a !== undefined) this.attempts.end(a, t);
      if (job !== undefined && job.phase === 'active') this.host.markDone(job, t.index);
      return;
    }
    if (a !== undefined) this.attempts.end(a, t);
  }

  /** Before a noticed machine goes: save what would be lost, in time, unless it ends by itself first. */
  private drainNoticed(m: Machine): void {
    const left = m.notice! - this.term.ctx.now;
    for (const a of [...m.attempts.values()]) {
      if (a.stopping !== null) continue;
      const { spec } = a.job;
      const ends = this.term.estate.remaining(a);
      if (spec.shape !== 'service' && ends < left * 0.6) continue;
      const grace = Math.max(0, Math.min(spec.checkpointDurationUs + SECOND, left - SECOND));
      if (spec.shape === 'gang') {
        for (const b of leftovers(a.job)) this.attempts.stop(b, Math.max(grace, spec.checkpointDurationUs));
        a.job.broken = true;
      } else this.attempts.stop(a, grace);
    }
  }

  /** Derived anew from each report, so nothing is forgotten when an answer is lost. */
  private stopsFor(m: Machine, r: Heartbeat): WorkerCommand[] {
    const orders: WorkerCommand[] = [];
    const listed = new Set<Attempt>();
    for (const t of r.tasks) {
      if (t.state === 'exited') continue;
      const id = { job: t.job, index: t.index, attempt: t.attempt };
      const a = m.attempts.get(attemptKey(t.job, t.index));
      if (a === undefined || a.no !== t.attempt) {
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
        orders.push({ op: 'stop', job: a.job.id, index: a.index, attempt: a.no, graceUs: 0 });
    return orders;
  }

  /** Before the records are read: tasks of jobs that had ended by then. Nothing else is known to be over. */
  private earlyStops(r: Heartbeat): WorkerCommand[] {
    const { listed } = this.term;
    return r.tasks
      .filter((t) => t.state !== 'exited' && listed !== null && !listed.has(t.job))
      .map((t) => ({ op: 'stop' as const, job: t.job, index: t.index, attempt: t.attempt, graceUs: 0 }));
  }

  private forgetsFor(m: Machine, r: Heartbeat, most: number): WorkerCommand[] {
    const orders: WorkerCommand[] = [];
    for (const t of r.tasks) {
      if (orders.length >= most) break;
      if (t.state !== 'exited') continue;
      const job = this.term.estate.jobs.get(t.job);
      // The worker keeps a result until it is written; only then may it forget.
      const held =
        t.cause === 'done' &&
        job !== undefined &&
        (job.phase === 'finishing' || (job.phase === 'active' && !job.durable.has(t.index)));
      // Only what was done: its task never starts again, so nobody is refused for what is kept there.
      if (held || (t.cause === 'done' && this.host.keeps(t))) continue;
      if (!this.attempts.mayForget(m)) break;
      orders.push({ op: 'forget', job: t.job, index: t.index, attempt: t.attempt });
    }
    return orders;
  }
}
