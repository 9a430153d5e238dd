/** Emulated workers on loopback, in real time: each has an address, a lease and tasks. */
import type { Heartbeat, ReportedTask, WorkerCommand } from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import { type HttpRequest, type HttpServer, startServer } from './loopback-http.js';
import { decodeCommands, decodeHeartbeatResponse, encodeHeartbeat, type WireResponse } from './wire.js';

/** Minimum time between heartbeats, however many tasks change. */
const MIN_HEARTBEAT_INTERVAL: Micros = 500 * MILLISECOND;
const STEP_MS = 50;

/** An attempt of a task on a worker. */
interface LoopbackTask {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  state: ReportedTask['state'];
  cause: ReportedTask['cause'];
  /** Null: it isn't running. */
  runningSince: Micros | null;
  /** When the current state ends by itself. */
  stateEndsAt: Micros;
}

/** Functions and data that a deployment provides to its workers, with callbacks for their events. */
export interface WorkerHost {
  /** The deployment's clock. */
  now(): Micros;
  /** The specification that a worker fetches; undefined: the job is unknown. */
  spec(job: string): JobSpec | undefined;
  /** Addresses of the controllers, in any order. */
  readonly nodes: readonly { readonly member: string; readonly address: string }[];
  /** Heartbeat interval. */
  readonly heartbeatIntervalUs: Micros;
  /** A worker ends its tasks when no heartbeat was accepted for this time. */
  readonly leaseUs: Micros;
  /** All workers, so that the members of a gang can find each other. */
  readonly workers: ReadonlyMap<string, LoopbackWorker>;
  /** Called when a start command is executed. */
  taskStarted?(job: string, index: number): void;
  /** Called when a worker's lease expires, which ends all of its tasks. */
  leaseEnded?(machine: string): void;
  /** Called when a running task ends, with its duration. */
  taskRan(job: string, index: number, machine: string, durationUs: Micros, done: boolean): void;
  /** Sends a POST request to a controller; null: no answer. */
  call(address: string, path: string, body: Buffer): Promise<{ status: number; body: Buffer } | null>;
  /** Called when a task's image is fetched: from now on the task counts as placed on the machine. */
  taskPlaced?(task: PlacedTask): void;
  /** Called when a placed task ends. `done`: it completed. */
  taskLeft?(task: PlacedTask, done: boolean): void;
  /** Transports direct commands and their answers, null: no answer. Without it they arrive at once. */
  carryCommand?(machine: string, execute: () => WireResponse): Promise<WireResponse | null>;
}

/** An attempt of a task on a machine. */
export interface PlacedTask {
  /** Id of the job. */
  readonly job: string;
  /** Index of the task in its job. */
  readonly index: number;
  /** Number of the attempt, from the start command. */
  readonly attempt: number;
  /** Name of the machine. */
  readonly machine: string;
}

/** An emulated machine with its worker. */
export class LoopbackWorker {
  /** False once the machine was killed. */
  alive = true;
  private session = 1;
  private sequence = 0;
  private token = 0;
  private leaseRenewedAt: Micros;
  private node = 0;
  private nextHeartbeatAt: Micros;
  private lastHeartbeatAt: Micros = 0;
  private isSendingHeartbeat = false;
  private hangingUntil: Micros = 0;
  private tasks: LoopbackTask[] = [];
  private server: HttpServer | null = null;
  private timer: NodeJS.Timeout | null = null;

  constructor(
    /** Unique name of the machine. */
    readonly name: string,
    /** Name of its machine type. */
    readonly type: string,
    /** The zone that it was rented in. */
    readonly zone: string,
    /** Whether the cloud may take it back. */
    readonly spot: boolean,
    private readonly world: WorkerHost,
  ) {
    this.leaseRenewedAt = world.now();
    this.nextHeartbeatAt = this.leaseRenewedAt;
  }

  /** IP:PORT that it listens on; empty before it has booted. */
  get address(): string {
    return this.server?.address ?? '';
  }

