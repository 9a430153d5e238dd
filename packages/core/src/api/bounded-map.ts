/** Eviction from maps that are used as caches. */

/** Evicts the oldest entry of a map that has grown beyond the limit; to be called after each insertion. */
export const evictOldestBeyond = (map: Map<string, unknown>, limit: number): void => {
  if (map.size <= limit) return;
  const oldest = map.keys().next();
  if (oldest.done !== true) map.delete(oldest.value);
};
