/** Operations on the consensus-backed key-value store, and its answers. */

export interface VersionCondition {
  readonly key: string;
  readonly version: number;
}

export type StoreWrite =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown; readonly lease?: number }
  | { readonly kind: 'delete'; readonly key: string };

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

export interface StoredItem {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
  readonly lease: number | null;
}

export type StoreEvent =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown; readonly version: number }
  | { readonly kind: 'delete'; readonly key: string; readonly version: number };

/** `silent`: no answer; `refused`: it said that it can't; `busy`: too many requests, by its word or our own count. */
export type StoreFailureCause = 'silent' | 'refused' | 'busy';

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
  | { readonly kind: 'tooOld' }
  /** Not executed, and never will be as it is: too large, too many, or malformed. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** `executed` is false when the request surely wasn't executed, null when nobody can tell. */
  | {
      readonly kind: 'failed';
      readonly executed: false | null;
      readonly cause: StoreFailureCause;
      readonly reason: string;
    };
