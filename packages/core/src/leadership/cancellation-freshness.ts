/**
 * How old this leader's knowledge of cancellations may be: the one owner of that. Any node confirms cancellations, also
 * while this one leads, so that holding the leader lease alone shows nothing of what was confirmed to users meanwhile.
 *
 * Whatever renews a worker's lease or starts a task is sent with knowledge of all cancellations that were confirmed
 * until `maxAgeUs` before. So of a job that was cancelled at t nothing is renewed or started after t + `maxAgeUs` without
 * the command to stop it, and what was renewed until then has expired a lease later: within `cancel_s` (docs/safety.md).
 */
import type { Settings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';

/** The settings that bound the age. */
type CancellationSettings = Pick<Settings, 'cancellationDeadlineUs' | 'workerLeaseUs'>;

/** Steady clocks drift apart by up to 0.05%; twice that is taken off every lease. */
export const CLOCK_DRIFT = 0.001;

/** Time between the end of a worker's lease and its tasks being gone. */
const TASK_STOP_MARGIN: Micros = SECOND;

/** The least age that is allowed: where `cancel_s` leaves less it is not kept, since no leader could work (`check-config`). */
export const MIN_CANCELLATION_AGE_LIMIT: Micros = 3 * SECOND;

/** Of the greatest age: a probe is due after this part of it, since the watch may never be answered. */
const PROBE_FRACTION = 1 / 2;
/** Of the greatest age: after this part of it another node may do better as leader. */
const LOST_FRACTION = 3 / 2;

/** What `cancel_s` leaves besides a worker's lease, with clocks at their worst: the leader's knowledge may be that old. */
export const maxCancellationAge = (settings: CancellationSettings): Micros => {
  const longestLease = settings.workerLeaseUs * (1 + 2 * CLOCK_DRIFT);
  const remaining = settings.cancellationDeadlineUs - longestLease - TASK_STOP_MARGIN;
  return Math.floor(remaining * (1 - CLOCK_DRIFT));
};

/** How old a leader's knowledge of confirmed cancellations is. */
export class CancellationFreshness {
  /** The greatest age at which the leader may still act. */
  readonly maxAgeUs: Micros;
  private confirmedUpTo: Micros | null = null;

  constructor(settings: CancellationSettings) {
    this.maxAgeUs = Math.max(MIN_CANCELLATION_AGE_LIMIT, maxCancellationAge(settings));
  }

  /** All that was confirmed before is known; `requestedAt`: when the request was sent whose reply showed it. */
  confirmUpTo(requestedAt: Micros): void {
    this.confirmedUpTo = Math.max(this.confirmedUpTo ?? requestedAt, requestedAt);
  }

  /** Whether the knowledge is recent enough to act on. */
  isFresh(now: Micros): boolean {
    return this.confirmedUpTo !== null && now < this.confirmedUpTo + this.maxAgeUs;
  }

  /** Whether nothing was learned for so long, counted from `since` at the earliest, that another node may do better. */
  isLost(now: Micros, since: Micros): boolean {
    return now >= (this.confirmedUpTo ?? since) + Math.floor(this.maxAgeUs * LOST_FRACTION);
  }

  /** Whether it is time to request changes without waiting, since the watch may never be answered. */
  isProbeDue(now: Micros): boolean {
    return (
      this.confirmedUpTo !== null && now >= this.confirmedUpTo + Math.floor(this.maxAgeUs * PROBE_FRACTION)
    );
  }
}
