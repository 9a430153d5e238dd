/** The numbers of one term: its fencing tokens and the numbers of its attempts, which exceed all of earlier terms. */

/** Room for raising a machine's fencing token within a term; products stay below 2^53. */
const FENCING_TOKENS_PER_TERM = 2 ** 20;
/** Room for numbering attempts within a term; products stay below 2^53. */
const ATTEMPTS_PER_TERM = 2 ** 24;

/** Gives out fencing tokens and attempt numbers of a term. */
export class TermNumbers {
  private lastAttemptNumber: number;

  constructor(private readonly term: number) {
    this.lastAttemptNumber = term * ATTEMPTS_PER_TERM;
  }

  /** Every fencing token of this term is at least this one, and exceeds all of earlier terms. */
  get firstFencingToken(): number {
    return this.term * FENCING_TOKENS_PER_TERM;
  }

  /** The token after `count` raises within this term. */
  fencingToken(count: number): number {
    return this.firstFencingToken + count;
  }

  /** A number that no attempt of this or any earlier term has. */
  nextAttemptNumber(): number {
    return ++this.lastAttemptNumber;
  }
}
