/**
 * Keeps a controller inside its share of a service's request budget. Urgent calls go first, and the last tokens are reserved for
 * them: renewals of the lease must not starve behind anything.
 */
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import { type Micros, MILLI, SECOND } from '@shaleyoke/core/domain/time';

import { TokenBucket } from './token-bucket.js';

interface WaitingCall {
  readonly urgency: RequestUrgency;
  readonly writes: number;
  readonly arrivedAt: Micros;
  readonly giveUpAt: Micros;
  readonly run: (admitted: boolean) => void;
}

/** How long a call may wait for its turn before it is given up, by urgency. */
const MAX_WAIT: Record<RequestUrgency, Micros> = { 0: 4 * SECOND, 1: 900 * MILLI, 2: 4 * SECOND };
/** The share of the burst that calls of this urgency leave to more urgent ones. */
const RESERVED_SHARE: Record<RequestUrgency, number> = { 0: 0, 1: 0.1, 2: 0.3 };

/** So many answers of 429 within the window show that the rate is too high, not that one burst met another. */
const REJECTIONS_TO_SLOW_DOWN = 6;
const REJECTION_WINDOW: Micros = 2 * SECOND;
/** How long less urgent calls pause after a rejection. */
const REJECTION_PAUSE: Micros = 150 * MILLI;
const SLOW_DOWN_FACTOR = 0.8;
const MIN_USED_SHARE = 0.15;
const RECOVERY_INTERVAL: Micros = 2 * SECOND;
const RECOVERY_STEP = 0.1;
/** How often waiting calls are looked at. */
const SERVE_INTERVAL: Micros = 20 * MILLI;

/** Runs something once the delay has passed. */
export type Schedule = (delay: Micros, run: () => void) => void;

const scheduleOnEventLoop: Schedule = (delay, run) => {
  setTimeout(run, delay / MILLI);
};

/** What a limiter has done since it was last asked. */
export interface RateLimiterSummary {
  /** Calls that wait now, and how long the oldest has waited, in milliseconds. */
  readonly waiting: number;
  readonly oldestMs: number;
  readonly admitted: number;
  /** Calls that were given up before they were sent. */
  readonly givenUp: number;
  /** Calls that the service rejected. */
  readonly rejected: number;
  /** The share of the budget that is used. */
  readonly usedShare: number;
}

/** Admits calls to one service. */
export class RateLimiter {
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  /** By urgency, and in the order in which they came. */
  private queue: WaitingCall[] = [];
  private isServeScheduled = false;
  private pausedUntil: Micros = 0;
  private rejectedAt: Micros[] = [];
  private rates: { requests: number; writes: number };
  /** The share of the rates that is used. */
  private readonly usedShare = { requests: 1, writes: 1 };
  private shareChangedAt: Micros = 0;
  private counts = { admitted: 0, givenUp: 0, rejected: 0 };

  constructor(
    requestsPerS: number,
    writesPerS: number,
    private readonly now: () => Micros,
    private readonly schedule: Schedule = scheduleOnEventLoop,
  ) {
    this.requests = new TokenBucket(requestsPerS, now());
    this.writes = new TokenBucket(writesPerS, now());
    this.rates = { requests: requestsPerS, writes: writesPerS };
  }

  /** Changes the budget, in calls and in writes a second. */
  setRates(requestsPerS: number, writesPerS: number): void {
    this.rates = { requests: requestsPerS, writes: writesPerS };
    this.applyRates();
  }

  /**
   * The service rejected a call with 429: others used what was counted as this controller's, or the service takes less than was
   * announced. Once is no reason to change; again and again, the rate goes down, and recovers while nothing is rejected.
   */
  recordRejection(wrote: boolean): void {
    const now = this.now();
    this.counts.rejected++;
    this.pausedUntil = Math.max(this.pausedUntil, now + REJECTION_PAUSE);
    this.rejectedAt = this.rejectedAt.filter((at) => at > now - REJECTION_WINDOW);
    this.rejectedAt.push(now);
    if (this.rejectedAt.length < REJECTIONS_TO_SLOW_DOWN) return;
    this.rejectedAt = [];
    const kind = wrote ? 'writes' : 'requests';
    this.usedShare[kind] = Math.max(MIN_USED_SHARE, this.usedShare[kind] * SLOW_DOWN_FACTOR);
    this.shareChangedAt = now;
    this.applyRates();
  }

  /** Calls back with true once the call may be sent, or with false when it has waited for too long. */
  admit(urgency: RequestUrgency, writes: number, run: (admitted: boolean) => void): void {
    const arrivedAt = this.now();
    const call: WaitingCall = { urgency, writes, arrivedAt, giveUpAt: arrivedAt + MAX_WAIT[urgency], run };
    let position = this.queue.length;
    while (position > 0 && this.queue[position - 1]!.urgency > urgency) position--;
    this.queue.splice(position, 0, call);
    this.serve();
  }

  /** What was done since the last summary. */
  takeSummary(): RateLimiterSummary {
    const oldest = this.queue.reduce((earliest, { arrivedAt }) => Math.min(earliest, arrivedAt), this.now());
    const summary = {
      waiting: this.queue.length,
      oldestMs: Math.round((this.now() - oldest) / MILLI),
      ...this.counts,
      usedShare: this.usedShare.requests,
    };
    this.counts = { admitted: 0, givenUp: 0, rejected: 0 };
    return summary;
  }

  private applyRates(): void {
    const now = this.now();
    this.requests.setRate(this.rates.requests * this.usedShare.requests, now);
    this.writes.setRate(this.rates.writes * this.usedShare.writes, now);
  }

  private recover(now: Micros): void {
    const { requests, writes } = this.usedShare;
    if ((requests >= 1 && writes >= 1) || now - this.shareChangedAt < RECOVERY_INTERVAL) return;
    this.shareChangedAt = now;
    this.usedShare.requests = Math.min(1, requests + RECOVERY_STEP);
    this.usedShare.writes = Math.min(1, writes + RECOVERY_STEP);
    this.applyRates();
  }

  private serve(): void {
    const now = this.now();
    this.recover(now);
    this.requests.refill(now);
    this.writes.refill(now);
    const held: WaitingCall[] = [];
    let writesHeld = false;
    for (const call of this.queue) {
      if (this.mayRun(call, now, writesHeld)) {
        this.requests.take(1);
        this.writes.take(call.writes);
        this.counts.admitted++;
        call.run(true);
      } else if (now >= call.giveUpAt) {
        this.counts.givenUp++;
        call.run(false);
      } else {
        // Writes of the same or lower urgency don't overtake one that waits for a fuller bucket.
        writesHeld ||= call.writes > 0;
        held.push(call);
      }
    }
    this.queue = held;
    if (held.length > 0) this.serveLater();
  }

  private mayRun({ urgency, writes }: WaitingCall, now: Micros, writesHeld: boolean): boolean {
    const isPaused = now < this.pausedUntil && urgency > 0;
    const reserved = RESERVED_SHARE[urgency];
    if (isPaused || !this.requests.has(1, reserved)) return false;
    return writes === 0 || (!writesHeld && this.writes.has(writes, reserved));
  }

  private serveLater(): void {
    if (this.isServeScheduled) return;
    this.isServeScheduled = true;
    this.schedule(SERVE_INTERVAL, () => {
      this.isServeScheduled = false;
      this.serve();
    });
  }
}
