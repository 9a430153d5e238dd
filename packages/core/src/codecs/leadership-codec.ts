/** The leader's key and the term's record in the key-value store. */
import { isStoredMap } from './stored-map.js';

/** The leader's key: who leads, in which term. */
export interface LeaderRecord {
  readonly member: string;
  readonly term: number;
}

/** The term's record: the number of the newest term. */
export interface TermRecord {
  readonly number: number;
  /** No machine was ever rented, and which machines were pre-provisioned is not on record yet. */
  readonly first: boolean;
}

/** The value of the leader's key. */
export const encodeLeader = ({ member, term }: LeaderRecord): unknown => ({ member, term });

/** The value of the leader's key; null for what can't be read. */
export const decodeLeader = (value: unknown): LeaderRecord | null => {
  if (!isStoredMap(value)) return null;
  const { member, term } = value;
  return typeof member === 'string' && typeof term === 'number' ? { member, term } : null;
};

/** The term's record. `first` is left out where it does not hold, as older versions always do. */
export const encodeTerm = ({ number, first }: TermRecord): unknown =>
  first ? { n: number, first: true } : { n: number };

/** The term's record; null for what can't be read. */
export const decodeTerm = (value: unknown): TermRecord | null => {
  if (!isStoredMap(value)) return null;
  const { n, first } = value;
  return typeof n === 'number' ? { number: n, first: first === true } : null;
};
