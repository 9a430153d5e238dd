/**
 * The leader's own writes, gathered into few transactions and fenced by the leader's key. What is written
 * is made when it is sent, so a key that changes often costs one write a transaction. One transaction is
 * in flight at a time, and each value is put on condition of the version that it replaces: a write that
 * the network held back can't put an older value over a newer one.
 */
import type { NodeContext } from '../node/node-context.js';
import { LEAD } from '../codecs/keys.js';
import type { VersionCondition, StoreWrite } from '../domain/key-value-store.js';
import { MILLI, SECOND, type Micros } from '../domain/time.js';
import { bytesOf } from '../codecs/value-size.js';

/** Whether something waits for the write, or it may come when there is nothing more important. */
export type WriteUrgency = 'now' | 'later';

export interface WriteOptions {
  /** Whether the version that it replaces is a condition. */
  readonly checked?: boolean;
  readonly urgent?: WriteUrgency;
  /** The state service refused the value as it is: it is not tried again. */
  readonly refused?: (bytes: number) => void;
}

interface Entry {
  readonly key: string;
  readonly make: () => StoreWrite;
  readonly checked: boolean;
  readonly urgent: WriteUrgency;
  readonly done: ((w: StoreWrite) => void)[];
  readonly refused: ((bytes: number) => void)[];
}

const GATHER_US = 15 * MILLI;
/** What nobody waits for is gathered for longer: writes are scarce, and much of it is overtaken by newer. */
const LATER_US = 1_200 * MILLI;
const RETRY_US = 250 * MILLI;
const MAX_BYTES = 48 * 1024;
/** After a refusal of several writes at once, fewer are sent together; more again after this time. */
const CAUTION = 30 * SECOND;

export class FencedWriter {
  private readonly pending = new Map<string, Entry>();
  private readonly versions = new Map<string, number>();
  private busy = false;
  private flushAt: Micros = Infinity;
  private stopped = false;
  private most: number;
  private cautiousUntil = 0;

  constructor(
    private readonly ctx: NodeContext,
    private readonly leadVersion: number,
    private readonly onFenced: () => void,
  ) {
    this.most = ctx.settings.maxTransactionOperations;
  }

  stop(): void {
    this.stopped = true;
  }

  /** The version of a key as it was read. */
  rememberVersion(key: string, version: number): void {
    this.versions.set(key, version);
  }

  /** Something is waiting that was not sent yet. */
  isPending(key: string): boolean {
    return this.pending.has(key);
  }

  /** How many writes wait. */
  get backlog(): number {
    return this.pending.size;
  }

  /** Puts what `make` gives when its turn comes. `done` follows once that is surely written. */
  put(key: string, make: () => unknown, done: (value: unknown) => void, options: WriteOptions = {}): void {
    const entry = this.pending.get(key);
    const then = (w: StoreWrite): void => {
      done(w.kind === 'put' ? w.value : null);
    };
    this.pending.set(key, {
      key,
      make: () => ({ kind: 'put', key, value: make() }),
      checked: options.checked ?? true,
      urgent: options.urgent === 'later' && entry?.urgent !== 'now' ? 'later' : 'now',
      done: [...(entry?.done ?? []), then],
      refused: [...(entry?.refused ?? []), ...(options.refused === undefined ? [] : [options.refused])],
    });
    this.kick(this.pending.get(key)!.urgent === 'now' ? GATHER_US : LATER_US);
  }

  remove(key: string): void {
    this.pending.set(key, {
      key,
      make: () => ({ kind: 'delete', key }),
      checked: false,
      urgent: 'later',
      done: [],
      refused: [],
    });
    this.kick(LATER_US);
  }

  private kick(delay: number): void {
    if (this.busy || this.stopped) return;
    const at = this.ctx.now + delay;
    if (at >= this.flushAt) return;
    this.flushAt = at;
    this.ctx.after(delay, () => {
      // An earlier flush may have been asked for meanwhile.
      if (this.busy || this.flushAt !== at) return;
      this.flushAt = Infinity;
      this.busy = true;
      this.flush();
    });
  }

