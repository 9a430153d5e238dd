/** Detects plans with so much free capacity that the order of placement doesn't matter. */
import type { Amounts } from '../domain/resources.js';
import { freeCapacityNow } from './free-capacity.js';
import { canStartNow } from './initial-placement.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { TaskGroup } from './plan-input.js';

/** Required ratio of free capacity to demand; allows for fragmentation between tasks of different sizes. */
const CAPACITY_MARGIN = 2;

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
  free.cores >= CAPACITY_MARGIN * demand.cores &&
  free.gpus >= CAPACITY_MARGIN * demand.gpus &&
  free.memoryGb >= CAPACITY_MARGIN * demand.memoryGb;

/** The group's placement constraints as text: groups with the same key may use the same machines. */
const constraintKey = ({ spec }: TaskGroup): string =>
  `${spec.machineTypes?.join('+') ?? '*'}|${spec.zone ?? '*'}|${spec.spot}`;

/**
 * Returns true only if all groups can start now together: the machines that each group may use have several times the free
 * capacity that all groups need. False means that this is not known.
 */
export const allCanStartNow = (simulation: PlacementSimulation, groups: readonly TaskGroup[]): boolean => {
  const demand = totalDemand(groups);
  const byConstraints = new Map(groups.map((group) => [constraintKey(group), group]));
  for (const group of byConstraints.values())
    if (!covers(freeCapacityNow(simulation, group), demand)) return false;
  return groups.every((group) => group.allowedMachines === null && canStartNow(simulation, group));
};
