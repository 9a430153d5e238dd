/** A link between two parties whose messages can be held back, delayed, delivered again late, or lose their answers. */
import type { Random } from '../random.js';
import type { Answer } from '../wire.js';

/** Late copies arrive after this many milliseconds. */
const LATE_COPY_FROM_MS = 2_000;
const LATE_COPY_SPREAD_MS = 10_000;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Messages of one party to another, and the answers. */
export class FaultyLink {
  private requestsHeldUntil = 0;
  private answersHeldUntil = 0;
  /** Messages are delayed by up to this many milliseconds. */
  maxDelayMs = 0;
  /** The share of requests that are carried out and whose answers are lost. */
  lostAnswers = 0;
  /** The share of requests of which a copy arrives late. */
  lateCopies = 0;

  constructor(
    private readonly random: Random,
    private readonly now: () => number,
  ) {}

  /** Holds back requests, answers or both for so long; what was held back is delivered then. */
  cut(forMs: number, direction: 'requests' | 'answers' | 'both' = 'both'): void {
    const until = this.now() + forMs;
    if (direction !== 'answers') this.requestsHeldUntil = Math.max(this.requestsHeldUntil, until);
    if (direction !== 'requests') this.answersHeldUntil = Math.max(this.answersHeldUntil, until);
  }

  /** Ends all troubles of the link. */
  heal(): void {
    this.requestsHeldUntil = 0;
    this.answersHeldUntil = 0;
    this.maxDelayMs = 0;
    this.lostAnswers = 0;
    this.lateCopies = 0;
  }

  /** Carries a request and its answer; null: no answer. Whoever waits gives up by itself. */
  async carry(execute: () => Promise<Answer | null>): Promise<Answer | null> {
    await this.waitFor(() => this.requestsHeldUntil);
    if (this.maxDelayMs > 0) await pause(this.random.below(this.maxDelayMs));
    if (this.lateCopies > 0 && this.random.chance(this.lateCopies)) {
      setTimeout(
        () => {
          void execute();
        },
        LATE_COPY_FROM_MS + this.random.below(LATE_COPY_SPREAD_MS),
      );
    }
    const losesAnswer = this.lostAnswers > 0 && this.random.chance(this.lostAnswers);
    const answer = await execute();
    if (losesAnswer) return null;
    await this.waitFor(() => this.answersHeldUntil);
    return answer;
  }

  /** A cut may be healed or extended while messages wait. */
  private async waitFor(until: () => number): Promise<void> {
    while (until() > this.now()) await pause(Math.min(100, until() - this.now()));
  }
}
