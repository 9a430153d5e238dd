/** What the state service holds about jobs, progress and machines. Unreadable records read as null. */
import type { JobSpec, Shape } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';

/** What a value counts against the limits of the state service: its JSON, in bytes. */
export const bytesOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? '');

export interface ActiveRecord {
  readonly spec: JobSpec;
  readonly at: Micros;
}
export interface EndedRecord {
  readonly stage: 'done' | 'cancelled';
  readonly done: number;
  readonly shape: Shape;
  /** Time of day of the end; null in records of the version before. */
  readonly at: Micros | null;
}

const isMap = (v: unknown): v is Record<string, unknown> =>
  typeof v === 'object' && v !== null && !Array.isArray(v);

const isSpec = (v: unknown): v is JobSpec =>
  isMap(v) &&
  typeof v['id'] === 'string' &&
  typeof v['shape'] === 'string' &&
  typeof v['tasks'] === 'number' &&
  typeof v['cores'] === 'number';

/** Ids of jobs, briefly: what they begin with in common is written once. */
interface PackedIds {
  readonly start: string;
  readonly rests: string;
}

const packIds = (ids: readonly string[]): PackedIds => {
  let start = ids[0] ?? '';
  for (const id of ids) while (!id.startsWith(start)) start = start.slice(0, -1);
  return { start, rests: ids.map((id) => id.slice(start.length)).join() };
};

const unpackIds = (v: unknown): string[] | null =>
  isMap(v) && typeof v['start'] === 'string' && typeof v['rests'] === 'string'
    ? v['rests'].split(',').map((rest) => `${v['start'] as string}${rest}`)
    : null;

/**
 * A job that needs others is recorded in a form that the version before can't read: it would not hold the job
 * back. What it can't read it neither starts nor denies. Other jobs are recorded as it does it.
 */
export const activeRecord = ({ needs, ...spec }: JobSpec, at: Micros): unknown =>
  needs.length === 0 ? { spec, at } : { awaiting: { spec, at, needs: packIds(needs) } };

export const readActive = (v: unknown): ActiveRecord | null => {
  if (!isMap(v)) return null;
  const inner = v['awaiting'];
  const r = isMap(inner) ? inner : v;
  const needs = isMap(inner) ? unpackIds(inner['needs']) : [];
  return needs !== null && isSpec(r['spec']) && typeof r['at'] === 'number'
    ? { spec: { ...r['spec'], needs }, at: r['at'] }
    : null;
};

/**
 * Small, whatever the job: a description accepted under larger limits must not keep its job from ending.
 * `spec` is what the version before insists on.
 */
export const endedRecord = (
  spec: JobSpec,
  stage: 'done' | 'cancelled',
  done: number,
  at: Micros,
): unknown => ({
  stage,
  done,
  spec: { id: spec.id, shape: spec.shape, tasks: spec.tasks, cores: spec.cores },
  at,
});

export const readEnded = (v: unknown): EndedRecord | null =>
  isMap(v) && (v['stage'] === 'done' || v['stage'] === 'cancelled') && isSpec(v['spec'])
    ? {
        stage: v['stage'],
        done: typeof v['done'] === 'number' ? v['done'] : 0,
        shape: v['spec'].shape,
        at: typeof v['at'] === 'number' ? v['at'] : null,
      }
    : null;

/** A job's progress, or a part of it: machines that may hold its tasks, and which tasks are done. */
export interface ProgressRecord {
  readonly machines: readonly string[];
  /** Done tasks, one bit each, in base64. */
  readonly bits: string;
  /** The byte at which the bits begin; null where the record does not say. */
  readonly from: number | null;
}

export const readProgress = (v: unknown): ProgressRecord | null =>
  isMap(v) && Array.isArray(v['machines']) && typeof v['bits'] === 'string'
    ? {
        machines: v['machines'].filter((m): m is string => typeof m === 'string'),
        bits: v['bits'],
        from:
          typeof v['from'] === 'number' && Number.isInteger(v['from']) && v['from'] >= 0 ? v['from'] : null,
      }
    : null;

export interface MachineRecord {
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Set before the machine is returned: nothing may be started on it any more. */
  readonly retiring: boolean;
  /** Was there before this service rented anything. */
  readonly standing: boolean;
}

export const readMachine = (v: unknown): MachineRecord | null =>
  isMap(v) &&
  typeof v['address'] === 'string' &&
  typeof v['type'] === 'string' &&
  typeof v['zone'] === 'string'
    ? {
        address: v['address'],
        type: v['type'],
        zone: v['zone'],
        spot: v['spot'] === true,
        retiring: v['retiring'] === true,
        standing: v['standing'] === true,
      }
    : null;

const AMOUNTS = [
  'cores',
  'gpus',
  'memoryGb',
  'cacheGb',
  'fetchGbPerS',
  'price',
  'spotPrice',
  'bootUs',
] as const;

const readType = (v: unknown): MachineType | null =>
  isMap(v) &&
  typeof v['name'] === 'string' &&
  AMOUNTS.every((k) => typeof v[k] === 'number' && Number.isFinite(v[k]) && v[k] >= 0) &&
  Number.isInteger(v['bootUs']) &&
  Array.isArray(v['zones']) &&
  v['zones'].every((z) => typeof z === 'string')
    ? (v as unknown as MachineType)
    : null;

/** Types as stored in the state service, so that nodes can start during an outage of the cloud. */
export const readTypes = (v: unknown): readonly MachineType[] | null => {
  if (!Array.isArray(v)) return null;
  const types = v.map(readType);
  return types.every((t) => t !== null) ? types : null;
};

/** A fixed-size set of task numbers, one bit each. */
export class Bits {
  readonly bytes: Uint8Array;
  count = 0;
  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }
  has(i: number): boolean {
    return (this.bytes[i >> 3]! & (1 << (i & 7))) !== 0;
  }
  add(i: number): boolean {
    if (i < 0 || i >= this.size || this.has(i)) return false;
    this.bytes[i >> 3]! |= 1 << (i & 7);
    this.count++;
    return true;
  }
  /** Bytes `from` to `to`, in base64, with trailing zeros left out. */
  encode(from: number, to: number): string {
    let end = Math.min(to, this.bytes.length);
    while (end > from && this.bytes[end - 1] === 0) end--;
    return Buffer.from(this.bytes.subarray(from, end)).toString('base64');
  }
  merge(from: number, text: string): void {
    const b = Buffer.from(text, 'base64');
    for (let k = 0; k < b.length; k++)
      for (let bit = 0; bit < 8; bit++) if ((b[k]! & (1 << bit)) !== 0) this.add((from + k) * 8 + bit);
  }
}
