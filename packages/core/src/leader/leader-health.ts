/**
 * Whether this node still does a leader's work in time, by how late its own timers fire. One that was slowed down held the
 * office for 40 s: its renewals arrived, so nobody else could lead, but the reports of its workers timed out until all
 * their leases had run out (adresy-pomorze rough: 2,706 tasks killed). A state machine of moments.
 */
import { MILLI, SECOND, type Micros } from '../domain/time.js';

/** So late is no chance of a moment any more: of four seconds that a worker waits for its answer. */
const LATE: Micros = SECOND;
/** Answers to renewals further apart than that. */
const APART: Micros = 2_500 * MILLI;
/** So often within the window; a process that stood still once, and is well again, is late once. */
const TIMES = 3;
const WINDOW: Micros = 20 * SECOND;

export class LeaderHealth {
  private late: Micros[] = [];
  private last: Micros = 0;
  private renewedAt: Micros | null = null;

  /** A timer that was due then fires now. `counts`: not where everybody would be late, as while workers turn to a new leader. */
  recordTimer(now: Micros, due: Micros, counts = true): void {
    this.last = now - due;
    this.late = this.late.filter((at) => at > now - WINDOW);
    if (counts && now - due > LATE) this.late.push(now);
  }

  /**
   * A renewal was answered. They are sent every second or so and answered within some milliseconds: answers so far apart mean
   * that those between came too late, though the service serves this node. Timers alone don't tell: they come before
   * whatever waits in sockets.
   */
  recordRenewal(now: Micros, counts = true): void {
    const gap = this.renewedAt === null ? 0 : now - this.renewedAt;
    this.renewedAt = now;
    if (counts && gap > APART) this.late.push(now);
  }

  /** What came first is not done yet: whoever waits for an answer had better not wait for more. */
  get isLagging(): boolean {
    return this.last > LATE;
  }

  get isOverloaded(): boolean {
    return this.late.length >= TIMES;
  }
}
