/** Timers of one node on its monotonic clock. Timers due at the same time fire in the order in which they were set. */
import type { Micros } from '../domain/time.js';

interface Timer {
  readonly dueAt: Micros;
  readonly order: number;
  readonly run: () => void;
}

/** Holds the timers that have not fired yet. */
export class TimerQueue {
  private timers: Timer[] = [];
  private nextOrder = 0;

  /** Sets a timer that runs the callback once at `dueAt`. */
  set(dueAt: Micros, run: () => void): void {
    this.timers.push({ dueAt, order: this.nextOrder++, run });
  }

  /** Removes the due timers, and returns their callbacks in firing order. */
  takeDue(now: Micros): (() => void)[] {
    const due = this.timers.filter((timer) => timer.dueAt <= now);
    if (due.length === 0) return [];
    this.timers = this.timers.filter((timer) => timer.dueAt > now);
    due.sort((one, other) => one.dueAt - other.dueAt || one.order - other.order);
    return due.map((timer) => timer.run);
  }

  /** Due time of the next timer; null if none is set. */
  nextDueAt(): Micros | null {
    let next: Micros | null = null;
    for (const { dueAt } of this.timers) if (next === null || dueAt < next) next = dueAt;
    return next;
  }
}
