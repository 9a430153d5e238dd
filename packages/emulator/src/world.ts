/**
 * Stand-ins for state service, cloud and workers, in simulated time, round any number of cores. They keep
 * the rules as invariants: whatever breaks one is collected in `broken`.
 */
import { Core } from '@shaleyoke/core/core';
import type {
  CloudOp,
  CloudReply,
  CoreEffect,
  Input,
  JobSpec,
  LogFields,
  MachineType,
  Micros,
  Order,
  OrdersReply,
  Report,
  ReportedTask,
  Settings,
  StateOp,
  UserAnswer,
} from '@shaleyoke/core/model';
import { MILLI, SECOND } from '@shaleyoke/core/model';
import { activeKey } from '@shaleyoke/core/base/keys';
import type { Feature } from '@shaleyoke/core/ports';
import { readActive } from '@shaleyoke/core/base/records';
import { parseSettings } from '@shaleyoke/settings/settings';
import { Network } from './network.js';
import type { Random } from './random.js';
import { StateModel } from './state-model.js';

export const settingsFor = (member: string, all: readonly string[], teams: string, next = ''): Settings => {
  const peers = all
    .filter((m) => m !== member)
    .map((m, i) => `[[peers]]\nmember = "${m}"\nsite = "z"\naddress = "10.0.0.${i + 2}:81"\n`)
    .join('');
  return parseSettings(
    `member = "${member}"\nsite = "z"\nlisten = "10.0.0.1:80"\ncluster_listen = "10.0.0.1:81"\n${peers}
[endpoints]\ncloud = "10.2.0.2:84"\nstate = "10.2.0.1:23"\n[cluster]\n${teams}
[cluster.workers]\nreport_s = 3.0\nlease_s = 20.0\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = 40.0
[cluster.state]\nrps = 100.0\nwrite_rps = 50.0\nvalue_kb = 16.0\ntxn_ops = 16\n${next === '' ? '' : `[cluster.state.next]\n${next}\n`}
[cluster.cloud]\nrps = 5.0\nlist_lag_s = 3.0\n`,
    null,
  );
};

export const TYPE: MachineType = {
  name: 'box',
  cores: 4,
  gpus: 0,
  memoryGb: 16,
  cacheGb: 20,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 0.4,
  bootUs: 10 * SECOND,
  zones: ['a', 'b'],
};

interface SimTask {
  job: string;
  index: number;
  attempt: number;
  state: ReportedTask['state'];
  cause: ReportedTask['cause'];
  saved: boolean;
  /** When the state changes by itself. */
  until: Micros;
  /** When it began to run. */
  since: Micros | null;
}

interface Worker {
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
}

interface SimNode {
  name: string;
  core: Core | null;
  life: number;
  wake: Micros | null;
  startAt: Micros;
}

interface Planned {
  at: Micros;
  order: number;
  run: () => void;
}

export interface Told {
  stage: string;
  at: Micros;
}

export class World {
  now: Micros = 0;
  readonly broken: string[] = [];
  readonly nodes: SimNode[];
  readonly workers = new Map<string, Worker>();
  readonly specs = new Map<string, JobSpec>();
  readonly told = new Map<string, Told>();
  /** The moment at which the user was told that the job is cancelled. */
  readonly cancelledAt = new Map<string, Micros>();
  readonly completed = new Map<string, Set<number>>();
  /** Chance that a call's answer is lost, and that the call is only carried out later. */
  loss = 0;
  /** How much later than others the answers to lists come. */
  listDelay: Micros = 0;
  cloudDownUntil: Micros = 0;
  starts = 0;
  /** What the cloud charges for, by machine: from the request for it until it is gone. */
  readonly bills = new Map<string, { from: Micros; to: Micros | null; spot: boolean }>();
  /** Task time that workers count, by task: its longest run. */
  readonly longestUs = new Map<string, Micros>();
  /** Task time that workers count, by job: all runs. */
  readonly ranUs = new Map<string, Micros>();
  /** Jobs whose users asked to cancel them. */
  readonly asked = new Set<string>();

