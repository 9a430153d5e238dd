/** Numbering within one term: fencing tokens and attempt numbers, which exceed those of all earlier terms. */

/** Size of the range of fencing tokens of each term. The product with the term number has to stay below 2^53. */
const FENCING_TOKENS_PER_TERM = 2 ** 20;
/** Size of the range of attempt numbers of each term. The product with the term number has to stay below 2^53. */
const ATTEMPTS_PER_TERM = 2 ** 24;

/** Allocates the fencing tokens and attempt numbers of a term. */
export class TermNumbers {
  private lastAttemptNumber: number;

  constructor(private readonly term: number) {
    this.lastAttemptNumber = term * ATTEMPTS_PER_TERM;
  }

  /** The lowest fencing token of this term; higher than any of an earlier term. */
  get firstFencingToken(): number {
    return this.term * FENCING_TOKENS_PER_TERM;
  }

  /** The fencing token after `count` increments within this term. */
  fencingToken(count: number): number {
    return this.firstFencingToken + count;
  }

  /** Returns an attempt number that is unique across this and all earlier terms. */
  nextAttemptNumber(): number {
    return ++this.lastAttemptNumber;
  }
}
