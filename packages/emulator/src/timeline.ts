/** Discrete-event simulation: events run in the order of their times, and at equal times in the order of scheduling. */
import type { Micros } from '@shaleyoke/core/domain/time';

interface ScheduledEvent {
  readonly at: Micros;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (left: ScheduledEvent, right: ScheduledEvent): boolean =>
  left.at < right.at || (left.at === right.at && left.order < right.order);

/** Virtual time and the queue of events to come. */
export class Timeline {
  /** The current time, in microseconds since the start of the simulation. */
  now: Micros = 0;
  /** A binary min-heap, as hundreds of workers schedule thousands of events. */
  private readonly queue: ScheduledEvent[] = [];
  private nextOrder = 0;

  /** Adds an event that runs after `delay`, at least 1 µs from now. */
  schedule(delay: Micros, run: () => void): void {
    const { queue } = this;
    const event = { at: this.now + Math.max(1, Math.round(delay)), order: this.nextOrder++, run };
    let index = queue.push(event) - 1;
    for (;;) {
      const parent = (index - 1) >> 1;
      if (index === 0 || !isBefore(event, queue[parent]!)) break;
      queue[index] = queue[parent]!;
      index = parent;
    }
    queue[index] = event;
  }

  private takeFirst(): ScheduledEvent {
    const { queue } = this;
    const first = queue[0]!;
    const last = queue.pop()!;
    if (queue.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= queue.length) break;
      if (child + 1 < queue.length && isBefore(queue[child + 1]!, queue[child]!)) child++;
      if (!isBefore(queue[child]!, last)) break;
      queue[index] = queue[child]!;
      index = child;
    }
    queue[index] = last;
    return first;
  }

  /** Runs all events up to and including `target`, also those scheduled by these events, and sets the clock to it. */
  advanceTo(target: Micros): void {
    while (this.queue.length > 0 && this.queue[0]!.at <= target) {
      const next = this.takeFirst();
      this.now = Math.max(this.now, next.at);
      next.run();
    }
    this.now = target;
  }
}
