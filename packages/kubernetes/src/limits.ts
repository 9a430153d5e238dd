/** Sizes within the key-value store's limits. */

/** What the store itself adds to a value. */
const VALUE_OVERHEAD_BYTES = 128;

/** Maximum encoded size of a manifest chunk. */
export const maxChunkBytes = (maxValueBytes: number): number => maxValueBytes - VALUE_OVERHEAD_BYTES;