  readonly state = new StateModel(
    () => this.now,
    (run) => {
      this.plan(2 * MILLI, run);
    },
  );
  /** Links of nodes: by their names, `state`, and the names of workers. */
  readonly network = new Network(() => this.now);
  /** What nodes log, for those who look at it. */
  onLog: (node: string, event: string, fields: LogFields) => void = () => undefined;
  private queue: Planned[] = [];
  private order = 0;
  private nextMachine = 1;
  private readonly bookings = new Map<string, string[]>();
  private nextRequest = 1;
  private readonly asking = new Map<string, (a: UserAnswer) => void>();
  private readonly askingFeatures = new Map<string, (answer: unknown, last: boolean) => void>();

  constructor(
    readonly random: Random,
    count = 3,
    readonly teams = '[[cluster.teams]]\nname = "t"\ncpus_max = 10.0\n',
    readonly limitCores = 10,
    /** Machines that the cloud has in each zone. */
    readonly perZone = 4,
    /** Limits that the settings announce. */
    readonly next = '',
    /** What is switched on in each process; made anew for each. */
    readonly features: () => readonly Feature[] = () => [],
    /** Time of day at the world's beginning. */
    readonly wallStart: Micros = 0,
  ) {
    const names = Array.from({ length: count }, (_, i) => `n${i}`);
    this.nodes = names.map((name) => ({ name, core: null, life: 0, wake: null, startAt: 0 }));
    for (const n of this.nodes) this.boot(n);
  }

  private plan(delay: Micros, run: () => void): void {
    this.queue.push({ at: this.now + Math.max(1, Math.round(delay)), order: this.order++, run });
  }

  // ---- nodes -------------------------------------------------------------------------------------

  private boot(n: SimNode): void {
    n.life++;
    n.startAt = this.now;
    n.core = new Core(
      settingsFor(
        n.name,
        this.nodes.map((x) => x.name),
        this.teams,
        this.next,
      ),
      () => 0,
      true,
      this.features(),
    );
    this.feed(n, { kind: 'start', wallUs: this.wall });
  }

  crash(i: number, downFor: Micros): void {
    const n = this.nodes[i]!;
    if (n.core === null) return;
    n.core = null;
    n.life++;
    n.wake = null;
    this.plan(downFor, () => {
      this.boot(n);
    });
  }

  private feed(n: SimNode, input: Input): void {
    if (n.core === null) return;
    const { life } = n;
    for (const e of n.core.step(this.now - n.startAt + 1, input)) this.perform(n, life, e);
  }

  private perform(n: SimNode, life: number, e: CoreEffect): void {
    const back = (input: Input): void => {
      if (n.life === life) this.feed(n, input);
    };
    switch (e.kind) {
      case 'state':
        this.carry(
          () => this.state.apply(e.op),
          (r) => {
            this.plan(e.op.kind === 'list' ? this.listDelay : 0, () => {
              back({ kind: 'state', call: e.call, reply: r });
            });
          },
          { kind: 'failed', executed: null, reason: 'lost' },
          e.op.kind === 'watch' ? e.op : null,
          n.name,
        );
        return;
      case 'cloud':
        this.carry<CloudReply>(
          () => this.cloudNow(e.op),
          (r) => {
            back({ kind: 'cloud', call: e.call, reply: r });
          },
          { kind: 'failed', reason: 'lost' },
          null,
        );
        return;
      case 'orders':
        this.carryOrders(n.name, e, (r) => {
          back({ kind: 'orders', call: e.call, reply: r });
        });
        return;
      case 'answerUser':
        this.asking.get(`${n.name}/${life}/${e.request}`)?.(e.answer);
        return;
      case 'answerWorker': {
        const reply = this.reporting.get(`${n.name}/${life}/${e.request}`);
        reply?.(e.answer);
        return;
      }
      case 'answerAsked':
        this.askingFeatures.get(`${n.name}/${life}/${e.request}`)?.(e.answer, e.last);
        return;
      case 'wake':
        n.wake = e.at + n.startAt - 1;
        return;
      case 'log':
        this.onLog(n.name, e.event, e.fields);
        if (e.level === 'error') this.broken.push(`error logged: ${e.event} ${JSON.stringify(e.fields)}`);
        return;
      case 'peer': {
        const to = this.nodes.find((x) => x.name === e.member)!;
        if (this.random.chance(this.loss / 2)) return;
        this.plan(this.network.delay(n.name, to.name) + 2 * MILLI, () => {
          this.feed(to, { kind: 'peer', message: e.message });
        });
        return;
      }
      case 'role':
        return;
    }
  }

