/** What is learned from the end of a run: runtime estimates, checkpointed progress, faulty machines, failing jobs. */
import type { ActiveJob, Machine, TaskAttempt } from '../cluster/cluster-model.js';
import type { RuntimeEstimates } from '../cluster/runtime-estimates.js';
import type { ExitCause } from '../domain/heartbeat.js';
import { SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Key of a gang's checkpointed progress: its members save together. */
const WHOLE_GANG = -1;
/** A job that failed on so many machines, with no task done, is itself at fault. */
const FAILING_EVERYWHERE_MACHINES = 3;
const MAX_BACKOFF_SECONDS = 60;
const MAX_BACKOFF_EXPONENT = 6;
/** Consecutive failures that the exponential backoff of a job leaves out. */
const FAILURES_BEFORE_BACKOFF = 2;
/** A machine is faulty after so many failures in a row of different jobs ... */
const FAULTY_AFTER_ERRORS = 2;
const FAULTY_AFTER_JOBS = 2;
/** ... or after so many of one job. */
const FAULTY_AFTER_ERRORS_OF_ONE_JOB = 4;

/**
 * Records how long an attempt that is over ran, and what progress is safe. Returns whether the runtime estimates learned
 * from a completed run.
 */
export const recordRun = (
  term: LeaderTerm,
  attempt: TaskAttempt,
  cause: ExitCause | null,
  checkpointed: boolean,
): boolean => {
  const { job } = attempt;
  const { spec } = job;
  if (attempt.runningAt === null || spec.shape === 'service') return false;
  const { runtimeEstimates } = term.cluster;
  const progressKey = spec.shape === 'gang' ? WHOLE_GANG : attempt.index;
  const progressBefore = job.checkpointedProgress.get(progressKey) ?? 0;
  const progress = progressBefore + (term.context.now - attempt.runningAt);
  if (cause === 'done') {
    job.checkpointedProgress.delete(progressKey);
    // A gang counts as one run: that of its first member.
    const counts = attempt.startTimeKnown && (spec.shape !== 'gang' || attempt.index === 0);
    if (counts) recordEstimate(runtimeEstimates, attempt, progress, true);
    return counts;
  }
  if (cause === 'error') return false;
  if (attempt.startTimeKnown) recordEstimate(runtimeEstimates, attempt, progress, false);
  const interval = spec.checkpointIntervalUs;
  if (checkpointed) job.checkpointedProgress.set(progressKey, progress);
  else if (interval > 0)
    job.checkpointedProgress.set(
      progressKey,
      Math.max(progressBefore, Math.floor(progress / interval) * interval),
    );
  return false;
};

const recordEstimate = (
  estimates: RuntimeEstimates,
  { job, machine }: TaskAttempt,
  duration: number,
  completed: boolean,
): void => {
  estimates.recordRun(job.spec.class, machine.type, job.spec.estimatedRunUs, duration, completed);
};

/**
 * Counts a failed task against its machine and its job. Mostly the machine is at fault, but a job that fails everywhere is
 * not held against machines: it is retried with exponential backoff. Returns whether the machine counts as faulty from now on.
 */
export const recordTaskFailure = (term: LeaderTerm, machine: Machine, job: ActiveJob): boolean => {
  job.failuresByMachine.set(machine.name, (job.failuresByMachine.get(machine.name) ?? 0) + 1);
  job.consecutiveFailures++;
  const failsEverywhere = job.failuresByMachine.size >= FAILING_EVERYWHERE_MACHINES && job.done.count === 0;
  delayRetry(term, job, failsEverywhere ? backoffSeconds(job.consecutiveFailures) : 0);
  if (failsEverywhere) {
    term.context.info('job.failing_everywhere', { job: job.id, failures: job.consecutiveFailures });
    for (const name of job.failuresByMachine.keys())
      term.cluster.machines.get(name)?.failedJobs.delete(job.id);
    return false;
  }
  machine.consecutiveErrors++;
  machine.failedJobs.add(job.id);
  return (
    machine.consecutiveErrors >= FAULTY_AFTER_ERRORS &&
    (machine.failedJobs.size >= FAULTY_AFTER_JOBS ||
      machine.consecutiveErrors >= FAULTY_AFTER_ERRORS_OF_ONE_JOB) &&
    machine.retirementReason === null
  );
};

/** The job's tasks are not started again before so many seconds have passed. */
export const delayRetry = (term: LeaderTerm, job: ActiveJob, seconds: number): void => {
  job.retryNotBefore = Math.max(job.retryNotBefore, term.context.now + seconds * SECOND);
};

const backoffSeconds = (failures: number): number =>
  Math.min(MAX_BACKOFF_SECONDS, 2 ** Math.min(failures - FAILURES_BEFORE_BACKOFF, MAX_BACKOFF_EXPONENT));
