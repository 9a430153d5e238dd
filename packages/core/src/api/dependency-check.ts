/**
 * Checks the dependencies of a submitted job: each must be an accepted job, and not a service, since a service never
 * ends.
 */
import type { JobCache } from './job-cache.js';
import type { JobLookup, LookupResult } from './job-lookup.js';

/** Outcome of the check; `unknown`: a dependency could not be looked up at present. */
export type DependencyCheckResult =
  | { readonly kind: 'valid' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'invalid'; readonly problem: string };

const invalid = (problem: string): DependencyCheckResult => ({ kind: 'invalid', problem });

const checkOne = (result: LookupResult): DependencyCheckResult => {
  switch (result.kind) {
    case 'absent':
      return invalid('awaits: names a job that was never accepted');
    case 'unknown':
      return { kind: 'unknown' };
    case 'active':
      return result.spec.shape === 'service' ? invalid('awaits: names a service') : { kind: 'valid' };
    case 'ended':
      return result.isService ? invalid('awaits: names a service') : { kind: 'valid' };
  }
};

/** Combines two results: `invalid` takes precedence over `unknown`, and the later of two invalid ones is reported. */
const combine = (earlier: DependencyCheckResult, later: DependencyCheckResult): DependencyCheckResult => {
  if (later.kind === 'invalid') return later;
  return earlier.kind === 'valid' ? later : earlier;
};

/**
 * Checks that all dependencies were accepted and are no services. Acceptance is permanent, so the dependencies can be
 * looked up independently of each other. If all are cached, the callback is called synchronously.
 */
export const checkDependencies = (
  dependencies: readonly string[],
  cache: JobCache,
  lookups: JobLookup,
  callback: (result: DependencyCheckResult) => void,
): void => {
  // One more than the dependencies, so that the callback is not called before all lookups have started.
  let outstanding = dependencies.length + 1;
  let combined: DependencyCheckResult = { kind: 'valid' };
  const finishOne = (): void => {
    if (--outstanding === 0) callback(combined);
  };
  const onResult = (result: LookupResult): void => {
    combined = combine(combined, checkOne(result));
    finishOne();
  };
  for (const id of dependencies) {
    const known = cache.get(id);
    if (known !== undefined) onResult(known);
    else lookups.lookup(id, onResult);
  }
  finishOne();
};
