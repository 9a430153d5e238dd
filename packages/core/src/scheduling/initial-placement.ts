/** Finds where a group's first tasks could start now. */
import { tasksFittingNow } from './free-capacity.js';
import { zoneChoices } from './group-placement.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlacementOption, TaskGroup } from './plan-input.js';

/** Number of tasks that have to start together: all members of a gang, otherwise one. */
const minSimultaneousTasks = ({ spec, count }: TaskGroup): number => (spec.shape === 'gang' ? count : 1);

/** Whether the group can start now: a gang needs capacity for all its members. */
export const canStartNow = (simulation: PlacementSimulation, group: TaskGroup): boolean => {
  const wanted = minSimultaneousTasks(group);
  return zoneChoices(simulation, group).some(
    (zone) => tasksFittingNow(simulation, group, zone, wanted) >= wanted,
  );
};

/** In the zone, the best option that starts now with a cached image, and the best other one; none if too few tasks fit. */
const firstOptionsInZone = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  wanted: number,
): PlacementOption[] => {
  const { now } = simulation.snapshot;
  const found: { cached: PlacementOption | null; uncached: PlacementOption | null; tasksNow: number } = {
    cached: null,
    uncached: null,
    tasksNow: 0,
  };
  simulation.options.forEach(
    group,
    (name) => zone === null || zone === name,
    wanted,
    (option) => {
      const startsNow = option.start <= now;
      if (startsNow) found.tasksNow += option.count;
      if (option.imageCached && startsNow) {
        if (found.cached === null || option.rank < found.cached.rank) found.cached = option;
      } else if (found.uncached === null || option.rank < found.uncached.rank) found.uncached = option;
      // Once enough tasks fit now, only better options matter.
      if (found.tasksNow < wanted || found.uncached === null) return Infinity;
      return Math.max(found.uncached.rank, found.cached?.rank ?? Infinity);
    },
  );
  if (found.tasksNow < wanted) return [];
  return [found.cached, found.uncached].filter((option) => option !== null);
};

/**
 * Candidate first options of a group. In each zone: the best option that starts now with a cached image, and the best one
 * that has to pull the image or wait for the machine. None if the group can't start now: a gang needs capacity for all its
 * members.
 */
export const firstOptions = (simulation: PlacementSimulation, group: TaskGroup): PlacementOption[] => {
  const wanted = minSimultaneousTasks(group);
  return zoneChoices(simulation, group).flatMap((zone) =>
    tasksFittingNow(simulation, group, zone, wanted) >= wanted
      ? firstOptionsInZone(simulation, group, zone, wanted)
      : [],
  );
};
