/** Describes the leader lease: the leader's key in one term, attached to a lease of the key-value store. */
import type { Micros } from '../domain/time.js';
import type { CancellationFreshness } from './cancellation-freshness.js';

/** A leader lease as this node has acquired it. */
export interface LeaderLease {
  /** Term number; higher than that of any earlier leader. */
  readonly term: number;
  /** Version of the leader's key, on which every write of the leader is conditional (fencing). */
  readonly keyVersion: number;
  /** Id of the key-value store's lease to which the leader's key is attached. */
  readonly leaseId: number;
  /** When this node learned that it holds the key (monotonic clock). */
  readonly heldSince: Micros;
  /**
   * Whether no machine was ever rented, and the pre-provisioned machines are not recorded yet. Stored in the term's record.
   */
  readonly firstTerm: boolean;
  /** Tracks how recent the holder's cancellation data is. */
  readonly freshness: CancellationFreshness;
}
