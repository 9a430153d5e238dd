/**
 * What the leader does in one term: keeps the picture of jobs and machines, takes reports, decides
 * starts and stops, and writes what must survive. A new leader makes a new scheduler.
 */
import type { Context } from './context.js';
import { attemptKey, Machine, type Attempt } from './cluster.js';
import type { Desk } from './desk.js';
import { Fleet, type FleetHost } from './fleet.js';
import { gangAttempt, leftovers, wholeGang } from './gangs.js';
import { ActiveJob } from './jobs.js';
import {
  activeKey,
  endedKey,
  JOBS,
  LEAD,
  MACHINES,
  PLACES,
  PROGRESS,
  ROSTER,
  TIMINGS,
  TYPES,
} from './keys.js';
import { DRIFT, type Leadership, type Office } from './leadership.js';
import type {
  Item,
  JobSpec,
  ListedMachine,
  MachineType,
  Micros,
  Order,
  OrdersReply,
  ProgressNote,
  Report,
  ReportedTask,
  StateEvent,
  WorkerAnswer,
} from './model.js';
import { MILLI, SECOND } from './model.js';
import { ProgressBook } from './progress.js';
import { pageRoom } from './pages.js';
import { bytesOf, endedRecord, readActive, readEnded } from './records.js';
import { Roster } from './roster.js';
import { fits, placeAllowed, typeAllowed } from './room.js';
import type { Change, Group, Picture, Slot, Step } from './board.js';
import { search } from './search.js';
import { latestStart, mergeOrders, orderByAims, type AimOrder, type Contender } from './aims.js';
import { stagesAhead } from './ahead.js';
import { Cascade } from './cascade.js';
import { Dependencies, type DependencyHost } from './dependencies.js';
import { Endings } from './endings.js';
import { Clearings, SETTLED, type Rights } from './preemption.js';
import { guaranteedJobs, turnOrder, Usage } from './teams.js';
import { Timings } from './timings.js';
import { Writer } from './writer.js';

/** Room for raising the token and numbering attempts within a term; products stay below 2^53. */
const TOKENS_PER_TERM = 2 ** 20;
const ATTEMPTS_PER_TERM = 2 ** 24;
/** Tasks of one job that a play-out represents. */
const MAX_REPRESENTED = 160;
/** Plans pause for this many times what the last one took: users and workers must get through between. */
const PLAN_PAUSE = 6;
/** How long a machine's slot is kept in the picture while nothing changes there. */
const PICTURE_FRESH = 2_500 * MILLI;
/** A stopped task waits for about this share of how long others of its class wait: it was in order before. */
const REQUEUE_SHARE = 0.4;
/** What a stopped task loses at least: it saves, waits for another place, and fetches its image there. */
const PRESSED = 30 * SECOND;
/** A wait that is never worth stopping others for, and the one that is where no aim can be met any more. */
const LEAST_WAIT = 8 * SECOND;
const HOPELESS_WAIT = 60 * SECOND;
/** From the decision to stop others until the job runs in their place, with time for a second try. */
const CLEARING_TIME = 20 * SECOND;
/** Attempts that one plan stops for others, about. */
const MAX_VICTIMS = 60;
const MAX_ORDERS = 400;
/** A new leader rents nothing until so many report intervals have passed, or all but this share is known. */
const REBUILD_REPORTS = 3;
const REBUILD_SHARE = 0.1;
const CHAINS_FRESH = 2 * SECOND;
/** From a decision to start until the task runs, where its image is there. */
const SETUP = 2 * SECOND;
/** From the end of a job's last task until the next job's tasks run: report, record, plan, record, start. */
const HANDOVER = 3 * SECOND;

export class Scheduler implements FleetHost {
  readonly term: number;
  private readonly machinesByName = new Map<string, Machine>();
  private readonly jobs = new Map<string, ActiveJob>();
  private readonly writer: Writer;
  private readonly fleet: Fleet;
  private readonly progress: ProgressBook;
  private readonly roster: Roster;
  private readonly timings = new Timings();
  private readonly deps: Dependencies;
  private readonly cascade: Cascade;
  private readonly endings: Endings;
  private ready = false;
  private stopped = false;
  private nextAttempt: number;
  private planning = false;
  private planAgain = false;
  private lastPlan: Micros = 0;
  /** What the last plan took: the next one waits a multiple of it, so that users' requests get through. */
  private planCost: Micros = 0;
  /** Silence is counted from here: from the term's begin or the last return of the right. */
  private entitledSince: Micros;
  private hadRight = true;
  private needed: ReadonlySet<string> = new Set();
  private readonly told = new Map<string, string>();
  private timingsNoted = 0;
  private chainsAt: Micros = 0;
  private readonly early = new Map<Machine, Report>();
  /** Machines that are gone for good: lists older than that still name them. */
  private readonly buried = new Map<string, Micros>();

  constructor(
    private readonly ctx: Context,
    private readonly office: Office,
    private readonly leadership: Leadership,
    private readonly desk: Desk,
  ) {
    this.term = office.term;
    this.nextAttempt = office.term * ATTEMPTS_PER_TERM;
    this.entitledSince = ctx.now;
    this.writer = new Writer(ctx, office.version, () => {
      leadership.lose('fenced');
    });
    this.fleet = new Fleet(ctx, this);
    const find = (name: string): Machine | undefined => this.machinesByName.get(name);
    this.deps = new Dependencies(this.dependencyHost());
    this.cascade = new Cascade(ctx, {
      leadVersion: office.version,
      active: () => !this.stopped,
      fenced: () => {
        leadership.lose('fenced');
      },
      withdrawn: (job) => {
        desk.noteEnded(job.id, 'cancelled', 0, job.spec.shape === 'service');
        this.ended(job, 'cancelled');
      },
      moved: (job) => {
        this.confirmEnd(job);
      },
    });
    this.endings = new Endings(
      ctx,
      () => !this.stopped,
      (id) => this.deps.open(id) && (this.jobs.get(id)?.phase ?? 'ended') === 'ended',
      (id, end) => {
        this.deps.ended(id, end);
      },
    );
    this.progress = new ProgressBook(ctx, this.writer, (id) => this.jobs.get(id), find);
    this.roster = new Roster(this.writer, pageRoom(ctx.settings.valueBytes), find, (key) => {
      ctx.error('roster.unreadable', { key });
    });
  }

  private dependencyHost(): DependencyHost {
    const clock = this.ctx;
    return {
      get wallNow(): Micros {
        return clock.wallNow;
      },
      job: (id) => {
        const job = this.jobs.get(id);
        return job?.phase === 'ended' ? undefined : job;
      },
      resolve: (id) => {
        this.endings.ask(id);
      },
      released: (job) => {
        if (!this.ready) return;
        this.ctx.info('job.released', { job: job.id, heldS: (job.since - job.at) / SECOND });
        // What was released long ago is no arrival of now.
        if (this.ctx.wallNow - job.since < 5 * SECOND) this.fleet.noteArrival(job.spec);
        this.planSoon();
      },
      doomed: (jobs, cause) => {
        this.ctx.info('jobs.doomed', { cause, jobs: jobs.map((j) => j.id) });
        this.cascade.add(jobs);
      },
      expected: (job) => this.expectedOf(job),
    };
  }

  start(): void {
    this.load();
    this.sweepLater();
  }

  stop(): void {
    this.stopped = true;
    this.writer.stop();
  }

  active(): boolean {
    return !this.stopped;
  }

  machines(): Iterable<Machine> {
    return this.machinesByName.values();
  }

  find(name: string): Machine | undefined {
    return this.machinesByName.get(name);
  }

  changed(): void {
    this.planSoon();
  }

  // ---- taking over -------------------------------------------------------------------------------

  /** Six reads at any size: the records come in pages. */
  private load(): void {
    const lists = new Map<string, Item[]>();
    const prefixes = [JOBS, PLACES, ROSTER, PROGRESS, MACHINES];
    let revision = 0;
    const next = (i: number): void => {
      const prefix = prefixes[i];
      if (prefix !== undefined) {
        this.listAll(prefix, (items, rev) => {
          if (i === 0) revision = rev;
          lists.set(prefix, items);
          next(i + 1);
        });
        return;
      }
      this.ctx.state({ kind: 'get', key: TIMINGS }, 2, (t) => {
        if (this.stopped) return;
        if (t.kind === 'item') {
          this.timings.seed(t.item.value);
          this.writer.know(TIMINGS, t.item.version);
        }
        this.rebuild((p) => lists.get(p) ?? []);
        this.watch(revision);
      });
    };
    next(0);
  }

