/**
 * How old this leader's knowledge of cancellations may be: the one owner of that. Any node confirms cancellations, also
 * while this one leads, so that the office alone says nothing of what users were told meanwhile.
 *
 * Whatever renews a worker's lease or starts a task is sent with knowledge of all cancellations that were confirmed
 * until `bound` before. So of a job that was cancelled at t nothing is renewed or started after t + bound without the
 * order to stop it, and what was renewed until then has run out a lease later: within `cancel_s` (docs/safety.md).
 */
import type { Settings } from '../domain/settings.js';
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';

/** Steady clocks drift apart by up to 0.05%; twice that is taken off every lease. */
export const CLOCK_DRIFT = 0.001;

/** For what lies between the end of a lease and its tasks being gone. */
const MARGIN: Micros = SECOND;
/** Where `cancel_s` leaves less than that no leader could do its work: it is then not kept (see `check-config`). */
export const LEAST_MAX_AGE: Micros = 3 * SECOND;

/** What `cancel_s` leaves beside a worker's lease, clocks at their worst; the leader's knowledge may be that old. */
export const maxCancellationAge = (s: Pick<Settings, 'cancellationDeadlineUs' | 'workerLeaseUs'>): Micros =>
  Math.floor(
    (s.cancellationDeadlineUs - s.workerLeaseUs * (1 + 2 * CLOCK_DRIFT) - MARGIN) * (1 - CLOCK_DRIFT),
  );

export class CancellationFreshness {
  readonly maxAgeUs: Micros;
  private knownAt: Micros | null = null;

  constructor(settings: Pick<Settings, 'cancellationDeadlineUs' | 'workerLeaseUs'>) {
    this.maxAgeUs = Math.max(LEAST_MAX_AGE, maxCancellationAge(settings));
  }

  /** All that was confirmed before is known here; `sent`: when the request was sent whose answer showed it. */
  confirmUpTo(sent: Micros): void {
    this.knownAt = Math.max(this.knownAt ?? sent, sent);
  }

  isFresh(now: Micros): boolean {
    return this.knownAt !== null && now < this.knownAt + this.maxAgeUs;
  }

  /** Nothing was learned for so long after `since` that another node may do better. */
  isLost(now: Micros, since: Micros): boolean {
    return now >= (this.knownAt ?? since) + Math.floor(this.maxAgeUs * 1.5);
  }

  /** Half of the time has passed: time to ask by itself, since what was asked for may never be answered. */
  isProbeDue(now: Micros): boolean {
    return this.knownAt !== null && now >= this.knownAt + Math.floor(this.maxAgeUs / 2);
  }
}
