/**
 * Whether the state service answers this node, from the node's own calls alone. It can't tell an outage from a cut or a
 * refusal that only this node meets: peers tell them apart, or nobody does.
 */
import type { StoreFailureCause } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';

export class StoreConnection {
  /** When the last good answer came; 0: none yet. */
  lastSuccessAt: Micros = 0;
  /** Since when nothing good has come; null while it answers. */
  downSince: Micros | null = null;
  /** When the newest call was sent that failed. */
  lastFailureSentAt: Micros = 0;

  /** A good answer came. Whether that ends an interruption. */
  recordSuccess(now: Micros): boolean {
    const was = this.downSince !== null;
    this.lastSuccessAt = now;
    this.downSince = null;
    return was;
  }

  /** A call that was sent at `sent` failed. Whether that begins an interruption. */
  recordFailure(cause: StoreFailureCause, sent: Micros): boolean {
    // Being asked to slow down is an answer; and one lost call says nothing if others were answered meanwhile.
    if (cause === 'busy' || this.lastSuccessAt >= sent) return false;
    this.lastFailureSentAt = Math.max(this.lastFailureSentAt, sent);
    if (this.downSince !== null) return false;
    this.downSince = sent;
    return true;
  }
}
