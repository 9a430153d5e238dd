/** Observation of emulated controllers: the processor time of each step, and the effects that it returned. */
import type { CoreEffect, Input } from '@shaleyoke/core/domain/effects';
import type { Micros } from '@shaleyoke/core/domain/time';

/**
 * Attached to a `World`, it is told of each step of each controller. The world then charges a step's processor time to
 * the controller's clock: effects leave once the step is over, and later inputs wait for it.
 */
export interface StepMeter {
  /** Processor time, in microseconds from any origin. */
  stopwatch(): Micros;
  /** A controller took an input; `elapsedUs` is the processor time that its step needed. */
  stepped(node: string, input: Input, elapsedUs: Micros, effects: readonly CoreEffect[]): void;
}
