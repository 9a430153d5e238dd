/**
 * Whether this node does a leader's work in time, by how late its own timers fire. A slowed-down leader once kept its lease for
 * 40 s: its renewals arrived, so nobody else could lead, but heartbeats of its workers timed out until all worker leases had
 * expired (adresy-pomorze rough: 2,706 tasks killed). A state machine without I/O: callers pass the times.
 */
import { type Micros, MILLI, SECOND } from '../domain/time.js';

/** A timer that fires later than that counts as late; a worker waits four seconds for its answer. */
const MAX_TIMER_DELAY: Micros = SECOND;
/** Answers to lease renewals that are further apart count as late. */
const MAX_RENEWAL_GAP: Micros = 2_500 * MILLI;
/** Late events within the window that make an overloaded leader; a process that was paused once is late once. */
const OVERLOAD_COUNT = 3;
const WINDOW: Micros = 20 * SECOND;

/** Counts late timers and late lease renewals of this node. */
export class LeaderHealth {
  private lateAt: Micros[] = [];
  private lastDelay: Micros = 0;
  private renewedAt: Micros | null = null;

  /** A timer that was due at `dueAt` fires now. `counts` is false where every leader would be late, as right after a failover. */
  recordTimer(now: Micros, dueAt: Micros, counts = true): void {
    this.lastDelay = now - dueAt;
    this.lateAt = this.lateAt.filter((at) => at > now - WINDOW);
    if (counts && now - dueAt > MAX_TIMER_DELAY) this.lateAt.push(now);
  }

  /**
   * A renewal of the lease was answered. Renewals are sent about every second and answered within milliseconds: a long gap means
   * that answers were handled too late, though the store serves this node. Timers alone don't show that: they fire before what
   * waits in sockets is handled.
   */
  recordRenewal(now: Micros, counts = true): void {
    const gap = this.renewedAt === null ? 0 : now - this.renewedAt;
    this.renewedAt = now;
    if (counts && gap > MAX_RENEWAL_GAP) this.lateAt.push(now);
  }

  /** Whether the node is late right now: optional work had better wait. */
  get isLagging(): boolean {
    return this.lastDelay > MAX_TIMER_DELAY;
  }

  /** Whether the node was late so often that another controller should lead. */
  get isOverloaded(): boolean {
    return this.lateAt.length >= OVERLOAD_COUNT;
  }
}
