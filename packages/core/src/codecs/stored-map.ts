/** Access to stored values, which may have been written by another version or by hand. */

/** A stored value that is a map, with fields of any type. */
export type StoredMap = Readonly<Record<string, unknown>>;

/** Whether a stored value is a map. */
export const isStoredMap = (value: unknown): value is StoredMap =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
