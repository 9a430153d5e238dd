/** Decides by how an attempt ended who pays for its run time (docs/budgets.md). */
import type { ActiveJob, TaskAttempt } from '@shaleyoke/core/cluster/cluster-model';
import type { ReportedTask } from '@shaleyoke/core/domain/heartbeat';
import type { Micros } from '@shaleyoke/core/domain/time';

import { FULLY_KEPT, type Outcome } from './ledger.js';

/** The core's criterion: failures on three machines, and no task of the job was ever done. */
const failsEverywhere = (job: ActiveJob): boolean => job.failuresByMachine.size >= 3 && job.done.count === 0;

/**
 * The outcome of an attempt for its owner. `ranUs`: its accounted run time; `unseenUs`: the last part of it, in which
 * its machine was not heard of for longer than usual, so that the attempt may have ended at any time; `exit`: null
 * where no report tells how it ended.
 */
export const outcomeOf = (
  attempt: TaskAttempt,
  exit: ReportedTask | null,
  ranUs: Micros,
  unseenUs: Micros,
): Outcome => {
  const outcome = outcomeByExit(attempt, exit, ranUs);
  const seenUs = Math.max(0, ranUs - unseenUs);
  return unseenUs > 0 && outcome.keptUs > seenUs
    ? { keptUs: seenUs, lossReason: outcome === FULLY_KEPT ? 'unseen' : outcome.lossReason }
    : outcome;
};

const outcomeByExit = (attempt: TaskAttempt, exit: ReportedTask | null, ranUs: Micros): Outcome => {
  const { job } = attempt;
  const { spec } = job;
  if (spec.shape === 'service' || exit?.cause === 'done' || exit?.checkpointed === true) return FULLY_KEPT;
  // The user cancelled the job and pays for what ran until then.
  if (job.phase === 'ended' && job.cancelled && !job.dependencyFailed) return FULLY_KEPT;
  if (exit?.cause === 'error') return failsEverywhere(job) ? FULLY_KEPT : { keptUs: 0, lossReason: 'lost' };
  const rest = attempt.stopping !== null ? 'stopped' : 'lost';
  if (spec.checkpointIntervalUs <= 0) return { keptUs: 0, lossReason: rest };
  // Checkpoints are taken at multiples of the interval in the job's total progress over all attempts.
  const progressBefore = job.checkpointedProgress.get(spec.shape === 'gang' ? -1 : attempt.index) ?? 0;
  const savedUs =
    Math.floor((progressBefore + ranUs) / spec.checkpointIntervalUs) * spec.checkpointIntervalUs -
    progressBefore;
  return { keptUs: Math.max(0, Math.min(ranUs, savedUs)), lossReason: rest };
};
