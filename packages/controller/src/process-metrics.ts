/** Metrics of one process for its periodic log event: the delay of its timers, and what its parts report. */
import type { LogFields } from '@shaleyoke/core/domain/effects';
import { type Micros, MILLISECOND } from '@shaleyoke/core/domain/time';

/** Collects the metrics between two summaries. */
export class ProcessMetrics {
  private longestDelay: Micros = 0;

  constructor(
    /** Reads the metrics of the other parts of the process at the time of a summary. */
    private readonly gauges: () => LogFields,
  ) {}

  /** Records when a timer was due and when it fired: the difference shows how long the event loop was blocked. */
  recordTimer(dueAt: Micros, firedAt: Micros): void {
    this.longestDelay = Math.max(this.longestDelay, firedAt - dueAt);
  }

  /** Returns the metrics since the last summary and resets the timer delay. */
  takeSummary(): LogFields {
    const eventLoopDelayMs = Math.round(this.longestDelay / MILLISECOND);
    this.longestDelay = 0;
    return { eventLoopDelayMs, ...this.gauges() };
  }
}
