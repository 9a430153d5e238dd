/**
 * Waiting work beyond what a plan compares: it begins where there is room now, behind all that the plan decided before
 * it. A kind of task that finds no room is not looked for again in the same plan, so that hundreds of equal jobs cost
 * about what one costs.
 */
import { beginsNow } from './initial-placement.js';
import { bestOptions, placeGroup, zoneChoices, zoneRoom } from './group-placement.js';
import { taskKind, type TaskGroup, type PlacementOption, type PlanStep } from './plan-input.js';
import type { PlacementSimulation } from './placement-simulation.js';

const isUnbound = ({ spec, zones, allowedMachines: only }: TaskGroup): boolean =>
  only === null && (zones.size === 0 || !(spec.sameZone || spec.spreadAcrossZones));

/** The zone with the most room now, for a group whose tasks have to be in one; null: any zone. */
const zoneFor = (simulation: PlacementSimulation, group: TaskGroup): string | null => {
  let best: { zone: string | null; room: number } | null = null;
  for (const zone of zoneChoices(simulation, group)) {
    const room = simulation.roomNow(group, zone, group.count);
    if (best === null || room > best.room) best = { zone, room };
  }
  return best?.zone ?? null;
};

/** As many of a group's tasks as can begin now, where they finish first. */
export const placeAtOnce = (simulation: PlacementSimulation, group: TaskGroup): PlanStep[] => {
  const { now } = simulation.picture;
  const zone = zoneFor(simulation, group);
  const used = new Map<string, number>();
  const allowed = (z: string): boolean => (zone === null || z === zone) && zoneRoom(group, used, z) >= 1;
  const startsNow = (option: PlacementOption): boolean => option.start <= now && option.rentable === null;
  const steps: PlanStep[] = [];
  let left = group.count;
  while (left > 0) {
    const options = bestOptions(simulation, group, allowed, left, startsNow);
    if (options.length === 0) break;
    for (const { seat, start, finish, count: most } of options) {
      const { slot } = seat;
      if (left <= 0) break;
      if (!allowed(slot.zone)) continue;
      const count = Math.min(left, most, zoneRoom(group, used, slot.zone));
      simulation.occupy(seat, group, count, start, finish);
      used.set(slot.zone, (used.get(slot.zone) ?? 0) + count);
      steps.push({ group, placement: seat, slot, count, start, finish });
      left -= count;
    }
  }
  return steps;
};

/** A gang begins whole or not at all. */
const placeNow = (simulation: PlacementSimulation, group: TaskGroup): PlanStep[] => {
  if (!beginsNow(simulation, group)) return [];
  if (group.spec.shape !== 'gang') return placeAtOnce(simulation, group);
  const mark = simulation.mark();
  const steps = placeGroup(simulation, group) ?? [];
  if (steps.every((step) => step.start <= simulation.picture.now)) return steps;
  simulation.rollback(mark);
  return [];
};

export interface BackfillBudget {
  /** Whether there is time to look for room now. */
  readonly forStarts: () => boolean;
  /** Whether there is time to look for what to rent. */
  readonly forRenting: () => boolean;
}

/** Tasks of one job that machines are rented for in one plan. */
const MAX_RENTED_FOR = 160;

/**
 * What can't begin now is placed later, on machines that boot or that would be rented: else nothing beyond the groups that
 * are compared would ever be rented for. Nothing is started by that.
 */
const placeLater = (simulation: PlacementSimulation, group: TaskGroup, count: number): void => {
  if (group.spec.shape === 'gang') placeGroup(simulation, group);
  else placeGroup(simulation, { ...group, count: Math.min(count, MAX_RENTED_FOR) });
};

const countOf = (steps: readonly PlanStep[]): number => steps.reduce((sum, step) => sum + step.count, 0);

/** The steps of each group that begins now, in the given order, for as long as there is time. */
export function* placeBackfill(
  simulation: PlacementSimulation,
  groups: Iterable<TaskGroup>,
  time: BackfillBudget,
): Generator<readonly PlanStep[]> {
  /** The fewest tasks at once for which a kind found no room. */
  const noRoomFor = new Map<string, number>();
  for (const group of groups) {
    if (!time.forStarts()) return;
    // Machines may be kept for higher priorities.
    const kind = `${group.spec.priority}|${taskKind(group.spec)}`;
    const atOnce = group.spec.shape === 'gang' ? group.count : 1;
    const known = noRoomFor.get(kind) ?? Infinity;
    const steps = atOnce >= known ? [] : placeNow(simulation, group);
    if (steps.length === 0) {
      if (isUnbound(group) && !group.spec.sameZone) noRoomFor.set(kind, Math.min(atOnce, known));
      // What it is entitled to first is not given to lower priorities meanwhile.
      if (group.reserve) simulation.keepFor(group);
    }
    const left = group.count - countOf(steps);
    if (left > 0 && time.forRenting() && simulation.mayRent(group)) placeLater(simulation, group, left);
    yield steps;
  }
}
