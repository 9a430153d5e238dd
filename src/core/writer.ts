/**
 * The leader's own writes, gathered into few transactions and fenced by the leader's key. The newest
 * value for a key wins; one transaction is in flight at a time, so writes to a key keep their order.
 */
import type { Context } from './context.js';
import { LEAD } from './keys.js';
import type { Write } from './model.js';
import { MILLI } from './model.js';

interface Entry {
  readonly write: Write;
  readonly done: (() => void)[];
}

const GATHER_US = 15 * MILLI;
const RETRY_US = 250 * MILLI;
const MAX_BYTES = 48 * 1024;

export class Writer {
  private pending = new Map<string, Entry>();
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

  write(w: Write, done: () => void = () => undefined): void {
    const old = this.pending.get(w.key);
    this.pending.set(w.key, { write: w, done: [...(old?.done ?? []), done] });
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
    const batch: Entry[] = [];
    let bytes = 0;
    for (const [key, e] of this.pending) {
      bytes += e.write.kind === 'put' ? JSON.stringify(e.write.value).length + key.length + 64 : 64;
      if (batch.length > 0 && (batch.length >= this.ctx.settings.txnOps || bytes > MAX_BYTES)) break;
      batch.push(e);
      this.pending.delete(key);
    }
    if (batch.length === 0) {
      this.busy = false;
      return;
    }
    this.ctx.state(
      {
        kind: 'txn',
        conditions: [{ key: LEAD, version: this.leadVersion }],
        writes: batch.map((e) => e.write),
      },
      1,
      (r) => {
        if (this.stopped) return;
        this.busy = false;
        if (r.kind === 'ok') {
          for (const e of batch) for (const d of e.done) d();
          if (this.pending.size > 0) this.kick(GATHER_US);
        } else if (r.kind === 'conflict') {
          this.onFenced();
        } else {
          // Nobody can tell whether it was executed; the same values again do no harm.
          for (const e of batch) {
            const newer = this.pending.get(e.write.key);
            if (newer === undefined) this.pending.set(e.write.key, e);
            else newer.done.unshift(...e.done);
          }
          this.kick(RETRY_US);
        }
      },
    );
  }
}
