/** What the answer to a poll rests on, worked out from the cached records. */
import { activeJobKey, endedJobKey } from '../codecs/keys.js';
import type { VersionCondition } from '../domain/key-value-store.js';
import type { JobCache, KnownEndedJob, KnownJob } from './job-cache.js';

/** What the answer to a poll rests on. */
export type ValidationBasis =
  /** The job has ended, which never changes: nothing needs to be validated. */
  | { readonly kind: 'final'; readonly job: KnownEndedJob }
  /** The answer from the cache is right if these conditions hold. */
  | { readonly kind: 'conditions'; readonly conditions: readonly VersionCondition[] }
  /** The records of these dependencies have to be read first. */
  | { readonly kind: 'unread'; readonly ids: readonly string[] };

/** What becomes known of a job with a cancelled dependency. */
const CANCELLED_BY_DEPENDENCY: KnownEndedJob = {
  kind: 'ended',
  stage: 'cancelled',
  completedTasks: 0,
  isService: false,
};

/** The conditions under which a job has never been accepted. */
const absenceConditions = (id: string): readonly VersionCondition[] => [
  { key: activeJobKey(id), version: 0 },
  { key: endedJobKey(id), version: 0 },
];

/**
 * What must still hold for an answer that is not final: the versions of the records of the job and of all its dependencies,
 * direct and transitive. A job is cancelled if any of them is, whether or not its own record says so yet: each node
 * derives that from the records, also while there is no leader. A cancellation that is found so is remembered.
 */
export const validationBasisOf = (id: string, cache: JobCache): ValidationBasis => {
  const known = cache.get(id);
  if (known === undefined) return { kind: 'conditions', conditions: absenceConditions(id) };
  if (known.kind === 'ended') return { kind: 'final', job: known };
  const conditions: VersionCondition[] = [];
  const unread: string[] = [];
  const visited = new Set([id]);
  const pending: { id: string; job: KnownJob }[] = [{ id, job: known }];
  for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
    const { job } = next;
    if (job.kind === 'ended') {
      if (job.stage === 'done') continue;
      cache.remember(id, CANCELLED_BY_DEPENDENCY);
      return { kind: 'final', job: CANCELLED_BY_DEPENDENCY };
    }
    conditions.push({ key: activeJobKey(next.id), version: job.version });
    for (const dependencyId of job.spec.dependsOn) {
      if (visited.has(dependencyId)) continue;
      visited.add(dependencyId);
      const dependency = cache.get(dependencyId);
      if (dependency === undefined) unread.push(dependencyId);
      else pending.push({ id: dependencyId, job: dependency });
    }
  }
  return unread.length > 0 ? { kind: 'unread', ids: unread } : { kind: 'conditions', conditions };
};
