/** A token bucket: refilled at a rate per second, with a capacity of one second's tokens. */
import { type Micros, SECOND } from '@shaleyoke/core/domain/time';

/** Tolerance for rounding errors in sums of fractions of tokens. */
const TOLERANCE = 1e-9;

/** Tokens of one kind, refilled as time passes. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: Micros;

  constructor(
    private rate: number,
    now: Micros,
  ) {
    this.tokens = this.capacity;
    this.refilledAt = now;
  }

  private get capacity(): number {
    return Math.max(1, this.rate);
  }

  /** Changes the rate from now on; tokens above the new capacity are lost. */
  setRate(rate: number, now: Micros): void {
    this.refill(now);
    this.rate = rate;
    this.tokens = Math.min(this.tokens, this.capacity);
  }

  /** Adds the tokens that were earned since the last call. */
  refill(now: Micros): void {
    const earned = ((now - this.refilledAt) / SECOND) * this.rate;
    this.tokens = Math.min(this.capacity, this.tokens + earned);
    this.refilledAt = now;
  }

  /** Whether `count` tokens are available beyond the reserved share; a call larger than the capacity needs a full bucket. */
  has(count: number, reservedShare: number): boolean {
    return this.tokens >= Math.min(count + reservedShare * this.capacity, this.capacity) - TOLERANCE;
  }

  /** Takes tokens; the balance may become negative. */
  take(count: number): void {
    this.tokens -= count;
  }
}