  private listAll(prefix: string, then: (items: Item[], revision: number) => void): void {
    let items: Item[] = [];
    let first: number | null = null;
    const page = (after: string | undefined): void => {
      this.ctx.state(
        { kind: 'list', prefix, limit: 500, ...(after === undefined ? {} : { after }) },
        0,
        (r) => {
          if (this.stopped) return;
          if (r.kind !== 'items') {
            this.ctx.after(300 * MILLI, () => {
              if (!this.stopped) page(after);
            });
            return;
          }
          first ??= r.revision;
          items = items.concat(r.items);
          const last = r.items.at(-1);
          if (r.more && last !== undefined) page(last.key);
          else then(items, first);
        },
      );
    };
    page(undefined);
  }

  private rebuild(read: (prefix: string) => readonly Item[]): void {
    for (const [name, rec] of this.roster.load(read(ROSTER), read(MACHINES))) {
      const m = this.machinesByName.get(name) ?? this.addMachine(name, rec);
      m.recorded = 'yes';
      m.standing = rec.standing;
      // An older leader may have renewed its lease, and put tasks on it, until our office began.
      m.leaseFrom = Math.max(m.leaseFrom, this.office.since);
      m.unresolved = true;
      if (rec.retiring) this.retire(m, 'was retiring');
    }
    this.roster.adopt(read(MACHINES), (name) => this.machinesByName.get(name));
    for (const it of read(JOBS)) this.addJob(it.key.slice(JOBS.length), it.value, it.version, false);
    for (const job of this.jobs.values()) this.deps.add(job);
    this.progress.load(read(PLACES), read(PROGRESS), this.jobs.values(), this.roster.whole);
    this.ready = true;
    // Reports that came while the records were being read. A machine that sent one is not empty for that:
    // its tasks were once started anew elsewhere (ran_twice on a grown krakow day).
    for (const [m, r] of this.early) if (this.machinesByName.get(m.name) === m) this.takeTasks(m, r);
    this.early.clear();
    for (const m of this.machinesByName.values()) if (m.up) this.record(m);
    this.ctx.info('leader.ready', {
      term: this.term,
      jobs: this.jobs.size,
      held: this.deps.heldCount,
      machines: this.machinesByName.size,
    });
    for (const job of this.jobs.values()) if (job.complete) this.finish(job);
    this.fleet.start();
    this.planSoon();
  }

  private watch(after: number): void {
    this.ctx.state({ kind: 'watch', prefix: JOBS, after, waitMs: 8_000 }, 0, (r) => {
      if (this.stopped) return;
      if (r.kind === 'events') {
        for (const e of r.events) this.onJobEvent(e);
        this.watch(Math.max(after, r.revision));
      } else if (r.kind === 'tooOld') {
        this.resync();
      } else {
        this.ctx.after(200 * MILLI, () => {
          if (!this.stopped) this.watch(after);
        });
      }
    });
  }

  private resync(): void {
    this.listAll(JOBS, (items, revision) => {
      const present = new Set(items.map((it) => it.key.slice(JOBS.length)));
      for (const it of items) this.addJob(it.key.slice(JOBS.length), it.value, it.version, true);
      for (const job of [...this.jobs.values()])
        if (!present.has(job.id) && job.phase === 'active' && job.version <= revision) this.ended(job, null);
      this.watch(revision);
    });
  }

  private onJobEvent(e: StateEvent): void {
    const id = e.key.slice(JOBS.length);
    if (e.kind === 'put') {
      this.addJob(id, e.value, e.version, true);
      return;
    }
    const job = this.jobs.get(id);
    if (job !== undefined && job.phase === 'active' && job.version < e.version) this.ended(job, null);
  }

  private addJob(id: string, value: unknown, version: number, fresh: boolean): void {
    if (this.jobs.has(id)) return;
    const rec = readActive(value);
    if (rec === null) {
      this.ctx.error('job.unreadable', { job: id });
      return;
    }
    const job = new ActiveJob(rec.spec, version, rec.at, this.ctx.now);
    this.jobs.set(id, job);
    if (fresh) {
      this.deps.add(job);
      if (job.held) this.ctx.info('job.held', { job: id, for: this.deps.waitsFor(job) });
      else if (rec.spec.needs.length === 0) this.fleet.noteArrival(rec.spec);
      this.ctx.debug('job.seen', { job: id, class: rec.spec.class });
    }
    this.planSoon();
  }

  // ---- the ends of jobs --------------------------------------------------------------------------

  /**
   * Its record moved: mostly because its user cancelled it. Nothing of it is started from here on. Jobs that
   * need it go by what its record says, which is read if that is not known.
   */
  private ended(job: ActiveJob, stage: 'done' | 'cancelled' | null): void {
    if (job.phase === 'ended') return;
    job.phase = 'ended';
    job.cancelled = stage !== 'done';
    this.ctx.info('job.withdrawn', { job: job.id, live: job.live.size, doomed: job.doomed });
    this.deps.remove(job);
    if (stage !== null) this.deps.ended(job.id, { stage, at: this.ctx.wallNow });
    else if (this.deps.open(job.id)) this.endings.ask(job.id);
    for (const a of [...job.live.values()]) this.stopAttempt(a, 0);
    this.progress.drop(job);
    this.dropIfEmpty(job);
    this.planSoon();
  }

  private dropIfEmpty(job: ActiveJob): void {
    if (job.phase !== 'ended' || job.live.size > 0) return;
    this.jobs.delete(job.id);
    this.told.delete(job.id);
  }

  /** Written at once, not gathered: a poll three seconds later must see it. */
  private finish(job: ActiveJob): void {
    if (job.phase !== 'active' || this.stopped) return;
    job.phase = 'finishing';
    const at = this.ctx.wallNow;
    this.ctx.state(
      {
        kind: 'txn',
        conditions: [
          { key: LEAD, version: this.office.version },
          { key: activeKey(job.id), version: job.version },
        ],
        writes: [
          { kind: 'delete', key: activeKey(job.id) },
          {
            kind: 'put',
            key: endedKey(job.id),
            value: endedRecord(job.spec, 'done', job.spec.tasks, this.ctx.wallNow),
          },
        ],
      },
      1,
      (r) => {
        if (this.stopped) return;
        if (r.kind === 'ok') {
          job.phase = 'ended';
          this.desk.noteEnded(job.id, 'done', job.spec.tasks);
          this.ctx.info('job.done', { job: job.id, afterS: (this.ctx.wallNow - job.at) / SECOND });
          this.progress.drop(job);
          this.deps.remove(job);
          this.deps.ended(job.id, { stage: 'done', at });
          this.dropIfEmpty(job);
          return;
        }
        if (r.kind === 'conflict' && r.failed.includes(LEAD)) {
          this.leadership.lose('fenced');
          return;
        }
        if (r.kind === 'conflict') {
          // Its record moved: cancelled, or an earlier try of this write was executed after all.
          this.confirmEnd(job);
          return;
        }
        job.phase = 'active';
        this.ctx.after(r.kind === 'refused' ? 5 * SECOND : 200 * MILLI, () => {
          this.finish(job);
        });
      },
    );
  }

  private confirmEnd(job: ActiveJob): void {
    this.ctx.state({ kind: 'get', key: endedKey(job.id) }, 1, (r) => {
      if (this.stopped) return;
      if (r.kind === 'item') {
        const rec = readEnded(r.item.value);
        if (job.phase !== 'ended') job.phase = 'active';
        if (rec?.stage === 'done') this.desk.noteEnded(job.id, 'done', rec.done);
        this.ended(job, rec?.stage ?? null);
        return;
      }
      this.ctx.after(300 * MILLI, () => {
        if (!this.stopped) this.confirmEnd(job);
      });
    });
  }

  // ---- machines ----------------------------------------------------------------------------------

  private tokenOf(m: Machine): number {
    return this.term * TOKENS_PER_TERM + m.fence;
  }

  private addMachine(
    name: string,
    d: { address: string; type: string; zone: string; spot: boolean },
  ): Machine {
    const m = new Machine(name, d.address, d.type, d.zone, d.spot, this.ctx.now);
    this.machinesByName.set(name, m);
    return m;
  }

  private record(m: Machine): void {
    // Before the roster is read, its pages would be overwritten.
    if (m.recorded !== 'no' || !this.ready) return;
    m.recorded = 'writing';
    this.roster.put(m, () => {
      m.recorded = 'yes';
      this.planSoon();
    });
  }

  rented(name: string, type: string, zone: string, spot: boolean, since: Micros): void {
    const m = this.machinesByName.get(name) ?? this.addMachine(name, { address: '', type, zone, spot });
    m.rentedAt = since;
  }

  listed(l: ListedMachine, standing: boolean): void {
    let m = this.machinesByName.get(l.name);
    if (m === undefined) {
      if (this.buried.has(l.name)) return;
      if (l.state === 'failed') {
        this.fleet.remove(l.name);
        return;
      }
      m = this.addMachine(l.name, l);
      m.rentedAt = this.ctx.now - l.ageUs;
      this.ctx.info('machine.listed', { machine: l.name, type: l.type, zone: l.zone });
    }
    if (standing) m.standing = true;
    if (m.address === '') m.address = l.address;
  }

