/** Operations on the consensus-backed key-value store, and its answers. */

/** A condition of a compare-and-swap transaction. Version 0: the key does not exist. */
export interface VersionCondition {
  readonly key: string;
  readonly version: number;
}

/** A write of a transaction; a value with a lease is deleted when the lease expires. */
export type StoreWrite =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown; readonly lease?: number }
  | { readonly kind: 'delete'; readonly key: string };

/**
 * A request to the store. `txn` applies all writes if all conditions hold, else none; `grant`, `renew` and `revoke` are of leases;
 * `watch` waits for changes after a revision.
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

/** A key with its value and the revision of its last change. */
export interface StoredItem {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
  readonly lease: number | null;
}

/** A change that a watch reports. */
export type StoreEvent =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown; readonly version: number }
  | { readonly kind: 'delete'; readonly key: string; readonly version: number };

/** `silent`: no answer; `refused`: the store can't; `busy`: too many requests, by the store's count or this node's own. */
export type StoreFailureCause = 'silent' | 'refused' | 'busy';

/** The answer to a request. */
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
  /** The store does not keep changes since that revision any more. */
  | { readonly kind: 'tooOld' }
  /** Not executed, and never will be as it is: too large, too many, or malformed. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** `executed` is false where the request was certainly not executed, null where that is not known. */
  | {
      readonly kind: 'failed';
      readonly executed: false | null;
      readonly cause: StoreFailureCause;
      readonly reason: string;
    };
