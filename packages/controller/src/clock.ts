/** The process's clocks, in whole microseconds. */
import { type Micros, MILLI } from '@shaleyoke/core/domain/time';

const NANOSECONDS_PER_MICROSECOND = 1000n;

const startedAt = process.hrtime.bigint();

/** Steady time, counted from the start of the process so that it stays small. */
export const steadyNow = (): Micros =>
  Number((process.hrtime.bigint() - startedAt) / NANOSECONDS_PER_MICROSECOND);

/** Time of day. */
export const wallNow = (): Micros => Date.now() * MILLI;
