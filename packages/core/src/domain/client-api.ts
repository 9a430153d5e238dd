/** Requests of users and of features' clients, and the answers to them. */
import type { JobSpec, JobView } from './job.js';
import type { VersionCondition, StoreWrite } from './key-value-store.js';

/** Put together with a job's record, in the same transaction, or not at all. */
export interface ExtraWrites {
  readonly conditions: readonly VersionCondition[];
  readonly writes: readonly StoreWrite[];
}

export type ClientRequest =
  | {
      readonly kind: 'submit';
      /** The id, when at least that could be read. */
      readonly id: string | null;
      readonly spec: JobSpec | null;
      readonly problem: string | null;
      /** Never from the users' own interface. */
      readonly extraWrites?: ExtraWrites;
    }
  | { readonly kind: 'poll'; readonly id: string }
  | { readonly kind: 'cancel'; readonly id: string }
  | { readonly kind: 'health' };

export type ClientResponse =
  | {
      readonly kind: 'view';
      readonly created: boolean;
      readonly view: JobView;
      /** Of the transaction that accepted it just now. */
      readonly revision?: number;
    }
  | { readonly kind: 'malformed'; readonly problem: string }
  | { readonly kind: 'impossible'; readonly problem: string }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable'; readonly retryAfterS: number; readonly problem: string }
  | { readonly kind: 'healthy' };

/** What a feature is told that asked on a client's behalf; `taken`: keys of `beside` that were there already. */
export type InternalResponse = ClientResponse | { readonly kind: 'taken'; readonly keys: readonly string[] };
