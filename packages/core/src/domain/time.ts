/** Points and spans of time. */

/** A point or span of time in whole microseconds. */
export type Micros = number;

export const SECOND: Micros = 1_000_000;

export const MILLI: Micros = 1_000;
