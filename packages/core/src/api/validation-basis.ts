/** Derives from the cached records what has to hold for the answer to a poll to be correct. */
import { activeJobKey, endedJobKey } from '../codecs/keys.js';
import type { VersionCondition } from '../domain/key-value-store.js';
import type { JobCache, KnownEndedJob, KnownJob } from './job-cache.js';

/** The precondition for answering a poll from the cache. */
export type ValidationBasis =
  /** The job has ended, which is final: nothing needs to be validated. */
  | { readonly kind: 'final'; readonly job: KnownEndedJob }
  /** The cached state is current if these conditions hold. */
  | { readonly kind: 'conditions'; readonly conditions: readonly VersionCondition[] }
  /** The records of these dependencies are not cached and have to be read first. */
  | { readonly kind: 'unread'; readonly ids: readonly string[] };

/** The state of a job with a cancelled dependency. */
const CANCELLED_BY_DEPENDENCY: KnownEndedJob = {
  kind: 'ended',
  stage: 'cancelled',
  completedTasks: 0,
  isService: false,
};

/** The conditions that hold exactly if the job was never accepted. */
const absenceConditions = (id: string): readonly VersionCondition[] => [
  { key: activeJobKey(id), version: 0 },
  { key: endedJobKey(id), version: 0 },
];

/**
 * Returns what must hold for the cached state of a job to be current: unless the job has ended, the versions of its record
 * and of the records of all direct and transitive dependencies. A job is cancelled if any of its dependencies is, even
 * before its own record says so: every node derives that from the records, also while there is no leader. A cancellation
 * found in this way is cached.
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
      cache.put(id, CANCELLED_BY_DEPENDENCY);
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
