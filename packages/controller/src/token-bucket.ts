/** A token bucket: a rate a second, with a burst of one second's tokens. */
import { type Micros, SECOND } from '@shaleyoke/core/domain/time';

/** Sums of fractions of tokens are compared with this tolerance. */
const TOLERANCE = 1e-9;

/** Tokens of one kind, refilled as time passes. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: Micros;

  constructor(
    private rate: number,
    now: Micros,
  ) {
    this.tokens = this.burst;
    this.refilledAt = now;
  }

  private get burst(): number {
    return Math.max(1, this.rate);
  }

  /** Changes the rate from now on. */
  setRate(rate: number, now: Micros): void {
    this.refill(now);
    this.rate = rate;
    this.tokens = Math.min(this.tokens, this.burst);
  }

  /** Adds the tokens that were earned since the last call. */
  refill(now: Micros): void {
    const earned = ((now - this.refilledAt) / SECOND) * this.rate;
    this.tokens = Math.min(this.burst, this.tokens + earned);
    this.refilledAt = now;
  }

  /** Whether `count` tokens are there beyond a reserved share; a call larger than the burst waits for a full bucket. */
  has(count: number, reservedShare: number): boolean {
    return this.tokens >= Math.min(count + reservedShare * this.burst, this.burst) - TOLERANCE;
  }

  /** Takes tokens, which may leave a debt. */
  take(count: number): void {
    this.tokens -= count;
  }
}