  /** The machine and everything on it are gone for sure. */
  gone(m: Machine, reason: string): void {
    if (!this.machinesByName.has(m.name)) return;
    this.ctx.info('machine.gone', { machine: m.name, reason, tasks: m.attempts.size });
    this.machinesByName.delete(m.name);
    this.buried.set(m.name, this.ctx.now);
    if (this.buried.size > 2_000) this.buried.delete(this.buried.keys().next().value!);
    m.up = false;
    m.unresolved = false;
    m.retiring ??= reason;
    for (const a of [...m.attempts.values()]) this.endAttempt(a, null);
    this.roster.drop(m);
    this.planSoon();
  }

  /** Takes a machine out of use for good. Put on record first: a late deletion must not hit a new use. */
  retire(m: Machine, reason: string): void {
    if (m.deleting) return;
    m.deleting = true;
    m.retiring ??= reason;
    this.ctx.info('machine.retire', { machine: m.name, reason, tasks: m.attempts.size });
    m.recorded = 'writing';
    this.roster.put(m, () => {
      m.recorded = 'yes';
      this.fleet.remove(m.name);
    });
  }

  // ---- reports -----------------------------------------------------------------------------------

  /** A report that could not be answered with 200 still shows that its sender is there. */
  heard(r: Report): void {
    const m = this.machinesByName.get(r.machine);
    if (m !== undefined) m.lastReport = this.ctx.now;
  }

  onReport(r: Report): WorkerAnswer {
    let m = this.machinesByName.get(r.machine);
    if (m === undefined) {
      // A report that was held back outlives its machine.
      if (this.buried.has(r.machine)) return { kind: 'unavailable' };
      m = this.addMachine(r.machine, r);
      // Never on record, so no leader ever put anything on it.
      this.ctx.info('machine.reported', { machine: r.machine, type: r.type, zone: r.zone });
    }
    m.address = r.address;
    const newer = m.isNewer(r);
    m.leaseFrom = this.ctx.now;
    m.lastReport = this.ctx.now;
    if (newer) this.takeReport(m, r);
    this.record(m);
    const orders = newer && this.ready ? this.ordersFor(m, r) : [];
    return { kind: 'accepted', token: this.tokenOf(m), orders };
  }

  private takeReport(m: Machine, r: Report): void {
    if (r.session > m.session) {
      if (m.session > 0) this.ctx.info('machine.session', { machine: m.name, session: r.session });
      for (const a of [...m.attempts.values()]) if (a.session < r.session) this.endAttempt(a, null);
      m.session = r.session;
      m.images.clear();
      m.changes++;
    }
    m.seq = r.seq;
    m.seenToken = Math.max(m.seenToken, r.token);
    if (!m.up) {
      m.up = true;
      m.upSince = this.ctx.now;
      m.idleSince = this.ctx.now;
      this.ctx.info('machine.up', {
        machine: m.name,
        type: m.type,
        afterS: (this.ctx.now - m.rentedAt) / SECOND,
      });
      this.planSoon();
    }
    const noticed = r.noticeUs === null ? null : this.ctx.now + r.noticeUs;
    if (noticed !== null && m.notice === null) {
      this.ctx.info('machine.notice', { machine: m.name, leftS: r.noticeUs! / SECOND });
      m.notice = noticed;
      this.planSoon();
    } else if (noticed === null) m.notice = null;
    if (!this.ready) {
      this.early.set(m, r);
      return;
    }
    this.takeTasks(m, r);
  }

  private takeTasks(m: Machine, r: Report): void {
    if (m.unresolved && r.token >= this.term * TOKENS_PER_TERM) {
      // Fenced from every older leader: what it lists is all there can be.
      m.unresolved = false;
      this.planSoon();
    }
    this.matchTasks(m, r);
    if (m.notice !== null) this.drainNoticed(m);
    if (m.attempts.size === 0) {
      if (m.strangers > 0) m.idleSince = this.ctx.now;
    } else m.idleSince = this.ctx.now;
  }

  private matchTasks(m: Machine, r: Report): void {
    const listed = new Set<Attempt>();
    m.strangers = 0;
    for (const t of r.tasks) {
      const job = this.jobs.get(t.job);
      let a = m.attempts.get(attemptKey(t.job, t.index));
      if (a !== undefined && a.no !== t.attempt) {
        if (t.state !== 'exited') m.strangers++;
        continue;
      }
      if (t.state === 'exited') {
        this.onExit(m, job, a, t);
        continue;
      }
      if (a === undefined && job !== undefined) a = this.adopt(m, job, t);
      if (a === undefined) {
        m.strangers++;
        continue;
      }
      listed.add(a);
      this.onTaskState(m, a, t);
    }
    for (const a of [...m.attempts.values()]) {
      if (listed.has(a)) continue;
      // An order whose answer was lost may still be executed, until the worker is fenced from it.
      if (a.state === 'recording' || a.state === 'sent') continue;
      if (a.state === 'unknown' && r.token <= a.token) continue;
      this.endAttempt(a, null);
    }
  }

  private adopt(m: Machine, job: ActiveJob, t: ReportedTask): Attempt | undefined {
    if (t.index >= job.spec.tasks || job.done.has(t.index) || job.live.has(t.index)) return undefined;
    if (job.phase !== 'active') return undefined;
    if (job.spec.shape === 'gang') {
      const no = gangAttempt(job);
      if (no !== null && no !== t.attempt) return undefined;
    }
    const a: Attempt = {
      job,
      index: t.index,
      no: t.attempt,
      machine: m,
      session: m.session,
      state: 'fetching',
      token: 0,
      orderedAt: this.ctx.now,
      runningAt: null,
      timed: false,
      stopping: null,
    };
    this.ctx.debug('attempt.adopted', { job: job.id, task: t.index, machine: m.name, attempt: t.attempt });
    job.live.set(t.index, a);
    m.attempts.set(attemptKey(job.id, t.index), a);
    m.changes++;
    return a;
  }

  private onTaskState(m: Machine, a: Attempt, t: ReportedTask): void {
    if (t.state === 'exited' || a.state === t.state) return;
    this.ctx.debug('attempt.state', { job: a.job.id, task: a.index, machine: m.name, state: t.state });
    a.state = t.state;
    m.changes++;
    if (t.state === 'running' && a.runningAt === null) a.runningAt = this.ctx.now;
    if (t.state !== 'fetching') this.holdImage(m, a.job.spec);
    this.planSoon();
  }

  private holdImage(m: Machine, spec: JobSpec): void {
    m.images.delete(spec.image);
    m.images.set(spec.image, spec.imageGb);
    const cache = this.ctx.types.get(m.type)?.cacheGb ?? Infinity;
    let sum = 0;
    for (const gb of m.images.values()) sum += gb;
    for (const [image, gb] of m.images) {
      if (sum <= cache) break;
      m.images.delete(image);
      sum -= gb;
    }
  }

  private onExit(m: Machine, job: ActiveJob | undefined, a: Attempt | undefined, t: ReportedTask): void {
    if (t.cause === 'done') {
      m.errorsInRow = 0;
      m.errorJobs.clear();
      if (a !== undefined) this.endAttempt(a, t);
      if (job !== undefined && job.phase === 'active') this.markDone(job, t.index);
      return;
    }
    if (a !== undefined) this.endAttempt(a, t);
  }

  private markDone(job: ActiveJob, index: number): void {
    if (index >= job.spec.tasks) return;
    let added = false;
    if (job.spec.shape === 'gang') {
      // The members of a gang complete together.
      for (let i = 0; i < job.spec.tasks; i++) added = job.done.add(i) || added;
    } else added = job.done.add(index);
    if (!added) return;
    job.failuresInRow = 0;
    job.dirty = true;
    this.ctx.debug('task.done', { job: job.id, task: index, done: job.done.count });
    if (job.complete) this.finish(job);
    this.planSoon();
  }

  /** An attempt is surely not on its machine any more. `exit` tells how it ended, where that is known. */
  private endAttempt(a: Attempt, exit: ReportedTask | null): void {
    const { job, machine: m } = a;
    const key = attemptKey(job.id, a.index);
    if (m.attempts.get(key) !== a) return;
    m.attempts.delete(key);
    m.changes++;
    if (job.live.get(a.index) === a) job.live.delete(a.index);
    if (m.attempts.size === 0) m.idleSince = this.ctx.now;
    job.reopen(a.index);
    const cause = exit?.cause ?? null;
    this.ctx.debug('attempt.ended', { job: job.id, task: a.index, machine: m.name, cause: cause ?? 'gone' });
    this.learn(a, cause, exit?.saved === true);
    if (cause === 'error') this.onError(m, job);
    if (cause === 'noRoom' || cause === 'busy' || cause === 'unknown')
      job.notBefore = Math.max(job.notBefore, this.ctx.now + SECOND);
    if (job.spec.shape === 'gang' && cause !== 'done' && job.live.size > 0) this.breakGang(job);
    if (job.live.size === 0) job.broken = false;
    this.dropIfEmpty(job);
    this.planSoon();
  }

