/** Sizes within the state service's limits. */

/** What the service itself adds to a value. */
const FRAME = 128;

export const objectRoom = (valueBytes: number): number => valueBytes - FRAME;
