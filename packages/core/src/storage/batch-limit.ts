/** Adaptive limit on the writes per transaction: halved when a batch is refused, doubled after a period without refusals. */
import type { Micros } from '../domain/time.js';

/** Tracks the maximum number of writes per transaction that the store currently accepts. */
export class BatchLimit {
  private limit: number;
  private reducedUntil: Micros = 0;

  /** `maximum`: the limit from the settings; `backoff`: how long a reduced limit holds before it is doubled. */
  constructor(
    private readonly maximum: number,
    private readonly backoff: Micros,
  ) {
    this.limit = maximum;
  }

  /** Returns the limit at `now`. The call may raise the limit, so it is made once per batch. */
  current(now: Micros): number {
    if (this.limit < this.maximum && now > this.reducedUntil) {
      this.limit = Math.min(this.maximum, this.limit * 2);
      this.reducedUntil = now + this.backoff;
    }
    return this.limit;
  }

  /** Halves the limit after the store refused a batch of `refusedWrites` writes. */
  reduce(refusedWrites: number, now: Micros): void {
    this.limit = Math.max(1, Math.floor(refusedWrites / 2));
    this.reducedUntil = now + this.backoff;
  }
}
