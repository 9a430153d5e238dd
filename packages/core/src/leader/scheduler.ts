/**
 * What the leader does in one term: joins the parts that know, decide and write, and looks after them twice a
 * second. A new leader makes a new scheduler.
 */
import { AttemptLifecycle } from '../tasks/attempt-lifecycle.js';
import { DependencyFailurePropagation } from '../jobs/dependency-failure-propagation.js';
import { PreemptionPlanner } from '../scheduling/preemption-planner.js';
import { ActiveJob, type TaskAttempt, type Machine } from '../cluster/cluster-model.js';
import { JobCompletion } from '../jobs/job-completion.js';
import { Defragmentation } from '../scheduling/defragmentation.js';
import type { NodeContext } from '../node/node-context.js';
import { DependencyGraph, type DependencyEvents } from '../jobs/dependencies.js';
import type { JobService } from '../api/job-service.js';
import { DependencyOutcomeResolver } from '../jobs/dependency-outcome-resolver.js';
import { Autoscaler } from '../machines/autoscaler.js';
import { SnapshotBuilder } from '../scheduling/snapshot-builder.js';
import { idOfActive, JOBS, MACHINES, PLACES, PROGRESS, ROSTER, TIMINGS, TYPES } from '../codecs/keys.js';
import type { LeaderElection, LeaderLease } from '../leadership/leader-election.js';
import type { Heartbeat, HeartbeatResponse } from '../domain/heartbeat.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import { MILLI, SECOND } from '../domain/time.js';
import { QueueOrder } from '../scheduling/queue-order.js';
import { pageRoom } from '../storage/packed-pages.js';
import { MachineLifecycle } from '../machines/machine-lifecycle.js';
import { logClusterSummary } from './cluster-summary.js';
import { Planner } from './planner.js';
import { ProgressPublisher } from './progress-publisher.js';
import { Features, type Feature } from '../ports.js';
import { LeaderHealth } from './leader-health.js';
import { ProgressStore } from '../storage/progress-store.js';
import { decodeActiveJob } from '../codecs/job-codec.js';
import { bytesOf } from '../codecs/value-size.js';
import { encodeMachineTypes } from '../codecs/machine-type-codec.js';
import { HeartbeatHandler } from '../tasks/heartbeat-handler.js';
import { MachineStore } from '../storage/machine-store.js';
import { MachineFailureDetector } from '../machines/machine-failure-detector.js';
import { PreprovisionedMachines } from '../machines/preprovisioned-machines.js';
import { Failover } from '../leadership/failover.js';
import { LeaderTerm } from '../leadership/leader-term.js';
import { FencedWriter } from '../storage/fenced-writer.js';

const SWEEP = 500 * MILLI;
/** Who gave the office up for slowness does not stand for it again so soon. */
const HOLD_OFF = 20 * SECOND;
/** What could begin for no longer than this counts as having just come. */
const FRESH = 5 * SECOND;

export class Scheduler {
  readonly term: LeaderTerm;
  private readonly writer: FencedWriter;
  private readonly attempts: AttemptLifecycle;
  private readonly reports: HeartbeatHandler;
  private readonly park: MachineLifecycle;
  private readonly completion: JobCompletion;
  private readonly planner: Planner;
  private readonly silence: MachineFailureDetector;
  private readonly consolidation: Defragmentation;
  private readonly fleet: Autoscaler;
  private readonly progress: ProgressStore;
  private readonly roster: MachineStore;
  private readonly deps: DependencyGraph;
  private readonly cascade: DependencyFailurePropagation;
  private readonly endings: DependencyOutcomeResolver;
  private readonly features: Features;
  private readonly progressPublisher: ProgressPublisher;
  private readonly fitness = new LeaderHealth();
  private sweeps = 0;
  private lastFlush: Micros = 0;
  private takeover: Failover | null = null;

