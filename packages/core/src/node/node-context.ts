/** What every part of the core shares within one node: the present time, effects of the step, pending calls, timers, logs. */
import { TERM_KEY } from '../codecs/keys.js';
import type { CloudOperation, CloudReply } from '../domain/cloud.js';
import type { CoreEffect, LogFields, RequestUrgency } from '../domain/effects.js';
import type { CommandReply, WorkerCommand } from '../domain/heartbeat.js';
import type { StoreFailureCause, StoreOperation, StoreReply } from '../domain/key-value-store.js';
import type { LogEvent } from '../domain/log-events.js';
import type { MachineType } from '../domain/machine.js';
import type { Settings } from '../domain/settings.js';
import { type Micros, MILLI, SECOND } from '../domain/time.js';
import { Invariants } from './invariants.js';
import { StoreConnection } from './store-connection.js';
import { TimerQueue } from './timer-queue.js';

/** How often the store is probed while it does not answer. */
const PROBE_INTERVAL: Micros = 300 * MILLI;

interface PendingStoreCall {
  readonly sentAt: Micros;
  readonly then: (reply: StoreReply) => void;
}

/** State and services that all parts of one node share. */
export class NodeContext {
  /** Steady time of the step under way, in microseconds from any origin. */
  now: Micros = 0;
  /** Time of day minus steady time, from the newest input that carried both. */
  wallOffset: Micros = 0;
  /** Machine types by name; empty until they are known. */
  types: ReadonlyMap<string, MachineType> = new Map();
  /** Effects of the step under way. */
  out: CoreEffect[] = [];
  /** Whether the store answers this node. */
  readonly storeConnection = new StoreConnection();
  /** What is checked at run time. */
  readonly invariants = new Invariants((fields) => {
    this.error('invariant.violated', fields);
  });
  /** Called when the store stops answering this node. */
  readonly onStoreLost: (() => void)[] = [];

  private readonly timers = new TimerQueue();
  /** What is put off to the end of the step under way. */
  private endOfStep: (() => void)[] = [];
  private nextCall = 1;
  private probing = false;
  private readonly storeCalls = new Map<number, PendingStoreCall>();
  private readonly cloudCalls = new Map<number, (reply: CloudReply) => void>();
  private readonly commandCalls = new Map<number, (reply: CommandReply) => void>();

  /** `stopwatch` only bounds the time spent on a search; decisions never read it otherwise. */
  constructor(
    readonly settings: Settings,
    readonly stopwatch: () => Micros,
    /** Whether decisions are logged. */
    readonly verbose = true,
  ) {}

  /** Time of day. */
  get wallNow(): Micros {
    return this.now + this.wallOffset;
  }

  // ---- effects and logs ----------------------------------------------------------------------------

  /** Adds an effect to those of the step under way. */
  emit(effect: CoreEffect): void {
    this.out.push(effect);
  }

  /** Logs a change of leadership, of a job or a machine. */
  info(event: LogEvent, fields: LogFields = {}): void {
    this.emit({ kind: 'log', level: 'info', event, fields });
  }

  /** Fields that are costly to gather are given as a function. */
  debug(event: LogEvent, given: LogFields | (() => LogFields) = {}): void {
    if (!this.verbose) return;
    const fields = typeof given === 'function' ? given() : given;
    this.emit({ kind: 'log', level: 'debug', event, fields });
  }

  /** Logs what an operator has to look at. */
  error(event: LogEvent, fields: LogFields = {}): void {
    this.emit({ kind: 'log', level: 'error', event, fields });
  }

  /** Runs a part so that an exception in it is logged and stops neither the other parts nor the node. */
  guard(what: string, run: () => void): void {
    try {
      run();
    } catch (error) {
      const stack = error instanceof Error ? error.stack : String(error);
      this.error('node.exception_caught', { what, stack });
    }
  }

  // ---- calls ---------------------------------------------------------------------------------------

