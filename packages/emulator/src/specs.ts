/** Job specifications for tests and demonstrations. */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';

/** A job of two tasks with one core each that run for ten seconds, with other fields as given. */
export const makeJobSpec = (id: string, more: Partial<JobSpec> = {}): JobSpec => ({
  id,
  class: 'c',
  team: 't',
  shape: 'array',
  priority: 1,
  tasks: 2,
  cores: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'img',
  imageGb: 1,
  machineTypes: null,
  zone: null,
  sameZone: false,
  spreadAcrossZones: false,
  spot: false,
  estimatedRunUs: 10 * SECOND,
  checkpointIntervalUs: 0,
  checkpointDurationUs: 0,
  deadlineUs: null,
  dependsOn: [],
  ...more,
});
