/**
 * Whether this node still does a leader's work in time, by how late its own timers fire. One that was slowed down held the
 * office for 40 s: its renewals arrived, so nobody else could lead, but the reports of its workers timed out until all
 * their leases had run out (adresy-pomorze rough: 2,706 tasks killed). A state machine of moments.
 */
import { SECOND, type Micros } from '../model.js';

/** So late is no chance of a moment any more: of four seconds that a worker waits for its answer. */
const LATE: Micros = SECOND;
/** So often within the window; a process that stood still once, and is well again, is late once. */
const TIMES = 3;
const WINDOW: Micros = 10 * SECOND;

export class Fitness {
  private late: Micros[] = [];

  /** A timer that was due then fires now. */
  fired(now: Micros, due: Micros): void {
    this.late = this.late.filter((at) => at > now - WINDOW);
    if (now - due > LATE) this.late.push(now);
  }

  get unfit(): boolean {
    return this.late.length >= TIMES;
  }
}
