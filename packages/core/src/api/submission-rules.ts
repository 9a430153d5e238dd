/**
 * Validation of a submitted job without regard to other jobs: its team's limits, the machine types, the record's size.
 */
import { jsonByteLength } from '../codecs/value-size.js';
import type { ClientResponse } from '../domain/client-api.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { fitsAnyMachineType } from '../domain/resources.js';
import type { Settings } from '../domain/settings.js';
import { unavailable } from './client-responder.js';

/** Bytes by which a job's record must stay below the maximum size of a stored value. */
const RECORD_RESERVE_BYTES = 128;

/** The settings and machine types that the rules refer to. */
export interface SubmissionLimits {
  readonly settings: Settings;
  readonly machineTypes: ReadonlyMap<string, MachineType>;
}

/** The response to a submission that can't be accepted, with the reason. */
export type Rejection = ClientResponse & { readonly kind: 'malformed' | 'impossible' | 'unavailable' };

const impossible = (problem: string): Rejection => ({ kind: 'impossible', problem });

/** Number of tasks that must run at the same time; the tasks of an array may run one after the other. */
const concurrentTasksOf = (spec: JobSpec): number => (spec.shape === 'array' ? 1 : spec.tasks);

/** Returns why the job can never run, or can't be checked at present; null if it may be accepted. */
export const rejectionOf = (
  spec: JobSpec,
  { settings, machineTypes }: SubmissionLimits,
): Rejection | null => {
  const team = settings.teams.find((candidate) => candidate.name === spec.team);
  if (team === undefined) return impossible('unknown team');
  const tasks = concurrentTasksOf(spec);
  const exceedsCores = team.maxCores > 0 && spec.cores * tasks > team.maxCores;
  const exceedsGpus = team.maxGpus > 0 && spec.gpus * tasks > team.maxGpus;
  if (exceedsCores || exceedsGpus) return impossible("more than the team's limit");
  if (machineTypes.size === 0) return unavailable('machine types not known yet');
  return fitsAnyMachineType(spec, machineTypes) ? null : impossible('fits no allowed machine type');
};

/** Returns why the job's record can't be stored; null if it can. */
export const recordRejectionOf = (record: unknown, { settings }: SubmissionLimits): Rejection | null =>
  jsonByteLength(record) > settings.maxValueBytes - RECORD_RESERVE_BYTES
    ? { kind: 'malformed', problem: 'description too long' }
    : null;