  private learn(a: Attempt, cause: string | null, saved: boolean): void {
    const { job, machine: m } = a;
    if (a.runningAt === null || job.spec.shape === 'service') return;
    const slot = job.spec.shape === 'gang' ? -1 : a.index;
    const before = job.credit.get(slot) ?? 0;
    const ran = this.ctx.now - a.runningAt;
    const total = before + ran;
    if (cause === 'done') {
      if (a.timed && (job.spec.shape !== 'gang' || a.index === 0)) {
        this.timings.note(job.spec.class, m.type, job.spec.estimateUs, total, true);
        this.timingsNoted++;
      }
      job.credit.delete(slot);
      return;
    }
    if (a.timed && cause !== 'error')
      this.timings.note(job.spec.class, m.type, job.spec.estimateUs, total, false);
    if (cause === 'error') return;
    const every = job.spec.checkpointUs;
    if (saved) job.credit.set(slot, total);
    else if (every > 0) job.credit.set(slot, Math.max(before, Math.floor(total / every) * every));
  }

  /** Failures are the machine's, mostly; but a job that fails everywhere is not blamed on machines. */
  private onError(m: Machine, job: ActiveJob): void {
    job.failedOn.set(m.name, (job.failedOn.get(m.name) ?? 0) + 1);
    job.failuresInRow++;
    const everywhere = job.failedOn.size >= 3 && job.done.count === 0;
    const pause = everywhere ? Math.min(60, 2 ** Math.min(job.failuresInRow - 2, 6)) : 0;
    job.notBefore = Math.max(job.notBefore, this.ctx.now + pause * SECOND);
    if (everywhere) {
      this.ctx.info('job.fails_everywhere', { job: job.id, failures: job.failuresInRow });
      for (const name of job.failedOn.keys()) this.machinesByName.get(name)?.errorJobs.delete(job.id);
      return;
    }
    m.errorsInRow++;
    m.errorJobs.add(job.id);
    if (m.errorsInRow >= 2 && (m.errorJobs.size >= 2 || m.errorsInRow >= 4) && m.retiring === null) {
      m.retiring = 'faulty';
      for (const a of [...m.attempts.values()]) this.stopAttempt(a, a.job.spec.saveUs + SECOND);
      this.retireWhenEmpty(m, 'faulty', this.ctx.now + 8 * SECOND);
    }
  }

  private retireWhenEmpty(m: Machine, reason: string, latest: Micros): void {
    if (m.attempts.size === 0 || this.ctx.now >= latest) {
      this.retire(m, reason);
      return;
    }
    this.ctx.after(500 * MILLI, () => {
      if (!this.stopped && this.machinesByName.has(m.name)) this.retireWhenEmpty(m, reason, latest);
    });
  }

  private breakGang(job: ActiveJob): void {
    if (job.phase !== 'active' || job.complete) return;
    if (!job.broken) this.ctx.info('gang.broken', { job: job.id, left: job.live.size });
    job.broken = true;
    for (const a of leftovers(job)) this.stopAttempt(a, 0);
  }

  /** Before a noticed machine goes: save what would be lost, in time, unless it ends by itself first. */
  private drainNoticed(m: Machine): void {
    const left = m.notice! - this.ctx.now;
    for (const a of [...m.attempts.values()]) {
      if (a.stopping !== null) continue;
      const { spec } = a.job;
      const ends = this.remaining(a);
      if (spec.shape !== 'service' && ends < left * 0.6) continue;
      const grace = Math.max(0, Math.min(spec.saveUs + SECOND, left - SECOND));
      if (spec.shape === 'gang') {
        for (const b of leftovers(a.job)) this.stopAttempt(b, Math.max(grace, spec.saveUs));
        a.job.broken = true;
      } else this.stopAttempt(a, grace);
    }
  }

  // ---- orders ------------------------------------------------------------------------------------

  /** Derived anew from each report, so nothing is forgotten when an answer is lost. */
  private ordersFor(m: Machine, r: Report): Order[] {
    const orders: Order[] = [];
    for (const t of r.tasks) {
      if (orders.length >= MAX_ORDERS) break;
      const id = { job: t.job, index: t.index, attempt: t.attempt };
      const job = this.jobs.get(t.job);
      if (t.state === 'exited') {
        // The worker keeps a result until it is written; only then may it forget.
        const held =
          t.cause === 'done' &&
          job !== undefined &&
          (job.phase === 'finishing' || (job.phase === 'active' && !job.durable.has(t.index)));
        if (!held) orders.push({ op: 'forget', ...id });
        continue;
      }
      const a = m.attempts.get(attemptKey(t.job, t.index));
      if (a === undefined || a.no !== t.attempt) {
        orders.push({ op: 'stop', ...id, graceUs: 0 });
      } else if (a.stopping !== null) {
        const over = this.ctx.now - a.stopping.since > a.stopping.graceUs + 3 * SECOND;
        if (t.state !== 'saving' || over)
          orders.push({ op: 'stop', ...id, graceUs: over ? 0 : a.stopping.graceUs });
      }
    }
    return orders;
  }

  private stopAttempt(a: Attempt, graceUs: Micros): void {
    if (a.stopping !== null) return;
    if (a.state === 'recording') {
      // Never sent, so it is nowhere.
      this.endAttempt(a, null);
      return;
    }
    a.stopping = { since: this.ctx.now, graceUs };
    a.machine.changes++;
    this.ctx.debug('attempt.stop', { job: a.job.id, task: a.index, machine: a.machine.name, graceUs });
    a.machine.outbox.push({ op: 'stop', job: a.job.id, index: a.index, attempt: a.no, graceUs });
    this.pump(a.machine);
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
      this.leadership.hasRight();
    if (!ok) {
      this.endAttempt(a, null);
      return;
    }
    m.outbox.push({ op: 'start', job: job.id, index: a.index, attempt: a.no });
    this.pump(m);
  }

  private pump(m: Machine): void {
    if (m.calling || m.outbox.length === 0 || m.address === '') return;
    const batch = m.outbox;
    m.outbox = [];
    const starts: Attempt[] = [];
    const token = this.tokenOf(m);
    const entitled = this.leadership.hasRight() && !this.stopped;
    const orders = batch.filter((o) => {
      if (o.op !== 'start') return entitled;
      const a = m.attempts.get(attemptKey(o.job, o.index));
      if (a === undefined || a.no !== o.attempt || a.state !== 'recording') return false;
      if (!entitled || a.session !== m.session || a.job.phase !== 'active') {
        this.endAttempt(a, null);
        return false;
      }
      a.state = 'sent';
      a.token = token;
      starts.push(a);
      return true;
    });
    if (orders.length === 0) return;
    m.calling = true;
    const session = m.session;
    this.ctx.orders(m.address, token, session, orders, (r) => {
      m.calling = false;
      if (this.stopped) return;
      this.onOrdersReply(m, starts, r);
      this.pump(m);
    });
  }

  private onOrdersReply(m: Machine, starts: readonly Attempt[], r: OrdersReply): void {
    if (r.kind === 'lost') {
      if (starts.length > 0) {
        m.fence++;
        this.ctx.info('orders.lost', { machine: m.name, starts: starts.length });
      }
      for (const a of starts) if (a.state === 'sent') a.state = 'unknown';
      return;
    }
    if (r.kind === 'refused') {
      this.ctx.info('orders.refused', { machine: m.name, starts: starts.length });
      for (const a of starts) if (a.state === 'sent') this.endAttempt(a, null);
    } else {
      // Executed before its report was made: what the report doesn't list is not there.
      for (const a of starts) if (a.state === 'sent') a.state = 'fetching';
    }
    const report = r.report;
    if (report !== null && report.machine === m.name && m.isNewer(report)) this.takeReport(m, report);
  }

  // ---- placing -----------------------------------------------------------------------------------

  private planSoon(): void {
    if (this.planning || !this.ready || this.stopped) {
      this.planAgain = true;
      return;
    }
    this.planning = true;
    // Events that come together are planned for together.
    const gap = Math.max(
      15 * MILLI,
      this.lastPlan + Math.max(80 * MILLI, PLAN_PAUSE * this.planCost) - this.ctx.now,
    );
    this.ctx.after(gap, () => {
      this.planning = false;
      this.planAgain = false;
      if (!this.stopped) this.plan();
    });
  }

