/** Workers on loopback: each with an address, a lease and tasks, in wall time. */
import type { Heartbeat, ReportedTask, WorkerCommand } from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';

import { type Asked, serve, type Served } from './loopback-http.js';
import { type Answer, encodeReport, ordersOf, workerAnswerOf } from './wire.js';

const LEAST_GAP: Micros = 500 * MILLI;
const STEP_MS = 50;

interface LoopTask {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  state: ReportedTask['state'];
  cause: ReportedTask['cause'];
  since: Micros | null;
  until: Micros;
}

export interface WorkerWorld {
  now(): Micros;
  spec(job: string): JobSpec | undefined;
  /** Addresses of the controllers, in any order. */
  readonly nodes: readonly { readonly member: string; readonly address: string }[];
  readonly reportUs: Micros;
  readonly leaseUs: Micros;
  /** All workers, for gangs to find each other. */
  readonly workers: ReadonlyMap<string, LoopWorker>;
  /** An order to start a task was executed. */
  started?(job: string, index: number): void;
  /** A worker's lease ran out, and all of its tasks with it. */
  leaseEnded?(machine: string): void;
  /** A task ran on a machine from its beginning to now. */
  ran(job: string, index: number, machine: string, us: Micros, done: boolean): void;
  call(address: string, path: string, body: Buffer): Promise<{ status: number; body: Buffer } | null>;
  /** A task's image is there: from now on the task is on the machine. */
  arrived?(task: PlacedTask): void;
  /** A task that was on the machine is gone; `done`: it has completed. */
  left?(task: PlacedTask, done: boolean): void;
  /** Carries direct commands and their answers; without it they arrive at once. */
  carryCommand?(machine: string, execute: () => Answer): Promise<Answer | null>;
}

/** An attempt of a task on a machine. */
export interface PlacedTask {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly machine: string;
}

export class LoopWorker {
  alive = true;
  private session = 1;
  private seq = 0;
  private token = 0;
  private answered: Micros;
  private node = 0;
  private reportAt: Micros;
  private reported: Micros = 0;
  private reporting = false;
  private hungUntil: Micros = 0;
  private tasks: LoopTask[] = [];
  private server: Served | null = null;
  private timer: NodeJS.Timeout | null = null;

  constructor(
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly world: WorkerWorld,
  ) {
    this.answered = world.now();
    this.reportAt = this.answered;
  }

  get address(): string {
    return this.server?.address ?? '';
  }

  /** Comes up: listens for orders on `listen` (IP:PORT), and begins to report. */
  async boot(listen = '127.0.0.1:0'): Promise<void> {
    const server = await serve(listen, (request, reply) => {
      const execute = (): Answer => this.answerCommand(request);
      if (this.world.carryCommand === undefined) {
        reply(execute());
        return;
      }
      void this.world.carryCommand(this.name, execute).then((answer) => {
        if (answer !== null) reply(answer);
      });
    });
    if (!this.alive) {
      server.close();
      return;
    }
    this.server = server;
    this.answered = this.world.now();
    this.timer = setInterval(() => {
      this.step();
    }, STEP_MS);
  }

  private answerCommand({ url, body }: Asked): Answer {
    if (url === '/inspect') return { status: 200, body: encodeReport(this.report()) };
    const { token, session, orders } = ordersOf(body);
    if (token < this.token || session !== this.session)
      return { status: 409, body: encodeReport(this.report()) };
    this.token = token;
    for (const o of orders) this.execute(o);
    return { status: 200, body: encodeReport(this.report()) };
  }

  /** Stands still for so long: nothing is executed, reported or answered. */
  hang(length: Micros): void {
    this.hungUntil = this.world.now() + length;
  }

  /** How long it still stands still. */
  get hangsFor(): Micros {
    return Math.max(0, this.hungUntil - this.world.now());
  }

  /** Power is lost: it is silent from now on. */
  kill(): void {
    this.alive = false;
    for (const t of this.tasks) this.note(t, false);
    this.tasks = [];
    if (this.timer !== null) clearInterval(this.timer);
    this.server?.close();
  }

  get running(): number {
    return this.tasks.filter((t) => t.state === 'running').length;
  }

  private note(t: LoopTask, done: boolean): void {
    if (t.state !== 'exited' && t.state !== 'fetching') this.world.left?.(this.placed(t), done);
    if (t.since === null || t.state === 'exited') return;
    this.world.ran(t.job, t.index, this.name, this.world.now() - t.since, done);
  }

  private placed({ job, index, attempt }: LoopTask): PlacedTask {
    return { job, index, attempt, machine: this.name };
  }

  private exit(t: LoopTask, cause: ReportedTask['cause']): void {
    this.note(t, cause === 'done');
    t.state = 'exited';
    t.cause = cause;
    this.changed();
  }

  private changed(): void {
    this.reportAt = Math.min(this.reportAt, Math.max(this.world.now(), this.reported + LEAST_GAP));
  }