  /** Sends a request to the store; `then` is called with the reply, or with a failure. */
  requestStore(op: StoreOperation, urgency: RequestUrgency, then: (reply: StoreReply) => void): void {
    const call = this.nextCall++;
    this.storeCalls.set(call, { sentAt: this.now, then });
    this.emit({ kind: 'storeRequest', call, op, urgency });
  }

  /** Sends a request to the cloud; `then` is called with the reply, or with a failure. */
  requestCloud(op: CloudOperation, urgency: RequestUrgency, then: (reply: CloudReply) => void): void {
    const call = this.nextCall++;
    this.cloudCalls.set(call, then);
    this.emit({ kind: 'cloudRequest', call, op, urgency });
  }

  /** Sends commands to a worker directly; it executes them only if it knows neither a higher token nor another epoch. */
  sendCommands(
    address: string,
    fencingToken: number,
    agentEpoch: number,
    commands: readonly WorkerCommand[],
    then: (reply: CommandReply) => void,
  ): void {
    const call = this.nextCall++;
    this.commandCalls.set(call, then);
    this.emit({ kind: 'workerCommands', call, address, fencingToken, agentEpoch, commands });
  }

  /** Passes the reply of a call on to its caller. */
  storeReplied(call: number, reply: StoreReply): void {
    const pending = this.storeCalls.get(call);
    this.storeCalls.delete(call);
    if (pending === undefined) return;
    this.recordStoreReply(reply, pending.sentAt);
    pending.then(reply);
  }

  /** Passes the reply of a call on to its caller. */
  cloudReplied(call: number, reply: CloudReply): void {
    const then = this.cloudCalls.get(call);
    this.cloudCalls.delete(call);
    then?.(reply);
  }

  /** Passes the reply of a call on to its caller. */
  commandsReplied(call: number, reply: CommandReply): void {
    const then = this.commandCalls.get(call);
    this.commandCalls.delete(call);
    then?.(reply);
  }

  // ---- connection to the store ---------------------------------------------------------------------

  private recordStoreReply(reply: StoreReply, sentAt: Micros): void {
    if (reply.kind !== 'failed') this.storeAnswered();
    else if (this.storeConnection.recordFailure(reply.cause, sentAt)) this.storeLost(reply.cause);
  }

  private storeAnswered(): void {
    const { downSince } = this.storeConnection;
    const isBack = this.storeConnection.recordSuccess(this.now);
    if (isBack && downSince !== null)
      this.info('store.reconnected', { afterS: (this.now - downSince) / SECOND });
  }

  private storeLost(cause: StoreFailureCause): void {
    this.info('store.unreachable', { cause });
    for (const listener of this.onStoreLost) listener();
    if (!this.probing) this.probeStore();
  }

  /** While the store does not answer, no other part need ask it: users are answered without it. */
  private probeStore(): void {
    this.probing = this.storeConnection.downSince !== null;
    if (!this.probing) return;
    this.requestStore({ kind: 'get', key: TERM_KEY }, 0, () => {
      this.after(PROBE_INTERVAL, () => {
        this.probeStore();
      });
    });
  }

  // ---- timers --------------------------------------------------------------------------------------

  /** Runs something once the delay has passed. */
  after(delay: Micros, run: () => void): void {
    this.timers.set(this.now + delay, run);
  }

  /** Runs all timers that are due, in order. */
  runDueTimers(): void {
    for (const run of this.timers.takeDue(this.now)) this.guard('timer', run);
  }

  /** When the next timer is due; null: none is set. */
  nextWake(): Micros | null {
    return this.timers.nextDueAt();
  }

  /** Runs once, after all else of this step: what several parts ask for in one step is then done together. */
  atEndOfStep(run: () => void): void {
    this.endOfStep.push(run);
  }

  /** Runs what was put off, and what that puts off in turn. */
  runEndOfStep(): void {
    while (this.endOfStep.length > 0) {
      const due = this.endOfStep;
      this.endOfStep = [];
      for (const run of due) this.guard('end of step', run);
    }
  }
}
