/** What one validation compares, and for which polls. */
import type { VersionCondition } from '../domain/key-value-store.js';
import type { JobCache, KnownEndedJob, KnownJob } from './job-cache.js';
import type { JobPolls, PendingPolls } from './pending-polls.js';
import type { SuspectJobs } from './suspect-jobs.js';
import { validationBasisOf } from './validation-basis.js';

/** Polls of one job that are validated together with others. */
export interface BatchedPolls extends JobPolls {
  /** Keys of all records that the answer rests on. */
  readonly keys: readonly string[];
  /** What was known of the job when its validation began. */
  readonly known: KnownJob | undefined;
}

/** Polls that are validated by one transaction. */
export interface ValidationBatch {
  /** By key: many jobs may share a dependency. */
  readonly conditions: ReadonlyMap<string, VersionCondition>;
  readonly polls: readonly BatchedPolls[];
}

/** What becomes of polls that need no validation, or can't be validated yet. */
export interface BatchHost {
  /** Whether the polls of the job stay in the queue for now. */
  isHeld(id: string): boolean;
  /** The job has ended, which never changes. */
  respondFinal(polls: JobPolls, job: KnownEndedJob): void;
  /** The records of these dependencies have to be read first. */
  readDependencies(dependencies: readonly string[], polls: JobPolls): void;
}

/** Gathers pending polls for transactions. */
export class BatchCollector {
  constructor(
    private readonly cache: JobCache,
    private readonly suspects: SuspectJobs,
    /** Most conditions of a transaction. */
    private readonly conditionLimit: number,
    private readonly host: BatchHost,
  ) {}

  /**
   * Takes polls out for one transaction, the longest waiting first, and passes those on that need none. Only jobs with the
   * same batch limit as the first are taken: jobs that validate well are not compared together with suspect ones.
   */
  collect(pending: PendingPolls): ValidationBatch {
    const conditions = new Map<string, VersionCondition>();
    const polls: BatchedPolls[] = [];
    let batchLimit: number | null = null;
    for (const waiting of pending.inOrder()) {
      const { id } = waiting;
      if (this.host.isHeld(id)) continue;
      const basis = validationBasisOf(id, this.cache);
      if (basis.kind === 'final') {
        pending.remove(id);
        this.host.respondFinal(waiting, basis.job);
      } else if (basis.kind === 'unread') {
        pending.remove(id);
        this.host.readDependencies(basis.ids, waiting);
      } else {
        batchLimit ??= this.suspects.batchLimitOf(id);
        if (this.suspects.batchLimitOf(id) !== batchLimit || polls.length >= batchLimit) continue;
        if (!this.fits(conditions, basis.conditions)) continue;
        for (const condition of basis.conditions) conditions.set(condition.key, condition);
        const keys = basis.conditions.map(({ key }) => key);
        polls.push({ ...waiting, keys, known: this.cache.get(id) });
        pending.remove(id);
      }
    }
    return { conditions, polls };
  }

  /** A job with more conditions than the limit is validated alone, in several transactions. */
  private fits(
    conditions: ReadonlyMap<string, VersionCondition>,
    further: readonly VersionCondition[],
  ): boolean {
    if (conditions.size === 0) return true;
    const added = further.filter(({ key }) => !conditions.has(key));
    return conditions.size + added.length <= this.conditionLimit;
  }
}