  /** A call there and back, either of which may be lost; a lost call may still be carried out much later. */
  private carry<R>(
    run: () => R,
    reply: (r: R) => void,
    lost: R,
    watch: (StateOp & { kind: 'watch' }) | null,
    from = '',
  ): void {
    const fate = this.random.next();
    const there = this.network.delay(from, 'state');
    if (there > 0 || this.network.delay('state', from) > 0) {
      // Held back by the cut: a request is carried out when it ends, and nobody waits for the answer that long.
      if (watch === null)
        this.plan(there + 2 * MILLI, () => {
          run();
        });
      this.plan(watch === null ? 1200 * MILLI : watch.waitMs * MILLI + 2 * SECOND, () => {
        reply(lost);
      });
      return;
    }
    if (watch !== null) {
      // A watch that was opened before a cut is answered, or given up, on the far side of it.
      let open = true;
      const answer = (r: R): void => {
        if (open) reply(r);
        open = false;
      };
      this.plan(3 * MILLI, () => {
        this.state.watch(watch, (r) => {
          this.plan(this.network.delay('state', from), () => {
            answer(r as R);
          });
        });
      });
      this.plan(watch.waitMs * MILLI + 2 * SECOND, () => {
        answer(lost);
      });
      return;
    }
    if (fate < this.loss / 3) {
      this.plan(this.random.below(30) * SECOND, () => {
        run();
      });
      this.plan(1200 * MILLI, () => {
        reply(lost);
      });
    } else if (fate < (this.loss * 2) / 3) {
      this.plan(3 * MILLI, () => {
        run();
      });
      this.plan(1200 * MILLI, () => {
        reply(lost);
      });
    } else if (fate < this.loss)
      this.plan(1200 * MILLI, () => {
        reply(lost);
      });
    else
      this.plan((2 + this.random.below(6)) * MILLI, () => {
        const r = run();
        this.plan(2 * MILLI, () => {
          reply(r);
        });
      });
  }

  // ---- state service -----------------------------------------------------------------------------

  stateOutage(length: Micros): void {
    this.state.outage(length);
  }

  // ---- cloud -------------------------------------------------------------------------------------

  private cloudNow(op: CloudOp): CloudReply {
    if (this.now < this.cloudDownUntil) return { kind: 'failed', reason: 'trouble' };
    switch (op.kind) {
      case 'types':
        return { kind: 'types', types: [TYPE] };
      case 'rent': {
        const old = this.bookings.get(op.request);
        if (old !== undefined) return { kind: 'rented', machines: old };
        const alive = [...this.workers.values()].filter((w) => w.alive && w.zone === op.zone).length;
        const count = Math.min(op.count, this.perZone - alive);
        if (count <= 0) return { kind: 'noCapacity' };
        const names = Array.from({ length: count }, () => this.addWorker(op.zone, op.spot));
        this.bookings.set(op.request, names);
        return { kind: 'rented', machines: names };
      }
      case 'delete':
        for (const name of op.machines) {
          const w = this.workers.get(name);
          if (w !== undefined) this.killWorker(w);
        }
        return { kind: 'deleted' };
      case 'list':
        return {
          kind: 'listed',
          more: false,
          machines: [...this.workers.values()]
            .filter((w) => w.alive)
            .map((w) => ({
              name: w.name,
              address: w.name,
              type: TYPE.name,
              zone: w.zone,
              spot: w.spot,
              state: this.now >= w.upAt ? ('running' as const) : ('booting' as const),
              ageUs: 0,
            })),
        };
    }
  }

  private addWorker(zone: string, spot: boolean): string {
    const name = `m-${String(this.nextMachine++).padStart(6, '0')}`;
    const upAt = this.now + TYPE.bootUs * (0.6 + 0.9 * this.random.next());
    this.bills.set(name, { from: this.now, to: null, spot });
    this.workers.set(name, {
      name,
      zone,
      spot,
      upAt,
      alive: true,
      session: 1,
      seq: 0,
      token: 0,
      answered: upAt,
      node: this.random.below(this.nodes.length),
      nextReport: upAt,
      tasks: [],
      cutUntil: 0,
    });
    return name;
  }

