/**
 * Bounds the age of the leader's cancellation data; no other module decides this. Every node can confirm a cancellation
 * to a user, including while another node leads, so holding the leader lease does not show that the leader knows of it.
 *
 * A message that renews a worker's lease or starts a task is sent only if all cancellations confirmed more than
 * `maxAgeUs` ago are known. After a cancellation at time t, the leader therefore renews and starts nothing of that job
 * later than t + `maxAgeUs` without also ordering it to stop. Leases renewed before then expire one lease duration later,
 * which is within `cancel_s` (docs/safety.md).
 */
import type { Settings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';

/** The settings from which the maximum age is derived. */
type CancellationSettings = Pick<Settings, 'cancellationDeadlineUs' | 'workerLeaseUs'>;

/**
 * Safety factor for clock drift: monotonic clocks drift apart by up to 0.05%, and leases are shortened by twice that.
 */
export const CLOCK_DRIFT_MARGIN = 0.001;

/** Time that a worker needs to stop its tasks after its lease has expired. */
const TASK_STOP_MARGIN_US: Micros = SECOND;

/**
 * Lower bound of the maximum age, below which no leader could operate. If `cancel_s` leaves less than this, the
 * cancellation deadline is not met; `check-config` reports such a configuration.
 */
export const MIN_CANCELLATION_AGE_LIMIT: Micros = 3 * SECOND;

/** Fraction of the maximum age after which a probe is due, because the open watch might never be answered. */
const PROBE_AGE_FACTOR = 1 / 2;
/** Multiple of the maximum age after which another node is likely to be a better leader. */
const OUTDATED_AGE_FACTOR = 3 / 2;

/**
 * The maximum age that meets `cancel_s`: the cancellation deadline less a worker's lease and the time to stop its tasks,
 * for the worst case of clock drift. Can be too short to operate with, or negative.
 */
export const maxCancellationAge = (settings: CancellationSettings): Micros => {
  const longestLease = settings.workerLeaseUs * (1 + 2 * CLOCK_DRIFT_MARGIN);
  const remaining = settings.cancellationDeadlineUs - longestLease - TASK_STOP_MARGIN_US;
  return Math.floor(remaining * (1 - CLOCK_DRIFT_MARGIN));
};

/** Tracks up to which time a leader knows all confirmed cancellations. */
export class CancellationFreshness {
  /** The leader may act only while its cancellation data is younger than this. */
  readonly maxAgeUs: Micros;
  private confirmedUpTo: Micros | null = null;

  constructor(settings: CancellationSettings) {
    this.maxAgeUs = Math.max(MIN_CANCELLATION_AGE_LIMIT, maxCancellationAge(settings));
  }

  /** Records that all cancellations confirmed before a request was sent at `requestedAt` are known from its reply. */
  confirmUpTo(requestedAt: Micros): void {
    this.confirmedUpTo = Math.max(this.confirmedUpTo ?? requestedAt, requestedAt);
  }

  /** Whether the cancellation data is recent enough for the leader to act. */
  isFresh(now: Micros): boolean {
    return this.confirmedUpTo !== null && now < this.confirmedUpTo + this.maxAgeUs;
  }

  /**
   * Whether the data is so old that another node is likely to be a better leader. If nothing was ever confirmed, the age
   * counts from `since`.
   */
  isOutdated(now: Micros, since: Micros): boolean {
    return now >= (this.confirmedUpTo ?? since) + Math.floor(this.maxAgeUs * OUTDATED_AGE_FACTOR);
  }

  /** Whether a request for changes that does not wait is due, because the open watch might never be answered. */
  isProbeDue(now: Micros): boolean {
    return (
      this.confirmedUpTo !== null && now >= this.confirmedUpTo + Math.floor(this.maxAgeUs * PROBE_AGE_FACTOR)
    );
  }
}
