/** Units of time. */

/** A point in time or a duration, in whole microseconds. */
export type Micros = number;

/** One second in microseconds. */
export const SECOND: Micros = 1_000_000;

/** One millisecond in microseconds. */
export const MILLISECOND: Micros = 1_000;
