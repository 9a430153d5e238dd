/** Runtime checks of invariants; violations are counted and logged as errors with their details. */
import type { LogFields } from '../domain/effects.js';

/**
 * The invariants that are checked.
 *
 * `acceptedJobIsKnown`: a job that this node knows as accepted is not answered as absent or impossible;
 * `finalStateIsKept`: a job that this node knows as ended is not answered as active;
 * `onlyLeaderActs`: commands to workers, renewals of their leases and rentals come from a node that may act as leader.
 */
export type Invariant = 'acceptedJobIsKnown' | 'finalStateIsKept' | 'onlyLeaderActs';

/** Maximum number of violations that are logged; later ones are only counted. */
const MAX_LOGGED_VIOLATIONS = 100;

/** Checks invariants on one node, and counts violations. */
export class Invariants {
  private count = 0;

  constructor(private readonly logViolation: (fields: LogFields) => void) {}

  /** Number of violations since the process started. */
  get violations(): number {
    return this.count;
  }

  /** Records a violation unless `holds`, and returns `holds`. `facts` is only called on a violation. */
  check(invariant: Invariant, holds: boolean, facts: () => LogFields): boolean {
    if (holds) return true;
    this.count++;
    if (this.count <= MAX_LOGGED_VIOLATIONS)
      this.logViolation({ invariant, violations: this.count, ...facts() });
    return false;
  }
}
