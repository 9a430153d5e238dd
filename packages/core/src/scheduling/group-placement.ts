/** Places one group of waiting tasks in a simulation, by earliest predicted finish. */
import { maxTasksPerZone } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { tasksFittingNow } from './free-capacity.js';
import type { ZoneFilter } from './placement-options.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlacementOption, PlanStep, TaskGroup } from './plan-input.js';

/** Penalty for each machine that has to be provisioned; decides between zones with nearly equal finish times. */
const PROVISIONED_MACHINE_PENALTY: Micros = 1_000;

/** Decides whether an option may be used. */
export type OptionFilter = (option: PlacementOption) => boolean;

/** Zones to try for the group; null stands for any zone. A single-zone job is bound to a zone that it already uses. */
export const zoneChoices = (
  simulation: PlacementSimulation,
  group: TaskGroup,
): readonly (string | null)[] => {
  if (!group.spec.sameZone) return [null];
  const inUse = [...group.zones].filter(([, count]) => count > 0).map(([zone]) => zone);
  return inUse.length > 0 ? inUse.slice(0, 1) : simulation.zones;
};

/** Number of further tasks of the group that may go to the zone, given those already placed in `used`. */
export const tasksAllowedInZone = (
  group: TaskGroup,
  used: ReadonlyMap<string, number>,
  zone: string,
): number =>
  group.spec.spreadAcrossZones
    ? maxTasksPerZone(group.spec) - (group.zones.get(zone) ?? 0) - (used.get(zone) ?? 0)
    : Infinity;

/** Inserts an option by rank, behind others of the same rank. */
const insertOption = (options: PlacementOption[], added: PlacementOption): void => {
  let i = options.length;
  while (i > 0 && options[i - 1]!.rank > added.rank) i--;
  options.splice(i, 0, added);
};

const acceptAny = (): boolean => true;

/** The best options that together hold `wanted` tasks, best first; all options if they hold fewer tasks. */
export const bestOptions = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zoneAllowed: ZoneFilter,
  wanted: number,
  accept: OptionFilter,
): PlacementOption[] => {
  const best: PlacementOption[] = [];
  let total = 0;
  let bound = Infinity;
  simulation.options.forEach(group, zoneAllowed, wanted, (option) => {
    if (!accept(option)) return bound;
    insertOption(best, option);
    total += option.count;
    while (best.length > 1 && total - best[best.length - 1]!.count >= wanted) total -= best.pop()!.count;
    bound = total >= wanted ? best[best.length - 1]!.rank : Infinity;
    return bound;
  });
  return best;
};

/** Adds the next options on the machine just used, and on a further machine provisioned from the same offer. */
const addFollowUpOptions = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  { placement, offer }: PlacementOption,
  options: PlacementOption[],
  accept: OptionFilter | null,
): void => {
  const bound = options[options.length - 1]!.rank;
  const reusable = group.allowedMachines !== null || placement.slot.machine !== null || offer !== null;
  const next = reusable ? simulation.options.evaluate(group, placement, bound) : null;
  if (next !== null && (accept ?? acceptAny)(next)) insertOption(options, next);
  if (offer === null || accept !== null) return;
  const another = simulation.options.evaluateOffer(group, offer, bound);
  if (another !== null) insertOption(options, another);
};

/**
 * Places the group's tasks in chunks, each at the option with the best rank, the first one at `first` if given. `accept`
 * restricts the options; null allows any. Returns null if some tasks can't be placed.
 */
const placeTasks = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
  accept: OptionFilter | null = null,
): PlanStep[] | null => {
  const steps: PlanStep[] = [];
  const used = new Map<string, number>();
  const zoneAllowed: ZoneFilter = (name) =>
    (zone === null || name === zone) && tasksAllowedInZone(group, used, name) >= 1;
  let remaining = group.count;
  let options: PlacementOption[] = [];
  let forcedOption = first;
  while (remaining > 0) {
    if (forcedOption === null && options.length === 0)
      options = bestOptions(simulation, group, zoneAllowed, remaining, accept ?? acceptAny);
    const option: PlacementOption | undefined = forcedOption ?? options.shift();
    forcedOption = null;
    if (option === undefined) return null;
    const { placement, start, finish } = option;
    const { slot } = placement;
    if (!zoneAllowed(slot.zone)) continue;
    simulation.provision(option);
    // A chunk is limited to the tasks that can start on this machine at the same time.
    const count = Math.min(remaining, option.count, tasksAllowedInZone(group, used, slot.zone));
    simulation.occupy(placement, group, count, start, finish);
    used.set(slot.zone, (used.get(slot.zone) ?? 0) + count);
    steps.push({ group, placement, slot, count, start, finish });
    remaining -= count;
    if (remaining > 0 && options.length > 0) addFollowUpOptions(simulation, group, option, options, accept);
  }
  return steps;
};

/** Aligns the members of a gang: all start when the last one can start, and all finish with the slowest one. */
const alignGang = (simulation: PlacementSimulation, steps: readonly PlanStep[]): PlanStep[] => {
  const start = Math.max(...steps.map((step) => step.start));
  const duration = Math.max(...steps.map((step) => step.finish - step.start));
  const finish = start + duration;
  for (const step of steps) {
    // The capacity stays occupied from the member's own start until the gang finishes.
    if (step.start !== start && finish > step.finish)
      simulation.extend(step.placement, step.group, step.count, step.finish, finish);
  }
  return steps.map((step) => ({ ...step, start, finish }));
};

const lastFinish = (steps: readonly PlanStep[]): Micros => Math.max(...steps.map((step) => step.finish));

/**
 * Places a gang by rank, or on machines where all members can start now if that finishes sooner. By rank alone, all members
 * may wait for the last one although machines of slightly worse rank (image not cached, machine kept busy for longer) have
 * capacity for all of them now. Several gangs then hold each other's machines in the plan and none starts: on a
 * recorded day, 60 places stood idle while ten gangs of 16 waited.
 */
const placeGang = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
): PlanStep[] | null => {
  const { now } = simulation.snapshot;
  const mark = simulation.mark();
  const allFitNow = tasksFittingNow(simulation, group, zone, group.count) >= group.count;
  const placeByRank = (): PlanStep[] | null => {
    const members = placeTasks(simulation, group, zone, first);
    return members === null ? null : alignGang(simulation, members);
  };
  const steps = placeByRank();
  if (!allFitNow || steps?.[0] === undefined || steps[0].start <= now) return steps;
  const finish = lastFinish(steps);
  simulation.rollback(mark);
  // Expensive machines are excluded: a gang on them would keep their GPUs from work that needs them.
  const startsNow: OptionFilter = (option) => option.start <= now && !option.expensive;
  const firstNow = first !== null && startsNow(first) ? first : null;
  const members = placeTasks(simulation, group, zone, firstNow, startsNow);
  if (members !== null) {
    const immediateSteps = alignGang(simulation, members);
    if (lastFinish(immediateSteps) < finish) return immediateSteps;
  }
  simulation.rollback(mark);
  return placeByRank();
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
