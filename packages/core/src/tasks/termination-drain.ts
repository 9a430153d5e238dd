/** Graceful eviction from machines whose termination was announced, for example preempted spot instances. */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { AttemptLifecycle } from './attempt-lifecycle.js';
import { unstoppedMembers } from './gang-attempts.js';

/** A task that is expected to end within this share of the time left is not stopped: the estimate may be short. */
const LEFT_TO_END_BY_ITSELF = 0.6;
/** Beyond the duration of a checkpoint, and kept free before the machine's end. */
const CHECKPOINT_MARGIN: Micros = SECOND;

/** Before the machine is terminated: stops, with time to save a checkpoint, what does not end by itself in time. */
export const drainBeforeTermination = (
  term: LeaderTerm,
  attempts: Pick<AttemptLifecycle, 'stop'>,
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
    if (job.spec.shape === 'gang') {
      for (const member of unstoppedMembers(job))
        attempts.stop(member, Math.max(graceUs, checkpointDurationUs));
      job.gangBroken = true;
    } else attempts.stop(attempt, graceUs);
  }
};

const endsInTime = (term: LeaderTerm, attempt: TaskAttempt, timeLeft: Micros): boolean => {
  const remaining = term.cluster.remainingRunTime(attempt);
  return attempt.job.spec.shape !== 'service' && remaining < timeLeft * LEFT_TO_END_BY_ITSELF;
};
