/** Eviction from maps that are used as caches. */

/** Evicts the entry inserted first if the map exceeds the limit. Call it after each insertion. */
export const evictOldestBeyond = (map: Map<string, unknown>, limit: number): void => {
  if (map.size <= limit) return;
  const oldest = map.keys().next();
  if (oldest.done !== true) map.delete(oldest.value);
};
