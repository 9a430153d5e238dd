/** Checks at run time what must hold whatever happens; a violation is logged as an error with its facts, and counted. */
import type { LogFields } from '../domain/effects.js';

/**
 * `acceptedJobIsKnown`: a job that this node knows as accepted is not answered as absent or impossible;
 * `finalStateIsKept`: a job that this node knows as ended is not answered as active;
 * `onlyLeaderActs`: commands to workers, renewals of their leases and rentals come from a node that may act as leader.
 */
export type Invariant = 'acceptedJobIsKnown' | 'finalStateIsKept' | 'onlyLeaderActs';

/** Violations that are logged; later ones are only counted. */
const MAX_LOGGED = 100;

/** The invariants of one node. */
export class Invariants {
  private count = 0;

  constructor(private readonly logViolation: (fields: LogFields) => void) {}

  /** Violations so far. */
  get violations(): number {
    return this.count;
  }

  /** Returns whether the invariant holds; facts are gathered only if it doesn't. */
  check(invariant: Invariant, holds: boolean, facts: () => LogFields): boolean {
    if (holds) return true;
    this.count++;
    if (this.count <= MAX_LOGGED) this.logViolation({ invariant, violations: this.count, ...facts() });
    return false;
  }
}