  killWorker(w: Worker): void {
    const bill = this.bills.get(w.name);
    if (bill !== undefined) bill.to ??= this.now;
    for (const t of w.tasks) this.noteRun(t);
    w.alive = false;
    w.tasks = [];
  }

  anyWorker(): Worker | undefined {
    const up = [...this.workers.values()].filter((w) => w.alive && this.now >= w.upAt);
    return up[this.random.below(Math.max(1, up.length))];
  }

  // ---- workers -----------------------------------------------------------------------------------

  private readonly reporting = new Map<string, (a: import('@shaleyoke/core/model').WorkerAnswer) => void>();

  private reportOf(w: Worker): Report {
    return {
      machine: w.name,
      address: w.name,
      type: TYPE.name,
      zone: w.zone,
      spot: w.spot,
      session: w.session,
      seq: ++w.seq,
      token: w.token,
      noticeUs: null,
      tasks: w.tasks.map(({ job, index, attempt, state, cause, saved }) => ({
        job,
        index,
        attempt,
        state,
        cause,
        saved,
      })),
    };
  }

  private report(w: Worker): void {
    const sent = this.now;
    w.nextReport = this.now + 3 * SECOND;
    const n = this.nodes[w.node]!;
    const next = (): void => {
      w.node = (w.node + 1) % this.nodes.length;
      w.nextReport = this.now + SECOND;
    };
    if (n.core === null) {
      next();
      return;
    }
    const report = this.reportOf(w);
    const there = this.network.delay(w.name, n.name);
    if (there > 0 || this.network.delay(n.name, w.name) > 0) {
      // The worker waits for 4 s, and goes on to the next node a second later.
      next();
      w.nextReport += 4 * SECOND;
      const late = this.nextRequest++;
      this.plan(there + 2 * MILLI, () => {
        this.feed(n, { kind: 'report', request: late, report });
      });
      return;
    }
    const { session } = w;
    const request = this.nextRequest++;
    const life = n.life;
    const lostThere = this.random.chance(this.loss / 2);
    const lostBack = this.random.chance(this.loss / 2);
    const deliver = (): void => {
      if (n.life === life) this.feed(n, { kind: 'report', request, report });
    };
    this.reporting.set(`${n.name}/${life}/${request}`, (a) => {
      this.reporting.delete(`${n.name}/${life}/${request}`);
      if (lostThere || lostBack || this.now < w.cutUntil) return;
      this.plan(2 * MILLI, () => {
        if (!w.alive || w.session !== session || this.now < w.cutUntil) return;
        if (a.kind === 'accepted') {
          if (a.token < w.token) return;
          w.token = a.token;
          w.answered = sent;
          for (const o of a.orders) this.execute(w, o);
        } else if (a.kind === 'redirect') {
          const to = this.nodes.findIndex((x) => x.name === a.leader);
          if (to >= 0 && to !== w.node) {
            w.node = to;
            w.nextReport = this.now + 100 * MILLI;
          } else next();
        } else next();
      });
    });
    // A report that is held back arrives late, as old as it is.
    this.plan(lostThere ? this.random.below(20) * SECOND : 2 * MILLI, deliver);
    if (lostThere || lostBack) next();
  }

  private carryOrders(
    from: string,
    e: CoreEffect & { kind: 'orders' },
    reply: (r: OrdersReply) => void,
  ): void {
    const w = this.workers.get(e.address);
    const held = Math.max(w === undefined ? 0 : w.cutUntil - this.now, this.network.delay(from, e.address));
    const run = (): OrdersReply => {
      if (w === undefined || !w.alive || this.now < w.upAt) return { kind: 'lost', report: null };
      if (e.token < w.token || e.session !== w.session) return { kind: 'refused', report: this.reportOf(w) };
      w.token = e.token;
      for (const o of e.orders) this.execute(w, o);
      return { kind: 'executed', report: this.reportOf(w) };
    };
    if (held > 0 || this.network.delay(e.address, from) > 0) {
      // Held back by the cut, and delivered when it ends.
      this.plan(held, () => {
        run();
      });
      this.plan(2500 * MILLI, () => {
        reply({ kind: 'lost', report: null });
      });
      return;
    }
    this.carry(run, reply, { kind: 'lost', report: null }, null);
  }