  private report(): Heartbeat {
    return {
      machine: this.name,
      address: this.address,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.session,
      sequence: ++this.seq,
      fencingToken: this.token,
      terminationNoticeUs: null,
      tasks: this.tasks.map(({ job, index, attempt, state, cause }) => ({
        job,
        index,
        attempt,
        state,
        cause,
        checkpointed: false,
      })),
    };
  }

  private step(): void {
    const now = this.world.now();
    if (now < this.hungUntil) return;
    if (now > this.answered + this.world.leaseUs) {
      this.world.leaseEnded?.(this.name);
      for (const t of this.tasks) this.note(t, false);
      this.tasks = [];
      this.session++;
      this.seq = 0;
      this.answered = now;
    }
    for (const t of this.tasks) this.advance(t, now);
    if (!this.reporting && now >= this.reportAt) void this.send();
  }

  private advance(t: LoopTask, now: Micros): void {
    if (t.state === 'exited' || now < t.until) return;
    const spec = this.world.spec(t.job);
    if (spec === undefined) return;
    if (t.state === 'fetching') {
      t.state = spec.shape === 'gang' ? 'waiting' : 'running';
      this.world.arrived?.(this.placed(t));
      this.begin(t, spec, now);
      this.changed();
    } else if (t.state === 'waiting') {
      if (this.members(t).length < spec.tasks) return;
      for (const m of this.members(t)) if (m.task.state === 'fetching') return;
      t.state = 'running';
      this.begin(t, spec, now);
      this.changed();
    } else if (spec.shape === 'gang' && this.members(t).length < spec.tasks && !this.finished(t))
      this.exit(t, 'peers');
    else this.exit(t, 'done');
  }

  private begin(t: LoopTask, spec: JobSpec, now: Micros): void {
    if (t.state !== 'running') return;
    t.since = now;
    t.until = spec.shape === 'service' ? Infinity : now + spec.estimatedRunUs;
  }

  /** Whether a member of the gang has completed: then all of them do. */
  private finished(t: LoopTask): boolean {
    for (const w of this.world.workers.values())
      for (const o of w.tasks)
        if (o.job === t.job && o.attempt === t.attempt && o.cause === 'done') return true;
    return false;
  }

  private members(t: LoopTask): { worker: LoopWorker; task: LoopTask }[] {
    const found: { worker: LoopWorker; task: LoopTask }[] = [];
    for (const worker of this.world.workers.values())
      if (worker.alive)
        for (const task of worker.tasks)
          if (task.job === t.job && task.attempt === t.attempt && task.state !== 'exited')
            found.push({ worker, task });
    return found;
  }

  private async send(): Promise<void> {
    this.reporting = true;
    const sent = this.world.now();
    this.reported = sent;
    this.reportAt = sent + this.world.reportUs;
    const { session } = this;
    const node = this.world.nodes[this.node % this.world.nodes.length]!;
    const r = await this.world.call(node.address, '/v1/report', encodeReport(this.report()));
    this.reporting = false;
    if (!this.alive || this.session !== session) return;
    const a = r === null ? null : workerAnswerOf(r.status, r.body);
    if (a?.kind === 'accepted') {
      if (a.fencingToken < this.token) return;
      this.token = a.fencingToken;
      this.answered = sent;
      for (const o of a.commands) this.execute(o);
      return;
    }
    const leader = a?.kind === 'redirect' ? this.world.nodes.findIndex((n) => n.member === a.leader) : -1;
    const now = this.world.now();
    if (leader >= 0 && leader !== this.node % this.world.nodes.length) {
      this.node = leader;
      this.reportAt = now + 100 * MILLI;
    } else {
      this.node++;
      this.reportAt = now + SECOND;
    }
  }

  private execute(o: WorkerCommand): void {
    const t = this.tasks.find((x) => x.job === o.job && x.index === o.index);
    if (o.op === 'forget') {
      this.tasks = this.tasks.filter((x) => x !== t || x.attempt !== o.attempt || x.state !== 'exited');
      return;
    }
    if (o.op === 'stop') {
      if (t?.attempt === o.attempt && t.state !== 'exited') this.exit(t, 'stopped');
      return;
    }
    if (t?.attempt === o.attempt) return;
    const refused =
      t !== undefined && t.state !== 'exited'
        ? 'busy'
        : this.world.spec(o.job) === undefined
          ? 'unknown'
          : null;
    if (refused === null) {
      this.tasks = this.tasks.filter((x) => x !== t);
      this.world.started?.(o.job, o.index);
    }
    this.tasks.push({
      job: o.job,
      index: o.index,
      attempt: o.attempt,
      state: refused === null ? 'fetching' : 'exited',
      cause: refused,
      since: null,
      until: this.world.now() + 300 * MILLI,
    });
    this.changed();
  }
}