  private remaining(a: Attempt): Micros {
    const { spec } = a.job;
    if (spec.shape === 'service') return 1e13;
    const credit = a.job.credit.get(spec.shape === 'gang' ? -1 : a.index) ?? 0;
    const elapsed = credit + (a.runningAt === null ? 0 : this.ctx.now - a.runningAt);
    return Math.round(
      this.timings.remaining(spec.class, a.machine.type, spec.estimateUs, elapsed) * a.machine.slow,
    );
  }

  /** Kept from plan to plan while nothing changes on the machine, for as long as predictions stay fresh. */
  private slotOf(m: Machine, type: MachineType, thrifty: boolean): Slot | null {
    const booting = !m.up && m.retiring === null && !m.unresolved && m.session === 0;
    if (!booting && !m.usable()) return null;
    const { now } = this.ctx;
    const kept = m.pictured;
    if (
      !booting &&
      kept !== null &&
      kept.changes === m.changes &&
      now - kept.at < PICTURE_FRESH &&
      kept.slot.type === type &&
      (kept.slot.changes[0]?.at ?? Infinity) > now + 100 * MILLI
    )
      return { ...kept.slot, sunk: m.standing || !thrifty, ready: now };
    const slot = this.makeSlot(m, type, thrifty, booting);
    if (!booting) m.pictured = { changes: m.changes, at: now, slot: { ...slot } };
    return slot;
  }

  private makeSlot(m: Machine, type: MachineType, thrifty: boolean, booting: boolean): Slot {
    const { now } = this.ctx;
    const images = new Set(m.images.keys());
    const changes: Change[] = [];
    for (const a of m.attempts.values()) {
      images.add(a.job.spec.image);
      const left =
        a.stopping !== null
          ? a.stopping.graceUs + SECOND
          : this.remaining(a) +
            (a.runningAt === null && type.fetchGbPerS > 0 && !m.images.has(a.job.spec.image)
              ? (a.job.spec.imageGb / type.fetchGbPerS) * SECOND
              : 0);
      const { cores, gpus, memoryGb } = a.job.spec;
      changes.push({ at: now + left, cores, gpus, memoryGb });
    }
    changes.sort((x, y) => x.at - y.at);
    const due = m.rentedAt + type.bootUs;
    const ready = booting ? Math.max(due, now + Math.max(2 * SECOND, 0.2 * (now - m.rentedAt))) : now;
    return {
      key: m.name,
      type,
      zone: m.zone,
      spot: m.spot,
      sunk: m.standing || !thrifty,
      machine: m.name,
      ready,
      free: m.freeOf(type),
      changes,
      images,
      slow: m.slow,
      used: false,
    };
  }

  private picture(): Picture {
    const slots: Slot[] = [];
    const thrifty = this.thrifty();
    for (const m of this.machinesByName.values()) {
      const type = this.ctx.types.get(m.type);
      const slot = type === undefined ? null : this.slotOf(m, type, thrifty);
      if (slot !== null) slots.push(slot);
    }
    return {
      now: this.ctx.now,
      slots,
      types: [...this.ctx.types.values()],
      rentable: this.fleet.rentable(),
      kinds: this.fleet.kinds(),
      rented: new Map(),
      predictor: {
        runTime: (spec, type, credit) =>
          this.timings.remaining(spec.class, type.name, spec.estimateUs, credit),
      },
    };
  }

  private usage(): Usage {
    const u = new Usage();
    for (const m of this.machinesByName.values()) for (const a of m.attempts.values()) u.add(a.job.spec, 1);
    return u;
  }

  /** While something unaccounted for may run, a team with a limit starts nothing. */
  private unaccounted(): boolean {
    for (const m of this.machinesByName.values()) if (m.unresolved || m.strangers > 0) return true;
    return false;
  }

  private startable(job: ActiveJob): boolean {
    if (job.phase !== 'active' || job.broken || job.complete || job.waiting <= 0) return false;
    if (job.unreadable || job.held) return false;
    if (job.notBefore > this.ctx.now) return false;
    if (job.spec.shape === 'gang' && job.live.size > 0) return false;
    for (const name of job.unresolved) if (this.machinesByName.get(name)?.unresolved === true) return false;
    return true;
  }

  /** Team's turns: since when its oldest job has been at the head, and when the next turn is due. */
  private readonly turns = new Map<string, { job: ActiveJob | null; since: Micros; next: Micros }>();

  /** Jobs whose turn it is first, then by priority and by the aims that can still be met. */
  private inOrder(): ActiveJob[] {
    const waiting = turnOrder(
      [...this.jobs.values()].filter((j) => this.startable(j)),
      this.ctx.settings.teams,
    );
    const first = this.dueTurns(waiting);
    for (const j of waiting) if (j.promisedUntil > this.ctx.now && !first.includes(j)) first.push(j);
    const rest = waiting.filter((j) => !first.includes(j));
    const levels = new Map<string, ActiveJob[]>();
    for (const j of rest) {
      const key = `${j.priority}|${j.spec.gpus > 0 ? 'gpu' : 'cpu'}`;
      const level = levels.get(key) ?? [];
      level.push(j);
      levels.set(key, level);
    }
    const ordered: ActiveJob[] = [];
    for (const priority of [3, 2, 1, 0]) {
      const orders = ['cpu', 'gpu']
        .map((kind) => ({ kind, jobs: levels.get(`${priority}|${kind}`) }))
        .filter((l) => l.jobs !== undefined)
        .map((l) => this.byAims(l.jobs!, l.kind === 'gpu', priority));
      ordered.push(...mergeOrders(orders));
    }
    return [...first, ...ordered];
  }

  private dueTurns(waiting: readonly ActiveJob[]): ActiveJob[] {
    const { tuning } = this.ctx.settings;
    const { now } = this.ctx;
    const oldest = new Map<string, ActiveJob>();
    for (const j of waiting) {
      const o = oldest.get(j.spec.team);
      // Of the highest priority that waits: a turn must not put low work ahead of what may preempt it.
      if (o === undefined || j.priority > o.priority || (j.priority === o.priority && j.at < o.at))
        oldest.set(j.spec.team, j);
    }
    const out: ActiveJob[] = [];
    for (const [team, job] of oldest) {
      const t = this.turns.get(team) ?? { job: null, since: now, next: now + tuning.turnEveryUs };
      this.turns.set(team, t);
      if (t.job !== null && !waiting.includes(t.job)) {
        // It started, or ended: the turn is over.
        t.job = null;
        t.next = now + tuning.turnEveryUs;
      }
      if (t.job === null && now >= t.next) {
        t.job = job;
        t.since = now;
      }
      if (t.job === null) continue;
      if (now - t.since > tuning.turnWaitUs) {
        // The drain was bounded: others get on, and the turn comes round again.
        t.job = null;
        t.next = now + tuning.turnEveryUs;
      } else out.push(t.job);
    }
    return out;
  }

  private byAims(jobs: readonly ActiveJob[], gpu: boolean, priority: number): AimOrder {
    let total = 0;
    let free = 0;
    for (const m of this.machinesByName.values()) {
      const type = this.ctx.types.get(m.type);
      if (type === undefined || m.retiring !== null) continue;
      const room = m.freeOf(type);
      total += gpu ? type.gpus : type.cores;
      if (!m.up) continue;
      free += Math.max(0, gpu ? room.gpus : room.cores);
      // Room held by lower priorities can be had: without it, large jobs seem to come too late always.
      for (const a of m.attempts.values())
        if (a.job.priority < priority) free += gpu ? a.job.spec.gpus : a.job.spec.cores;
    }
    let work = 0;
    let amounts = 0;
    const contenders = jobs.map((job): Contender => {
      const { spec } = job;
      const credit = job.credit.get(-1) ?? 0;
      const run = this.timings.remaining(spec.class, spec.types?.[0] ?? '', spec.estimateUs, credit);
      const amount = job.waiting * (gpu ? spec.gpus : spec.cores);
      work += run * amount;
      amounts += amount;
      return { job, amount, latest: this.slackOf(job) };
    });
    const mean = amounts > 0 ? work / amounts : SECOND;
    return orderByAims(contenders, free, total / Math.max(mean, SECOND));
  }