  private execute(w: Worker, o: Order): void {
    const t = w.tasks.find((x) => x.job === o.job && x.index === o.index);
    if (o.op === 'forget') {
      w.tasks = w.tasks.filter((x) => x !== t || x.attempt !== o.attempt || x.state !== 'exited');
      return;
    }
    if (o.op === 'stop') {
      if (t !== undefined && t.attempt === o.attempt && t.state !== 'exited') {
        this.noteRun(t);
        t.state = 'exited';
        t.cause = 'stopped';
      }
      return;
    }
    if (t !== undefined && t.attempt === o.attempt) return;
    if (t !== undefined && t.state !== 'exited') {
      w.tasks.push({ ...o, state: 'exited', cause: 'busy', saved: false, until: 0, since: null });
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
      saved: false,
      until: this.now + 500 * MILLI,
      since: null,
    });
  }

  /** A job's description as its worker fetches it, whoever submitted the job. */
  private describe(id: string): JobSpec | undefined {
    const known = this.specs.get(id);
    if (known !== undefined) return known;
    const spec = readActive(this.state.value(activeKey(id)))?.spec;
    if (spec !== undefined) this.specs.set(id, spec);
    return spec;
  }

  /** The rules, checked at the moment of a start. */
  private checkStart(w: Worker, o: Order & { op: 'start' }): void {
    this.starts++;
    const spec = this.describe(o.job);
    if (spec === undefined) {
      this.broken.push(`start of unknown ${o.job}`);
      return;
    }
    for (const n of spec.needs)
      if (!this.isDone(n)) this.broken.push(`too_early ${o.job}/${o.index}: ${n} is not done`);
    const told = this.cancelledAt.get(o.job);
    if (told !== undefined && this.now > told + 40 * SECOND) this.broken.push(`ran_cancelled ${o.job}`);
    let cores = spec.cores;
    const zones = new Map<string, number>([[w.zone, 1]]);
    for (const other of this.workers.values()) {
      if (!other.alive) continue;
      for (const t of other.tasks) {
        if (t.state === 'exited') continue;
        const s = this.specs.get(t.job);
        if (s?.team === spec.team) cores += s.cores;
        if (t.job !== o.job) continue;
        if (t.index === o.index)
          this.broken.push(`ran_twice ${o.job}/${o.index} on ${w.name} and ${other.name}`);
        zones.set(other.zone, (zones.get(other.zone) ?? 0) + 1);
      }
    }
    if (cores > this.limitCores) this.broken.push(`quota ${o.job}: ${cores}`);
    if (spec.sameZone && zones.size > 1) this.broken.push(`wrong_place ${o.job}: zones`);
    if (spec.spread && (zones.get(w.zone) ?? 0) > Math.ceil(spec.tasks / 2))
      this.broken.push(`wrong_place ${o.job}: spread`);
    if ((spec.zone !== null && spec.zone !== w.zone) || (w.spot && !spec.spot))
      this.broken.push(`wrong_place ${o.job}: ${w.zone}`);
    const used = w.tasks
      .filter((t) => t.state !== 'exited')
      .reduce((n, t) => n + (this.specs.get(t.job)?.cores ?? 0), 0);
    if (used + spec.cores > TYPE.cores) this.broken.push(`no room on ${w.name}`);
  }

  private runWorkers(): void {
    for (const w of this.workers.values()) {
      if (!w.alive || this.now < w.upAt) continue;
      if (this.now > w.answered + 20 * SECOND) {
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
        const spec = this.specs.get(t.job)!;
        if (t.state === 'fetching') {
          t.state = spec.shape === 'gang' ? 'waiting' : 'running';
          if (t.state === 'running') t.since = this.now;
          t.until = this.now + spec.estimateUs;
        } else if (t.state === 'running') {
          this.noteRun(t);
          t.state = 'exited';
          t.cause = 'done';
          this.complete(t);
        }
        changed = true;
      }
      if (changed) w.nextReport = Math.min(w.nextReport, this.now + 50 * MILLI);
      if (this.now >= w.nextReport) this.report(w);
    }
    this.runGangs();
  }

  private isDone(id: string): boolean {
    const spec = this.specs.get(id);
    if (spec === undefined) return false;
    return (this.completed.get(id)?.size ?? 0) >= (spec.shape === 'gang' ? 1 : spec.tasks);
  }

  /** The worker's own books: how long a task ran. */
  private noteRun(t: SimTask): void {
    if (t.since === null || t.state === 'exited') return;
    const ran = this.now - t.since;
    const task = `${t.job}/${t.index}`;
    this.ranUs.set(t.job, (this.ranUs.get(t.job) ?? 0) + ran);
    this.longestUs.set(task, Math.max(this.longestUs.get(task) ?? 0, ran));
  }

  /** The job and all that it needs, directly or through others. */
  private lineOf(id: string): Set<string> {
    const seen = new Set([id]);
    const next = [id];
    for (let x = next.pop(); x !== undefined; x = next.pop())
      for (const n of this.specs.get(x)?.needs ?? [])
        if (!seen.has(n)) {
          seen.add(n);
          next.push(n);
        }
    return seen;
  }

  private complete(t: SimTask): void {
    const set = this.completed.get(t.job) ?? new Set<number>();
    set.add(t.index);
    this.completed.set(t.job, set);
  }

  private runGangs(): void {
    const gangs = new Map<string, SimTask[]>();
    for (const w of this.workers.values())
      if (w.alive)
        for (const t of w.tasks)
          if (t.state !== 'exited' && this.specs.get(t.job)?.shape === 'gang') {
            const key = `${t.job}|${t.attempt}`;
            gangs.set(key, [...(gangs.get(key) ?? []), t]);
          }
    for (const members of gangs.values()) {
      const spec = this.specs.get(members[0]!.job)!;
      if (members.length === spec.tasks && members.every((t) => t.state === 'waiting'))
        for (const t of members) {
          t.state = 'running';
          t.since = this.now;
          t.until = this.now + spec.estimateUs;
        }
      else if (members.length < spec.tasks && !this.completed.has(spec.id))
        for (const t of members)
          if (t.state === 'running') {
            this.noteRun(t);
            t.state = 'exited';
            t.cause = 'peers';
          }
    }
  }

  // ---- users -------------------------------------------------------------------------------------

  private ask(i: number, body: Input & { kind: 'user' }, then: (a: UserAnswer | null) => void): void {
    const n = this.nodes[i]!;
    if (n.core === null) {
      then(null);
      return;
    }
    const key = `${n.name}/${n.life}/${body.request}`;
    let open = true;
    const finish = (a: UserAnswer | null): void => {
      if (!open) return;
      open = false;
      this.asking.delete(key);
      then(a);
    };
    this.asking.set(key, finish);
    this.plan(5 * SECOND, () => {
      finish(null);
    });
    this.feed(n, body);
  }

  /** What any node had told when the question was asked must never be taken back. */
  private hear(id: string, a: UserAnswer | null, known: Told | undefined): void {
    if (a?.kind === 'absent' && known !== undefined) this.broken.push(`forgotten ${id}`);
    if (a?.kind !== 'view') return;
    const before = known?.stage;
    const { stage } = a.view;
    if ((before === 'done' || before === 'cancelled') && stage !== before)
      this.broken.push(`went_back ${id}: ${before} -> ${stage}`);
    if (stage === 'done' && !this.isDone(id)) this.broken.push(`not_done ${id}`);
    const line = this.lineOf(id);
    if (stage === 'cancelled' && ![...line].some((x) => this.asked.has(x)))
      this.broken.push(`went_back ${id}: nobody cancelled it`);
    line.delete(id);
    if (stage === 'queued' || stage === 'running')
      for (const x of line)
        if ((this.cancelledAt.get(x) ?? Infinity) + 40 * SECOND < this.now)
          this.broken.push(`orphaned ${id}: ${x} is cancelled`);
    if (stage === 'cancelled' && !this.cancelledAt.has(id)) this.cancelledAt.set(id, this.now);
    const last = this.told.get(id)?.stage;
    if (last !== 'done' && last !== 'cancelled') this.told.set(id, { stage, at: this.now });
  }

  submit(spec: JobSpec, tries = 0): void {
    this.specs.set(spec.id, spec);
    const known = this.told.get(spec.id);
    this.ask(
      this.random.below(this.nodes.length),
      {
        kind: 'user',
        request: this.nextRequest++,
        body: { kind: 'submit', id: spec.id, spec, problem: null },
        wallUs: this.wall,
      },
      (a) => {
        this.hear(spec.id, a, known);
        if (a?.kind !== 'view' && tries < 90)
          this.plan(SECOND, () => {
            this.submit(spec, tries + 1);
          });
      },
    );
  }

  /**
   * A feature's client asks a node; `told` is called for each answer, and with null where the connection ends before
   * the last: nobody is there, or the node goes.
   */
  askFeature(
    node: number,
    feature: string,
    body: unknown,
    told: (answer: unknown, last: boolean) => void,
  ): void {
    const n = this.nodes[node]!;
    const { life } = n;
    const request = this.nextRequest++;
    let open = true;
    const tell = (answer: unknown, last: boolean): void => {
      if (!open) return;
      open = !last;
      told(answer, last);
    };
    this.askingFeatures.set(`${n.name}/${life}/${request}`, tell);
    this.plan(2 * MILLI, () => {
      if (n.core !== null && n.life === life)
        this.feed(n, { kind: 'asked', feature, request, body, wallUs: this.wall });
    });
    const look = (): void => {
      if (open && (n.core === null || n.life !== life)) tell(null, true);
      else if (open) this.plan(200 * MILLI, look);
    };
    look();
  }

  poll(id: string): void {
    const known = this.told.get(id);
    this.ask(
      this.random.below(this.nodes.length),
      { kind: 'user', request: this.nextRequest++, body: { kind: 'poll', id }, wallUs: this.wall },
      (a) => {
        this.hear(id, a, known);
      },
    );
  }

  cancel(id: string, tries = 0): void {
    this.asked.add(id);
    const known = this.told.get(id);
    this.ask(
      this.random.below(this.nodes.length),
      { kind: 'user', request: this.nextRequest++, body: { kind: 'cancel', id }, wallUs: this.wall },
      (a) => {
        this.hear(id, a, known);
        if (a?.kind !== 'view' && tries < 90)
          this.plan(SECOND, () => {
            this.cancel(id, tries + 1);
          });
      },
    );
  }

  private checkCancelled(): void {
    for (const [id, at] of this.cancelledAt) {
      if (this.now <= at + 40 * SECOND) continue;
      for (const w of this.workers.values())
        if (w.alive && w.tasks.some((t) => t.job === id && t.state !== 'exited'))
          this.broken.push(`ran_cancelled ${id} on ${w.name}`);
    }
  }

  // ---- time --------------------------------------------------------------------------------------

  /** Plays on in steps of 25 ms, within which planned events keep their order. */
  runFor(length: Micros): void {
    const end = this.now + length;
    while (this.now < end) {
      const target = Math.min(end, this.now + 25 * MILLI);
      for (;;) {
        let first: Planned | null = null;
        for (const p of this.queue)
          if (
            p.at <= target &&
            (first === null || p.at < first.at || (p.at === first.at && p.order < first.order))
          )
            first = p;
        if (first === null) break;
        this.queue.splice(this.queue.indexOf(first), 1);
        this.now = Math.max(this.now, first.at);
        first.run();
      }
      this.now = target;
      this.state.expire();
      for (const n of this.nodes)
        if (n.wake !== null && n.wake <= this.now) {
          n.wake = null;
          this.feed(n, { kind: 'timer' });
        }
      this.runWorkers();
      this.checkCancelled();
    }
  }

  get wall(): Micros {
    return this.wallStart + this.now;
  }

  /** The value of a key as it is now. */
  value(key: string): unknown {
    return this.state.value(key);
  }

  /** Writes a value as an operator's tool would. */
  put(key: string, value: unknown): void {
    this.state.put(key, value);
  }

  /** Removes a key as an operator's tool would. */
  remove(key: string): void {
    this.state.apply({ kind: 'txn', conditions: [], writes: [{ kind: 'delete', key }] });
  }

  /** Keys under a prefix. */
  keys(prefix: string): string[] {
    return this.state.keys(prefix);
  }

  get refusals(): number {
    return this.state.refusals;
  }

  /** What the state service takes. */
  set limits(l: { valueBytes: number; ops: number }) {
    this.state.limits = l;
  }

  stageOf(id: string): string | undefined {
    return this.told.get(id)?.stage;
  }
}
