/** Requests of users and of features' clients, and the answers to them. */
import type { JobSpec, JobView } from './job.js';
import type { StoreWrite, VersionCondition } from './key-value-store.js';

/** Conditions and writes of a feature, in the transaction that accepts a job. */
export interface ExtraWrites {
  readonly conditions: readonly VersionCondition[];
  readonly writes: readonly StoreWrite[];
}

/** A request of a user, or of a feature for one of its clients. */
export type ClientRequest =
  | {
      readonly kind: 'submit';
      /** The id, if at least that could be decoded. */
      readonly id: string | null;
      readonly spec: JobSpec | null;
      readonly problem: string | null;
      /** Only from features. */
      readonly extraWrites?: ExtraWrites;
    }
  | { readonly kind: 'poll'; readonly id: string }
  | { readonly kind: 'cancel'; readonly id: string }
  | { readonly kind: 'health' };

/**
 * The response to a request. `impossible`: the job can never run; `absent`: no such job was accepted; `unavailable`: try again.
 */
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

/** The response to a feature's request; `taken`: keys of its extra conditions that did not hold. */
export type InternalResponse = ClientResponse | { readonly kind: 'taken'; readonly keys: readonly string[] };
