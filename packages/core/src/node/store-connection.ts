/**
 * Whether the key-value store answers this node, as far as the node's own calls show. They can't tell an outage from a network
 * partition or a refusal that only this node meets: only peers can (membership/).
 */
import type { StoreFailureCause } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';

/** Whether the store answers, by the results of calls. */
export class StoreConnection {
  /** When the last good answer came; 0: none yet. */
  lastSuccessAt: Micros = 0;
  /** Since when no good answer has come; null while the store answers. */
  downSince: Micros | null = null;
  /** When the newest call was sent that failed. */
  lastFailureSentAt: Micros = 0;

  /** A good answer came. Returns whether that ends an interruption. */
  recordSuccess(now: Micros): boolean {
    const wasDown = this.downSince !== null;
    this.lastSuccessAt = now;
    this.downSince = null;
    return wasDown;
  }

  /** A call that was sent at `sentAt` failed. Returns whether that begins an interruption. */
  recordFailure(cause: StoreFailureCause, sentAt: Micros): boolean {
    // Being asked to slow down is an answer; and one lost call proves nothing if others were answered meanwhile.
    if (cause === 'busy' || this.lastSuccessAt >= sentAt) return false;
    this.lastFailureSentAt = Math.max(this.lastFailureSentAt, sentAt);
    if (this.downSince !== null) return false;
    this.downSince = sentAt;
    return true;
  }
}
