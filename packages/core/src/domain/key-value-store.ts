/** Operations of the consensus-backed key-value store and their results. */

/** A condition of a compare-and-swap transaction. */
export interface VersionCondition {
  /** Key whose version is compared. */
  readonly key: string;
  /** Expected version; 0 if the key must not exist. */
  readonly version: number;
}

/** A write of a transaction. A value that is put with a lease is deleted when the lease expires. */
export type StoreWrite =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown; readonly lease?: number }
  | { readonly kind: 'delete'; readonly key: string };

/**
 * A request to the store. `txn` applies all writes if all conditions hold, otherwise none; `grant`, `renew` and `revoke` manage
 * leases; `watch` waits for changes after a revision.
 */
export type StoreOperation =
  | { readonly kind: 'get'; readonly key: string }
  | { readonly kind: 'list'; readonly prefix: string; readonly after?: string; readonly limit: number }
  | {
      readonly kind: 'txn';
      readonly conditions: readonly VersionCondition[];
      readonly writes: readonly StoreWrite[];
    }
  | { readonly kind: 'grant'; readonly ttlMs: number }
  | { readonly kind: 'renew'; readonly lease: number }
  | { readonly kind: 'revoke'; readonly lease: number }
  | { readonly kind: 'watch'; readonly prefix: string; readonly after: number; readonly waitMs: number };

/** A stored key with its value. */
export interface StoredItem {
  /** Full key including its prefix. */
  readonly key: string;
  /** Decoded JSON value, not yet validated. */
  readonly value: unknown;
  /** Revision of the last change of the key. */
  readonly version: number;
  /** Lease that the key is attached to; null for none. */
  readonly lease: number | null;
}

/** A change of a key that a watch reports. */
export type StoreEvent =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown; readonly version: number }
  | { readonly kind: 'delete'; readonly key: string; readonly version: number };

/** Why a request failed. `silent`: no reply; `refused`: the store can't serve it; `busy`: rate limit of the store or node. */
export type StoreFailureCause = 'silent' | 'refused' | 'busy';

/** Reply to a store request. */
export type StoreReply =
  | { readonly kind: 'item'; readonly item: StoredItem }
  | { readonly kind: 'missing'; readonly revision: number }
  | {
      readonly kind: 'items';
      readonly items: readonly StoredItem[];
      readonly more: boolean;
      readonly revision: number;
    }
  | { readonly kind: 'ok'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly failed: readonly string[]; readonly revision: number }
  | { readonly kind: 'noLease' }
  | { readonly kind: 'granted'; readonly lease: number }
  | { readonly kind: 'events'; readonly events: readonly StoreEvent[]; readonly revision: number }
  /** The store has compacted the changes since the requested revision. */
  | { readonly kind: 'tooOld' }
  /** Not executed and not retryable unchanged: too large, too many operations, or malformed. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** `executed`: false if the request was certainly not executed, null if that is unknown. */
  | {
      readonly kind: 'failed';
      readonly executed: false | null;
      readonly cause: StoreFailureCause;
      readonly reason: string;
    };
