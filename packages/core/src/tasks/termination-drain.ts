/** Evicts tasks gracefully from machines with a termination notice, for example preempted spot instances. */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { AttemptLifecycle } from './attempt-lifecycle.js';

/** A task expected to end within this fraction of the time left is not stopped; the margin covers estimates that are too low. */
const MAX_REMAINING_FRACTION_TO_FINISH = 0.6;
/** Added to the duration of a checkpoint, and kept free before the machine is terminated. */
const CHECKPOINT_MARGIN: Micros = SECOND;

/** Stops the tasks that won't end before the machine is terminated, with time to save a checkpoint. */
export const drainBeforeTermination = (
  term: LeaderTerm,
  attempts: Pick<AttemptLifecycle, 'stop' | 'breakGang'>,
  machine: Machine,
  terminationAt: Micros,
): void => {
  const timeLeft = terminationAt - term.context.now;
  for (const attempt of [...machine.attempts.values()]) {
    if (attempt.stopping !== null || endsInTime(term, attempt, timeLeft)) continue;
    const { job } = attempt;
    const { checkpointDurationUs } = job.spec;
    const graceUs = Math.max(
      0,
      Math.min(checkpointDurationUs + CHECKPOINT_MARGIN, timeLeft - CHECKPOINT_MARGIN),
    );
    if (job.spec.shape === 'gang') attempts.breakGang(job, Math.max(graceUs, checkpointDurationUs));
    else attempts.stop(attempt, graceUs);
  }
};

const endsInTime = (term: LeaderTerm, attempt: TaskAttempt, timeLeft: Micros): boolean => {
  const remaining = term.cluster.remainingRunTime(attempt);
  return attempt.job.spec.shape !== 'service' && remaining < timeLeft * MAX_REMAINING_FRACTION_TO_FINISH;
};
