/** What the state service holds about jobs, progress and machines. Unreadable records read as null. */
import type { JobSpec, Micros } from './model.js';

export interface ActiveRecord {
  readonly spec: JobSpec;
  readonly at: Micros;
}
export interface EndedRecord {
  readonly stage: 'done' | 'cancelled';
  readonly done: number;
  /** What one task takes, so that strays of an ended job can still be counted. */
  readonly spec: JobSpec;
}

const isMap = (v: unknown): v is Record<string, unknown> =>
  typeof v === 'object' && v !== null && !Array.isArray(v);

const isSpec = (v: unknown): v is JobSpec =>
  isMap(v) &&
  typeof v['id'] === 'string' &&
  typeof v['shape'] === 'string' &&
  typeof v['tasks'] === 'number' &&
  typeof v['cores'] === 'number';

export const activeRecord = (spec: JobSpec, at: Micros): ActiveRecord => ({ spec, at });

export const readActive = (v: unknown): ActiveRecord | null =>
  isMap(v) && isSpec(v['spec']) && typeof v['at'] === 'number' ? { spec: v['spec'], at: v['at'] } : null;

export const endedFromActive = (spec: JobSpec, stage: 'done' | 'cancelled', done: number): EndedRecord => ({
  stage,
  done,
  spec,
});

export const readEnded = (v: unknown): EndedRecord | null =>
  isMap(v) && (v['stage'] === 'done' || v['stage'] === 'cancelled') && isSpec(v['spec'])
    ? { stage: v['stage'], done: typeof v['done'] === 'number' ? v['done'] : 0, spec: v['spec'] }
    : null;

/** One segment of a job's progress: the first also names the machines that tasks were ever sent to. */
export interface ProgressRecord {
  readonly machines: readonly string[];
  /** Done tasks, one bit each, in base64. */
  readonly bits: string;
}

export const readProgress = (v: unknown): ProgressRecord | null =>
  isMap(v) && Array.isArray(v['machines']) && typeof v['bits'] === 'string'
    ? { machines: v['machines'].filter((m): m is string => typeof m === 'string'), bits: v['bits'] }
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