  private groups(): { groups: Group[]; jobs: Map<Group, ActiveJob> } {
    const usage = this.usage();
    const unaccounted = this.unaccounted();
    const jobs = new Map<Group, ActiveJob>();
    const groups: Group[] = [];
    const order = this.inOrder();
    const lowest = order.reduce((least, j) => Math.min(least, j.priority), 3);
    // Work with and without GPUs is limited apart: many waiting gangs must not keep arrays from the plan.
    const taken = [0, 0];
    for (const job of order) {
      const spec = job.priority === job.spec.priority ? job.spec : { ...job.spec, priority: job.priority };
      const kind = spec.gpus > 0 ? 1 : 0;
      if (taken[kind]! >= this.ctx.settings.tuning.searchGroups) continue;
      const team = this.ctx.settings.teams.find((t) => t.name === spec.team);
      const limited = team !== undefined && (team.coresMax > 0 || team.gpusMax > 0);
      if (limited && unaccounted) continue;
      const room = usage.room(spec, team);
      const want = Math.min(job.waiting, room, spec.shape === 'gang' ? Infinity : MAX_REPRESENTED);
      if (want <= 0 || (spec.shape === 'gang' && want < spec.tasks)) continue;
      usage.add(spec, want);
      const group: Group = {
        spec,
        count: want,
        zones: job.zones(),
        avoid: new Set(job.failedOn.keys()),
        credit: job.credit.get(-1) ?? 0,
        margin: this.marginOf(job),
        patience: this.patienceOf(job),
        reserve:
          spec.priority > lowest ||
          job.promisedUntil > this.ctx.now ||
          this.turns.get(spec.team)?.job === job,
        only: job.promisedUntil > this.ctx.now ? job.promisedOn : null,
        phantom: false,
        runs: new Map(),
        dear: new Map(),
      };
      jobs.set(group, job);
      groups.push(group);
      taken[kind]!++;
    }
    return { groups, jobs };
  }

  /** What the next stages will need while a machine could boot for them. */
  private groupsAhead(): Group[] {
    if (this.deps.heldCount === 0) return [];
    const { now } = this.ctx;
    let boot = 0;
    for (const t of this.ctx.types.values()) boot = Math.max(boot, t.bootUs);
    const endOf = (job: ActiveJob): Micros => {
      let left = job.waiting > 0 ? this.expectedOf(job) : 0;
      for (const a of job.live.values()) left = Math.max(left, this.remaining(a));
      return now + left + HANDOVER;
    };
    const ahead = stagesAhead(this.jobs.values(), this.deps, (id) => this.jobs.get(id), endOf, now + boot);
    return ahead.map(({ job, ready }) => ({
      spec: { ...job.spec, shape: 'array', sameZone: false, spread: false, priority: job.priority },
      count: Math.min(job.spec.tasks, MAX_REPRESENTED),
      zones: new Map(),
      avoid: new Set(),
      credit: 0,
      margin: this.marginOf(job),
      patience: this.patienceOf(job),
      only: null,
      reserve: false,
      phantom: true,
      notBefore: ready,
      runs: new Map(),
      dear: new Map(),
    }));
  }

  /**
   * The settings don't say whether money is an aim. Who keeps machines ready pays for capacity anyway; who
   * starts from nothing pays by use.
   */
  thrifty(): boolean {
    const { thrift } = this.ctx.settings.tuning;
    if (thrift !== 'auto') return thrift === 'on';
    for (const m of this.machinesByName.values()) if (m.standing) return false;
    return true;
  }

  /**
   * A new leader rebuilds from reports first. Machines that have not reported to it are not in its picture: it
   * would rent for all that waits beside them, and did so at each change of leader, the dearest types too.
   */
  rebuilding(): boolean {
    if (this.ctx.now > this.office.since + REBUILD_REPORTS * this.ctx.settings.reportUs) return false;
    let all = 0;
    let unknown = 0;
    for (const m of this.machinesByName.values()) {
      if (m.recorded !== 'yes' || m.retiring !== null) continue;
      all++;
      if (m.unresolved) unknown++;
    }
    return unknown > REBUILD_SHARE * all;
  }

  private slackOf(job: ActiveJob): Micros | null {
    const { spec } = job;
    const credit = job.credit.get(-1) ?? 0;
    const run = this.timings.remaining(spec.class, spec.types?.[0] ?? '', spec.estimateUs, credit);
    return latestStart(job, this.ctx.settings.objectives, this.ctx.wallNow, run, SETUP);
  }

  /** From a job's release to its end: its run, its image, and what lies between one job and the next. */
  private expectedOf(job: ActiveJob): Micros {
    const { spec } = job;
    const run = this.timings.remaining(spec.class, spec.types?.[0] ?? '', spec.estimateUs, 0);
    let rate = 0;
    for (const t of this.ctx.types.values())
      if (typeAllowed(spec, t) && t.fetchGbPerS > 0) rate = Math.max(rate, t.fetchGbPerS);
    return run + (rate > 0 ? Math.round((spec.imageGb / rate) * SECOND) : 0) + HANDOVER;
  }

  private patienceOf(job: ActiveJob): Micros {
    const slack = this.slackOf(job);
    return slack === null ? 60 * SECOND : Math.round(slack / 2);
  }

  /** Work that can wait a while and still meet its aim need not have machines rented for it at once. */
  private marginOf(job: ActiveJob): Micros {
    if (!this.thrifty()) return 0;
    const { rentMarginUs } = this.ctx.settings.tuning;
    const slack = this.slackOf(job);
    if (slack === null) return rentMarginUs;
    return rentMarginUs + Math.min(rentMarginUs, Math.round(slack / 4));
  }

  private plan(): void {
    if (this.ctx.types.size === 0) return;
    const began = this.ctx.stopwatch();
    this.planOnce();
    this.planCost = this.ctx.stopwatch() - began;
    this.lastPlan = this.ctx.now;
  }

  private planOnce(): void {
    const t0 = this.ctx.stopwatch();
    // Predictions change with what is learned.
    this.deps.refresh(this.ctx.now - this.chainsAt > CHAINS_FRESH);
    if (this.ctx.now - this.chainsAt > CHAINS_FRESH) this.chainsAt = this.ctx.now;
    const { groups, jobs } = this.groups();
    const t1 = this.ctx.stopwatch();
    const { tuning } = this.ctx.settings;
    const decision = search(
      this.picture(),
      [...groups, ...this.fleet.headroom(), ...this.groupsAhead()],
      {
        budgetUs: tuning.searchBudgetUs,
        width: tuning.searchWidth,
        depth: tuning.searchDepth,
        toleranceUs: tuning.searchToleranceUs,
      },
      this.ctx.stopwatch,
    );
    const t2 = this.ctx.stopwatch();
    const byJob = new Map<ActiveJob, Step[]>();
    for (const s of decision.steps) {
      const job = jobs.get(s.group);
      if (job === undefined) continue;
      const steps = byJob.get(job) ?? [];
      steps.push(s);
      byJob.set(job, steps);
    }
    for (const [job, steps] of byJob) this.act(job, steps);
    this.preempt(byJob);
    this.fleet.rentFor(decision);
    this.needed = new Set(
      decision.picture.slots.filter((s) => s.used && s.machine !== null).map((s) => s.machine!),
    );
    if (groups.length > 0)
      this.ctx.debug('plan', {
        groupsUs: t1 - t0,
        searchUs: t2 - t1,
        actUs: this.ctx.stopwatch() - t2,
        groups: groups.length,
        steps: decision.steps.length,
        searched: decision.searched,
        fellBack: decision.fellBack,
        looks: decision.looks,
      });
  }

  private rights(): Rights {
    const use = new Map<string, { cores: number; gpus: number }>();
    for (const m of this.machinesByName.values())
      for (const a of m.attempts.values()) {
        const { team, cores, gpus } = a.job.spec;
        const u = use.get(team) ?? { cores: 0, gpus: 0 };
        u.cores += cores;
        u.gpus += gpus;
        use.set(team, u);
      }
    const { teams } = this.ctx.settings;
    const inside = guaranteedJobs([...this.jobs.values()], teams);
    return { teams, use, guaranteed: (job) => inside.has(job) };
  }

  /**
   * A stopped task saves, waits, and fetches its image elsewhere: that is done only once waiting on would
   * endanger the aim of the job that wants the room. On full-size days arrays were else stopped thousands of
   * times for gangs that had time, and missed half of their deadlines.
   */
  private waitBeforeStopping(job: ActiveJob): Micros {
    const slack = this.slackOf(job);
    return slack === null ? HOPELESS_WAIT : Math.max(LEAST_WAIT, slack - CLEARING_TIME);
  }

  private clearings(): Clearings {
    const { now, settings, types } = this.ctx;
    // Room that is being made for one job is not made for another.
    const promised = new Set<string>();
    for (const j of this.jobs.values())
      if (j.promisedUntil > now) for (const name of j.promisedOn ?? []) promised.add(name);
    // A start counts for an aim on waiting only if it is not stopped at once; where there is no such aim,
    // stopping costs what has not been saved yet, which is nothing, and the time to save.
    const awaited = new Set(settings.objectives.filter((o) => o.kind === 'wait').map((o) => o.class));
    // A stopped task waits about as long as others of its class wait now.
    const waits = new Map<string, { jobs: number; age: Micros }>();
    for (const j of this.jobs.values()) {
      if (j.spec.deadlineUs === null || j.phase !== 'active' || j.held || j.waiting <= 0) continue;
      const w = waits.get(j.spec.class) ?? { jobs: 0, age: 0 };
      waits.set(j.spec.class, w);
      w.jobs++;
      w.age += this.ctx.wallNow - j.at;
    }
    const loss = (job: ActiveJob): Micros => {
      const w = waits.get(job.spec.class);
      return Math.max(PRESSED, w === undefined ? 0 : REQUEUE_SHARE * (w.age / w.jobs));
    };
    return new Clearings(
      [...this.machinesByName.values()].filter((m) => !promised.has(m.name)),
      types,
      this.rights(),
      (a) => {
        const least = awaited.has(a.job.spec.class) ? SETTLED : Math.max(a.job.spec.saveUs * 2, 5 * SECOND);
        return a.runningAt !== null && now - a.runningAt >= least && !this.pressed(a, loss(a.job));
      },
    );
  }

