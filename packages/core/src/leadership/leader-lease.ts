/** The leader lease: the leader's key, held under a lease of the key-value store, in one term. */
import type { Micros } from '../domain/time.js';
import type { CancellationFreshness } from './cancellation-freshness.js';

/** A leader lease that this node has acquired. */
export interface LeaderLease {
  /** Number of the term; higher than that of any earlier leader. */
  readonly term: number;
  /** Version of the leader's key: the condition that fences every write of the leader. */
  readonly keyVersion: number;
  /** The lease of the key-value store under which the leader's key was written. */
  readonly leaseId: number;
  /** When the key was known to be held (steady clock). */
  readonly heldSince: Micros;
  /**
   * No machine was ever rented, and which machines were pre-provisioned is not on record yet: part of the term's record.
   */
  readonly firstTerm: boolean;
  /** How much its holder knows of cancellations, and since when. */
  readonly freshness: CancellationFreshness;
}
