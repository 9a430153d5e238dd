/**
 * Keeps a controller within its share of a service's request budget. Urgent calls go first, and the last tokens are reserved for
 * them, so that renewals of the leader's lease are never starved by other calls.
 */
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import { TokenBucket } from './token-bucket.js';

interface WaitingCall {
  readonly urgency: RequestUrgency;
  readonly writes: number;
  readonly arrivedAt: Micros;
  readonly abandonAt: Micros;
  readonly onDecision: (admitted: boolean) => void;
}

/** How long a call may wait for admission before it is abandoned, by urgency. */
const MAX_WAIT: Record<RequestUrgency, Micros> = { 0: 4 * SECOND, 1: 900 * MILLISECOND, 2: 4 * SECOND };
/** The share of the tokens that calls of an urgency leave to more urgent ones. */
const RESERVED_SHARE: Record<RequestUrgency, number> = { 0: 0, 1: 0.1, 2: 0.3 };

/** This many rejections within the window mean that the rate is too high; fewer may come from bursts that coincide. */
const REJECTIONS_TO_SLOW_DOWN = 6;
const REJECTION_WINDOW: Micros = 2 * SECOND;
/** How long less urgent calls pause after a rejection. */
const REJECTION_PAUSE: Micros = 150 * MILLISECOND;
const SLOW_DOWN_FACTOR = 0.8;
const MIN_USED_SHARE = 0.15;
const RECOVERY_INTERVAL: Micros = 2 * SECOND;
const RECOVERY_STEP = 0.1;
/** Interval at which waiting calls are tried again. */
const SERVE_INTERVAL: Micros = 20 * MILLISECOND;

/** Runs a function once, after the delay. */
export type Schedule = (delay: Micros, run: () => void) => void;

const scheduleOnEventLoop: Schedule = (delay, run) => {
  setTimeout(run, delay / MILLISECOND);
};

/** Statistics of a limiter since the last summary. */
export interface RateLimiterSummary {
  /** Calls that wait now. */
  readonly waiting: number;
  /** How long the oldest of them has waited, in milliseconds; 0 if none waits. */
  readonly oldestMs: number;
  /** Calls that were allowed to be sent. */
  readonly admitted: number;
  /** Calls that waited for too long and were abandoned before they were sent. */
  readonly givenUp: number;
  /** Calls that the service rejected. */
  readonly rejected: number;
  /** The share of the request rate that is used; below 1 after repeated rejections. */
  readonly usedShare: number;
}

/** Admits the calls to one service at its request rate and write rate. */
export class RateLimiter {
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  /** Waiting calls by urgency; those of the same urgency in the order of arrival. */
  private queue: WaitingCall[] = [];
  private isServeScheduled = false;
  private pausedUntil: Micros = 0;
  private rejectedAt: Micros[] = [];
  private rates: { requests: number; writes: number };
  /** The share of each rate that is used: lowered after repeated rejections, raised again while there are none. */
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

  /** Changes the budget, in calls and in writes per second. */
  setRates(requestsPerS: number, writesPerS: number): void {
    this.rates = { requests: requestsPerS, writes: writesPerS };
    this.applyRates();
  }

  /**
   * Records that the service rejected a call with 429, because others exceeded their share or because the service accepts less than
   * it announced. A single rejection pauses less urgent calls for a moment; repeated ones lower the rate, which recovers once they
   * stop.
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

  /** Calls back with true once the call may be sent, or with false if it has waited for too long. */
  admit(urgency: RequestUrgency, writes: number, onDecision: (admitted: boolean) => void): void {
    const arrivedAt = this.now();
    const call: WaitingCall = {
      urgency,
      writes,
      arrivedAt,
      abandonAt: arrivedAt + MAX_WAIT[urgency],
      onDecision,
    };
    let position = this.queue.length;
    while (position > 0 && this.queue[position - 1]!.urgency > urgency) position--;
    this.queue.splice(position, 0, call);
    this.serve();
  }

  /** Returns the statistics since the last summary and starts counting anew. */
  takeSummary(): RateLimiterSummary {
    const oldest = this.queue.reduce((earliest, { arrivedAt }) => Math.min(earliest, arrivedAt), this.now());
    const summary = {
      waiting: this.queue.length,
      oldestMs: Math.round((this.now() - oldest) / MILLISECOND),
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
    const stillWaiting: WaitingCall[] = [];
    let writesBlocked = false;
    for (const call of this.queue) {
      if (this.canAdmit(call, now, writesBlocked)) {
        this.requests.take(1);
        this.writes.take(call.writes);
        this.counts.admitted++;
        call.onDecision(true);
      } else if (now >= call.abandonAt) {
        this.counts.givenUp++;
        call.onDecision(false);
      } else {
        // Later writes of the same or lower urgency must not overtake one that waits for more tokens: it would starve.
        writesBlocked ||= call.writes > 0;
        stillWaiting.push(call);
      }
    }
    this.queue = stillWaiting;
    if (stillWaiting.length > 0) this.scheduleServe();
  }

  private canAdmit({ urgency, writes }: WaitingCall, now: Micros, writesBlocked: boolean): boolean {
    const isPaused = now < this.pausedUntil && urgency > 0;
    const reserved = RESERVED_SHARE[urgency];
    if (isPaused || !this.requests.has(1, reserved)) return false;
    return writes === 0 || (!writesBlocked && this.writes.has(writes, reserved));
  }

  private scheduleServe(): void {
    if (this.isServeScheduled) return;
    this.isServeScheduled = true;
    this.schedule(SERVE_INTERVAL, () => {
      this.isServeScheduled = false;
      this.serve();
    });
  }
}
