/** Whether there is so much free capacity that the order in which waiting work is placed doesn't matter. */
import type { Amounts } from '../domain/resources.js';
import { freeNow } from './free-capacity.js';
import { canStartNow } from './initial-placement.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { TaskGroup } from './plan-input.js';

/** Free capacity must be so many times the demand: what is left between tasks of different sizes is of no use. */
const MARGIN = 2;

const totalDemand = (groups: readonly TaskGroup[]): Amounts => {
  const demand = { cores: 0, gpus: 0, memoryGb: 0 };
  for (const { spec, count } of groups) {
    demand.cores += spec.cores * count;
    demand.gpus += spec.gpus * count;
    demand.memoryGb += spec.memoryGb * count;
  }
  return demand;
};

const covers = (free: Readonly<Amounts>, demand: Readonly<Amounts>): boolean =>
  free.cores >= MARGIN * demand.cores &&
  free.gpus >= MARGIN * demand.gpus &&
  free.memoryGb >= MARGIN * demand.memoryGb;

/** Machines that a group may use, as text: groups with the same text share all of them. */
const constraintKey = ({ spec }: TaskGroup): string =>
  `${spec.machineTypes?.join('+') ?? '*'}|${spec.zone ?? '*'}|${spec.spot}`;

/**
 * True only if all groups can begin now together: where each of them may go there is free capacity for several times what
 * all of them need. False means that it isn't known.
 */
export const allCanStartNow = (simulation: PlacementSimulation, groups: readonly TaskGroup[]): boolean => {
  const demand = totalDemand(groups);
  const byConstraints = new Map(groups.map((group) => [constraintKey(group), group]));
  for (const group of byConstraints.values()) if (!covers(freeNow(simulation, group), demand)) return false;
  return groups.every((group) => group.allowedMachines === null && canStartNow(simulation, group));
};