  /** Whether its job can still meet a deadline, but hardly so if it is stopped and has to wait again. */
  private pressed(a: Attempt, loss: Micros): boolean {
    const { spec, at } = a.job;
    if (spec.deadlineUs === null) return false;
    const left = this.remaining(a);
    for (const o of this.ctx.settings.objectives) {
      if (o.kind !== 'deadline' || o.class !== spec.class) continue;
      const slack = spec.deadlineUs * o.times - (this.ctx.wallNow - at) - left;
      if (slack >= 0 && slack < loss) return true;
    }
    return false;
  }

  private lowestRunning(): number {
    let lowest = 3;
    for (const m of this.machinesByName.values())
      for (const a of m.attempts.values()) lowest = Math.min(lowest, a.job.priority);
    return lowest;
  }

  /** Stops what work of higher priority, or a guarantee, has a right to, if it would wait much longer. */
  private preempt(byJob: ReadonlyMap<ActiveJob, readonly Step[]>): void {
    // Looking for victims goes through all machines: only where there may be some, and a few times a plan.
    const { teams } = this.ctx.settings;
    const guarantees = teams.length > 1 && teams.some((t) => t.cores > 0 || t.gpus > 0);
    const lowest = this.lowestRunning();
    const { now } = this.ctx;
    let clearings: Clearings | null = null;
    let stopped = 0;
    for (const [job, steps] of byJob) {
      if (stopped >= MAX_VICTIMS) break;
      if (job.live.size > 0 || job.phase !== 'active' || job.promisedUntil > now) continue;
      if (!guarantees && job.priority <= lowest) continue;
      const start = Math.max(...steps.map((s) => s.start));
      if (start <= now + this.waitBeforeStopping(job)) continue;
      clearings ??= this.clearings();
      const count = job.spec.shape === 'gang' ? job.spec.tasks : Math.min(job.waiting, 16);
      const clearing = clearings.take(job, count);
      if (clearing === null || clearing.victims.length === 0) continue;
      const { victims } = clearing;
      job.promisedOn = clearing.machines;
      stopped += victims.length;
      // What is being freed is for this job: others must not slip in before all of it is there.
      job.promisedUntil = this.ctx.now + Math.max(...victims.map((v) => v.job.spec.saveUs)) + 6 * SECOND;
      this.ctx.debug('preempt', () => ({
        job: job.id,
        victims: victims.map((v) => `${v.job.id}/${v.index}`),
      }));
      for (const v of victims) this.stopAttempt(v, v.job.spec.saveUs + SECOND);
    }
  }

  /**
   * Moves the last tasks of a rented machine that is mostly empty to where there is room, so that it can
   * be returned. Only tasks that save, have run a while and still have a while to go.
   */
  private consolidate(): void {
    const { now } = this.ctx;
    for (const j of this.jobs.values()) if (this.startable(j)) return;
    for (const m of this.machinesByName.values()) if (m.retiring === 'consolidated') return;
    let best: { m: Machine; share: number } | null = null;
    for (const m of this.machinesByName.values()) {
      const type = this.ctx.types.get(m.type);
      if (type === undefined || m.standing || !m.usable() || m.attempts.size === 0) continue;
      const free = m.freeOf(type);
      const share = 1 - (type.gpus > 0 ? free.gpus / type.gpus : free.cores / type.cores);
      if (share > 0.5 || (best !== null && share >= best.share)) continue;
      const movable = [...m.attempts.values()].every(
        (a) =>
          a.state === 'running' &&
          a.stopping === null &&
          a.runningAt !== null &&
          now - a.runningAt > 35 * SECOND &&
          a.job.spec.shape === 'array' &&
          a.job.spec.checkpointUs > 0,
      );
      const longest = Math.max(...[...m.attempts.values()].map((a) => this.remaining(a)));
      if (movable && longest > 30 * SECOND && this.fitsElsewhere(m)) best = { m, share };
    }
    if (best === null) return;
    const { m } = best;
    this.ctx.info('machine.consolidate', { machine: m.name, tasks: m.attempts.size });
    m.retiring = 'consolidated';
    for (const a of [...m.attempts.values()]) this.stopAttempt(a, a.job.spec.saveUs + SECOND);
    this.retireWhenEmpty(m, 'consolidated', now + 20 * SECOND);
  }

  /** Whether everything on a machine has room on fuller ones. */
  private fitsElsewhere(m: Machine): boolean {
    const rooms: { machine: Machine; free: ReturnType<Machine['freeOf']> }[] = [];
    for (const o of this.machinesByName.values()) {
      const type = this.ctx.types.get(o.type);
      if (o === m || type === undefined || !o.usable() || o.attempts.size < m.attempts.size) continue;
      rooms.push({ machine: o, free: o.freeOf(type) });
    }
    for (const a of m.attempts.values()) {
      const { spec } = a.job;
      const r = rooms.find(
        (x) => placeAllowed(spec, x.machine.type, x.machine.zone, x.machine.spot) && fits(spec, x.free),
      );
      if (r === undefined) return false;
      r.free.cores -= spec.cores;
      r.free.gpus -= spec.gpus;
      r.free.memoryGb -= spec.memoryGb;
    }
    return true;
  }

  /** Starts what the plan starts now. Room, zone and kind are checked again against the newest picture. */
  private act(job: ActiveJob, steps: readonly Step[]): void {
    const { now } = this.ctx;
    if (job.held) return;
    const startsNow = steps.filter((s) => s.start <= now && s.slot.machine !== null);
    if (startsNow.length === 0) return;
    if (job.spec.shape === 'gang' && startsNow.length !== steps.length) return;
    const chosen: { index: number; machine: Machine }[] = [];
    const free = new Map<Machine, ReturnType<Machine['freeOf']>>();
    const zones = job.zones();
    for (const s of startsNow) {
      const m = this.machinesByName.get(s.slot.machine!);
      const type = this.ctx.types.get(s.slot.type.name);
      if (m === undefined || type === undefined || !m.usable()) continue;
      if (!placeAllowed(job.spec, m.type, m.zone, m.spot)) continue;
      const room = free.get(m) ?? m.freeOf(type);
      free.set(m, room);
      for (let k = 0; k < s.count; k++) {
        if (!fits(job.spec, room)) break;
        if (job.spec.sameZone && [...zones.keys()].some((z) => z !== m.zone)) break;
        if (job.spec.spread && (zones.get(m.zone) ?? 0) >= Math.ceil(job.spec.tasks / 2)) break;
        zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
        room.cores -= job.spec.cores;
        room.gpus -= job.spec.gpus;
        room.memoryGb -= job.spec.memoryGb;
        chosen.push({ index: -1, machine: m });
      }
    }
    if (chosen.length === 0) return;
    const indices = job.takeWaiting(chosen.length);
    if (job.spec.shape === 'gang' && indices.length !== job.spec.tasks) return;
    this.commit(
      job,
      indices.map((index, k) => ({ index, machine: chosen[k]!.machine })),
    );
  }

  private commit(job: ActiveJob, places: readonly { index: number; machine: Machine }[]): void {
    const gang = job.spec.shape === 'gang';
    if (gang) this.nextAttempt++;
    const attempts: Attempt[] = [];
    for (const { index, machine } of places) {
      if (!gang) this.nextAttempt++;
      const a: Attempt = {
        job,
        index,
        no: this.nextAttempt,
        machine,
        session: machine.session,
        state: 'recording',
        token: 0,
        orderedAt: this.ctx.now,
        runningAt: null,
        timed: true,
        stopping: null,
      };
      job.live.set(index, a);
      machine.attempts.set(attemptKey(job.id, index), a);
      machine.idleSince = this.ctx.now;
      machine.changes++;
      attempts.push(a);
    }
    job.startedOnce = true;
    this.ctx.debug('job.start', () => ({
      job: job.id,
      tasks: places.map((p) => `${p.index}@${p.machine.name}`),
      attempt: this.nextAttempt,
      waitedS: (this.ctx.wallNow - job.at) / SECOND,
    }));
    // A job's places are on record before anything is sent there: a new leader then knows which
    // machines may hold its tasks, and waits for no others.
    const missing = attempts.some((a) => !job.placedOn.has(a.machine.name));
    const send = (): void => {
      for (const a of attempts) this.launch(a);
    };
    if (!missing) send();
    else
      this.progress.place(job, send, () => {
        // What can't be put on record is not started, and not tried again at once.
        job.notBefore = Math.max(job.notBefore, this.ctx.now + 30 * SECOND);
        for (const a of attempts) if (a.state === 'recording') this.endAttempt(a, null);
      });
  }

