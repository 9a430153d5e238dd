/** The process's clocks, in whole microseconds. */
import type { Micros } from '@shaleyoke/core/domain/time';

const begun = process.hrtime.bigint();

/** Steady; counted from the start of the process, so that it stays small. */
export const steadyNow = (): Micros => Number((process.hrtime.bigint() - begun) / 1000n);
export const wallNow = (): Micros => Date.now() * 1000;
