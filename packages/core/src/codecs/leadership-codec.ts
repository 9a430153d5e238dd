/** Encodes and decodes the leader record and the term record. */
import { isStoredMap } from './stored-map.js';

/** Value of the leader key. */
export interface LeaderRecord {
  /** Name of the controller that leads. */
  readonly member: string;
  /** Number of the term in which it leads. */
  readonly term: number;
}

/** Record of the newest term. */
export interface TermRecord {
  /** Increases with each election. */
  readonly number: number;
  /** True until the pre-provisioned machines have been recorded; no machine was rented before that. */
  readonly first: boolean;
}

/** Encodes the value of the leader key. */
export const encodeLeader = ({ member, term }: LeaderRecord): unknown => ({ member, term });

/** Decodes the value of the leader key; null if it is malformed. */
export const decodeLeader = (value: unknown): LeaderRecord | null => {
  if (!isStoredMap(value)) return null;
  const { member, term } = value;
  return typeof member === 'string' && typeof term === 'number' ? { member, term } : null;
};

/** Encodes the term record. `first` is omitted when false; older versions never write it. */
export const encodeTerm = ({ number, first }: TermRecord): unknown =>
  first ? { n: number, first: true } : { n: number };

/** Decodes the term record; null if it is malformed. */
export const decodeTerm = (value: unknown): TermRecord | null => {
  if (!isStoredMap(value)) return null;
  const { n: number, first } = value;
  return typeof number === 'number' ? { number, first: first === true } : null;
};
