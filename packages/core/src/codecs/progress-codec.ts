/** Records of a job's progress, or of a part of it: which tasks are done, and which machines may hold others. */
import { isStoredMap } from './stored-map.js';

export interface ProgressRecord {
  readonly machines: readonly string[];
  /** Done tasks, one bit each, in base64. */
  readonly bits: string;
  /** The byte at which the bits begin; null where the record does not say. */
  readonly from: number | null;
}

/** `from` is left out where it is null: a record on a page has all bits of its job. */
export const encodeProgress = ({ machines, bits, from }: ProgressRecord): unknown =>
  from === null ? { machines, bits } : { machines, bits, from };

const isByteOffset = (value: unknown): value is number =>
  typeof value === 'number' && Number.isInteger(value) && value >= 0;

/** Null for what can't be read. */
export const decodeProgress = (value: unknown): ProgressRecord | null => {
  if (!isStoredMap(value)) return null;
  const { machines, bits, from } = value;
  if (!Array.isArray(machines) || typeof bits !== 'string') return null;
  return {
    machines: machines.filter((name): name is string => typeof name === 'string'),
    bits,
    from: isByteOffset(from) ? from : null,
  };
};
