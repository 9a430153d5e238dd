/** The deadline that a job inherits from the jobs that depend on it. */
import type { JobSpec } from '../domain/job.js';
import type { Micros } from '../domain/time.js';

/** What a deadline chain needs of the job at its end. */
export interface DeadlineJob {
  readonly spec: JobSpec;
  /** Time of day of acceptance; the deadline counts from then. */
  readonly acceptedAt: Micros;
}

/** The tightest chain of dependents from a job to one with a deadline. */
export interface DeadlineChain {
  readonly last: DeadlineJob;
  /** Expected time of all jobs on the chain behind the first one. */
  readonly tail: Micros;
}

/** Time of day by which the first job of the chain has to be done; the last one's deadline counts `deadlineFactor` times. */
export const latestFinish = ({ last, tail }: DeadlineChain, deadlineFactor = 1): Micros =>
  last.acceptedAt + (last.spec.deadlineUs ?? 0) * deadlineFactor - tail;
