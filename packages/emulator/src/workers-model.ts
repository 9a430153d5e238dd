/** Workers as a model: tasks, gangs, sessions and leases, with the rules checked at each start. */
import type {
  CommandReply,
  Heartbeat,
  HeartbeatResponse,
  ReportedTask,
  WorkerCommand,
} from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { ListedMachine } from '@shaleyoke/core/domain/machine';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';

import type { Machines } from './cloud-model.js';
import type { Random } from './random.js';
import { TYPE } from './site.js';
import type { Work } from './work.js';

const REPORT: Micros = 3 * SECOND;
const LEASE: Micros = 20 * SECOND;
/** A worker gives a report up after that, and goes on to the next node a second later. */
const REPORT_PATIENCE: Micros = 4 * SECOND;
export const CANCEL: Micros = 40 * SECOND;

interface SimTask {
  job: string;
  index: number;
  attempt: number;
  state: ReportedTask['state'];
  cause: ReportedTask['cause'];
  checkpointed: boolean;
  /** When the state changes by itself. */
  until: Micros;
  /** When it began to run. */
  since: Micros | null;
}

export interface Worker {
  name: string;
  zone: string;
  spot: boolean;
  upAt: Micros;
  alive: boolean;
  session: number;
  seq: number;
  token: number;
  answered: Micros;
  node: number;
  nextReport: Micros;
  tasks: SimTask[];
  /** Hangs or is cut off until then. */
  cutUntil: Micros;
  /** Until then its reports arrive, and nothing that is sent to it. */
  deafUntil: Micros;
  /** Until then it reaches no controller, while direct commands reach it. */
  muteUntil: Micros;
  /** When the cloud takes it away, with notice until then; null: it does not. */
  takenAt: Micros | null;
}

export interface WorkersHost {
  readonly now: Micros;
  readonly nodes: number;
  /** A job's description as its worker fetches it, whoever submitted the job. */
  describe(id: string): JobSpec | undefined;
  /** When its user was told that the job is cancelled. */
  cancelledAt(id: string): Micros | undefined;
  broke(what: string): void;
  /** A report is due. */
  report(w: Worker): void;
  /** The machine is gone. */
  ended(name: string): void;
}

export class WorkersModel implements Machines {
  readonly all = new Map<string, Worker>();
  starts = 0;
  /** Tasks that an order stopped while they ran and their job was neither cancelled nor done: work lost by decision. */
  readonly stoppedRunning: { readonly at: Micros; readonly task: string; readonly machine: string }[] = [];
  /** How long after its user was told of the cancellation a task of a job was started all the same. */
  readonly startedAfter: Micros[] = [];
  /** Orders to stop that found a task saving, and saves that ended well. */
  readonly saves = { begun: 0, cut: 0, ended: 0 };
  /** How much slower workers' clocks are than true ones: their leases last longer by that. */
  slowClocks = 0;
  /** When a task of a job was last on a machine after its user had been told that it is cancelled. */
  readonly lastSeen = new Map<string, Micros>();
  private nextMachine = 1;

  constructor(
    private readonly host: WorkersHost,
    private readonly work: Work,
    private readonly random: Random,
    private readonly limitCores: number,
  ) {}

  private get now(): Micros {
    return this.host.now;
  }

  // ---- machines, as the cloud sees them ----------------------------------------------------------

  inZone(zone: string): number {
    return [...this.all.values()].filter((w) => w.alive && w.zone === zone).length;
  }

  boot(zone: string, spot: boolean, bootUs = TYPE.bootUs * (0.6 + 0.9 * this.random.next())): string {
    const name = `m-${String(this.nextMachine++).padStart(6, '0')}`;
    const upAt = this.now + bootUs;
    this.all.set(name, {
      name,
      zone,
      spot,
      upAt,
      alive: true,
      session: 1,
      seq: 0,
      token: 0,
      answered: upAt,
      node: this.random.below(this.host.nodes),
      nextReport: upAt,
      tasks: [],
      cutUntil: 0,
      deafUntil: 0,
      muteUntil: 0,
      takenAt: null,
    });
    return name;
  }

  end(name: string): void {
    const w = this.all.get(name);
    if (w !== undefined) this.kill(w);
  }

  list(): ListedMachine[] {
    return [...this.all.values()]
      .filter((w) => w.alive)
      .map((w) => ({
        name: w.name,
        address: w.name,
        type: TYPE.name,
        zone: w.zone,
        spot: w.spot,
        state: this.now >= w.upAt ? ('running' as const) : ('booting' as const),
        ageUs: 0,
      }));
  }

  kill(w: Worker): void {
    this.host.ended(w.name);
    for (const t of w.tasks) this.noteRun(t);
    w.alive = false;
    w.tasks = [];
  }

  // ---- reports -----------------------------------------------------------------------------------

