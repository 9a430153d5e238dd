/**
 * Records of jobs in the key-value store: one form while a job is active, another once it has ended. Every stored field is
 * named here; the names must not change, since other versions read the same records.
 */
import type { JobShape, JobSpec, Priority } from '../domain/job.js';
import type { Micros } from '../domain/time.js';
import { isStoredMap } from './stored-map.js';

/** A job's description as it is stored. */
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

/** A job that has not ended, and when it was accepted (time of day). */
export interface ActiveJobRecord {
  readonly spec: JobSpec;
  readonly acceptedAt: Micros;
}

/** How a job ended. */
export interface EndedJobRecord {
  readonly stage: 'done' | 'cancelled';
  /** How many tasks were done. */
  readonly done: number;
  readonly shape: JobShape;
  /** Time of day of the end; null in records of the version before. */
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

/** The fields without which nothing can be done with a record; an ended job's record has no others. */
const isStoredSpec = (value: unknown): value is StoredJobSpec =>
  isStoredMap(value) &&
  typeof value['id'] === 'string' &&
  typeof value['shape'] === 'string' &&
  typeof value['tasks'] === 'number' &&
  typeof value['cores'] === 'number';

/** Ids of jobs, briefly: their common prefix is written once. */
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
 * The record of a job that has not ended. One that depends on other jobs is recorded in a form that the version before can't
 * read: that version would start it too early. What it can't read it neither starts nor reports as unknown.
 */
export const encodeActiveJob = (spec: JobSpec, acceptedAt: Micros): unknown => {
  const stored = encodeSpec(spec);
  return spec.dependsOn.length === 0
    ? { spec: stored, at: acceptedAt }
    : { awaiting: { spec: stored, at: acceptedAt, needs: packIds(spec.dependsOn) } };
};

/** The record of a job that has not ended; null for what can't be read. */
export const decodeActiveJob = (value: unknown): ActiveJobRecord | null => {
  if (!isStoredMap(value)) return null;
  const awaiting = value['awaiting'];
  const record = isStoredMap(awaiting) ? awaiting : value;
  const dependsOn = isStoredMap(awaiting) ? unpackIds(awaiting['needs']) : [];
  const { spec, at } = record;
  if (dependsOn === null || !isStoredSpec(spec) || typeof at !== 'number') return null;
  return { spec: decodeSpec(spec, dependsOn), acceptedAt: at };
};

/**
 * The record of a job that has ended. It is small, whatever the job: a description that was accepted under larger limits must
 * not keep its job from ending. The version before insists on `spec`.
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

/** The record of a job that has ended; null for what can't be read. */
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
