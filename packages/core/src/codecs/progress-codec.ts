/** Records of a job's progress, or of a part of it: which tasks are done, and which machines may hold others. */
import { isStoredMap } from './stored-map.js';

/** What a machine's name takes in a record besides its letters: quotes and a comma. */
export const NAME_OVERHEAD_BYTES = 3;

/** What is on record of a job's progress, or of a part of it. */
export interface ProgressRecord {
  /** Names of machines that hold or may hold tasks that are not done. */
  readonly machines: readonly string[];
  /** Done tasks, one bit each, in base64. */
  readonly bits: string;
  /** The byte at which the bits begin; null where the record does not name it. */
  readonly from: number | null;
}

/** The stored form. `from` is left out where it is null: a record on a page has all bits of its job. */
export const encodeProgress = ({ machines, bits, from }: ProgressRecord): unknown =>
  from === null ? { machines, bits } : { machines, bits, from };

const isByteOffset = (value: unknown): value is number =>
  typeof value === 'number' && Number.isInteger(value) && value >= 0;

/** The record of progress; null for what can't be read. */
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
