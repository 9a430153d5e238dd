/** Bisection of validation batches that could not be answered, so that one unreadable record holds up no other poll. */
import { evictOldestBeyond } from './bounded-map.js';

/** Most suspect jobs that are remembered. */
const MAX_SUSPECTS = 20_000;

/**
 * Jobs whose last validation was not answered though others were, and with how many jobs each is validated the next time: half
 * as many. One record that the state service did not answer for once held up all clients that polled at the same moments.
 */
export class SuspectJobs {
  private readonly batchLimits = new Map<string, number>();

  /** Suspect jobs that are remembered. */
  get count(): number {
    return this.batchLimits.size;
  }

  /** Whether the last validation of the job was not answered. */
  isSuspect(id: string): boolean {
    return this.batchLimits.has(id);
  }

  /** With how many jobs at most, itself counted, a job is validated. */
  batchLimitOf(id: string): number {
    const limit = this.batchLimits.get(id);
    return limit === undefined ? Infinity : Math.max(1, limit);
  }

  /**
   * Records whether a batch of `batchSize` jobs was answered. While the state service does not answer at all nothing is
   * validated, so an outage makes few jobs suspect, and only until their next validation.
   */
  recordValidation(ids: Iterable<string>, batchSize: number, answered: boolean): void {
    for (const id of ids) {
      if (answered) this.batchLimits.delete(id);
      else this.batchLimits.set(id, batchSize >> 1);
      evictOldestBeyond(this.batchLimits, MAX_SUSPECTS);
    }
  }
}
