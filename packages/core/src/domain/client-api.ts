/** Requests from users and from clients of features, and the responses to them. */
import type { JobSpec, JobView } from './job.js';
import type { StoreWrite, VersionCondition } from './key-value-store.js';

/** Conditions and writes that a feature adds to the transaction that accepts a job. */
export interface ExtraWrites {
  /** Versions that must hold for the job to be accepted. */
  readonly conditions: readonly VersionCondition[];
  /** Writes applied together with the job's record. */
  readonly writes: readonly StoreWrite[];
}

/** A request from a user, or from a feature on behalf of one of its clients. */
export type ClientRequest =
  | {
      readonly kind: 'submit';
      /** Id of the job; null if it could not be decoded. */
      readonly id: string | null;
      /** Null if the specification is malformed. */
      readonly spec: JobSpec | null;
      /** Why the specification is malformed; null if it isn't. */
      readonly problem: string | null;
      /** Set only by features. */
      readonly extraWrites?: ExtraWrites;
    }
  | { readonly kind: 'poll'; readonly id: string }
  | { readonly kind: 'cancel'; readonly id: string }
  | { readonly kind: 'health' };

/**
 * Response to a client request. `malformed`: the request is invalid; `impossible`: the job can never run; `absent`: no such job
 * was accepted; `unavailable`: retry later.
 */
export type ClientResponse =
  | {
      readonly kind: 'view';
      readonly created: boolean;
      readonly view: JobView;
      /** Revision of the transaction that has just accepted the job. */
      readonly revision?: number;
    }
  | { readonly kind: 'malformed'; readonly problem: string }
  | { readonly kind: 'impossible'; readonly problem: string }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable'; readonly retryAfterS: number; readonly problem: string }
  | { readonly kind: 'healthy' };

/** Response to a feature's request. `taken`: its extra conditions on `keys` did not hold. */
export type InternalResponse = ClientResponse | { readonly kind: 'taken'; readonly keys: readonly string[] };
