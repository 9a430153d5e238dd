/**
 * Tracks whether the key-value store answers this node, from the results of the node's own calls. These can't tell an
 * outage from a network partition or an error that affects only this node; that takes reports from peers (membership/).
 */
import type { StoreFailureCause } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';

/** State of the connection to the store, derived from the results of calls. */
export class StoreConnection {
  /** When the last successful answer arrived; 0 if there was none yet. */
  lastSuccessAt: Micros = 0;
  /** Send time of the call whose failure began the current interruption; null while the store answers. */
  downSince: Micros | null = null;
  /** Send time of the most recently sent call that counted as failed. */
  lastFailureSentAt: Micros = 0;

  /** Records a successful answer. Returns whether it ends an interruption. */
  recordSuccess(now: Micros): boolean {
    const wasDown = this.downSince !== null;
    this.lastSuccessAt = now;
    this.downSince = null;
    return wasDown;
  }

  /** Records the failure of a call that was sent at `sentAt`. Returns whether it begins an interruption. */
  recordFailure(cause: StoreFailureCause, sentAt: Micros): boolean {
    // Being throttled is an answer too, and a lost call proves nothing if another one was answered since it was sent.
    if (cause === 'busy' || this.lastSuccessAt >= sentAt) return false;
    this.lastFailureSentAt = Math.max(this.lastFailureSentAt, sentAt);
    if (this.downSince !== null) return false;
    this.downSince = sentAt;
    return true;
  }
}
