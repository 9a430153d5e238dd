/**
 * The leader's own writes, gathered into few transactions and fenced by the leader's key. What is written
 * is made when it is sent, so a key that changes often costs one write a transaction. One transaction is
 * in flight at a time, and each value is put on condition of the version that it replaces: a write that
 * the network held back can't put an older value over a newer one.
 */
import type { Context } from './context.js';
import { LEAD } from './keys.js';
import type { Condition, Write } from './model.js';
import { MILLI } from './model.js';

interface Entry {
  readonly key: string;
  readonly make: () => Write;
  /** Whether the version that it replaces is a condition. */
  readonly checked: boolean;
  readonly done: ((w: Write) => void)[];
}

const GATHER_US = 15 * MILLI;
const RETRY_US = 250 * MILLI;
const MAX_BYTES = 48 * 1024;

export class Writer {
  private readonly pending = new Map<string, Entry>();
  private readonly versions = new Map<string, number>();
  private busy = false;
  private stopped = false;

  constructor(
    private readonly ctx: Context,
    private readonly leadVersion: number,
    private readonly onFenced: () => void,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  /** The version of a key as it was read. */
  know(key: string, version: number): void {
    this.versions.set(key, version);
  }

  /** Something is waiting that was not sent yet. */
  waits(key: string): boolean {
    return this.pending.has(key);
  }

  /** Puts what `make` gives when its turn comes. `done` follows once that is surely written. */
  put(key: string, make: () => unknown, done: (value: unknown) => void, checked = true): void {
    const entry = this.pending.get(key);
    const then = (w: Write): void => {
      done(w.kind === 'put' ? w.value : null);
    };
    this.pending.set(key, {
      key,
      make: () => ({ kind: 'put', key, value: make() }),
      checked,
      done: [...(entry?.done ?? []), then],
    });
    this.kick(GATHER_US);
  }

  remove(key: string): void {
    this.pending.set(key, { key, make: () => ({ kind: 'delete', key }), checked: false, done: [] });
    this.kick(GATHER_US);
  }

  private kick(delay: number): void {
    if (this.busy || this.stopped) return;
    this.busy = true;
    this.ctx.after(delay, () => {
      this.flush();
    });
  }

  private flush(): void {
    if (this.stopped) return;
    const batch: { entry: Entry; write: Write }[] = [];
    const conditions: Condition[] = [{ key: LEAD, version: this.leadVersion }];
    let bytes = 0;
    for (const [key, entry] of this.pending) {
      if (batch.length >= this.ctx.settings.txnOps) break;
      const write = entry.make();
      const size = write.kind === 'put' ? JSON.stringify(write.value).length + key.length + 128 : 128;
      if (batch.length > 0 && bytes + size > MAX_BYTES) break;
      bytes += size;
      batch.push({ entry, write });
      this.pending.delete(key);
      if (entry.checked) conditions.push({ key, version: this.versions.get(key) ?? 0 });
    }
    if (batch.length === 0) {
      this.busy = false;
      return;
    }
    this.ctx.state({ kind: 'txn', conditions, writes: batch.map((e) => e.write) }, 1, (r) => {
      if (this.stopped) return;
      if (r.kind === 'ok') {
        for (const { entry, write } of batch) {
          this.versions.set(entry.key, write.kind === 'put' ? r.revision : 0);
          for (const d of entry.done) d(write);
        }
        this.busy = false;
        if (this.pending.size > 0) this.kick(GATHER_US);
        return;
      }
      // Nobody can tell whether it was executed; what is put then is newer, and does no harm.
      for (const { entry } of batch) {
        const newer = this.pending.get(entry.key);
        if (newer === undefined) this.pending.set(entry.key, entry);
        else newer.done.unshift(...entry.done);
      }
      if (r.kind === 'conflict' && r.failed.includes(LEAD)) {
        this.onFenced();
      } else if (r.kind === 'conflict') {
        // An earlier try was executed after all, or came late: read which version is there now.
        this.reread(conditions.slice(1).map((c) => c.key));
      } else {
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
    this.ctx.state({ kind: 'get', key }, 1, (r) => {
      if (this.stopped) return;
      if (r.kind === 'item') this.versions.set(key, r.item.version);
      else if (r.kind === 'missing') this.versions.set(key, 0);
      this.reread(rest);
    });
  }
}