  /** Starts the worker: listens for commands on `listen` (IP:PORT), and begins to send heartbeats. */
  async boot(listen = '127.0.0.1:0'): Promise<void> {
    const server = await startServer(listen, (request, respond) => {
      const execute = (): WireResponse => this.answerCommand(request);
      if (this.world.carryCommand === undefined) {
        respond(execute());
        return;
      }
      void this.world.carryCommand(this.name, execute).then((answer) => {
        if (answer !== null) respond(answer);
      });
    });
    if (!this.alive) {
      server.close();
      return;
    }
    this.server = server;
    this.leaseRenewedAt = this.world.now();
    this.timer = setInterval(() => {
      this.step();
    }, STEP_MS);
  }

  private answerCommand({ url, body }: HttpRequest): WireResponse {
    if (url === '/inspect') return { status: 200, body: encodeHeartbeat(this.heartbeat()) };
    // A command that was held up by a hang may arrive before the next step.
    this.expireLease(this.world.now());
    const { token, session, commands } = decodeCommands(body);
    if (token < this.token || session !== this.session)
      return { status: 409, body: encodeHeartbeat(this.heartbeat()) };
    this.token = token;
    for (const command of commands) this.execute(command);
    return { status: 200, body: encodeHeartbeat(this.heartbeat()) };
  }

  /** Hangs for this time: tasks make no progress and no heartbeats are sent. Only `carryCommand` can hold commands back. */
  hang(length: Micros): void {
    this.hangingUntil = this.world.now() + length;
  }

  /** For how long it still hangs. */
  get remainingHangUs(): Micros {
    return Math.max(0, this.hangingUntil - this.world.now());
  }

  /** The machine loses power. */
  kill(): void {
    this.alive = false;
    for (const task of this.tasks) this.recordEnd(task, false);
    this.tasks = [];
    if (this.timer !== null) clearInterval(this.timer);
    this.server?.close();
  }

  /** Number of running tasks. */
  get runningTasks(): number {
    return this.tasks.filter((task) => task.state === 'running').length;
  }

  /** Tells the deployment that a task leaves the machine, and how long it ran. */
  private recordEnd(task: LoopbackTask, done: boolean): void {
    if (task.state !== 'exited' && task.state !== 'fetching')
      this.world.taskLeft?.(this.placementOf(task), done);
    if (task.runningSince === null || task.state === 'exited') return;
    this.world.taskRan(task.job, task.index, this.name, this.world.now() - task.runningSince, done);
  }

  private placementOf({ job, index, attempt }: LoopbackTask): PlacedTask {
    return { job, index, attempt, machine: this.name };
  }

  private exit(task: LoopbackTask, cause: ReportedTask['cause']): void {
    this.recordEnd(task, cause === 'done');
    task.state = 'exited';
    task.cause = cause;
    this.sendHeartbeatSoon();
  }

  private sendHeartbeatSoon(): void {
    this.nextHeartbeatAt = Math.min(
      this.nextHeartbeatAt,
      Math.max(this.world.now(), this.lastHeartbeatAt + MIN_HEARTBEAT_INTERVAL),
    );
  }

