/**
 * Batches the leader's own writes into transactions that are fenced by the leader key. A value is created when it is sent, so
 * a key that changes often costs at most one write per transaction. One transaction is in flight at a time, and each put is
 * conditional on the version that it replaces, so a delayed write can't overwrite a newer value with an older one.
 */
import { LEADER_KEY } from '../codecs/keys.js';
import { jsonByteLength } from '../codecs/value-size.js';
import type { StoreReply, StoreWrite, VersionCondition } from '../domain/key-value-store.js';
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { BatchLimit } from './batch-limit.js';

/** `now`: a caller waits for the write; `later`: it may be deferred behind urgent writes. */
export type WriteUrgency = 'now' | 'later';

/** Options of a put. */
export interface WriteOptions {
  /** Whether the put is conditional on the last known version of the key; true by default. */
  readonly checked?: boolean;
  /** `now` by default. */
  readonly urgency?: WriteUrgency;
  /** Called with the size of the value in bytes when the store refuses it; the write is not retried. */
  readonly onRefused?: (bytes: number) => void;
}

interface PendingWrite {
  readonly key: string;
  readonly createWrite: () => StoreWrite;
  readonly checked: boolean;
  readonly urgency: WriteUrgency;
  readonly onConfirmed: ((write: StoreWrite) => void)[];
  readonly onRefused: ((bytes: number) => void)[];
}

/** A pending write with the value that was created for it. */
interface SentWrite {
  readonly entry: PendingWrite;
  readonly write: StoreWrite;
}

/** The writes and conditions of one transaction. */
interface Batch {
  readonly writes: readonly SentWrite[];
  readonly conditions: readonly VersionCondition[];
  /** Estimated size of the request. */
  readonly bytes: number;
}

const BATCHING_DELAY: Micros = 15 * MILLISECOND;
/** Deferred writes are batched for longer: the write rate is limited, and many are superseded by a newer value. */
const DEFERRED_BATCHING_DELAY: Micros = 1_200 * MILLISECOND;
const RETRY_DELAY: Micros = 250 * MILLISECOND;
const MAX_BATCH_BYTES = 48 * 1024;
/** Request overhead of a write besides its key and value. */
const WRITE_OVERHEAD_BYTES = 128;
/** How long the batch limit stays reduced after the store refused a batch of several writes. */
const REFUSAL_BACKOFF: Micros = 30 * SECOND;

const valueBytes = (write: StoreWrite): number => (write.kind === 'put' ? jsonByteLength(write.value) : 0);

/** Queues and batches a leader's writes, and sends them while it holds the leader key. */
export class FencedWriter {
  private readonly pending = new Map<string, PendingWrite>();
  /** Versions of keys as they were last read or written; 0 for a key that does not exist. */
  private readonly versions = new Map<string, number>();
  private inFlight = false;
  private flushAt: Micros = Infinity;
  private stopped = false;
  private readonly batchLimit: BatchLimit;

  /**
   * `leaderKeyVersion`: version of the leader key while this leader holds it. `onFenced`: called when a write found another
   * version, which means that this node is no longer the leader.
   */
  constructor(
    private readonly context: NodeContext,
    private readonly leaderKeyVersion: number,
    private readonly onFenced: () => void,
  ) {
    this.batchLimit = new BatchLimit(context.settings.maxTransactionOperations, REFUSAL_BACKOFF);
  }

  /** Stops sending, and ignores replies that arrive afterwards. */
  stop(): void {
    this.stopped = true;
  }

  /** Stores the version of a key that was read, as the condition of the next put to it. */
  rememberVersion(key: string, version: number): void {
    this.versions.set(key, version);
  }

  /** Number of writes that wait to be sent. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /**
   * Puts the value that `createValue` returns when the write is sent; replaces a pending write of the same key.
   * `onConfirmed` receives the value once the store has confirmed it.
   */
  put(
    key: string,
    createValue: () => unknown,
    onConfirmed: (value: unknown) => void,
    options: WriteOptions = {},
  ): void {
    const previous = this.pending.get(key);
    const onWritten = (write: StoreWrite): void => {
      onConfirmed(write.kind === 'put' ? write.value : null);
    };
    const urgency = options.urgency === 'later' && previous?.urgency !== 'now' ? 'later' : 'now';
    this.pending.set(key, {
      key,
      createWrite: () => ({ kind: 'put', key, value: createValue() }),
      checked: options.checked ?? true,
      urgency,
      onConfirmed: [...(previous?.onConfirmed ?? []), onWritten],
      onRefused: [
        ...(previous?.onRefused ?? []),
        ...(options.onRefused === undefined ? [] : [options.onRefused]),
      ],
    });
    this.scheduleFlush(urgency === 'now' ? BATCHING_DELAY : DEFERRED_BATCHING_DELAY);
  }

