/** Gauges of one process, logged now and then: how late its timers are, and what waits or was given up. */
import type { LogFields } from '@shaleyoke/core/domain/effects';
import { type Micros, MILLI } from '@shaleyoke/core/domain/time';

/** Collects gauges between two summaries. */
export class ProcessMetrics {
  private longestDelay: Micros = 0;

  constructor(
    /** What the parts of the process report at the time of a summary. */
    private readonly gauges: () => LogFields,
  ) {}

  /** A timer was due at one time and fired at another: the difference shows how long the event loop was busy. */
  recordTimer(dueAt: Micros, firedAt: Micros): void {
    this.longestDelay = Math.max(this.longestDelay, firedAt - dueAt);
  }

  /** The gauges since the last summary. */
  takeSummary(): LogFields {
    const eventLoopDelayMs = Math.round(this.longestDelay / MILLI);
    this.longestDelay = 0;
    return { eventLoopDelayMs, ...this.gauges() };
  }
}
