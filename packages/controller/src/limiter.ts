/**
 * Keeps a node inside its share of a service's request budget. Urgent calls go first, and the last
 * tokens are kept for them: renewals of the lease must not starve behind anything.
 */
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';

interface Waiting {
  readonly urgency: RequestUrgency;
  readonly writes: number;
  readonly until: Micros;
  readonly run: (admitted: boolean) => void;
}

/** How long a call may wait for its turn before it is given up, by urgency. */
const PATIENCE: Record<RequestUrgency, Micros> = { 0: 4 * SECOND, 1: 900 * MILLI, 2: 4 * SECOND };

class Bucket {
  private tokens: number;
  private last: Micros;
  constructor(
    private rate: number,
    now: Micros,
  ) {
    this.tokens = this.burst;
    this.last = now;
  }
  private get burst(): number {
    return Math.max(1, this.rate);
  }
  setRate(rate: number, now: Micros): void {
    this.refill(now);
    this.rate = rate;
    this.tokens = Math.min(this.tokens, this.burst);
  }
  refill(now: Micros): void {
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.last) / SECOND) * this.rate);
    this.last = now;
  }
  /** Whether `n` tokens are there beyond a reserve; a call larger than the burst waits for a full bucket. */
  has(n: number, reserve: number): boolean {
    return this.tokens >= Math.min(n + reserve * this.burst, this.burst) - 1e-9;
  }
  take(n: number): void {
    this.tokens -= n;
  }
}

/** So many answers of 429 within the window show that the rate is too high, not that a burst met another. */
const TURNED_OFTEN = 6;
const TURNED_WINDOW: Micros = 2 * SECOND;
const LEAST_PART = 0.15;
const RECOVER_EVERY: Micros = 2 * SECOND;

const RESERVE: Record<RequestUrgency, number> = { 0: 0, 1: 0.1, 2: 0.3 };

export class Limiter {
  private readonly requests: Bucket;
  private readonly writes: Bucket;
  private queue: Waiting[] = [];
  private timer: NodeJS.Timeout | null = null;
  private pausedUntil: Micros = 0;
  private turnedAway: Micros[] = [];
  private rates: { requests: number; writes: number };
  /** The part of the rates that is used. */
  private readonly part = { requests: 1, writes: 1 };
  private changedAt: Micros = 0;

  constructor(
    rps: number,
    writeRps: number,
    private readonly now: () => Micros,
  ) {
    this.requests = new Bucket(rps, now());
    this.writes = new Bucket(writeRps, now());
    this.rates = { requests: rps, writes: writeRps };
  }

  setRates(rps: number, writeRps: number): void {
    this.rates = { requests: rps, writes: writeRps };
    this.apply();
  }

  /**
   * The service said 429: others used what we thought was ours, or it takes less than was announced. Once is
   * no reason to change; again and again, the rate goes down, and comes back while nothing is turned away.
   */
  pushBack(wrote: boolean): void {
    const now = this.now();
    this.pausedUntil = Math.max(this.pausedUntil, now + 150 * MILLI);
    this.turnedAway = this.turnedAway.filter((t) => t > now - TURNED_WINDOW);
    this.turnedAway.push(now);
    if (this.turnedAway.length < TURNED_OFTEN) return;
    this.turnedAway = [];
    const kind = wrote ? 'writes' : 'requests';
    this.part[kind] = Math.max(LEAST_PART, this.part[kind] * 0.8);
    this.changedAt = now;
    this.apply();
  }

  private apply(): void {
    const now = this.now();
    this.requests.setRate(this.rates.requests * this.part.requests, now);
    this.writes.setRate(this.rates.writes * this.part.writes, now);
  }

  private recover(now: Micros): void {
    if ((this.part.requests >= 1 && this.part.writes >= 1) || now - this.changedAt < RECOVER_EVERY) return;
    this.changedAt = now;
    this.part.requests = Math.min(1, this.part.requests + 0.1);
    this.part.writes = Math.min(1, this.part.writes + 0.1);
    this.apply();
  }

  admit(urgency: RequestUrgency, writes: number, run: (admitted: boolean) => void): void {
    const w: Waiting = { urgency, writes, until: this.now() + PATIENCE[urgency], run };
    let i = this.queue.length;
    while (i > 0 && this.queue[i - 1]!.urgency > urgency) i--;
    this.queue.splice(i, 0, w);
    this.serve();
  }

  private serve(): void {
    const now = this.now();
    this.recover(now);
    this.requests.refill(now);
    this.writes.refill(now);
    const held: Waiting[] = [];
    let writesHeld = false;
    for (const w of this.queue) {
      const paused = now < this.pausedUntil && w.urgency > 0;
      const blocked =
        paused ||
        !this.requests.has(1, RESERVE[w.urgency]) ||
        (w.writes > 0 && (writesHeld || !this.writes.has(w.writes, RESERVE[w.urgency])));
      if (!blocked) {
        this.requests.take(1);
        this.writes.take(w.writes);
        w.run(true);
      } else if (now >= w.until) w.run(false);
      else {
        // Writes of the same or lower urgency don't overtake one that waits for a fuller bucket.
        if (w.writes > 0) writesHeld = true;
        held.push(w);
      }
    }
    this.queue = held;
    if (held.length > 0 && this.timer === null)
      this.timer = setTimeout(() => {
        this.timer = null;
        this.serve();
      }, 20);
  }
}
