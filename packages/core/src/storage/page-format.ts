/** The stored form of a page of records, `{"entries":{ID:RECORD}}`, and how much fits into one. */
import { isStoredMap, type StoredMap } from '../codecs/stored-map.js';

/** `{"entries":{}}` and some reserve; what is left of a value is for records. */
export const PAGE_FRAME_BYTES = 128;
/** What a page leaves free at most, whatever the size of a value. */
const MAX_PAGE_RESERVE_BYTES = 512;
/** Part of a value that a page leaves free, besides its frame. */
const PAGE_RESERVE_FRACTION = 1 / 16;
const MIN_PAGE_ROOM = 256;
/** Of the bytes of a page that was refused: the room in the pages that follow. */
const ROOM_AFTER_REFUSAL = 0.7;

/** The records of a page by id; null for what can't be read. */
export const readPage = (value: unknown): StoredMap | null => {
  const entries = isStoredMap(value) ? value['entries'] : null;
  return isStoredMap(entries) ? entries : null;
};

/** Room for records in a page, in characters of JSON, where a value may have so many bytes. */
export const pageRoom = (valueBytes: number): number => {
  const reserve = PAGE_FRAME_BYTES + Math.floor(valueBytes * PAGE_RESERVE_FRACTION);
  return Math.max(MIN_PAGE_ROOM, valueBytes - Math.min(MAX_PAGE_RESERVE_BYTES, reserve));
};

/** Room for records once a page of so many bytes was refused. */
export const smallerPageRoom = (room: number, refusedBytes: number): number =>
  Math.max(MIN_PAGE_ROOM, Math.min(room, Math.floor(refusedBytes * ROOM_AFTER_REFUSAL)));
