/** Places one group of waiting tasks in a simulation, where they finish first. */
import { spreadLimit } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { tasksFittingNow } from './free-capacity.js';
import type { ZoneFilter } from './placement-options.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlacementOption, PlanStep, TaskGroup } from './plan-input.js';

/** What each machine that has to be provisioned counts for among zones that finish at nearly the same time. */
const PROVISIONED_MACHINE_WEIGHT: Micros = 1_000;

/** Whether an option may be taken. */
export type OptionFilter = (option: PlacementOption) => boolean;

/** Zones a job may still use; null stands for any. One already in use binds a job that must stay in one zone. */
export const zoneChoices = (
  simulation: PlacementSimulation,
  group: TaskGroup,
): readonly (string | null)[] => {
  if (!group.spec.sameZone) return [null];
  const inUse = [...group.zones].filter(([, count]) => count > 0).map(([zone]) => zone);
  return inUse.length > 0 ? inUse.slice(0, 1) : simulation.zones;
};

/** How many more tasks of the group may go to the zone, beside those in `used`. */
export const tasksAllowedInZone = (
  group: TaskGroup,
  used: ReadonlyMap<string, number>,
  zone: string,
): number =>
  group.spec.spreadAcrossZones
    ? spreadLimit(group.spec) - (group.zones.get(zone) ?? 0) - (used.get(zone) ?? 0)
    : Infinity;

/** Inserts by rank, earlier ones first among equals. */
const insertOption = (options: PlacementOption[], added: PlacementOption): void => {
  let i = options.length;
  while (i > 0 && options[i - 1]!.rank > added.rank) i--;
  options.splice(i, 0, added);
};

const acceptAny = (): boolean => true;

/** The best options that together hold `wanted` tasks, best first; fewer where there are not as many. */
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

/** Adds the options that the place just used, or another machine provisioned like it, offers next. */
const addFollowUps = (
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
 * Places tasks a chunk at a time where they finish first, the first chunk at `first` if that is given. `accept` limits the
 * options; null: any may be taken. Returns null if some tasks can be placed nowhere.
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
  let left = group.count;
  let options: PlacementOption[] = [];
  let forced = first;
  while (left > 0) {
    if (forced === null && options.length === 0)
      options = bestOptions(simulation, group, zoneAllowed, left, accept ?? acceptAny);
    const option: PlacementOption | undefined = forced ?? options.shift();
    forced = null;
    if (option === undefined) return null;
    const { placement, start, finish } = option;
    const { slot } = placement;
    if (!zoneAllowed(slot.zone)) continue;
    simulation.provision(option);
    // Chunks of a gang are kept to what starts together; of an array to what fits at that moment.
    const count = Math.min(left, option.count, tasksAllowedInZone(group, used, slot.zone));
    simulation.occupy(placement, group, count, start, finish);
    used.set(slot.zone, (used.get(slot.zone) ?? 0) + count);
    steps.push({ group, placement, slot, count, start, finish });
    left -= count;
    if (left > 0 && options.length > 0) addFollowUps(simulation, group, option, options, accept);
  }
  return steps;
};

/** All members begin together: the start is that of the last one, the finish that of the slowest. */
const alignGang = (simulation: PlacementSimulation, steps: readonly PlanStep[]): PlanStep[] => {
  const start = Math.max(...steps.map((step) => step.start));
  const duration = Math.max(...steps.map((step) => step.finish - step.start));
  const finish = start + duration;
  for (const step of steps) {
    // The capacity stays taken from the member's own start until the gang's end.
    if (step.start !== start && finish > step.finish)
      simulation.extend(step.placement, step.group, step.count, step.finish, finish);
  }
  return steps.map((step) => ({ ...step, start, finish }));
};

const lastFinish = (steps: readonly PlanStep[]): Micros => Math.max(...steps.map((step) => step.finish));

/**
 * Each member where it ranks first may mean that all wait for the last one, though there is capacity for all now on
 * machines that rank a little lower for each of them: an image that is not cached, a machine to be kept for longer.
 * Several gangs then hold each other's machines in the plan, and none begins. Seen on a krakow day: 60 places stood idle
 * while ten gangs of 16 waited. Both are tried where they differ.
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
  // Expensive machines are left out: gangs on them keep their GPUs from work that needs them.
  const startsNow: OptionFilter = (option) => option.start <= now && !option.expensive;
  const firstNow = first !== null && startsNow(first) ? first : null;
  const members = placeTasks(simulation, group, zone, firstNow, startsNow);
  if (members !== null) {
    const atOnce = alignGang(simulation, members);
    if (lastFinish(atOnce) < finish) return atOnce;
  }
  simulation.rollback(mark);
  return placeByRank();
};

/** Places the group in the zone; null, and no trace, if it doesn't fit there. */
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

/** The finish, with a little for each machine that has to be provisioned. */
const zoneRank = (steps: readonly PlanStep[], now: Micros): number => {
  const provisioned = steps.filter((step) => step.slot.machine === null && step.start > now).length;
  return lastFinish(steps) + provisioned * PROVISIONED_MACHINE_WEIGHT;
};

/** Places the group in the zone of the lowest rank; null, and no trace, if it fits in none. */
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
    // The last one tried stays as it is if it is the best.
    if (isBest && zone === zones[zones.length - 1]) return steps;
    simulation.rollback(mark);
  }
  return best === null ? null : placeInZone(simulation, group, best.zone, first);
};

/**
 * Places one group under earliest predicted finish, its first tasks at `first` if that is given. Returns null, and leaves
 * no trace, if it fits nowhere, now or later.
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
