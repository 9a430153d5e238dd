/** The stored form of a page of records, `{"entries":{ID:RECORD}}`, and the capacity of a page. */
import { isStoredMap, type StoredMap } from '../codecs/stored-map.js';

/** The envelope `{"entries":{}}` plus a reserve; the rest of the value holds records. */
export const PAGE_FRAME_BYTES = 128;
/** Upper bound of the space that a page leaves free, whatever the maximum value size. */
const MAX_PAGE_RESERVE_BYTES = 512;
/** Fraction of the maximum value size that a page leaves free in addition to its envelope. */
const PAGE_RESERVE_FRACTION = 1 / 16;
const MIN_PAGE_CAPACITY = 256;
/** Capacity of later pages, as a fraction of the size of a page that the store refused. */
const CAPACITY_FRACTION_AFTER_REFUSAL = 0.7;

/** Returns the records of a stored page by id, or null if the value is malformed. */
export const readPage = (value: unknown): StoredMap | null => {
  const entries = isStoredMap(value) ? value['entries'] : null;
  return isStoredMap(entries) ? entries : null;
};

/** Capacity of a page for records, in characters of JSON, where a value may have `valueBytes` bytes. */
export const pageCapacity = (valueBytes: number): number => {
  const reserve = PAGE_FRAME_BYTES + Math.floor(valueBytes * PAGE_RESERVE_FRACTION);
  return Math.max(MIN_PAGE_CAPACITY, valueBytes - Math.min(MAX_PAGE_RESERVE_BYTES, reserve));
};

/** Returns the reduced page capacity after the store refused a page of `refusedBytes` bytes. */
export const reducedPageCapacity = (capacity: number, refusedBytes: number): number =>
  Math.max(MIN_PAGE_CAPACITY, Math.min(capacity, Math.floor(refusedBytes * CAPACITY_FRACTION_AFTER_REFUSAL)));