  constructor(
    private readonly ctx: NodeContext,
    office: LeaderLease,
    private readonly leadership: LeaderElection,
    private readonly desk: JobService,
    features: readonly Feature[],
  ) {
    const term = new LeaderTerm(ctx, office, leadership, () => {
      this.planner.schedulePass();
    });
    this.term = term;
    const { cluster: estate } = term;
    const fenced = (): void => {
      leadership.stepDown('fenced');
    };
    const find = (name: string): Machine | undefined => estate.machines.get(name);
    const end = (a: TaskAttempt): void => {
      this.attempts.end(a, null);
    };
    const stop = (a: TaskAttempt, graceUs: Micros): void => {
      this.attempts.stop(a, graceUs);
    };
    const retireWhenEmpty = (m: Machine, reason: string, latest: Micros): void => {
      this.park.retireWhenEmpty(m, reason, latest);
    };
    this.writer = new FencedWriter(ctx, office.keyVersion, fenced);
    this.progress = new ProgressStore(ctx, this.writer, (id) => estate.jobs.get(id), find);
    this.roster = new MachineStore(this.writer, pageRoom(ctx.settings.maxValueBytes), find, (key) => {
      ctx.error('machine.record_unreadable', { key });
    });
    this.attempts = new AttemptLifecycle(term, {
      place: (job, then, refused) => {
        this.progress.recordPlacement(job, then, refused);
      },
      report: (m, r) => {
        this.reports.apply(m, r);
      },
      released: (job) => {
        this.completion.dropIfEmpty(job);
      },
      ended: (a, exit) => {
        this.features.tell((f) => {
          f.ended(a, exit);
        });
      },
      retireWhenEmpty,
    });
    this.park = new MachineLifecycle(term, this.roster, {
      remove: (name) => {
        this.fleet.remove(name);
      },
      end,
      gone: (m) => {
        this.features.tell((f) => {
          f.gone(m);
        });
      },
    });
    this.fleet = new Autoscaler(ctx, {
      term: term.number,
      standing: new PreprovisionedMachines(term, this.roster, this.writer, term.schedulePass),
      machines: () => estate.machines.values(),
      find,
      rented: (...a) => {
        this.park.recordProvisioned(...a);
      },
      listed: (...a) => {
        this.park.recordListed(...a);
      },
      gone: (...a) => {
        this.park.remove(...a);
      },
      retire: (...a) => {
        this.park.retire(...a);
      },
      changed: term.schedulePass,
      active: () => !term.stopped,
      entitled: () => term.canActAsLeader(),
      thrifty: () => estate.isCostSensitive(),
    });
    this.silence = new MachineFailureDetector(term, this.park, end);
    this.consolidation = new Defragmentation(estate, stop, retireWhenEmpty);
    this.deps = new DependencyGraph(this.dependencyHost());
    this.endings = new DependencyOutcomeResolver(
      ctx,
      () => !term.stopped,
      (id) => this.deps.open(id) && (estate.jobs.get(id)?.phase ?? 'ended') === 'ended',
      (id, how) => {
        this.deps.ended(id, how);
      },
    );
    this.completion = new JobCompletion(term, {
      told: (id, stage, done) => {
        desk.recordTerminalState(id, stage, done);
      },
      ended: (job, how) => {
        this.deps.remove(job);
        if (how !== null) this.deps.ended(job.id, how);
        else if (this.deps.open(job.id)) this.endings.ask(job.id);
      },
      stop: (a) => {
        this.attempts.stop(a, 0);
      },
      dropProgress: (job) => {
        this.progress.drop(job);
      },
      forget: (job) => {
        if (estate.jobs.get(job.id) !== job) return;
        estate.jobs.delete(job.id);
        this.progressPublisher.forget(job.id);
        this.features.tell((f) => {
          f.closed(job);
        });
      },
    });
    this.reports = new HeartbeatHandler(term, this.park, this.attempts, {
      markDone: (job, index) => {
        this.completion.markDone(job, index);
      },
      running: (a) => {
        this.features.tell((f) => {
          f.running(a);
        });
      },
      exited: (job, exit) => {
        this.features.tell((f) => {
          f.exited(job, exit);
        });
      },
      keeps: (exit) => !this.features.none && this.features.keeps(exit),
    });
    this.cascade = new DependencyFailurePropagation(ctx, {
      leadVersion: office.keyVersion,
      active: () => !term.stopped,
      fenced,
      withdrawn: (job) => {
        desk.recordTerminalState(job.id, 'cancelled', 0, job.spec.shape === 'service');
        this.completion.ended(job, 'cancelled');
      },
      moved: (job) => {
        this.completion.confirm(job);
      },
    });
    this.progressPublisher = new ProgressPublisher(term, desk);
    this.planner = new Planner(term, {
      ordering: new QueueOrder(estate),
      imaging: new SnapshotBuilder(estate),
      clearing: new PreemptionPlanner(estate, stop),
      attempts: this.attempts,
      deps: this.deps,
      fleet: this.fleet,
      behind: () => this.fitness.isLagging,
    });
    this.features = new Features(term, features, this.deps);
  }

