/** Features may hold a job back before any task of it has begun. */

/** Why a job may not begin now. */
export interface AdmissionHold {
  readonly reason: string;
  /** True where the hold is over in a moment: then it isn't published to the user. */
  readonly transient: boolean;
}
