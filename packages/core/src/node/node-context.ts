/** What every part of the core shares within one node: the present time, pending calls, timers. */
import { TERM } from '../codecs/keys.js';
import { StoreConnection } from './store-connection.js';
import type { LogEvent } from '../domain/log-events.js';
import type { CloudOperation, CloudReply } from '../domain/cloud.js';
import type { CoreEffect, LogFields, RequestUrgency } from '../domain/effects.js';
import type { WorkerCommand, CommandReply } from '../domain/heartbeat.js';
import type { StoreFailureCause, StoreOperation, StoreReply } from '../domain/key-value-store.js';
import type { MachineType } from '../domain/machine.js';
import type { Settings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import { MILLI, SECOND } from '../domain/time.js';

/** How often a lost link to the state service is tried. */
const PROBE_EVERY: Micros = 300 * MILLI;

interface Timer {
  readonly at: Micros;
  readonly order: number;
  readonly run: () => void;
}

export class NodeContext {
  now: Micros = 0;
  /** Time of day minus steady time, from the newest input that carried both. */
  wallOffset: Micros = 0;
  types: ReadonlyMap<string, MachineType> = new Map();
  out: CoreEffect[] = [];

  /** What is put off to the end of the step under way. */
  private atEnd: (() => void)[] = [];
  private nextCall = 1;
  private timerOrder = 0;
  private timers: Timer[] = [];
  /** The link to the state service. */
  readonly storeConnection = new StoreConnection();
  /** Who wants to know when it is lost. */
  readonly onStoreLost: (() => void)[] = [];
  private probing = false;
  private readonly storeCalls = new Map<number, { sent: Micros; then: (r: StoreReply) => void }>();
  private readonly cloudCalls = new Map<number, (r: CloudReply) => void>();
  private readonly commandCalls = new Map<number, (r: CommandReply) => void>();

  /** `stopwatch` only bounds the time spent on a search; decisions never read it otherwise. */
  constructor(
    readonly settings: Settings,
    readonly stopwatch: () => Micros,
    /** Whether decisions are logged. */
    readonly verbose = true,
  ) {}

  get wallNow(): Micros {
    return this.now + this.wallOffset;
  }

  emit(e: CoreEffect): void {
    this.out.push(e);
  }

  info(event: LogEvent, fields: LogFields = {}): void {
    this.out.push({ kind: 'log', level: 'info', event, fields });
  }

  /** Fields that cost something to gather are given as a function. */
  debug(event: LogEvent, given: LogFields | (() => LogFields) = {}): void {
    if (!this.verbose) return;
    const fields = typeof given === 'function' ? given() : given;
    this.out.push({ kind: 'log', level: 'debug', event, fields });
  }

  error(event: LogEvent, fields: LogFields = {}): void {
    this.out.push({ kind: 'log', level: 'error', event, fields });
  }

  requestStore(op: StoreOperation, urgency: RequestUrgency, then: (r: StoreReply) => void): void {
    const call = this.nextCall++;
    this.storeCalls.set(call, { sent: this.now, then });
    this.out.push({ kind: 'storeRequest', call, op, urgency });
  }

  requestCloud(op: CloudOperation, urgency: RequestUrgency, then: (r: CloudReply) => void): void {
    const call = this.nextCall++;
    this.cloudCalls.set(call, then);
    this.out.push({ kind: 'cloudRequest', call, op, urgency });
  }

  sendCommands(
    address: string,
    token: number,
    session: number,
    orders: readonly WorkerCommand[],
    then: (r: CommandReply) => void,
  ): void {
    const call = this.nextCall++;
    this.commandCalls.set(call, then);
    this.out.push({
      kind: 'workerCommands',
      call,
      address,
      fencingToken: token,
      agentEpoch: session,
      commands: orders,
    });
  }

  after(delay: Micros, run: () => void): void {
    this.timers.push({ at: this.now + delay, order: this.timerOrder++, run });
  }

  /** Once, when all else of this step is done: what several parts ask for in one step is then done together. */
  atEndOfStep(run: () => void): void {
    this.atEnd.push(run);
  }

  /** Also what is put off meanwhile. */
  runEndOfStep(): void {
    while (this.atEnd.length > 0) {
      const due = this.atEnd;
      this.atEnd = [];
      for (const run of due) this.guard('end of step', run);
    }
  }

  storeReplied(call: number, r: StoreReply): void {
    const waiting = this.storeCalls.get(call);
    this.storeCalls.delete(call);
    if (waiting === undefined) return;
    if (r.kind !== 'failed') this.linkGood();
    else if (this.storeConnection.recordFailure(r.cause, waiting.sent)) this.linkBad(r.cause);
    waiting.then(r);
  }

  private linkGood(): void {
    const since = this.storeConnection.downSince;
    if (this.storeConnection.recordSuccess(this.now) && since !== null)
      this.info('store.reconnected', { afterS: (this.now - since) / SECOND });
  }

  private linkBad(cause: StoreFailureCause): void {
    this.info('store.unreachable', { cause });
    for (const tell of this.onStoreLost) tell();
    if (!this.probing) this.probe();
  }

  /** While it is lost nobody else need ask: users are answered without. */
  private probe(): void {
    this.probing = this.storeConnection.downSince !== null;
    if (!this.probing) return;
    this.requestStore({ kind: 'get', key: TERM }, 0, () => {
      this.after(PROBE_EVERY, () => {
        this.probe();
      });
    });
  }

  cloudReplied(call: number, r: CloudReply): void {
    const then = this.cloudCalls.get(call);
    this.cloudCalls.delete(call);
    then?.(r);
  }

  commandsReplied(call: number, r: CommandReply): void {
    const then = this.commandCalls.get(call);
    this.commandCalls.delete(call);
    then?.(r);
  }

  runDueTimers(): void {
    const due = this.timers.filter((t) => t.at <= this.now);
    if (due.length === 0) return;
    this.timers = this.timers.filter((t) => t.at > this.now);
    due.sort((a, b) => a.at - b.at || a.order - b.order);
    for (const t of due) this.guard('timer', t.run);
  }

  guard(what: string, run: () => void): void {
    try {
      run();
    } catch (e) {
      this.error('node.exception_caught', { what, stack: e instanceof Error ? e.stack : String(e) });
    }
  }

  nextWake(): Micros | null {
    let at: Micros | null = null;
    for (const t of this.timers) if (at === null || t.at < at) at = t.at;
    return at;
  }
}
