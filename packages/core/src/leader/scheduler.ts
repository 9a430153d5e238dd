/**
 * What the leader does in one term: joins the parts that know, decide and write, and looks after them twice a
 * second. A new leader makes a new scheduler.
 */
import { Attempts } from '../tasks/attempt-lifecycle.js';
import { Cascade } from '../jobs/dependency-failure-propagation.js';
import { Clearing } from '../scheduling/preemption-planner.js';
import { ActiveJob, type Attempt, type Machine } from '../cluster/cluster-model.js';
import { Completion } from '../jobs/job-completion.js';
import { Consolidation } from '../scheduling/defragmentation.js';
import type { Context } from '../node/node-context.js';
import { Dependencies, type DependencyHost } from '../jobs/dependencies.js';
import type { Desk } from '../api/job-service.js';
import { Endings } from '../jobs/dependency-outcome-resolver.js';
import { Fleet } from '../machines/autoscaler.js';
import { Imaging } from '../scheduling/snapshot-builder.js';
import { idOfActive, JOBS, MACHINES, PLACES, PROGRESS, ROSTER, TIMINGS, TYPES } from '../codecs/keys.js';
import type { Leadership, Office } from '../leadership/leader-election.js';
import type { Heartbeat, HeartbeatResponse } from '../domain/heartbeat.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import { MILLI, SECOND } from '../domain/time.js';
import { Ordering } from '../scheduling/queue-order.js';
import { pageRoom } from '../storage/packed-pages.js';
import { Park } from '../machines/machine-lifecycle.js';
import { logClusterSummary } from './cluster-summary.js';
import { Planner } from './planner.js';
import { ProgressPublisher } from './progress-publisher.js';
import { Features, type Feature } from '../ports.js';
import { Fitness } from './leader-health.js';
import { ProgressBook } from '../storage/progress-store.js';
import { decodeActiveJob } from '../codecs/job-codec.js';
import { bytesOf } from '../codecs/value-size.js';
import { encodeMachineTypes } from '../codecs/machine-type-codec.js';
import { Reports } from '../tasks/heartbeat-handler.js';
import { Roster } from '../storage/machine-store.js';
import { Silence } from '../machines/machine-failure-detector.js';
import { Standing } from '../machines/preprovisioned-machines.js';
import { Takeover } from '../leadership/failover.js';
import { Term } from '../leadership/leader-term.js';
import { Writer } from '../storage/fenced-writer.js';

const SWEEP = 500 * MILLI;
/** Who gave the office up for slowness does not stand for it again so soon. */
const HOLD_OFF = 20 * SECOND;
/** What could begin for no longer than this counts as having just come. */
const FRESH = 5 * SECOND;

export class Scheduler {
  private readonly term: Term;
  private readonly writer: Writer;
  private readonly attempts: Attempts;
  private readonly reports: Reports;
  private readonly park: Park;
  private readonly completion: Completion;
  private readonly planner: Planner;
  private readonly silence: Silence;
  private readonly consolidation: Consolidation;
  private readonly fleet: Fleet;
  private readonly progress: ProgressBook;
  private readonly roster: Roster;
  private readonly deps: Dependencies;
  private readonly cascade: Cascade;
  private readonly endings: Endings;
  private readonly features: Features;
  private readonly progressPublisher: ProgressPublisher;
  private readonly fitness = new Fitness();
  private sweeps = 0;
  private lastFlush: Micros = 0;
  private takeover: Takeover | null = null;

