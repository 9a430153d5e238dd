/** Collects waiting polls, and the conditions to validate for them, into batches. */
import type { VersionCondition } from '../domain/key-value-store.js';
import type { JobCache, KnownEndedJob, KnownJob } from './job-cache.js';
import type { JobPolls, PendingPolls } from './pending-polls.js';
import type { SuspectJobs } from './suspect-jobs.js';
import { validationBasisOf } from './validation-basis.js';

/** Polls of one job within a batch. */
export interface BatchedPolls extends JobPolls {
  /** Keys of all records on which the answer depends. */
  readonly keys: readonly string[];
  /** The job's cached state at the start of the validation. */
  readonly known: KnownJob | undefined;
}

/** Polls that are validated together. */
export interface ValidationBatch {
  /** Conditions by key, since several jobs may share a dependency. */
  readonly conditions: ReadonlyMap<string, VersionCondition>;
  readonly polls: readonly BatchedPolls[];
}

/** Handles polls that need no validation, or can't be validated yet. */
export interface BatchHost {
  /** Whether the job's polls must stay in the queue for now. */
  isDeferred(id: string): boolean;
  /** Responds to polls of a job that has ended, which is final. */
  respondFinal(polls: JobPolls, job: KnownEndedJob): void;
  /** Reads the records of these dependencies, after which the polls can be validated. */
  readDependencies(dependencies: readonly string[], polls: JobPolls): void;
}

/** Selects pending polls for the next batch. */
export class BatchCollector {
  constructor(
    private readonly cache: JobCache,
    private readonly suspects: SuspectJobs,
    /** Maximum number of conditions in a transaction. */
    private readonly conditionLimit: number,
    private readonly host: BatchHost,
  ) {}

  /**
   * Removes polls from the queue for one batch, oldest first, and hands over those that need no validation. Only jobs with
   * the same batch limit as the first are included, so that suspect jobs don't share a batch with others.
   */
  collect(pending: PendingPolls): ValidationBatch {
    const conditions = new Map<string, VersionCondition>();
    const polls: BatchedPolls[] = [];
    let batchLimit: number | null = null;
    for (const jobPolls of pending.inOrder()) {
      const { id } = jobPolls;
      if (this.host.isDeferred(id)) continue;
      const basis = validationBasisOf(id, this.cache);
      if (basis.kind === 'final') {
        pending.remove(id);
        this.host.respondFinal(jobPolls, basis.job);
      } else if (basis.kind === 'unread') {
        pending.remove(id);
        this.host.readDependencies(basis.ids, jobPolls);
      } else {
        batchLimit ??= this.suspects.batchLimitOf(id);
        if (this.suspects.batchLimitOf(id) !== batchLimit || polls.length >= batchLimit) continue;
        if (!this.fits(conditions, basis.conditions)) continue;
        for (const condition of basis.conditions) conditions.set(condition.key, condition);
        const keys = basis.conditions.map(({ key }) => key);
        polls.push({ ...jobPolls, keys, known: this.cache.get(id) });
        pending.remove(id);
      }
    }
    return { conditions, polls };
  }

  /**
   * Whether the conditions fit into the batch. A job with more than the limit gets a batch of its own, in several
   * transactions.
   */
  private fits(
    conditions: ReadonlyMap<string, VersionCondition>,
    further: readonly VersionCondition[],
  ): boolean {
    if (conditions.size === 0) return true;
    const added = further.filter(({ key }) => !conditions.has(key));
    return conditions.size + added.length <= this.conditionLimit;
  }
}
