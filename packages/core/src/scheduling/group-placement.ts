/** Places one group of waiting tasks in a simulation, by earliest predicted finish. */
import type { Micros } from '../domain/time.js';
import { placeGang } from './gang-placement.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlacementOption, PlanStep, TaskGroup } from './plan-input.js';
import { acceptAny, distributeTasks } from './task-distribution.js';

/** Number of times that the tasks of one array may fill all machines and offers in a plan. */
const MAX_ROUNDS = 4;

/** Penalty for each machine that has to be provisioned; decides between zones with nearly equal finish times. */
const PROVISIONED_MACHINE_PENALTY: Micros = 1_000;

/** Zones to try for the group; null stands for any zone. A single-zone job is bound to a zone that it already uses. */
export const zoneChoices = (
  simulation: PlacementSimulation,
  group: TaskGroup,
): readonly (string | null)[] => {
  if (!group.spec.sameZone) return [null];
  const inUse = [...group.zones].filter(([, count]) => count > 0).map(([zone]) => zone);
  return inUse.length > 0 ? inUse.slice(0, 1) : simulation.zones;
};

/**
 * Places tasks that need not run at the same time, so that some may follow others on the same machine. Of an array that
 * would run in many rounds only the first ones are placed.
 */
const placeTasks = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
): PlanStep[] | null => {
  const count = Math.min(group.count, MAX_ROUNDS * simulation.snapshot.totalCapacity.tasksAtOnce(group.spec));
  if (count <= 0) return null;
  const chunks = distributeTasks(simulation, group, count, {
    zone,
    first,
    accept: acceptAny,
    place: ({ option, count }) => {
      simulation.occupy(option.placement, group, count, option.start, option.finish);
    },
    maxEnumerations: Infinity,
  });
  if (chunks === null) return null;
  return chunks.map(({ option: { placement, start, finish }, count }) => ({
    group,
    placement,
    slot: placement.slot,
    count,
    start,
    finish,
  }));
};

/** Places the group in the zone; returns null and changes nothing if it doesn't fit there. */
const placeInZone = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
): PlanStep[] | null => {
  const mark = simulation.mark();
  const place = group.spec.shape === 'gang' ? placeGang : placeTasks;
  const steps = place(simulation, group, zone, first);
  if (steps === null) simulation.rollback(mark);
  return steps;
};

const lastFinish = (steps: readonly PlanStep[]): Micros => Math.max(...steps.map((step) => step.finish));

/** The last finish, plus a small penalty for each machine that has to be provisioned. */
const zoneRank = (steps: readonly PlanStep[], now: Micros): number => {
  const provisioned = steps.filter((step) => step.slot.machine === null && step.start > now).length;
  return lastFinish(steps) + provisioned * PROVISIONED_MACHINE_PENALTY;
};

/** Places the group in the zone with the lowest rank; returns null and changes nothing if it fits in none. */
const placeInBestZone = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zones: readonly (string | null)[],
  first: PlacementOption | null,
): PlanStep[] | null => {
  const mark = simulation.mark();
  let best: { zone: string | null; rank: number } | null = null;
  for (const zone of zones) {
    const steps = placeInZone(simulation, group, zone, first);
    if (steps === null) continue;
    const rank = zoneRank(steps, simulation.snapshot.now);
    const isBest = best === null || rank < best.rank;
    if (isBest) best = { zone, rank };
    // If the last zone is the best, its placement is kept without placing the group again.
    if (isBest && zone === zones[zones.length - 1]) return steps;
    simulation.rollback(mark);
  }
  return best === null ? null : placeInZone(simulation, group, best.zone, first);
};

/**
 * Places one group by earliest predicted finish, its first tasks at `first` if given. Returns null and changes nothing if
 * the group fits nowhere, now or later.
 */
export const placeGroup = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  first: PlacementOption | null = null,
): PlanStep[] | null => {
  const zones = zoneChoices(simulation, group);
  if (zones.length === 1) return placeInZone(simulation, group, zones[0]!, first);
  if (first !== null && zones.length > 1)
    return placeInZone(simulation, group, first.placement.slot.zone, first);
  return placeInBestZone(simulation, group, zones, first);
};
