/** Where a group's first tasks could begin at this moment. */
import { zoneChoices } from './group-placement.js';
import type { TaskGroup, PlacementOption } from './plan-input.js';
import type { PlacementSimulation } from './placement-simulation.js';

/** Whether the group can begin at this moment: a gang needs room for all its members. */
export const beginsNow = (simulation: PlacementSimulation, group: TaskGroup): boolean => {
  const wanted = group.spec.shape === 'gang' ? group.count : 1;
  return zoneChoices(simulation, group).some((z) => simulation.hasRoomNow(group, z, wanted));
};

/**
 * For one group: the best place whose image is there and the best whose is not, or that boots. None if
 * the group can't begin now: a gang needs room for all its members.
 */
export const firstOptions = (simulation: PlacementSimulation, group: TaskGroup): PlacementOption[] => {
  const out: PlacementOption[] = [];
  const { now } = simulation.picture;
  const wanted = group.spec.shape === 'gang' ? group.count : 1;
  for (const z of zoneChoices(simulation, group)) {
    if (!simulation.hasRoomNow(group, z, wanted)) continue;
    const found: { warm: PlacementOption | null; cold: PlacementOption | null; room: number } = {
      warm: null,
      cold: null,
      room: 0,
    };
    simulation.eachOption(
      group,
      (zone) => z === null || z === zone,
      wanted,
      (o) => {
        const atOnce = o.start <= now;
        if (atOnce) found.room += o.count;
        if (o.warm && atOnce) {
          if (found.warm === null || o.rank < found.warm.rank) found.warm = o;
        } else if (found.cold === null || o.rank < found.cold.rank) found.cold = o;
        // Once there is room to begin, only better places matter.
        if (found.room < wanted || found.cold === null) return Infinity;
        return Math.max(found.cold.rank, found.warm?.rank ?? Infinity);
      },
    );
    if (found.room < wanted) continue;
    if (found.warm !== null) out.push(found.warm);
    if (found.cold !== null) out.push(found.cold);
  }
  return out;
};