  private dependencyHost(): DependencyEvents {
    const { ctx, term } = this;
    const { cluster: estate } = term;
    return {
      get wallNow(): Micros {
        return ctx.wallNow;
      },
      job: (id) => {
        const job = estate.jobs.get(id);
        return job?.phase === 'ended' ? undefined : job;
      },
      resolve: (id) => {
        this.endings.ask(id);
      },
      released: (job) => {
        this.holdOne(job);
        if (!term.ready) return;
        ctx.info('job.dependencies_met', {
          job: job.id,
          heldS: (job.waitingSince - job.acceptedAt) / SECOND,
        });
        // What was released long ago is no arrival of now.
        if (ctx.wallNow - job.waitingSince < FRESH) this.fleet.noteArrival(job.spec);
        term.schedulePass();
      },
      doomed: (jobs, cause) => {
        ctx.info('dependencies.failure_propagated', { cause, jobs: jobs.map((j) => j.id) });
        this.cascade.add(jobs);
      },
      expected: (job) => estate.expectedDuration(job),
    };
  }

  start(): void {
    this.takeover = new Failover(this.term, this.term.lease.freshness, {
      restore: (read, timings) => {
        this.rebuild(read, timings);
      },
      jobPut: (id, value, version) => {
        this.addJob(id, value, version, true);
      },
      jobDeleted: (id, version) => {
        const job = this.term.cluster.jobs.get(id);
        if (job !== undefined && job.phase === 'active' && job.version < version)
          this.completion.ended(job, null);
      },
      jobsListed: (ids, revision) => {
        for (const job of [...this.term.cluster.jobs.values()])
          if (!ids.has(job.id) && job.phase === 'active' && job.version <= revision)
            this.completion.ended(job, null);
      },
    });
    this.takeover.start();
    this.leadership.onRenewed = () => {
      this.fitness.recordRenewal(this.ctx.now, !this.term.inFailoverGracePeriod);
    };
    this.progressPublisher.publish(true);
    this.sweepLater();
  }

  stop(): void {
    this.term.stopped = true;
    this.leadership.onRenewed = null;
    this.writer.stop();
    this.features.tell((f) => {
      f.stop();
    });
  }

  /** What is known of the cloud changed. */
  changed(): void {
    this.planner.schedulePass();
  }

  respondToHeartbeat(r: Heartbeat): HeartbeatResponse {
    return this.reports.respond(r);
  }

  /** A report that could not be answered with 200 still shows that its sender is there. */
  recordLiveness(r: Heartbeat): void {
    this.reports.recordLiveness(r);
  }

  // ---- taking over -------------------------------------------------------------------------------

