/**
 * The leader's own writes, gathered into few transactions and fenced by the leader's key. A value is made when it is sent,
 * so a key that changes often costs one write a transaction. One transaction is in flight at a time, and each value is put
 * on condition of the version that it replaces: a write that the network held back can't put an older value over a newer
 * one.
 */
import { LEADER_KEY } from '../codecs/keys.js';
import { bytesOf } from '../codecs/value-size.js';
import type { StoreReply, StoreWrite, VersionCondition } from '../domain/key-value-store.js';
import { type Micros, MILLI, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { BatchLimit } from './batch-limit.js';

/** Whether something waits for the write, or it may be sent when nothing more urgent is left. */
export type WriteUrgency = 'now' | 'later';

/** How a value is put. */
export interface WriteOptions {
  /** Whether the version that it replaces is a condition. */
  readonly checked?: boolean;
  readonly urgency?: WriteUrgency;
  /** The state service refused the value as it is: it is not tried again. */
  readonly onRefused?: (bytes: number) => void;
}

interface PendingWrite {
  readonly key: string;
  readonly make: () => StoreWrite;
  readonly checked: boolean;
  readonly urgent: WriteUrgency;
  readonly done: ((write: StoreWrite) => void)[];
  readonly refused: ((bytes: number) => void)[];
}

/** A pending write and the value that was made of it. */
interface SentWrite {
  readonly entry: PendingWrite;
  readonly write: StoreWrite;
}

/** Writes that go into one transaction. */
interface Batch {
  readonly writes: readonly SentWrite[];
  readonly conditions: readonly VersionCondition[];
  /** Estimated size of the request. */
  readonly bytes: number;
}

const GATHER_DELAY: Micros = 15 * MILLI;
/** What nobody waits for is gathered for longer: writes are scarce, and much of it is replaced by a newer value. */
const LATER_DELAY: Micros = 1_200 * MILLI;
const RETRY_DELAY: Micros = 250 * MILLI;
const MAX_BATCH_BYTES = 48 * 1024;
/** What a write costs in a request besides its key and value. */
const WRITE_OVERHEAD_BYTES = 128;
/** After a refusal of several writes at once, fewer are sent together; more again after this time. */
const REFUSAL_BACKOFF: Micros = 30 * SECOND;

const valueBytes = (write: StoreWrite): number => (write.kind === 'put' ? bytesOf(write.value) : 0);

/** Gathers a leader's writes and sends them while it holds the leader's key. */
export class FencedWriter {
  private readonly pending = new Map<string, PendingWrite>();
  /** Versions of keys as they were last read or written; 0 for a key that does not exist. */
  private readonly versions = new Map<string, number>();
  private inFlight = false;
  private flushAt: Micros = Infinity;
  private stopped = false;
  private readonly batchLimit: BatchLimit;

  /**
   * `leadVersion`: version of the leader's key while this leader holds it. `onFenced`: a write found another version, so
   * this node does not lead any more.
   */
  constructor(
    private readonly context: NodeContext,
    private readonly leadVersion: number,
    private readonly onFenced: () => void,
  ) {
    this.batchLimit = new BatchLimit(context.settings.maxTransactionOperations, REFUSAL_BACKOFF);
  }

  /** Sends nothing more, and drops replies that still arrive. */
  stop(): void {
    this.stopped = true;
  }

  /** Notes the version of a key as it was read. */
  rememberVersion(key: string, version: number): void {
    this.versions.set(key, version);
  }

  /** How many writes wait. */
  get backlog(): number {
    return this.pending.size;
  }

  /** Puts the value that `make` returns when the write is sent; calls `done` with it once the store has confirmed it. */
  put(key: string, make: () => unknown, done: (value: unknown) => void, options: WriteOptions = {}): void {
    const waiting = this.pending.get(key);
    const onWritten = (write: StoreWrite): void => {
      done(write.kind === 'put' ? write.value : null);
    };
    const urgent = options.urgency === 'later' && waiting?.urgent !== 'now' ? 'later' : 'now';
    this.pending.set(key, {
      key,
      make: () => ({ kind: 'put', key, value: make() }),
      checked: options.checked ?? true,
      urgent,
      done: [...(waiting?.done ?? []), onWritten],
      refused: [...(waiting?.refused ?? []), ...(options.onRefused === undefined ? [] : [options.onRefused])],
    });
    this.scheduleFlush(urgent === 'now' ? GATHER_DELAY : LATER_DELAY);
  }

  /** Deletes the key, whatever its version; replaces a write of it that waits. */
  remove(key: string): void {
    this.pending.set(key, {
      key,
      make: () => ({ kind: 'delete', key }),
      checked: false,
      urgent: 'later',
      done: [],
      refused: [],
    });
    this.scheduleFlush(LATER_DELAY);
  }

  private scheduleFlush(delay: Micros): void {
    if (this.inFlight || this.stopped) return;
    const dueAt = this.context.now + delay;
    if (dueAt >= this.flushAt) return;
    this.flushAt = dueAt;
    this.context.after(delay, () => {
      // An earlier flush may have been requested meanwhile.
      if (this.inFlight || this.flushAt !== dueAt) return;
      this.flushAt = Infinity;
      this.inFlight = true;
      this.flush();
    });
  }

  /** Schedules what still waits. */
  private scheduleRest(): void {
    this.inFlight = false;
    if (this.pending.size === 0) return;
    for (const entry of this.pending.values())
      if (entry.urgent === 'now') {
        this.scheduleFlush(GATHER_DELAY);
        return;
      }
    this.scheduleFlush(LATER_DELAY);
  }

  /** Urgent writes first; but one place in a transaction is left for the rest, which must make progress too. */
  private nextWrites(): PendingWrite[] {
    const limit = this.batchLimit.current(this.context.now);
    const urgent: PendingWrite[] = [];
    const later: PendingWrite[] = [];
    for (const entry of this.pending.values()) (entry.urgent === 'now' ? urgent : later).push(entry);
    const reserved = later.length > 0 && limit > 1 ? 1 : 0;
    const first = urgent.slice(0, limit - reserved);
    return [...first, ...later.slice(0, limit - first.length)];
  }

  /** Takes the next writes out of those that wait. */
  private takeBatch(): Batch {
    const writes: SentWrite[] = [];
    const conditions: VersionCondition[] = [{ key: LEADER_KEY, version: this.leadVersion }];
    let bytes = 0;
    for (const entry of this.nextWrites()) {
      const write = entry.make();
      const size = valueBytes(write) + entry.key.length + WRITE_OVERHEAD_BYTES;
      if (writes.length > 0 && bytes + size > MAX_BATCH_BYTES) break;
      bytes += size;
      writes.push({ entry, write });
      this.pending.delete(entry.key);
      if (entry.checked) conditions.push({ key: entry.key, version: this.versions.get(entry.key) ?? 0 });
    }
    return { writes, conditions, bytes };
  }

  private flush(): void {
    if (this.stopped) return;
    const batch = this.takeBatch();
    if (batch.writes.length === 0) {
      this.inFlight = false;
      return;
    }
    const { conditions } = batch;
    const writes = batch.writes.map((sent) => sent.write);
    // After users' own writes: these come in batches, behind which a submission would wait for half a second.
    this.context.requestStore({ kind: 'txn', conditions, writes }, 2, (reply) => {
      if (!this.stopped) this.onReply(batch, reply);
    });
  }

  private onReply(batch: Batch, reply: StoreReply): void {
    if (reply.kind === 'ok') {
      this.confirm(batch, reply.revision);
      return;
    }
    const [sent] = batch.writes;
    if (reply.kind === 'refused' && sent !== undefined && batch.writes.length === 1) {
      this.reject(sent);
      return;
    }
    this.requeue(batch);
    if (reply.kind === 'conflict' && reply.failed.includes(LEADER_KEY)) {
      this.onFenced();
    } else if (reply.kind === 'conflict') {
      // An earlier attempt was executed after all, or arrived late: read which versions are there now.
      this.rereadVersions(batch.conditions.slice(1).map((condition) => condition.key));
    } else {
      if (reply.kind === 'refused') this.reduceBatches(batch);
      this.inFlight = false;
      this.scheduleFlush(RETRY_DELAY);
    }
  }

  private confirm(batch: Batch, revision: number): void {
    for (const { entry, write } of batch.writes) {
      this.versions.set(entry.key, write.kind === 'put' ? revision : 0);
      for (const done of entry.done) done(write);
    }
    this.scheduleRest();
  }

  /** A write that was refused alone is one that the service won't take: it must not hold up the rest for ever. */
  private reject({ entry, write }: SentWrite): void {
    const bytes = valueBytes(write);
    this.context.error('write.rejected', { key: entry.key, bytes });
    for (const refused of entry.refused) refused(bytes);
    this.scheduleRest();
  }

  /** Nobody can tell whether the batch was executed; what is put next is newer, and does no harm. */
  private requeue(batch: Batch): void {
    for (const { entry } of batch.writes) {
      const newer = this.pending.get(entry.key);
      if (newer === undefined) this.pending.set(entry.key, entry);
      else {
        newer.done.unshift(...entry.done);
        newer.refused.unshift(...entry.refused);
      }
    }
  }

  /** One of the writes is too large, or they are too many: the same batch is never sent again. */
  private reduceBatches(batch: Batch): void {
    this.context.info('write.batch_rejected', { writes: batch.writes.length, bytes: batch.bytes });
    this.batchLimit.reduce(batch.writes.length, this.context.now);
  }

  private rereadVersions(keys: readonly string[]): void {
    const [key, ...rest] = keys;
    if (key === undefined) {
      this.inFlight = false;
      this.scheduleFlush(GATHER_DELAY);
      return;
    }
    this.context.requestStore({ kind: 'get', key }, 1, (reply) => {
      if (this.stopped) return;
      if (reply.kind === 'item') this.versions.set(key, reply.item.version);
      else if (reply.kind === 'missing') this.versions.set(key, 0);
      this.rereadVersions(rest);
    });
  }
}