  constructor(
    private readonly ctx: Context,
    office: Office,
    private readonly leadership: Leadership,
    private readonly desk: Desk,
    features: readonly Feature[],
  ) {
    const term = new Term(ctx, office, leadership, () => {
      this.planner.schedulePass();
    });
    this.term = term;
    const { estate } = term;
    const fenced = (): void => {
      leadership.lose('fenced');
    };
    const find = (name: string): Machine | undefined => estate.machines.get(name);
    const end = (a: Attempt): void => {
      this.attempts.end(a, null);
    };
    const stop = (a: Attempt, graceUs: Micros): void => {
      this.attempts.stop(a, graceUs);
    };
    const retireWhenEmpty = (m: Machine, reason: string, latest: Micros): void => {
      this.park.retireWhenEmpty(m, reason, latest);
    };
    this.writer = new Writer(ctx, office.version, fenced);
    this.progress = new ProgressBook(ctx, this.writer, (id) => estate.jobs.get(id), find);
    this.roster = new Roster(this.writer, pageRoom(ctx.settings.maxValueBytes), find, (key) => {
      ctx.error('roster.unreadable', { key });
    });
    this.attempts = new Attempts(term, {
      place: (job, then, refused) => {
        this.progress.place(job, then, refused);
      },
      report: (m, r) => {
        this.reports.take(m, r);
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
    this.park = new Park(term, this.roster, {
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
    this.fleet = new Fleet(ctx, {
      term: term.no,
      standing: new Standing(term, this.roster, this.writer, term.planSoon),
      machines: () => estate.machines.values(),
      find,
      rented: (...a) => {
        this.park.rented(...a);
      },
      listed: (...a) => {
        this.park.listed(...a);
      },
      gone: (...a) => {
        this.park.gone(...a);
      },
      retire: (...a) => {
        this.park.retire(...a);
      },
      changed: term.planSoon,
      active: () => !term.stopped,
      entitled: () => term.entitled(),
      thrifty: () => estate.thrifty(),
    });
    this.silence = new Silence(term, this.park, end);
    this.consolidation = new Consolidation(estate, stop, retireWhenEmpty);
    this.deps = new Dependencies(this.dependencyHost());
    this.endings = new Endings(
      ctx,
      () => !term.stopped,
      (id) => this.deps.open(id) && (estate.jobs.get(id)?.phase ?? 'ended') === 'ended',
      (id, how) => {
        this.deps.ended(id, how);
      },
    );
    this.completion = new Completion(term, {
      told: (id, stage, done) => {
        desk.noteEnded(id, stage, done);
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
    this.reports = new Reports(term, this.park, this.attempts, {
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
    this.cascade = new Cascade(ctx, {
      leadVersion: office.version,
      active: () => !term.stopped,
      fenced,
      withdrawn: (job) => {
        desk.noteEnded(job.id, 'cancelled', 0, job.spec.shape === 'service');
        this.completion.ended(job, 'cancelled');
      },
      moved: (job) => {
        this.completion.confirm(job);
      },
    });
    this.progressPublisher = new ProgressPublisher(term, desk);
    this.planner = new Planner(term, {
      ordering: new Ordering(estate),
      imaging: new Imaging(estate),
      clearing: new Clearing(estate, stop),
      attempts: this.attempts,
      deps: this.deps,
      fleet: this.fleet,
      behind: () => this.fitness.behind,
    });
    this.features = new Features(term, features, this.deps);
  }

  private dependencyHost(): DependencyHost {
    const { ctx, term } = this;
    const { estate } = term;
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
        ctx.info('job.released', { job: job.id, heldS: (job.since - job.at) / SECOND });
        // What was released long ago is no arrival of now.
        if (ctx.wallNow - job.since < FRESH) this.fleet.noteArrival(job.spec);
        term.planSoon();
      },
      doomed: (jobs, cause) => {
        ctx.info('jobs.doomed', { cause, jobs: jobs.map((j) => j.id) });
        this.cascade.add(jobs);
      },
      expected: (job) => estate.expectedOf(job),
    };
  }

  start(): void {
    this.takeover = new Takeover(this.term, this.term.office.freshness, {
      rebuild: (read, timings) => {
        this.rebuild(read, timings);
      },
      appeared: (id, value, version) => {
        this.addJob(id, value, version, true);
      },
      vanished: (id, version) => {
        const job = this.term.estate.jobs.get(id);
        if (job !== undefined && job.phase === 'active' && job.version < version)
          this.completion.ended(job, null);
      },
      present: (ids, revision) => {
        for (const job of [...this.term.estate.jobs.values()])
          if (!ids.has(job.id) && job.phase === 'active' && job.version <= revision)
            this.completion.ended(job, null);
      },
    });
    this.takeover.start();
    this.leadership.onRenewed = () => {
      this.fitness.renewed(this.ctx.now, !this.term.accounting);
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

  onReport(r: Heartbeat): HeartbeatResponse {
    return this.reports.answer(r);
  }

  /** A report that could not be answered with 200 still shows that its sender is there. */
  heard(r: Heartbeat): void {
    this.reports.heard(r);
  }

  // ---- taking over -------------------------------------------------------------------------------

  private rebuild(read: (prefix: string) => readonly StoredItem[], timings: StoredItem | null): void {
    const { machines, jobs } = this.term.estate;
    if (timings !== null) {
      this.term.estate.timings.seed(timings.value);
      this.writer.know(TIMINGS, timings.version);
    }
    for (const [name, rec] of this.roster.load(read(ROSTER), read(MACHINES))) {
      const m = machines.get(name) ?? this.park.add(name, rec);
      m.recorded = 'yes';
      m.standing = rec.standing;
      // An older leader may have renewed its lease, and put tasks on it, until our office began.
      m.leaseFrom = Math.max(m.leaseFrom, this.term.office.since);
      m.unresolved = true;
      if (rec.retiring) this.park.retire(m, 'was retiring');
    }
    this.roster.adopt(read(MACHINES), (name) => machines.get(name));
    for (const it of read(JOBS)) this.addJob(idOfActive(it.key), it.value, it.version, false);
    for (const job of jobs.values()) this.deps.add(job);
    this.progress.load(read(PLACES), read(PROGRESS), jobs.values(), this.roster.whole);
    this.term.ready = true;
    this.reports.takeEarly();
    for (const m of machines.values()) if (m.up) this.park.record(m);
    this.features.tell((f) => {
      f.ready();
    });
    this.hold();
    this.ctx.info('leader.ready', {
      term: this.term.no,
      jobs: jobs.size,
      held: this.deps.heldCount,
      machines: machines.size,
    });
    for (const job of jobs.values()) if (job.complete) this.completion.finish(job);
    this.fleet.start();
    this.planner.schedulePass();
  }

  private addJob(id: string, value: unknown, version: number, fresh: boolean): void {
    const { jobs } = this.term.estate;
    if (jobs.has(id)) return;
    const rec = decodeActiveJob(value);
    if (rec === null) {
      this.ctx.error('job.unreadable', { job: id });
      return;
    }
    // A list of several pages may show a job whose end this leader has written since. One that waits for others may be
    // told as cancelled though its own record has yet to say so.
    if (rec.spec.dependsOn.length === 0 && this.desk.hasEnded(id)) return;
    const job = new ActiveJob(rec.spec, version, rec.at, this.ctx.now);
    jobs.set(id, job);
    if (fresh) {
      this.deps.add(job);
      this.holdOne(job);
      if (job.held) this.ctx.info('job.held', { job: id, for: this.deps.waitsFor(job) });
      else if (rec.spec.dependsOn.length === 0 && job.barred === null) this.fleet.noteArrival(rec.spec);
      this.ctx.debug('job.seen', { job: id, class: rec.spec.class });
      if (this.fleet.mustStartAtOnce(rec.spec)) this.planner.scheduleUrgentPass();
    }
    this.planner.schedulePass();
  }

  // ---- what features hold back -------------------------------------------------------------------

  /** Jobs that have not begun are asked for again and again: what holds them back may have passed. */
  private hold(): void {
    if (this.features.none) return;
    for (const job of [...this.term.estate.jobs.values()].sort((a, b) => a.at - b.at)) this.holdOne(job);
  }

  private holdOne(job: ActiveJob): void {
    if (this.features.none || job.phase !== 'active') return;
    // What has begun goes on to its end; what waits for other jobs is asked for once it need not.
    const hold = job.begun || job.held ? null : this.features.holds(job);
    const before = job.barred;
    if (hold === null ? before === null : hold.reason === before?.reason) return;
    // What passes with a change of leader was once told for every job that had not begun, each time.
    const known = before !== null && !before.passing;
    if (hold !== null && !hold.passing && !known)
      this.ctx.info('job.barred', { job: job.id, reason: hold.reason });
    if (hold === null) {
      if (known) this.ctx.info('job.let_go', { job: job.id, after: before.reason });
      // What came long ago is no arrival of now.
      if (this.ctx.wallNow - job.at < FRESH) this.fleet.noteArrival(job.spec);
    }
    job.barred = hold;
    this.planner.schedulePass();
  }

  // ---- the sweep ---------------------------------------------------------------------------------

  private sweepLater(): void {
    const due = this.ctx.now + SWEEP;
    this.term.after(SWEEP, () => {
      this.fitness.fired(this.ctx.now, due, !this.term.accounting);
      this.sweep();
      this.sweepLater();
    });
  }

  private sweep(): void {
    const { settings } = this.ctx;
    const { estate } = this.term;
    this.sweeps++;
    this.takeover?.keepFresh();
    const entitled = this.term.entitled();
    this.silence.noteRight(entitled);
    if (this.sweeps % 2 === 0) this.progressPublisher.publish(this.sweeps % 10 === 0);
    if (this.leadership.blind && this.mayResign()) {
      this.leadership.resign(HOLD_OFF, 'hears nothing of cancellations');
      return;
    }
    if (!this.term.ready) return;
    if (entitled && this.fitness.unfit && this.mayResign()) {
      this.leadership.resign(HOLD_OFF, 'too slow to lead');
      return;
    }
    // Without right nothing is decided: others may have led and answered since, and what this picture shows of
    // silence, leases and gangs is then no more than that nobody reports here. A leader that had been deposed for 33 s
    // rented 56 machines. If the right comes back nobody else has led, and everything is looked at then.
    if (entitled) {
      this.silence.expireLeases();
      this.silence.check();
      this.fleet.sweep(this.planner.needed);
      for (const m of estate.machines.values()) if (m.outbox.length > 0) this.attempts.pump(m);
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
    if (this.sweeps % 4 === 0 || this.planner.owes) this.planner.schedulePass();
    if (this.sweeps % 6 === 0 && entitled && estate.thrifty()) this.consolidation.consolidate();
    // Pages of the version before, or too large, are taken apart while nothing else waits to be written.
    if (this.writer.backlog < settings.maxTransactionOperations) {
      this.roster.settle();
      this.progress.settle(estate.jobs.values());
    }
    if (this.sweeps % 40 === 0) {
      this.roster.tidy();
      this.progress.tidy();
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
    if (settings.peers.length === 0 || this.term.accounting) return false;
    return resignedAt === null || now - resignedAt > 4 * settings.workerLeaseUs;
  }

  private saveTimings(): void {
    if (this.attempts.noted === 0) return;
    this.attempts.noted = 0;
    const value = this.term.estate.timings.summary(pageRoom(this.ctx.settings.maxValueBytes));
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
