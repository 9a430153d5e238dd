/**
 * Detects a leader that is too slow, by late timers and late answers to lease renewals. A slowed-down leader once kept its
 * lease for 40 s: its renewals arrived, so no other controller could lead, but heartbeats of its workers timed out until all
 * worker leases had expired (2,706 tasks killed in one simulated deployment). Performs no I/O; callers pass the times.
 */
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';

/** A timer with a longer delay counts as late; for comparison, a worker waits four seconds for an answer. */
const MAX_TIMER_DELAY: Micros = SECOND;
/** A longer gap between answers to lease renewals counts as late. */
const MAX_RENEWAL_GAP: Micros = 2_500 * MILLISECOND;
/** Late events within the window that mean overload. A single pause of the process causes only one. */
const OVERLOAD_COUNT = 3;
const OVERLOAD_WINDOW: Micros = 20 * SECOND;

/** Counts the late timers and late lease renewals of this node within a sliding window. */
export class LeaderHealth {
  private lateEventTimes: Micros[] = [];
  private lastTimerDelay: Micros = 0;
  private lastRenewalAt: Micros | null = null;

  /** Records a timer that fires now. `isCounted` is false when any leader would be late, as right after a failover. */
  recordTimer(now: Micros, dueAt: Micros, isCounted = true): void {
    this.lastTimerDelay = now - dueAt;
    this.lateEventTimes = this.lateEventTimes.filter((at) => at > now - OVERLOAD_WINDOW);
    if (isCounted && now - dueAt > MAX_TIMER_DELAY) this.lateEventTimes.push(now);
  }

  /**
   * Records an answered lease renewal. Renewals are sent about every second and answered within milliseconds, so a long gap
   * means that this node handled the answer late. Timers alone don't show that, since they fire before pending socket input
   * is handled.
   */
  recordRenewal(now: Micros, isCounted = true): void {
    const gap = this.lastRenewalAt === null ? 0 : now - this.lastRenewalAt;
    this.lastRenewalAt = now;
    if (isCounted && gap > MAX_RENEWAL_GAP) this.lateEventTimes.push(now);
  }

  /** Whether the last timer was late, so that optional work should be postponed. */
  get isLagging(): boolean {
    return this.lastTimerDelay > MAX_TIMER_DELAY;
  }

  /** Whether the node was late often enough that another controller should lead. */
  get isOverloaded(): boolean {
    return this.lateEventTimes.length >= OVERLOAD_COUNT;
  }
}
