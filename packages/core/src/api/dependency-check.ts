/** Checks the dependencies of a submitted job: each must name a job that was accepted, and that ends. */
import type { JobCache } from './job-cache.js';
import type { JobLookup, LookupResult } from './job-lookup.js';

/** `unknown`: a dependency could not be looked up now. */
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

/** The result for both: an invalid dependency is final, whatever can't be looked up; the latest found is reported. */
const combine = (earlier: DependencyCheckResult, later: DependencyCheckResult): DependencyCheckResult => {
  if (later.kind === 'invalid') return later;
  return earlier.kind === 'valid' ? later : earlier;
};

/**
 * Checks whether all dependencies were accepted. Acceptance is permanent, so each may be looked up by itself, however many
 * there are. The callback is called at once if all are cached.
 */
export const checkDependencies = (
  dependencies: readonly string[],
  cache: JobCache,
  lookups: JobLookup,
  callback: (result: DependencyCheckResult) => void,
): void => {
  // One more than there are, so that the callback is not called before all have been asked for.
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
