/** A network link with injectable faults: blocked, delayed and duplicated requests, and lost responses. */
import type { Random } from '../random.js';
import type { WireResponse } from '../wire.js';

/** A duplicate request arrives after this delay plus a random part of the spread. */
const MIN_DUPLICATE_DELAY_MS = 2_000;
const DUPLICATE_DELAY_SPREAD_MS = 10_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Carries requests from one party to another, and the responses back. */
export class FaultyLink {
  private requestsBlockedUntil = 0;
  private responsesBlockedUntil = 0;
  /** Upper bound of the random delay of each request, in milliseconds. */
  maxDelayMs = 0;
  /** Share of requests that are executed but whose response is lost. */
  responseLossRate = 0;
  /** Share of requests that are executed a second time later. */
  duplicateRate = 0;

  constructor(
    private readonly random: Random,
    private readonly now: () => number,
  ) {}

  /** Blocks requests, responses or both for a time; blocked messages are delivered afterwards. */
  block(durationMs: number, direction: 'requests' | 'responses' | 'both' = 'both'): void {
    const until = this.now() + durationMs;
    if (direction !== 'responses') this.requestsBlockedUntil = Math.max(this.requestsBlockedUntil, until);
    if (direction !== 'requests') this.responsesBlockedUntil = Math.max(this.responsesBlockedUntil, until);
  }

  /** Removes all faults of the link. */
  heal(): void {
    this.requestsBlockedUntil = 0;
    this.responsesBlockedUntil = 0;
    this.maxDelayMs = 0;
    this.responseLossRate = 0;
    this.duplicateRate = 0;
  }

  /** Executes a request and returns its response, or null if it is lost. Timeouts are up to the caller. */
  async exchange(execute: () => Promise<WireResponse | null>): Promise<WireResponse | null> {
    await this.waitFor(() => this.requestsBlockedUntil);
    if (this.maxDelayMs > 0) await sleep(this.random.below(this.maxDelayMs));
    if (this.duplicateRate > 0 && this.random.chance(this.duplicateRate)) {
      setTimeout(
        () => {
          void execute();
        },
        MIN_DUPLICATE_DELAY_MS + this.random.below(DUPLICATE_DELAY_SPREAD_MS),
      );
    }
    const isResponseLost = this.responseLossRate > 0 && this.random.chance(this.responseLossRate);
    const response = await execute();
    if (isResponseLost) return null;
    await this.waitFor(() => this.responsesBlockedUntil);
    return response;
  }

  /** Re-reads the deadline while waiting, since a block may be lifted or extended meanwhile. */
  private async waitFor(until: () => number): Promise<void> {
    while (until() > this.now()) await sleep(Math.min(100, until() - this.now()));
  }
}