  private rebuild(read: (prefix: string) => readonly StoredItem[], timings: StoredItem | null): void {
    const { machines, jobs } = this.term.cluster;
    if (timings !== null) {
      this.term.cluster.runtimeEstimates.load(timings.value);
      this.writer.rememberVersion(TIMINGS, timings.version);
    }
    for (const [name, rec] of this.roster.load(read(ROSTER), read(MACHINES))) {
      const m = machines.get(name) ?? this.park.add(name, rec);
      m.recorded = 'yes';
      m.preprovisioned = rec.preprovisioned;
      // An older leader may have renewed its lease, and put tasks on it, until our office began.
      m.leaseRenewedAt = Math.max(m.leaseRenewedAt, this.term.lease.heldSince);
      m.awaitingReconciliation = true;
      if (rec.retiring) this.park.retire(m, 'was retiring');
    }
    this.roster.adopt(read(MACHINES), (name) => machines.get(name));
    for (const it of read(JOBS)) this.addJob(idOfActive(it.key), it.value, it.version, false);
    for (const job of jobs.values()) this.deps.add(job);
    this.progress.load(read(PLACES), read(PROGRESS), jobs.values(), this.roster.isComplete);
    this.term.ready = true;
    this.reports.replayEarlyHeartbeats();
    for (const m of machines.values()) if (m.up) this.park.persist(m);
    this.features.tell((f) => {
      f.ready();
    });
    this.hold();
    this.ctx.info('leader.state_restored', {
      term: this.term.number,
      jobs: jobs.size,
      held: this.deps.blockedCount,
      machines: machines.size,
    });
    for (const job of jobs.values()) if (job.isComplete) this.completion.finish(job);
    this.fleet.start();
    this.planner.schedulePass();
  }

  private addJob(id: string, value: unknown, version: number, fresh: boolean): void {
    const { jobs } = this.term.cluster;
    if (jobs.has(id)) return;
    const rec = decodeActiveJob(value);
    if (rec === null) {
      this.ctx.error('job.record_unreadable', { job: id });
      return;
    }
    // A list of several pages may show a job whose end this leader has written since. One that waits for others may be
    // told as cancelled though its own record has yet to say so.
    if (rec.spec.dependsOn.length === 0 && this.desk.hasEnded(id)) return;
    const job = new ActiveJob(rec.spec, version, rec.acceptedAt, this.ctx.now);
    jobs.set(id, job);
    if (fresh) {
      this.deps.add(job);
      this.holdOne(job);
      if (job.blockedOnDependencies)
        this.ctx.info('job.blocked_on_dependencies', { job: id, for: this.deps.waitsFor(job) });
      else if (rec.spec.dependsOn.length === 0 && job.admissionHold === null)
        this.fleet.noteArrival(rec.spec);
      this.ctx.debug('job.discovered', { job: id, class: rec.spec.class });
      if (this.fleet.mustStartAtOnce(rec.spec)) this.planner.scheduleUrgentPass();
    }
    this.planner.schedulePass();
  }

  // ---- what features hold back -------------------------------------------------------------------

  /** Jobs that have not begun are asked for again and again: what holds them back may have passed. */
  private hold(): void {
    if (this.features.none) return;
    for (const job of [...this.term.cluster.jobs.values()].sort((a, b) => a.acceptedAt - b.acceptedAt))
      this.holdOne(job);
  }

  private holdOne(job: ActiveJob): void {
    if (this.features.none || job.phase !== 'active') return;
    // What has begun goes on to its end; what waits for other jobs is asked for once it need not.
    const hold = job.hasStarted || job.blockedOnDependencies ? null : this.features.holds(job);
    const before = job.admissionHold;
    if (hold === null ? before === null : hold.reason === before?.reason) return;
    // What passes with a change of leader was once told for every job that had not begun, each time.
    const known = before !== null && !before.transient;
    if (hold !== null && !hold.transient && !known)
      this.ctx.info('job.admission_held', { job: job.id, reason: hold.reason });
    if (hold === null) {
      if (known) this.ctx.info('job.admission_released', { job: job.id, after: before.reason });
      // What came long ago is no arrival of now.
      if (this.ctx.wallNow - job.acceptedAt < FRESH) this.fleet.noteArrival(job.spec);
    }
    job.admissionHold = hold;
    this.planner.schedulePass();
  }

