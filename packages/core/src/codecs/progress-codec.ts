/** Encodes and decodes progress records: which tasks of a job are done, and which machines may hold the others. */
import { isStoredMap } from './stored-map.js';

/** Size of a machine name in a record besides its characters: two quotes and a comma. */
export const NAME_OVERHEAD_BYTES = 3;

/** Stored progress of a job, or of a part of it. */
export interface ProgressRecord {
  /** Names of machines that hold or may hold tasks that are not done. */
  readonly machines: readonly string[];
  /** Bitset of done tasks, in base64. */
  readonly bits: string;
  /** Byte offset of `bits` in the bitset of the job; null if the record does not contain it. */
  readonly from: number | null;
}

/** Encodes a progress record. `from` is omitted when null: a record on a page contains all bits of its job. */
export const encodeProgress = ({ machines, bits, from }: ProgressRecord): unknown =>
  from === null ? { machines, bits } : { machines, bits, from };

const isByteOffset = (value: unknown): value is number =>
  typeof value === 'number' && Number.isInteger(value) && value >= 0;

/** Decodes a progress record; null if it is malformed. */
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
