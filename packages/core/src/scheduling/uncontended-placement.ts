/** Whether there is so much room that it does not matter in which order waiting work is placed. */
import { beginsNow } from './initial-placement.js';
import type { TaskGroup } from './plan-input.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { Amounts } from '../domain/resources.js';

/** Room must be so many times what is asked for: what is left between tasks of different sizes is of no use. */
const MARGIN = 2;

const demandOf = (groups: readonly TaskGroup[]): Amounts => {
  const demand = { cores: 0, gpus: 0, memoryGb: 0 };
  for (const { spec, count } of groups) {
    demand.cores += spec.cores * count;
    demand.gpus += spec.gpus * count;
    demand.memoryGb += spec.memoryGb * count;
  }
  return demand;
};

const covers = (room: Readonly<Amounts>, demand: Readonly<Amounts>): boolean =>
  room.cores >= MARGIN * demand.cores &&
  room.gpus >= MARGIN * demand.gpus &&
  room.memoryGb >= MARGIN * demand.memoryGb;

/** Machines that a group may use, as text: groups with the same text share all of them. */
const reachOf = ({ spec }: TaskGroup): string =>
  `${spec.machineTypes?.join('+') ?? '*'}|${spec.zone ?? '*'}|${spec.spot}`;

/**
 * True only if all groups can begin now together: where each of them may go there is free room for several times what
 * all of them need. False says nothing.
 */
export const allBeginNow = (simulation: PlacementSimulation, groups: readonly TaskGroup[]): boolean => {
  const demand = demandOf(groups);
  const reaches = new Map(groups.map((group) => [reachOf(group), group]));
  for (const group of reaches.values()) if (!covers(simulation.freeNow(group), demand)) return false;
  return groups.every((group) => group.allowedMachines === null && beginsNow(simulation, group));
};
