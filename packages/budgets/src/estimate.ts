/** What a job will probably cost, before it begins. */
import type { RuntimeEstimates } from '@shaleyoke/core/cluster/runtime-estimates';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { typeAllowed } from '@shaleyoke/core/domain/resources';
import { SECOND } from '@shaleyoke/core/domain/time';

import { WHOLE } from './books.js';
import { type Money, portion, rateOf } from './money.js';

/** What services commit at a time. */
const HOUR = 3600 * SECOND;

/**
 * A task's share of a machine: the largest of its shares of cores, GPUs and memory, in the unit of weights. So a
 * task that holds all GPUs and two cores pays for the machine that nobody else can use meanwhile.
 */
export const weightOf = (spec: JobSpec, type: MachineType): number => {
  const share = (need: number, all: number): number => (all > 0 ? need / all : 0);
  const largest = Math.max(
    share(spec.cores, type.cores),
    share(spec.gpus, type.gpus),
    share(spec.memoryGb, type.memoryGb),
  );
  return Math.max(1, Math.min(WHOLE, Math.round(largest * WHOLE)));
};

/**
 * All tasks, at the ordinary price of the type where that is least; of a service, an hour. `quantile`: the share
 * of runs that it is to be enough for, by learned run times.
 */
export const probableCost = (
  spec: JobSpec,
  types: ReadonlyMap<string, MachineType>,
  timings: RuntimeEstimates,
  quantile: number,
): Money => {
  let least: Money | null = null;
  for (const type of types.values()) {
    if (!typeAllowed(spec, type)) continue;
    const us =
      spec.shape === 'service'
        ? HOUR
        : timings.quantile(spec.class, type.name, spec.estimatedRunUs, quantile);
    const hour = portion(rateOf(type.price), weightOf(spec, type), WHOLE);
    const task = Number((BigInt(hour) * BigInt(us)) / BigInt(HOUR)) + 1;
    if (least === null || task < least) least = task;
  }
  return (least ?? 0) * spec.tasks;
};
