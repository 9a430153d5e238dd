/** Interface for measuring the steps of simulated controllers. */
import type { CoreEffect, Input } from '@shaleyoke/core/domain/effects';
import type { Micros } from '@shaleyoke/core/domain/time';

/**
 * Attached to a `ClusterSimulation`, it is told of each step of each controller. The simulation then charges a step's
 * processor time to the controller: effects are executed once the step is over, and later inputs wait for it.
 */
export interface StepMeter {
  /** Processor time, in microseconds from an arbitrary origin. */
  stopwatch(): Micros;
  /** Called after a controller has processed an input. `elapsedUs`: the processor time that it took. */
  recordStep(node: string, input: Input, elapsedUs: Micros, effects: readonly CoreEffect[]): void;
}