  // ---- the sweep ---------------------------------------------------------------------------------

  private sweepLater(): void {
    const due = this.ctx.now + SWEEP;
    this.term.after(SWEEP, () => {
      this.fitness.recordTimer(this.ctx.now, due, !this.term.inFailoverGracePeriod);
      this.sweep();
      this.sweepLater();
    });
  }

  private sweep(): void {
    const { settings } = this.ctx;
    const { cluster: estate } = this.term;
    this.sweeps++;
    this.takeover?.probeIfStale();
    const entitled = this.term.canActAsLeader();
    this.silence.recordLeaseState(entitled);
    if (this.sweeps % 2 === 0) this.progressPublisher.publish(this.sweeps % 10 === 0);
    if (this.leadership.missesCancellations && this.mayResign()) {
      this.leadership.resign(HOLD_OFF, 'hears nothing of cancellations');
      return;
    }
    if (!this.term.ready) return;
    if (entitled && this.fitness.isOverloaded && this.mayResign()) {
      this.leadership.resign(HOLD_OFF, 'too slow to lead');
      return;
    }
    // Without right nothing is decided: others may have led and answered since, and what this picture shows of
    // silence, leases and gangs is then no more than that nobody reports here. A leader that had been deposed for 33 s
    // rented 56 machines. If the right comes back nobody else has led, and everything is looked at then.
    if (entitled) {
      this.silence.expireLeases();
      this.silence.retireSilentMachines();
      this.fleet.sweep(this.planner.needed);
      for (const m of estate.machines.values()) if (m.queuedCommands.length > 0) this.attempts.pump(m);
      this.attempts.checkGangs();
    }
    if (this.ctx.now - this.lastFlush >= settings.tuning.progressIntervalUs) {
      this.lastFlush = this.ctx.now;
      this.progress.flush(estate.jobs.values());
    }
    this.features.tell((f) => {
      f.sweep(entitled);
    });
    if (this.sweeps % 2 === 0) this.hold();
    if (this.sweeps % 60 === 0) this.saveTimings();
    if (this.sweeps % 4 === 0 || this.planner.passPending) this.planner.schedulePass();
    if (this.sweeps % 6 === 0 && entitled && estate.isCostSensitive()) this.consolidation.consolidate();
    // Pages of the version before, or too large, are taken apart while nothing else waits to be written.
    if (this.writer.backlog < settings.maxTransactionOperations) {
      this.roster.compact();
      this.progress.compact(estate.jobs.values());
    }
    if (this.sweeps % 40 === 0) {
      this.roster.rewriteStalePages();
      this.progress.rewriteStalePages();
    }
    if (this.sweeps % 20 === 0) logClusterSummary(this.term);
  }

  /**
   * Another takes the office at once. Handovers don't chase each other: a new leader is slow while all turn to it, and who
   * resigned stays the next time, for if all are slow nobody is better.
   */
  private mayResign(): boolean {
    const { now, settings } = this.ctx;
    const { resignedAt } = this.leadership;
    if (settings.peers.length === 0 || this.term.inFailoverGracePeriod) return false;
    return resignedAt === null || now - resignedAt > 4 * settings.workerLeaseUs;
  }

  private saveTimings(): void {
    if (this.attempts.noted === 0) return;
    this.attempts.noted = 0;
    const value = this.term.cluster.runtimeEstimates.summary(pageRoom(this.ctx.settings.maxValueBytes));
    this.writer.put(
      TIMINGS,
      () => value,
      () => undefined,
      { urgent: 'later' },
    );
  }

  /** Types are kept in the state service for nodes that start while the cloud is out. */
  saveTypes(types: readonly MachineType[]): void {
    // Some of them would be worse than none: jobs would be told that they fit nowhere.
    const value = encodeMachineTypes(types);
    if (bytesOf(value) > pageRoom(this.ctx.settings.maxValueBytes)) return;
    this.writer.put(
      TYPES,
      () => value,
      () => undefined,
      { checked: false, urgent: 'later' },
    );
  }
}
