/** Identifies tasks that are interchangeable for placement. */
import type { JobSpec } from '../domain/job.js';

/** The needs and placement constraints of a task as text: equal for tasks that fit on the same machines. */
export const taskKind = (spec: JobSpec): string =>
  [
    spec.cores,
    spec.gpus,
    spec.memoryGb,
    spec.zone ?? '*',
    spec.spot,
    spec.machineTypes?.join('+') ?? '*',
  ].join('|');
