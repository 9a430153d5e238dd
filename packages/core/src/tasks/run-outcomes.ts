/** Effects of the end of a run: runtime estimates, checkpointed progress, faulty machines and failing jobs. */
import type { ActiveJob, Machine, TaskAttempt } from '../cluster/cluster-model.js';
import type { RuntimeEstimates } from '../cluster/runtime-estimates.js';
import { GANG_PROGRESS_KEY } from '../cluster/task-attempt.js';
import type { ExitCause } from '../domain/heartbeat.js';
import { SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** A job that failed on this many machines without a done task is considered faulty itself. */
const FAILING_EVERYWHERE_MACHINE_COUNT = 3;
/** Limits of the exponential backoff of a failing job. */
const MAX_BACKOFF_SECONDS = 60;
const MAX_BACKOFF_EXPONENT = 6;
/** Consecutive failures of a job that don't count towards its exponential backoff. */
const FAILURES_BEFORE_BACKOFF = 2;
/** A machine is faulty after this many consecutive errors of this many different jobs ... */
const FAULTY_AFTER_ERROR_COUNT = 2;
const FAULTY_AFTER_JOB_COUNT = 2;
/** ... or after this many consecutive errors of one job. */
const FAULTY_AFTER_ERROR_COUNT_OF_ONE_JOB = 4;

/**
 * Records the run time of an ended attempt and the progress that its checkpoints preserve. Returns whether a completed run was
 * added to the runtime estimates.
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
  const progressKey = spec.shape === 'gang' ? GANG_PROGRESS_KEY : attempt.index;
  const progressBefore = job.checkpointedProgress.get(progressKey) ?? 0;
  const progress = progressBefore + (term.context.now - attempt.runningAt);
  if (cause === 'done') {
    job.checkpointedProgress.delete(progressKey);
    // A gang counts as one run, measured on its first member.
    const isMeasured = attempt.startTimeKnown && (spec.shape !== 'gang' || attempt.index === 0);
    if (isMeasured) recordEstimate(runtimeEstimates, attempt, progress, true);
    return isMeasured;
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
 * Counts a failed task against its machine and its job. Usually the machine is at fault; a job that fails on several machines is
 * not counted against them but retried with exponential backoff. Returns whether the machine has just become faulty.
 */
export const recordTaskFailure = (term: LeaderTerm, machine: Machine, job: ActiveJob): boolean => {
  job.failuresByMachine.set(machine.name, (job.failuresByMachine.get(machine.name) ?? 0) + 1);
  job.consecutiveFailures++;
  const failsEverywhere =
    job.failuresByMachine.size >= FAILING_EVERYWHERE_MACHINE_COUNT && job.done.count === 0;
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
    machine.consecutiveErrors >= FAULTY_AFTER_ERROR_COUNT &&
    (machine.failedJobs.size >= FAULTY_AFTER_JOB_COUNT ||
      machine.consecutiveErrors >= FAULTY_AFTER_ERROR_COUNT_OF_ONE_JOB) &&
    machine.retirementReason === null
  );
};

/** Delays further starts of the job's tasks by at least `seconds` from now. */
export const delayRetry = (term: LeaderTerm, job: ActiveJob, seconds: number): void => {
  job.retryNotBefore = Math.max(job.retryNotBefore, term.context.now + seconds * SECOND);
};

const backoffSeconds = (failures: number): number =>
  Math.min(MAX_BACKOFF_SECONDS, 2 ** Math.min(failures - FAILURES_BEFORE_BACKOFF, MAX_BACKOFF_EXPONENT));
