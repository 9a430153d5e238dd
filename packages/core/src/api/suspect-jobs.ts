/** Bisection of validation batches that could not be answered, so that one unreadable record holds up no other poll. */
import { evictOldestBeyond } from './bounded-map.js';

/** Most suspect jobs that are remembered. */
const MAX_SUSPECTS = 20_000;

/**
 * Jobs whose last validation failed though others did not, and with how many jobs each is validated the next time: half as
 * many. One record that the state service did not answer for once held up all clients that polled at the same moments.
 */
export class SuspectJobs {
  private readonly batchLimits = new Map<string, number>();

  /** With how many jobs at most, itself counted, a job is validated; 0: alone, and it failed alone before. */
  batchLimitOf(id: string): number {
    return this.batchLimits.get(id) ?? Infinity;
  }

  /** The largest batch limit of these jobs; -1 if there are none. */
  largestBatchLimit(ids: Iterable<string>): number {
    let largest = -1;
    for (const id of ids) largest = Math.max(largest, this.batchLimitOf(id));
    return largest;
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
