/**
 * State and services shared by all components of a node: current time, effects of the step, pending calls, timers,
 * logging.
 */
import { TERM_KEY } from '../codecs/keys.js';
import type { CloudOperation, CloudReply } from '../domain/cloud.js';
import type { CoreEffect, LogFields, RequestUrgency } from '../domain/effects.js';
import type { CommandReply, WorkerCommand } from '../domain/heartbeat.js';
import type { StoreFailureCause, StoreOperation, StoreReply } from '../domain/key-value-store.js';
import type { LogEvent } from '../domain/log-events.js';
import type { MachineType } from '../domain/machine.js';
import type { Settings } from '../domain/settings.js';
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import { Invariants } from './invariants.js';
import { StoreConnection } from './store-connection.js';
import { TimerQueue } from './timer-queue.js';

/** Delay between probes of the store while it does not answer. */
const PROBE_INTERVAL_US: Micros = 300 * MILLISECOND;

interface PendingStoreCall {
  readonly sentAt: Micros;
  readonly onReply: (reply: StoreReply) => void;
}

/** State and services shared by all components of one node. */
export class NodeContext {
  /** Monotonic time of the current step, in microseconds from an arbitrary origin. */
  now: Micros = 0;
  /** Wall-clock time minus monotonic time, from the newest input that carried both. */
  wallOffset: Micros = 0;
  /** Machine types by name; empty until loaded. */
  machineTypes: ReadonlyMap<string, MachineType> = new Map();
  /** Effects of the current step, in order of emission. */
  effects: CoreEffect[] = [];
  /** Tracks whether the store answers this node. */
  readonly storeConnection = new StoreConnection();
  /** Runtime checks, whose violations are logged by this node. */
  readonly invariants = new Invariants((fields) => {
    this.error('invariant.violated', fields);
  });
  /** Called when the store stops answering this node. */
  readonly storeDownListeners: (() => void)[] = [];

  private readonly timers = new TimerQueue();
  /** Callbacks deferred to the end of the current step. */
  private endOfStepCallbacks: (() => void)[] = [];
  private nextCallId = 1;
  private isProbing = false;
  private readonly storeCalls = new Map<number, PendingStoreCall>();
  private readonly cloudCalls = new Map<number, (reply: CloudReply) => void>();
  private readonly commandCalls = new Map<number, (reply: CommandReply) => void>();

  constructor(
    /** Settings of this controller. */
    readonly settings: Settings,
    /** Processor time. Only used to limit the time spent on a search; no other decision depends on it. */
    readonly processorTime: () => Micros,
    /** Whether debug events, which record individual decisions, are logged. */
    readonly verbose = true,
  ) {}

  /** Current wall-clock time, as derived from the monotonic clock. */
  get wallNow(): Micros {
    return this.now + this.wallOffset;
  }

  /** Adds an effect to those of the current step. */
  emit(effect: CoreEffect): void {
    this.effects.push(effect);
  }

  /** Logs an event at level info, such as a change of leadership, of a job or of a machine. */
  info(event: LogEvent, fields: LogFields = {}): void {
    this.emit({ kind: 'log', level: 'info', event, fields });
  }

  /** Logs a decision at level debug, if `verbose`. Fields that are costly to compute can be given as a function. */
  debug(event: LogEvent, given: LogFields | (() => LogFields) = {}): void {
    if (!this.verbose) return;
    const fields = typeof given === 'function' ? given() : given;
    this.emit({ kind: 'log', level: 'debug', event, fields });
  }

  /** Logs an event at level error, which requires an operator's attention. */
  error(event: LogEvent, fields: LogFields = {}): void {
    this.emit({ kind: 'log', level: 'error', event, fields });
  }

  /** Runs a callback, and logs an exception thrown by it so that it stops neither other components nor the node. */
  runGuarded(operation: string, run: () => void): void {
    try {
      run();
    } catch (error) {
      const stack = error instanceof Error ? error.stack : String(error);
      this.error('node.exception_caught', { what: operation, stack });
    }
  }

