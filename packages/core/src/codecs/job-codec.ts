/**
 * Encodes and decodes job records, which have one form while a job is active and another once it has ended. The field names
 * are written out here and must not change, because other versions read the same records.
 */
import { isTaskCount, type JobShape, type JobSpec, type Priority } from '../domain/job.js';
import type { Micros } from '../domain/time.js';
import { isStoredMap } from './stored-map.js';

/** The stored form of a job specification. */
interface StoredJobSpec {
  readonly id: string;
  readonly class: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cores: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly sameZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateUs: Micros;
  readonly checkpointUs: Micros;
  readonly saveUs: Micros;
  readonly deadlineUs: Micros | null;
}

/** Record of a job that has not ended. */
export interface ActiveJobRecord {
  /** The specification as submitted. */
  readonly spec: JobSpec;
  /** Wall clock time at which the job was accepted. */
  readonly acceptedAt: Micros;
}

/** Record of a job that has ended. */
export interface EndedJobRecord {
  /** Whether the job completed or was cancelled. */
  readonly stage: 'done' | 'cancelled';
  /** Number of tasks that were done when the job ended. */
  readonly done: number;
  /** Shape of the job; no other job may depend on one that was a service. */
  readonly shape: JobShape;
  /** Wall clock time of the end; null in records of the previous version. */
  readonly endedAt: Micros | null;
}

const encodeSpec = (spec: JobSpec): StoredJobSpec => ({
  id: spec.id,
  class: spec.class,
  team: spec.team,
  shape: spec.shape,
  priority: spec.priority,
  tasks: spec.tasks,
  cores: spec.cores,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
  image: spec.image,
  imageGb: spec.imageGb,
  types: spec.machineTypes,
  zone: spec.zone,
  sameZone: spec.sameZone,
  spread: spec.spreadAcrossZones,
  spot: spec.spot,
  estimateUs: spec.estimatedRunUs,
  checkpointUs: spec.checkpointIntervalUs,
  saveUs: spec.checkpointDurationUs,
  deadlineUs: spec.deadlineUs,
});

const decodeSpec = (stored: StoredJobSpec, dependsOn: readonly string[]): JobSpec => ({
  id: stored.id,
  class: stored.class,
  team: stored.team,
  shape: stored.shape,
  priority: stored.priority,
  tasks: stored.tasks,
  cores: stored.cores,
  gpus: stored.gpus,
  memoryGb: stored.memoryGb,
  image: stored.image,
  imageGb: stored.imageGb,
  machineTypes: stored.types,
  zone: stored.zone,
  sameZone: stored.sameZone,
  spreadAcrossZones: stored.spread,
  spot: stored.spot,
  estimatedRunUs: stored.estimateUs,
  checkpointIntervalUs: stored.checkpointUs,
  checkpointDurationUs: stored.saveUs,
  deadlineUs: stored.deadlineUs,
  dependsOn,
});

/** Checks the fields that every record needs; the record of an ended job has no others. */
const isStoredSpec = (value: unknown): value is StoredJobSpec =>
  isStoredMap(value) &&
  typeof value['id'] === 'string' &&
  typeof value['shape'] === 'string' &&
  typeof value['tasks'] === 'number' &&
  typeof value['cores'] === 'number';

/** Compact form of job ids: their common prefix (`start`) is stored once, the remainders (`rests`) separated by commas. */
interface PackedIds {
  readonly start: string;
  readonly rests: string;
}

const packIds = (ids: readonly string[]): PackedIds => {
  let start = ids[0] ?? '';
  for (const id of ids) while (!id.startsWith(start)) start = start.slice(0, -1);
  return { start, rests: ids.map((id) => id.slice(start.length)).join() };
};

const unpackIds = (value: unknown): string[] | null => {
  if (!isStoredMap(value)) return null;
  const { start, rests } = value;
  if (typeof start !== 'string' || typeof rests !== 'string') return null;
  return rests.split(',').map((rest) => `${start}${rest}`);
};

/**
 * Encodes the record of a job that has not ended. A job with dependencies is stored in a form that the previous version can't
 * decode, because that version would start it too early. It neither starts nor reports as unknown what it can't decode.
 */
export const encodeActiveJob = (spec: JobSpec, acceptedAt: Micros): unknown => {
  const stored = encodeSpec(spec);
  return spec.dependsOn.length === 0
    ? { spec: stored, at: acceptedAt }
    : { awaiting: { spec: stored, at: acceptedAt, needs: packIds(spec.dependsOn) } };
};

/** Decodes the record of a job that has not ended; null if it is malformed. */
export const decodeActiveJob = (value: unknown): ActiveJobRecord | null => {
  if (!isStoredMap(value)) return null;
  const awaiting = value['awaiting'];
  const record = isStoredMap(awaiting) ? awaiting : value;
  const dependsOn = isStoredMap(awaiting) ? unpackIds(awaiting['needs']) : [];
  const { spec, at } = record;
  if (dependsOn === null || !isStoredSpec(spec) || typeof at !== 'number') return null;
  // The state of a job has a bit for each task, whatever the size of its record.
  if (!isTaskCount(spec.tasks)) return null;
  return { spec: decodeSpec(spec, dependsOn), acceptedAt: at };
};

/**
 * Encodes the record of a job that has ended. Its size doesn't depend on the specification, so that a job accepted under larger
 * limits can still end. `spec` is included because the previous version requires it.
 */
export const encodeEndedJob = (
  spec: JobSpec,
  stage: EndedJobRecord['stage'],
  doneTasks: number,
  endedAt: Micros,
): unknown => ({
  stage,
  done: doneTasks,
  spec: { id: spec.id, shape: spec.shape, tasks: spec.tasks, cores: spec.cores },
  at: endedAt,
});

/** Decodes the record of a job that has ended; null if it is malformed. */
export const decodeEndedJob = (value: unknown): EndedJobRecord | null => {
  if (!isStoredMap(value)) return null;
  const { stage, spec, done, at } = value;
  if ((stage !== 'done' && stage !== 'cancelled') || !isStoredSpec(spec)) return null;
  return {
    stage,
    done: typeof done === 'number' ? done : 0,
    shape: spec.shape,
    endedAt: typeof at === 'number' ? at : null,
  };
};
