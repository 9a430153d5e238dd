/** Which container images a machine has in its cache, as far as its tasks show. */
import type { Machine } from '../cluster/cluster-model.js';
import type { JobSpec } from '../domain/job.js';

/**
 * Records that the job's image is cached on the machine. The least recently used images are dropped while the rest exceeds
 * `capacityGb`, as the worker does it.
 */
export const recordCachedImage = (machine: Machine, spec: JobSpec, capacityGb: number): void => {
  const { cachedImages } = machine;
  // Deleted first: the order of insertion is the order of use.
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
