/** Timers of one node, by its steady clock. Those that are due at the same time fire in the order in which they were set. */
import type { Micros } from '../domain/time.js';

interface Timer {
  readonly dueAt: Micros;
  readonly order: number;
  readonly run: () => void;
}

/** Timers that have not fired. */
export class TimerQueue {
  private timers: Timer[] = [];
  private nextOrder = 0;

  /** Sets a timer. */
  set(dueAt: Micros, run: () => void): void {
    this.timers.push({ dueAt, order: this.nextOrder++, run });
  }

  /** Removes the timers that are due, and returns what they run, in order. */
  takeDue(now: Micros): (() => void)[] {
    const due = this.timers.filter((timer) => timer.dueAt <= now);
    if (due.length === 0) return [];
    this.timers = this.timers.filter((timer) => timer.dueAt > now);
    due.sort((one, other) => one.dueAt - other.dueAt || one.order - other.order);
    return due.map((timer) => timer.run);
  }

  /** When the next timer is due; null: none is set. */
  nextDueAt(): Micros | null {
    let next: Micros | null = null;
    for (const { dueAt } of this.timers) if (next === null || dueAt < next) next = dueAt;
    return next;
  }
}