  reportOf(w: Worker): Heartbeat {
    return {
      machine: w.name,
      address: w.name,
      type: TYPE.name,
      zone: w.zone,
      spot: w.spot,
      agentEpoch: w.session,
      sequence: ++w.seq,
      fencingToken: w.token,
      terminationNoticeUs: w.takenAt === null ? null : Math.max(0, w.takenAt - this.now),
      tasks: w.tasks.map(({ job, index, attempt, state, cause, checkpointed }) => ({
        job,
        index,
        attempt,
        state,
        cause,
        checkpointed,
      })),
    };
  }

  /** The answer to a report that was sent in this session, at that time. `to`: the node that an answer names, if known. */
  answered(w: Worker, session: number, sent: Micros, a: HeartbeatResponse, to: number): void {
    if (!w.alive || w.session !== session || this.now < w.cutUntil) return;
    if (a.kind === 'accepted') {
      if (a.fencingToken < w.token) return;
      w.token = a.fencingToken;
      w.answered = sent;
      for (const o of a.commands) this.execute(w, o);
    } else if (to >= 0 && to !== w.node) {
      w.node = to;
      w.nextReport = this.now + 100 * MILLI;
    } else this.nextNode(w);
  }

  nextNode(w: Worker): void {
    w.node = (w.node + 1) % this.host.nodes;
    w.nextReport = this.now + SECOND;
  }

  /** Nobody answers within the worker's patience. */
  unanswered(w: Worker): void {
    this.nextNode(w);
    w.nextReport += REPORT_PATIENCE;
  }

  // ---- orders ------------------------------------------------------------------------------------

  /** Direct commands: executed if token and session still match. */
  orders(name: string, token: number, session: number, orders: readonly WorkerCommand[]): CommandReply {
    const w = this.all.get(name);
    if (w === undefined || !w.alive || this.now < w.upAt) return { kind: 'lost', heartbeat: null };
    if (token < w.token || session !== w.session) return { kind: 'refused', heartbeat: this.reportOf(w) };
    w.token = token;
    for (const o of orders) this.execute(w, o);
    return { kind: 'executed', heartbeat: this.reportOf(w) };
  }

  private execute(w: Worker, o: WorkerCommand): void {
    const t = w.tasks.find((x) => x.job === o.job && x.index === o.index);
    if (o.op === 'forget') {
      w.tasks = w.tasks.filter((x) => x !== t || x.attempt !== o.attempt || x.state !== 'exited');
      return;
    }
    if (o.op === 'stop') {
      if (t?.attempt === o.attempt && t.state !== 'exited') this.stop(w, t, o.graceUs);
      return;
    }
    if (t?.attempt === o.attempt) return;
    if (t !== undefined && t.state !== 'exited') {
      w.tasks.push({ ...o, state: 'exited', cause: 'busy', checkpointed: false, until: 0, since: null });
      return;
    }
    w.tasks = w.tasks.filter((x) => x !== t);
    this.checkStart(w, o);
    w.tasks.push({
      job: o.job,
      index: o.index,
      attempt: o.attempt,
      state: 'fetching',
      cause: null,
      checkpointed: false,
      until: this.now + 500 * MILLI,
      since: null,
    });
  }

  /** A task that can save does so if there is time; the second order without any ends the saving. */
  private stop(w: Worker, t: SimTask, graceUs: Micros): void {
    const spec = this.work.specs.get(t.job);
    if (t.state === 'running' && spec !== undefined) {
      if (this.host.cancelledAt(t.job) === undefined && !this.work.isDone(t.job))
        this.stoppedRunning.push({ at: this.now, task: `${t.job}/${t.index}`, machine: w.name });
      if (spec.checkpointIntervalUs > 0 && graceUs >= spec.checkpointDurationUs) {
        this.noteRun(t);
        t.since = null;
        t.state = 'saving';
        t.until = this.now + spec.checkpointDurationUs;
        this.saves.begun++;
        return;
      }
    }
    if (t.state === 'saving') {
      if (graceUs > 0) return;
      this.saves.cut++;
    }
    this.noteRun(t);
    t.state = 'exited';
    t.cause = 'stopped';
  }

