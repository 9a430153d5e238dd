/**
 * Whether the state service answers this node, from the node's own calls alone. It can't tell an outage from a cut or a
 * refusal that only this node meets: peers tell them apart, or nobody does.
 */
import type { StoreFailureCause } from '../domain/key-value-store.js';
import type { Micros } from '../domain/time.js';

export class Link {
  /** When the last good answer came; 0: none yet. */
  lastGood: Micros = 0;
  /** Since when nothing good has come; null while it answers. */
  downSince: Micros | null = null;
  /** When the newest call was sent that failed. */
  lastBadSent: Micros = 0;

  /** A good answer came. Whether that ends an interruption. */
  good(now: Micros): boolean {
    const was = this.downSince !== null;
    this.lastGood = now;
    this.downSince = null;
    return was;
  }

  /** A call that was sent at `sent` failed. Whether that begins an interruption. */
  bad(cause: StoreFailureCause, sent: Micros): boolean {
    // Being asked to slow down is an answer; and one lost call says nothing if others were answered meanwhile.
    if (cause === 'busy' || this.lastGood >= sent) return false;
    this.lastBadSent = Math.max(this.lastBadSent, sent);
    if (this.downSince !== null) return false;
    this.downSince = sent;
    return true;
  }
}
