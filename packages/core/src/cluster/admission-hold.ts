/** Holds that features place on jobs before any of their tasks has started. */

/** Why a feature doesn't let a job start now. */
export interface AdmissionHold {
  /** Reason as shown to the user. */
  readonly reason: string;
  /** Whether the hold is expected to end within moments; such a hold is not shown to the user. */
  readonly transient: boolean;
}
