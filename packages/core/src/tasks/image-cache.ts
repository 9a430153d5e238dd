/** Tracks the container images in a machine's cache, inferred from the tasks that ran on it. */
import type { Machine } from '../cluster/cluster-model.js';
import type { JobSpec } from '../domain/job.js';

/**
 * Records that the job's image is cached on the machine, and evicts the least recently used images while the total exceeds
 * `capacityGb`, as the worker does.
 */
export const recordCachedImage = (machine: Machine, spec: JobSpec, capacityGb: number): void => {
  const { cachedImages } = machine;
  // Deleted first so that insertion order is the order of use.
  cachedImages.delete(spec.image);
  cachedImages.set(spec.image, spec.imageGb);
  let totalGb = 0;
  for (const sizeGb of cachedImages.values()) totalGb += sizeGb;
  for (const [image, sizeGb] of cachedImages) {
    if (totalGb <= capacityGb) break;
    cachedImages.delete(image);
    totalGb -= sizeGb;
  }
};
