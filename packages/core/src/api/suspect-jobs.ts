/**
 * Bisects validation batches that were not answered, so that one unreadable record does not block the polls of other
 * jobs.
 */
import { evictOldestBeyond } from './bounded-map.js';

/** Maximum number of suspect jobs that are tracked. */
const MAX_SUSPECT_JOBS = 20_000;

/**
 * Tracks jobs whose last validation was not answered although others were, and halves the batch size for their next one.
 * Without this, one record for which the state service did not answer blocked all polls that shared its batches.
 */
export class SuspectJobs {
  private readonly batchLimits = new Map<string, number>();

  /** Number of jobs that are suspect at present. */
  get count(): number {
    return this.batchLimits.size;
  }

  /** Whether the job's last validation was not answered. */
  isSuspect(id: string): boolean {
    return this.batchLimits.has(id);
  }

  /** Maximum number of jobs, including this one, in the batch of its next validation. */
  batchLimitOf(id: string): number {
    const limit = this.batchLimits.get(id);
    return limit === undefined ? Infinity : Math.max(1, limit);
  }

  /**
   * Records whether a batch of `batchSize` jobs was answered. Nothing is validated while the state service does not answer
   * at all, so an outage makes only a few jobs suspect, and only until their next validation.
   */
  recordValidation(ids: Iterable<string>, batchSize: number, answered: boolean): void {
    for (const id of ids) {
      if (answered) this.batchLimits.delete(id);
      else this.batchLimits.set(id, batchSize >> 1);
      evictOldestBeyond(this.batchLimits, MAX_SUSPECT_JOBS);
    }
  }
}
