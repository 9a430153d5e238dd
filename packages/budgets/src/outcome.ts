/** Who pays for what an attempt ran, by how it ended (docs/budgets.md). */
import type { ActiveJob, TaskAttempt } from '@shaleyoke/core/cluster/cluster-model';
import type { ReportedTask } from '@shaleyoke/core/domain/heartbeat';
import type { Micros } from '@shaleyoke/core/domain/time';

import { ALL, type Outcome } from './books.js';

/** As the core counts it: on three machines, and nothing of it was ever done. */
const failsEverywhere = (job: ActiveJob): boolean => job.failuresByMachine.size >= 3 && job.done.count === 0;

/**
 * `ranUs`: how long the attempt ran, as far as anybody could tell; `unseenUs`: the last part of that, in which its
 * machine was not heard of for longer than is usual, so that it may have ended any time. `exit` is null where
 * nobody tells how it ended.
 */
export const outcomeOf = (
  a: TaskAttempt,
  exit: ReportedTask | null,
  ranUs: Micros,
  unseenUs: Micros,
): Outcome => {
  const o = byEnd(a, exit, ranUs);
  const seen = Math.max(0, ranUs - unseenUs);
  return unseenUs > 0 && o.keptUs > seen ? { keptUs: seen, rest: o === ALL ? 'unseen' : o.rest } : o;
};

const byEnd = (a: TaskAttempt, exit: ReportedTask | null, ranUs: Micros): Outcome => {
  const { job } = a;
  const { spec } = job;
  if (spec.shape === 'service' || exit?.cause === 'done' || exit?.checkpointed === true) return ALL;
  // Its user withdrew it: what ran until then was asked for.
  if (job.phase === 'ended' && job.cancelled && !job.dependencyFailed) return ALL;
  if (exit?.cause === 'error') return failsEverywhere(job) ? ALL : { keptUs: 0, rest: 'lost' };
  const rest = a.stopping !== null ? 'stopped' : 'lost';
  if (spec.checkpointIntervalUs <= 0) return { keptUs: 0, rest };
  // Checkpoints are at multiples of the job's progress, whoever made it.
  const before = job.checkpointedProgress.get(spec.shape === 'gang' ? -1 : a.index) ?? 0;
  const safe = Math.floor((before + ranUs) / spec.checkpointIntervalUs) * spec.checkpointIntervalUs - before;
  return { keptUs: Math.max(0, Math.min(ranUs, safe)), rest };
};
