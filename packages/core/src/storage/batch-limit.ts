/** How many writes go into one transaction: halved when a batch is refused, doubled again after a while without refusals. */
import type { Micros } from '../domain/time.js';

/** The greatest number of writes in a transaction, adapted to what the store accepts. */
export class BatchLimit {
  private limit: number;
  private reducedUntil: Micros = 0;

  /** `maximum`: what the settings allow; `backoff`: how long a limit lasts before it is doubled. */
  constructor(
    private readonly maximum: number,
    private readonly backoff: Micros,
  ) {
    this.limit = maximum;
  }

  /** The limit at this time; to be asked for once a batch, since it may be raised. */
  current(now: Micros): number {
    if (this.limit < this.maximum && now > this.reducedUntil) {
      this.limit = Math.min(this.maximum, this.limit * 2);
      this.reducedUntil = now + this.backoff;
    }
    return this.limit;
  }

  /** A batch of this many writes was refused. */
  reduce(refusedWrites: number, now: Micros): void {
    this.limit = Math.max(1, Math.floor(refusedWrites / 2));
    this.reducedUntil = now + this.backoff;
  }
}