  /** Goes on with what still waits. */
  private more(): void {
    this.busy = false;
    if (this.pending.size === 0) return;
    for (const e of this.pending.values())
      if (e.urgent === 'now') {
        this.kick(GATHER_US);
        return;
      }
    this.kick(LATER_US);
  }

  /** What somebody waits for first; but one in a transaction is left for the rest, which must get on too. */
  private next(): Entry[] {
    if (this.most < this.ctx.settings.maxTransactionOperations && this.ctx.now > this.cautiousUntil) {
      this.most = Math.min(this.ctx.settings.maxTransactionOperations, this.most * 2);
      this.cautiousUntil = this.ctx.now + CAUTION;
    }
    const now: Entry[] = [];
    const later: Entry[] = [];
    for (const e of this.pending.values()) (e.urgent === 'now' ? now : later).push(e);
    const spare = later.length > 0 && this.most > 1 ? 1 : 0;
    const first = now.slice(0, this.most - spare);
    return [...first, ...later.slice(0, this.most - first.length)];
  }

  private flush(): void {
    if (this.stopped) return;
    const batch: { entry: Entry; write: StoreWrite; size: number }[] = [];
    const conditions: VersionCondition[] = [{ key: LEAD, version: this.leadVersion }];
    let bytes = 0;
    for (const entry of this.next()) {
      const write = entry.make();
      const size = (write.kind === 'put' ? bytesOf(write.value) : 0) + entry.key.length + 128;
      if (batch.length > 0 && bytes + size > MAX_BYTES) break;
      bytes += size;
      batch.push({ entry, write, size });
      this.pending.delete(entry.key);
      if (entry.checked) conditions.push({ key: entry.key, version: this.versions.get(entry.key) ?? 0 });
    }
    if (batch.length === 0) {
      this.busy = false;
      return;
    }
    // After users' own writes: these come in batches, behind which a submission would wait for half a second.
    this.ctx.requestStore({ kind: 'txn', conditions, writes: batch.map((e) => e.write) }, 2, (r) => {
      if (this.stopped) return;
      if (r.kind === 'ok') {
        for (const { entry, write } of batch) {
          this.versions.set(entry.key, write.kind === 'put' ? r.revision : 0);
          for (const d of entry.done) d(write);
        }
        this.more();
        return;
      }
      if (r.kind === 'refused' && batch.length === 1) {
        // Alone, so it is this one that the service won't take. It must not hold up the rest for ever.
        const { entry, write } = batch[0]!;
        const size = write.kind === 'put' ? bytesOf(write.value) : 0;
        this.ctx.error('write.rejected', { key: entry.key, bytes: size });
        for (const f of entry.refused) f(size);
        this.more();
        return;
      }
      // Nobody can tell whether it was executed; what is put then is newer, and does no harm.
      for (const { entry } of batch) {
        const newer = this.pending.get(entry.key);
        if (newer === undefined) this.pending.set(entry.key, entry);
        else {
          newer.done.unshift(...entry.done);
          newer.refused.unshift(...entry.refused);
        }
      }
      if (r.kind === 'conflict' && r.failed.includes(LEAD)) {
        this.onFenced();
      } else if (r.kind === 'conflict') {
        // An earlier try was executed after all, or came late: read which version is there now.
        this.reread(conditions.slice(1).map((c) => c.key));
      } else {
        if (r.kind === 'refused') {
          // One of them is too large, or they are too many: never the same batch again.
          this.ctx.info('write.batch_rejected', { writes: batch.length, bytes });
          this.most = Math.max(1, Math.floor(batch.length / 2));
          this.cautiousUntil = this.ctx.now + CAUTION;
        }
        this.busy = false;
        this.kick(RETRY_US);
      }
    });
  }

  private reread(keys: readonly string[]): void {
    const [key, ...rest] = keys;
    if (key === undefined) {
      this.busy = false;
      this.kick(GATHER_US);
      return;
    }
    this.ctx.requestStore({ kind: 'get', key }, 1, (r) => {
      if (this.stopped) return;
      if (r.kind === 'item') this.versions.set(key, r.item.version);
      else if (r.kind === 'missing') this.versions.set(key, 0);
      this.reread(rest);
    });
  }
}
