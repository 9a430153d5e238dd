/** The process's clocks, in whole microseconds. */
import { type Micros, MILLISECOND } from '@shaleyoke/core/domain/time';

const NANOSECONDS_PER_MICROSECOND = 1000n;

const startedAt = process.hrtime.bigint();

/** Monotonic time since the start of the process: a small number, which stays exact in microseconds. */
export const steadyNow = (): Micros =>
  Number((process.hrtime.bigint() - startedAt) / NANOSECONDS_PER_MICROSECOND);

/** Time of day, since the Unix epoch. */
export const wallNow = (): Micros => Date.now() * MILLISECOND;