  /** Deletes the key whatever its version; replaces a pending write of the same key. */
  remove(key: string): void {
    this.pending.set(key, {
      key,
      createWrite: () => ({ kind: 'delete', key }),
      checked: false,
      urgency: 'later',
      onConfirmed: [],
      onRefused: [],
    });
    this.scheduleFlush(DEFERRED_BATCHING_DELAY);
  }

  private scheduleFlush(delay: Micros): void {
    if (this.inFlight || this.stopped) return;
    const dueAt = this.context.now + delay;
    if (dueAt >= this.flushAt) return;
    this.flushAt = dueAt;
    this.context.after(delay, () => {
      // An earlier flush may have been scheduled since.
      if (this.inFlight || this.flushAt !== dueAt) return;
      this.flushAt = Infinity;
      this.inFlight = true;
      this.flush();
    });
  }

  /** Schedules a flush for the writes that are still pending, by the most urgent of them. */
  private scheduleRemaining(): void {
    this.inFlight = false;
    if (this.pending.size === 0) return;
    for (const entry of this.pending.values())
      if (entry.urgency === 'now') {
        this.scheduleFlush(BATCHING_DELAY);
        return;
      }
    this.scheduleFlush(DEFERRED_BATCHING_DELAY);
  }

  /** Selects urgent writes first, but reserves one write per transaction for deferred ones so that they aren't starved. */
  private selectNextWrites(): PendingWrite[] {
    const limit = this.batchLimit.current(this.context.now);
    const urgent: PendingWrite[] = [];
    const deferred: PendingWrite[] = [];
    for (const entry of this.pending.values()) (entry.urgency === 'now' ? urgent : deferred).push(entry);
    const reserved = deferred.length > 0 && limit > 1 ? 1 : 0;
    const selected = urgent.slice(0, limit - reserved);
    return [...selected, ...deferred.slice(0, limit - selected.length)];
  }

  /** Removes the next writes from the pending ones and creates their values. */
  private takeBatch(): Batch {
    const writes: SentWrite[] = [];
    const conditions: VersionCondition[] = [{ key: LEADER_KEY, version: this.leaderKeyVersion }];
    let bytes = 0;
    for (const entry of this.selectNextWrites()) {
      const write = entry.createWrite();
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
    // Sent at lower urgency than users' writes: batches would delay a submission by half a second.
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
      // An earlier attempt was executed despite its missing reply, or arrived late: read the current versions.
      this.rereadVersions(batch.conditions.slice(1).map((condition) => condition.key));
    } else {
      if (reply.kind === 'refused') this.reduceBatchLimit(batch);
      this.inFlight = false;
      this.scheduleFlush(RETRY_DELAY);
    }
  }

  private confirm(batch: Batch, revision: number): void {
    for (const { entry, write } of batch.writes) {
      this.versions.set(entry.key, write.kind === 'put' ? revision : 0);
      for (const callback of entry.onConfirmed) callback(write);
    }
    this.scheduleRemaining();
  }

  /** Drops a write that was refused on its own: the store will never accept it, and it must not block the other writes. */
  private reject({ entry, write }: SentWrite): void {
    const bytes = valueBytes(write);
    this.context.error('write.rejected', { key: entry.key, bytes });
    for (const callback of entry.onRefused) callback(bytes);
    this.scheduleRemaining();
  }

  /** Queues the writes of a batch again. Whether it was executed is unknown; the next attempt safely writes newer values. */
  private requeue(batch: Batch): void {
    for (const { entry } of batch.writes) {
      const newer = this.pending.get(entry.key);
      if (newer === undefined) this.pending.set(entry.key, entry);
      else {
        newer.onConfirmed.unshift(...entry.onConfirmed);
        newer.onRefused.unshift(...entry.onRefused);
      }
    }
  }

  /** Reduces the batch limit after a refusal for too large or too many writes, so that the same batch isn't sent again. */
  private reduceBatchLimit(batch: Batch): void {
    this.context.info('write.batch_rejected', { writes: batch.writes.length, bytes: batch.bytes });
    this.batchLimit.reduce(batch.writes.length, this.context.now);
  }

  private rereadVersions(keys: readonly string[]): void {
    const [key, ...rest] = keys;
    if (key === undefined) {
      this.inFlight = false;
      this.scheduleFlush(BATCHING_DELAY);
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
