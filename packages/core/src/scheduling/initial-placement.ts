/** Where a group's first tasks could begin at this moment. */
import { tasksFittingNow } from './free-capacity.js';
import { zoneChoices } from './group-placement.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlacementOption, TaskGroup } from './plan-input.js';

/** Tasks that have to begin together: all members of a gang, else one. */
const tasksAtOnce = ({ spec, count }: TaskGroup): number => (spec.shape === 'gang' ? count : 1);

/** Whether the group can begin at this moment: a gang needs capacity for all its members. */
export const canStartNow = (simulation: PlacementSimulation, group: TaskGroup): boolean => {
  const wanted = tasksAtOnce(group);
  return zoneChoices(simulation, group).some(
    (zone) => tasksFittingNow(simulation, group, zone, wanted) >= wanted,
  );
};

/** The best option of the zone whose image is cached and the best whose is not, or that boots; none if too few fit now. */
const firstOptionsInZone = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  wanted: number,
): PlacementOption[] => {
  const { now } = simulation.snapshot;
  const found: { warm: PlacementOption | null; cold: PlacementOption | null; tasksNow: number } = {
    warm: null,
    cold: null,
    tasksNow: 0,
  };
  simulation.options.forEach(
    group,
    (name) => zone === null || zone === name,
    wanted,
    (option) => {
      const startsNow = option.start <= now;
      if (startsNow) found.tasksNow += option.count;
      if (option.warm && startsNow) {
        if (found.warm === null || option.rank < found.warm.rank) found.warm = option;
      } else if (found.cold === null || option.rank < found.cold.rank) found.cold = option;
      // Once enough fits to begin, only better options matter.
      if (found.tasksNow < wanted || found.cold === null) return Infinity;
      return Math.max(found.cold.rank, found.warm?.rank ?? Infinity);
    },
  );
  if (found.tasksNow < wanted) return [];
  return [found.warm, found.cold].filter((option) => option !== null);
};

/**
 * For one group, by zone: the best option whose image is cached and the best whose is not, or that boots. None if the
 * group can't begin now: a gang needs capacity for all its members.
 */
export const firstOptions = (simulation: PlacementSimulation, group: TaskGroup): PlacementOption[] => {
  const wanted = tasksAtOnce(group);
  return zoneChoices(simulation, group).flatMap((zone) =>
    tasksFittingNow(simulation, group, zone, wanted) >= wanted
      ? firstOptionsInZone(simulation, group, zone, wanted)
      : [],
  );
};
