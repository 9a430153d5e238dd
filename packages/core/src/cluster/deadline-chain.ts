/** Deadlines that jobs inherit from the jobs that depend on them. */
import type { JobSpec } from '../domain/job.js';
import type { Micros } from '../domain/time.js';

/** The job with a deadline at the end of a chain of dependents. */
export interface DeadlineJob {
  /** The job as submitted; its deadline is not null. */
  readonly spec: JobSpec;
  /** Wall-clock time of acceptance, from which the deadline counts. */
  readonly acceptedAt: Micros;
}

/** The chain of dependents with the tightest deadline, from a job's direct dependent to the job with the deadline. */
export interface DeadlineChain {
  /** The job with the deadline. */
  readonly last: DeadlineJob;
  /** Expected duration of all jobs on the chain, without the job that inherits the deadline. */
  readonly tailDuration: Micros;
}

/** Wall-clock time by which the inheriting job must be done to meet `deadlineFactor` times the last job's deadline. */
export const latestFinish = ({ last, tailDuration }: DeadlineChain, deadlineFactor = 1): Micros =>
  last.acceptedAt + (last.spec.deadlineUs ?? 0) * deadlineFactor - tailDuration;