  /** Sends a request to the store; `onReply` is called with the reply, or with a failure. */
  requestStore(
    operation: StoreOperation,
    urgency: RequestUrgency,
    onReply: (reply: StoreReply) => void,
  ): void {
    const call = this.nextCallId++;
    this.storeCalls.set(call, { sentAt: this.now, onReply });
    this.emit({ kind: 'storeRequest', call, op: operation, urgency });
  }

  /** Sends a request to the cloud; `onReply` is called with the reply, or with a failure. */
  requestCloud(
    operation: CloudOperation,
    urgency: RequestUrgency,
    onReply: (reply: CloudReply) => void,
  ): void {
    const call = this.nextCallId++;
    this.cloudCalls.set(call, onReply);
    this.emit({ kind: 'cloudRequest', call, op: operation, urgency });
  }

  /**
   * Sends commands directly to a worker, which executes them unless it knows a higher fencing token or another epoch.
   */
  sendCommands(
    address: string,
    fencingToken: number,
    agentEpoch: number,
    commands: readonly WorkerCommand[],
    onReply: (reply: CommandReply) => void,
  ): void {
    const call = this.nextCallId++;
    this.commandCalls.set(call, onReply);
    this.emit({ kind: 'workerCommands', call, address, fencingToken, agentEpoch, commands });
  }

  /** Passes the reply to a store request on to its caller, and updates the state of the connection. */
  handleStoreReply(call: number, reply: StoreReply): void {
    const pending = this.storeCalls.get(call);
    this.storeCalls.delete(call);
    if (pending === undefined) return;
    this.recordStoreReply(reply, pending.sentAt);
    pending.onReply(reply);
  }

  /** Passes the reply to a cloud request on to its caller. */
  handleCloudReply(call: number, reply: CloudReply): void {
    const onReply = this.cloudCalls.get(call);
    this.cloudCalls.delete(call);
    onReply?.(reply);
  }

  /** Passes a worker's reply to commands on to the caller that sent them. */
  handleCommandReply(call: number, reply: CommandReply): void {
    const onReply = this.commandCalls.get(call);
    this.commandCalls.delete(call);
    onReply?.(reply);
  }

  private recordStoreReply(reply: StoreReply, sentAt: Micros): void {
    if (reply.kind !== 'failed') this.recordStoreUp();
    else if (this.storeConnection.recordFailure(reply.cause, sentAt)) this.recordStoreDown(reply.cause);
  }

  private recordStoreUp(): void {
    const { downSince } = this.storeConnection;
    const isBack = this.storeConnection.recordSuccess(this.now);
    if (isBack && downSince !== null)
      this.info('store.reconnected', { afterS: (this.now - downSince) / SECOND });
  }

  private recordStoreDown(cause: StoreFailureCause): void {
    this.info('store.unreachable', { cause });
    for (const listener of this.storeDownListeners) listener();
    if (!this.isProbing) this.probeStore();
  }

  /** Probes the store until it answers. Needed because requests from clients are not passed on to it while it is down. */
  private probeStore(): void {
    this.isProbing = this.storeConnection.downSince !== null;
    if (!this.isProbing) return;
    this.requestStore({ kind: 'get', key: TERM_KEY }, 0, () => {
      this.after(PROBE_INTERVAL_US, () => {
        this.probeStore();
      });
    });
  }

  /** Runs a callback once after a delay. */
  after(delay: Micros, run: () => void): void {
    this.timers.set(this.now + delay, run);
  }

  /** Runs all due timers, ordered by due time. */
  runDueTimers(): void {
    for (const run of this.timers.takeDue(this.now)) this.runGuarded('timer', run);
  }

  /** Due time of the next timer; null if none is set. */
  nextTimerAt(): Micros | null {
    return this.timers.nextDueAt();
  }

  /**
   * Runs a callback at the end of the current step, so that requests of several components in a step can be batched.
   */
  atEndOfStep(run: () => void): void {
    this.endOfStepCallbacks.push(run);
  }

  /** Runs the callbacks deferred to the end of the step, including those that they defer in turn. */
  runEndOfStep(): void {
    while (this.endOfStepCallbacks.length > 0) {
      const due = this.endOfStepCallbacks;
      this.endOfStepCallbacks = [];
      for (const run of due) this.runGuarded('end of step', run);
    }
  }
}