  private heartbeat(): Heartbeat {
    return {
      machine: this.name,
      address: this.address,
      type: this.type,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.session,
      sequence: ++this.sequence,
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
    this.expireLease(now);
    if (now < this.hangingUntil) return;
    for (const task of this.tasks) this.advance(task, now);
    if (!this.isSendingHeartbeat && now >= this.nextHeartbeatAt) void this.sendHeartbeat();
  }

  /** Ends all tasks if the lease is over. It runs on while the machine hangs, which may resume only within it. */
  private expireLease(now: Micros): void {
    if (now <= this.leaseRenewedAt + this.world.leaseUs) return;
    this.world.leaseEnded?.(this.name);
    for (const task of this.tasks) this.recordEnd(task, false);
    this.tasks = [];
    this.session++;
    this.sequence = 0;
    this.leaseRenewedAt = now;
  }

  private advance(task: LoopbackTask, now: Micros): void {
    if (task.state === 'exited' || now < task.stateEndsAt) return;
    const spec = this.world.spec(task.job);
    if (spec === undefined) return;
    if (task.state === 'fetching') {
      task.state = spec.shape === 'gang' ? 'waiting' : 'running';
      this.world.taskPlaced?.(this.placementOf(task));
      this.begin(task, spec, now);
      this.sendHeartbeatSoon();
    } else if (task.state === 'waiting') {
      if (this.gangMembers(task).length < spec.tasks) return;
      for (const member of this.gangMembers(task)) if (member.task.state === 'fetching') return;
      task.state = 'running';
      this.begin(task, spec, now);
      this.sendHeartbeatSoon();
    } else if (
      spec.shape === 'gang' &&
      this.gangMembers(task).length < spec.tasks &&
      !this.hasCompletedMember(task)
    )
      this.exit(task, 'peers');
    else this.exit(task, 'done');
  }

  private begin(task: LoopbackTask, spec: JobSpec, now: Micros): void {
    if (task.state !== 'running') return;
    task.runningSince = now;
    task.stateEndsAt = spec.shape === 'service' ? Infinity : now + spec.estimatedRunUs;
  }

  /** Whether a member of the gang has completed; then the others complete as well. */
  private hasCompletedMember(task: LoopbackTask): boolean {
    for (const worker of this.world.workers.values())
      for (const other of worker.tasks)
        if (other.job === task.job && other.attempt === task.attempt && other.cause === 'done') return true;
    return false;
  }

  private gangMembers(ofTask: LoopbackTask): { worker: LoopbackWorker; task: LoopbackTask }[] {
    const found: { worker: LoopbackWorker; task: LoopbackTask }[] = [];
    for (const worker of this.world.workers.values())
      if (worker.alive)
        for (const task of worker.tasks)
          if (task.job === ofTask.job && task.attempt === ofTask.attempt && task.state !== 'exited')
            found.push({ worker, task });
    return found;
  }

  private async sendHeartbeat(): Promise<void> {
    this.isSendingHeartbeat = true;
    const sentAt = this.world.now();
    this.lastHeartbeatAt = sentAt;
    this.nextHeartbeatAt = sentAt + this.world.heartbeatIntervalUs;
    const { session } = this;
    const node = this.world.nodes[this.node % this.world.nodes.length]!;
    const response = await this.world.call(node.address, '/v1/report', encodeHeartbeat(this.heartbeat()));
    this.isSendingHeartbeat = false;
    if (!this.alive || this.session !== session) return;
    const answer = response === null ? null : decodeHeartbeatResponse(response.status, response.body);
    if (answer?.kind === 'accepted') {
      if (answer.fencingToken < this.token) return;
      this.token = answer.fencingToken;
      this.leaseRenewedAt = sentAt;
      for (const command of answer.commands) this.execute(command);
      return;
    }
    const leader =
      answer?.kind === 'redirect'
        ? this.world.nodes.findIndex((other) => other.member === answer.leader)
        : -1;
    const now = this.world.now();
    if (leader >= 0 && leader !== this.node % this.world.nodes.length) {
      this.node = leader;
      this.nextHeartbeatAt = now + 100 * MILLISECOND;
    } else {
      this.node++;
      this.nextHeartbeatAt = now + SECOND;
    }
  }

  private execute(command: WorkerCommand): void {
    const task = this.tasks.find((x) => x.job === command.job && x.index === command.index);
    if (command.op === 'forget') {
      this.tasks = this.tasks.filter(
        (x) => x !== task || x.attempt !== command.attempt || x.state !== 'exited',
      );
      return;
    }
    if (command.op === 'stop') {
      if (task?.attempt === command.attempt && task.state !== 'exited') this.exit(task, 'stopped');
      return;
    }
    if (task?.attempt === command.attempt) return;
    const refusal =
      task !== undefined && task.state !== 'exited'
        ? 'busy'
        : this.world.spec(command.job) === undefined
          ? 'unknown'
          : null;
    if (refusal === null) {
      this.tasks = this.tasks.filter((x) => x !== task);
      this.world.taskStarted?.(command.job, command.index);
    }
    this.tasks.push({
      job: command.job,
      index: command.index,
      attempt: command.attempt,
      state: refusal === null ? 'fetching' : 'exited',
      cause: refusal,
      runningSince: null,
      stateEndsAt: this.world.now() + 300 * MILLISECOND,
    });
    this.sendHeartbeatSoon();
  }
}
