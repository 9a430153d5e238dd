/** Estimates what a job will cost before it begins. */
import type { RuntimeEstimates } from '@shaleyoke/core/cluster/runtime-estimates';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { isMachineTypeAllowed } from '@shaleyoke/core/domain/resources';
import { SECOND } from '@shaleyoke/core/domain/time';

import { FULL_WEIGHT } from './ledger.js';
import { type Money, portion, rateOf } from './money.js';

/** The run time for which services are committed at a time: one hour, the unit of prices. */
const SERVICE_COMMITMENT = 3600 * SECOND;

/**
 * A task's weight on a machine: the largest of its shares of cores, GPUs and memory. A task that occupies all GPUs and
 * two cores thus pays for the whole machine, which no other job can use meanwhile.
 */
export const machineWeight = (spec: JobSpec, type: MachineType): number => {
  const share = (need: number, all: number): number => (all > 0 ? need / all : 0);
  const largest = Math.max(
    share(spec.cores, type.cores),
    share(spec.gpus, type.gpus),
    share(spec.memoryGb, type.memoryGb),
  );
  return Math.max(1, Math.min(FULL_WEIGHT, Math.round(largest * FULL_WEIGHT)));
};

/**
 * The estimated cost of all tasks at the regular price of the cheapest permitted machine type; of a service, for one
 * hour. `quantile`: the share of runs whose learned run time the estimate is to cover.
 */
export const estimatedCost = (
  spec: JobSpec,
  types: ReadonlyMap<string, MachineType>,
  estimates: RuntimeEstimates,
  quantile: number,
): Money => {
  let least: Money | null = null;
  for (const type of types.values()) {
    if (!isMachineTypeAllowed(spec, type)) continue;
    const runUs =
      spec.shape === 'service'
        ? SERVICE_COMMITMENT
        : estimates.quantile(spec.class, type.name, spec.estimatedRunUs, quantile);
    const hour = portion(rateOf(type.price), machineWeight(spec, type), FULL_WEIGHT);
    const task = Number((BigInt(hour) * BigInt(runUs)) / BigInt(SERVICE_COMMITMENT)) + 1;
    if (least === null || task < least) least = task;
  }
  return (least ?? 0) * spec.tasks;
};
