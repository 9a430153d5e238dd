/** Access to stored values, which may have been written by another version or by hand. */

/** A JSON object from the store, whose fields have not been validated. */
export type StoredMap = Readonly<Record<string, unknown>>;

/** Whether a stored value is a JSON object, not an array or null. */
export const isStoredMap = (value: unknown): value is StoredMap =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