  // ---- progress ----------------------------------------------------------------------------------

  /** Counts for display, to the other nodes and to this one's desk. */
  private tell(): void {
    const notes: ProgressNote[] = [];
    for (const job of this.jobs.values()) {
      if (job.phase === 'ended' || job.held) continue;
      const note = { id: job.id, done: job.done.count, running: job.running() };
      const text = `${note.done}/${note.running}`;
      if (this.told.get(job.id) === text && this.sweeps % 10 !== 0) continue;
      this.told.set(job.id, text);
      notes.push(note);
      if (notes.length >= 1_000) break;
    }
    if (notes.length === 0) return;
    const message = { kind: 'progress', member: this.ctx.settings.member, term: this.term, notes } as const;
    this.desk.noteProgress(message);
    for (const p of this.ctx.settings.peers) this.ctx.emit({ kind: 'peer', member: p.member, message });
  }

  // ---- the sweep ---------------------------------------------------------------------------------

  private sweeps = 0;
  private lastFlush: Micros = 0;

  private sweepLater(): void {
    this.ctx.after(500 * MILLI, () => {
      if (this.stopped) return;
      this.sweep();
      this.sweepLater();
    });
  }

  private sweep(): void {
    this.sweeps++;
    const entitled = this.leadership.hasRight();
    if (entitled && !this.hadRight) this.entitledSince = this.ctx.now;
    this.hadRight = entitled;
    if (!this.ready) return;
    this.expireLeases();
    if (entitled) {
      this.checkSilence();
      this.fleet.sweep(this.needed);
    }
    for (const m of this.machinesByName.values()) if (m.outbox.length > 0) this.pump(m);
    this.checkGangs();
    if (this.ctx.now - this.lastFlush >= this.ctx.settings.tuning.progressUs) {
      this.lastFlush = this.ctx.now;
      this.progress.flush(this.jobs.values());
    }
    if (this.sweeps % 2 === 0) this.tell();
    if (this.sweeps % 60 === 0 && this.timingsNoted > 0) {
      this.timingsNoted = 0;
      const value = this.timings.summary(pageRoom(this.ctx.settings.valueBytes));
      this.writer.put(
        TIMINGS,
        () => value,
        () => undefined,
        { urgent: 'later' },
      );
    }
    if (this.sweeps % 4 === 0 || this.planAgain) this.planSoon();
    if (this.sweeps % 6 === 0 && entitled && this.thrifty()) this.consolidate();
    // Pages of the version before, or too large, are taken apart while nothing else waits to be written.
    if (this.writer.backlog < this.ctx.settings.txnOps) {
      this.roster.settle();
      this.progress.settle(this.jobs.values());
    }
    if (this.sweeps % 40 === 0) {
      this.roster.tidy();
      this.progress.tidy();
    }
    if (this.sweeps % 20 === 0) this.summarise();
  }

  /** For operators: where room is, and who waits for it. */
  private summarise(): void {
    if (!this.ctx.verbose) return;
    const fleet: Record<string, { up: number; booting: number; cores: number; gpus: number; tasks: number }> =
      {};
    for (const m of this.machinesByName.values()) {
      const key = `${m.type}/${m.zone}${m.spot ? '/spot' : ''}`;
      const f = (fleet[key] ??= { up: 0, booting: 0, cores: 0, gpus: 0, tasks: 0 });
      const type = this.ctx.types.get(m.type);
      if (type === undefined) continue;
      if (!m.up) f.booting++;
      else {
        f.up++;
        const free = m.freeOf(type);
        f.cores += Math.round(free.cores);
        f.gpus += Math.round(free.gpus);
        f.tasks += m.attempts.size;
      }
    }
    const waiting: Record<string, { jobs: number; tasks: number }> = {};
    for (const j of this.jobs.values()) {
      if (j.phase !== 'active' || j.held || j.waiting <= 0) continue;
      const w = (waiting[j.spec.class] ??= { jobs: 0, tasks: 0 });
      w.jobs++;
      w.tasks += j.waiting;
    }
    this.ctx.debug('summary', { fleet, waiting });
  }

  /** A worker that was not answered for its lease, drift and all, has dropped its tasks. */
  private expireLeases(): void {
    const length = Math.ceil(this.ctx.settings.leaseUs * (1 + 2 * DRIFT)) + 300 * MILLI;
    for (const m of this.machinesByName.values()) {
      if (this.ctx.now <= m.leaseFrom + length) continue;
      if (!m.up && !m.unresolved) continue;
      this.ctx.info('machine.lease_ended', { machine: m.name, tasks: m.attempts.size });
      m.up = false;
      m.unresolved = false;
      m.strangers = 0;
      // Later reports of the ended session, should any still arrive, tell nothing new.
      m.seq = Number.MAX_SAFE_INTEGER;
      for (const a of [...m.attempts.values()]) this.endAttempt(a, null);
      this.planSoon();
    }
  }

  private silentFor(m: Machine): Micros {
    return this.ctx.now - Math.max(m.lastReport, this.entitledSince);
  }

  /**
   * A silent machine is deleted: the cloud's answer proves that everything on it is gone, much sooner
   * than its lease. Not so when much is silent at once: then the network is at fault, or this node.
   */
  private checkSilence(): void {
    // Two reports may be late or lost before a machine is suspected.
    const { reportUs } = this.ctx.settings;
    const silentUs = Math.max(this.ctx.settings.tuning.silentUs, 2.5 * reportUs);
    // Who is merely overdue counts too: machines of a zone that is cut off become silent one after the
    // other, and the first third of them would be deleted before the rest shows that it is the network.
    const overdueUs = 1.3 * reportUs;
    interface Count {
      all: number;
      overdue: number;
    }
    const zones = new Map<string, { ordinary: Count; any: Count }>();
    let up = 0;
    let quiet = 0;
    for (const m of this.machinesByName.values()) {
      if (!m.up && !m.unresolved) continue;
      const z = zones.get(m.zone) ?? { ordinary: { all: 0, overdue: 0 }, any: { all: 0, overdue: 0 } };
      zones.set(m.zone, z);
      const silent = this.silentFor(m);
      for (const c of m.spot ? [z.any] : [z.any, z.ordinary]) {
        c.all++;
        if (silent > overdueUs) c.overdue++;
      }
      up++;
      if (silent > silentUs * 0.75) quiet++;
    }
    // Who resigned for this a while ago stays now: if all machines died at once, no node hears of them, and the
    // leaders would follow each other for ever without any staying until the machines' leases have run out.
    const { resignedAt } = this.leadership;
    const again = resignedAt !== null && this.ctx.now - resignedAt < 4 * this.ctx.settings.leaseUs;
    if (up >= 3 && quiet === up && !again && this.ctx.settings.peers.length > 0) {
      this.leadership.resign(20 * SECOND, 'no worker reaches this node');
      return;
    }
    for (const m of [...this.machinesByName.values()]) {
      if ((!m.up && !m.unresolved) || m.retiring !== null || this.silentFor(m) <= silentUs) continue;
      // Spot machines are taken in waves; the ordinary ones of a zone tell better whether it is cut off.
      const z = zones.get(m.zone)!;
      const c = z.ordinary.all >= 3 ? z.ordinary : z.any;
      if (c.overdue <= Math.max(1, Math.floor(c.all / 3))) this.retire(m, 'silent');
    }
  }

  /** Attempts of a gang that can't become whole any more, for example after taking over. */
  private checkGangs(): void {
    for (const job of this.jobs.values()) {
      if (job.spec.shape !== 'gang' || job.phase !== 'active' || job.broken || job.live.size === 0) continue;
      if (job.complete || wholeGang(job)) continue;
      let open = false;
      for (const name of job.unresolved) open ||= this.machinesByName.get(name)?.unresolved === true;
      if (!open) this.breakGang(job);
    }
  }

  /** Types are kept in the state service for nodes that start while the cloud is out. */
  saveTypes(types: readonly MachineType[]): void {
    // Some of them would be worse than none: jobs would be told that they fit nowhere.
    if (bytesOf(types) > pageRoom(this.ctx.settings.valueBytes)) return;
    this.writer.put(
      TYPES,
      () => types,
      () => undefined,
      { checked: false, urgent: 'later' },
    );
  }
}