  /** The rules, checked at the moment of a start. */
  private checkStart(w: Worker, o: WorkerCommand & { op: 'start' }): void {
    this.starts++;
    const spec = this.host.describe(o.job);
    if (spec === undefined) {
      this.host.broke(`start of unknown ${o.job}`);
      return;
    }
    for (const n of spec.dependsOn)
      if (!this.work.isDone(n)) this.host.broke(`too_early ${o.job}/${o.index}: ${n} is not done`);
    const told = this.host.cancelledAt(o.job);
    if (told !== undefined) this.startedAfter.push(this.now - told);
    if (told !== undefined && this.now > told + CANCEL) this.host.broke(`ran_cancelled ${o.job}`);
    let cores = spec.cores;
    const zones = new Map<string, number>([[w.zone, 1]]);
    for (const other of this.all.values()) {
      if (!other.alive) continue;
      for (const t of other.tasks) {
        if (t.state === 'exited') continue;
        const s = this.work.specs.get(t.job);
        if (s?.team === spec.team) cores += s.cores;
        if (t.job !== o.job) continue;
        if (t.index === o.index)
          this.host.broke(`ran_twice ${o.job}/${o.index} on ${w.name} and ${other.name}`);
        zones.set(other.zone, (zones.get(other.zone) ?? 0) + 1);
      }
    }
    if (cores > this.limitCores) this.host.broke(`quota ${o.job}: ${cores}`);
    if (spec.sameZone && zones.size > 1) this.host.broke(`wrong_place ${o.job}: zones`);
    if (spec.spreadAcrossZones && (zones.get(w.zone) ?? 0) > Math.ceil(spec.tasks / 2))
      this.host.broke(`wrong_place ${o.job}: spread`);
    if ((spec.zone !== null && spec.zone !== w.zone) || (w.spot && !spec.spot))
      this.host.broke(`wrong_place ${o.job}: ${w.zone}`);
    const used = w.tasks
      .filter((t) => t.state !== 'exited')
      .reduce((n, t) => n + (this.work.specs.get(t.job)?.cores ?? 0), 0);
    if (used + spec.cores > TYPE.cores) this.host.broke(`no room on ${w.name}`);
  }

  // ---- time --------------------------------------------------------------------------------------

  run(): void {
    for (const w of this.all.values()) {
      if (!w.alive || this.now < w.upAt) continue;
      if (w.takenAt !== null && this.now >= w.takenAt) {
        this.kill(w);
        continue;
      }
      if (this.now > w.answered + LEASE * (1 + this.slowClocks)) {
        for (const t of w.tasks) this.noteRun(t);
        w.tasks = [];
        w.session++;
        w.seq = 0;
        w.answered = this.now;
      }
      if (this.now < w.cutUntil) continue;
      let changed = false;
      for (const t of w.tasks) {
        if (t.state === 'exited' || this.now < t.until) continue;
        const spec = this.work.specs.get(t.job)!;
        if (t.state === 'fetching') {
          t.state = spec.shape === 'gang' ? 'waiting' : 'running';
          if (t.state === 'running') t.since = this.now;
          t.until = this.now + spec.estimatedRunUs;
        } else if (t.state === 'running') {
          this.noteRun(t);
          t.state = 'exited';
          t.cause = 'done';
          this.work.complete(t.job, t.index);
        } else if (t.state === 'saving') {
          t.state = 'exited';
          t.cause = 'stopped';
          t.checkpointed = true;
          this.saves.ended++;
        } else continue;
        changed = true;
      }
      if (changed) w.nextReport = Math.min(w.nextReport, this.now + 50 * MILLI);
      if (this.now < w.nextReport) continue;
      w.nextReport = this.now + REPORT;
      this.host.report(w);
    }
    this.runGangs();
  }

  private noteRun(t: SimTask): void {
    if (t.since === null || t.state === 'exited') return;
    this.work.ran(t.job, t.index, this.now - t.since);
  }

  private runGangs(): void {
    const gangs = new Map<string, SimTask[]>();
    for (const w of this.all.values())
      if (w.alive)
        for (const t of w.tasks)
          if (t.state !== 'exited' && this.work.specs.get(t.job)?.shape === 'gang') {
            const key = `${t.job}|${t.attempt}`;
            gangs.set(key, [...(gangs.get(key) ?? []), t]);
          }
    for (const members of gangs.values()) {
      const spec = this.work.specs.get(members[0]!.job)!;
      if (members.length === spec.tasks && members.every((t) => t.state === 'waiting'))
        for (const t of members) {
          t.state = 'running';
          t.since = this.now;
          t.until = this.now + spec.estimatedRunUs;
        }
      else if (members.length < spec.tasks && !this.work.completed.has(spec.id))
        for (const t of members)
          if (t.state === 'running') {
            this.noteRun(t);
            t.state = 'exited';
            t.cause = 'peers';
          }
    }
  }

  /** Tasks of a cancelled job are gone within the time that the protocol gives. */
  checkCancelled(cancelled: ReadonlyMap<string, Micros>): void {
    if (cancelled.size === 0) return;
    for (const w of this.all.values()) {
      if (!w.alive) continue;
      for (const t of w.tasks) {
        const at = t.state === 'exited' ? undefined : cancelled.get(t.job);
        if (at === undefined) continue;
        this.lastSeen.set(t.job, this.now);
        if (this.now > at + CANCEL) this.host.broke(`ran_cancelled ${t.job} on ${w.name}`);
      }
    }
  }
}
