/** Distributes the tasks of one group over machines, best rank first. */
import { maxTasksPerZone } from '../domain/resources.js';
import type { ZoneFilter } from './placement-options.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlacementOption, TaskGroup } from './plan-input.js';

/** Decides whether an option may be used. */
export type OptionFilter = (option: PlacementOption) => boolean;

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

/** Accepts every option. */
export const acceptAny: OptionFilter = () => true;

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
  accept: OptionFilter,
): void => {
  const last = options[options.length - 1];
  const reusable = group.allowedMachines !== null || placement.slot.machine !== null || offer !== null;
  // Without a bound by other options, the machine can't be compared with those that were not listed.
  const next =
    reusable && last !== undefined ? simulation.options.evaluate(group, placement, last.rank) : null;
  if (next !== null && accept(next)) insertOption(options, next);
  // Another machine of the offer is as good as the one just used, which was the best.
  const another = offer === null ? null : simulation.options.evaluateOffer(group, offer, Infinity);
  if (another !== null && accept(another)) insertOption(options, another);
};

/** Tasks of a group that start on one machine at the same time. */
export interface Chunk {
  readonly option: PlacementOption;
  readonly count: number;
}

/** How the tasks of a group are distributed over machines. */
export interface Distribution {
  /** The only zone to use; null stands for any zone. */
  readonly zone: string | null;
  /** Where the first tasks go, if given. */
  readonly first: PlacementOption | null;
  /** Restricts the options. */
  readonly accept: OptionFilter;
  /** Records a chunk in the simulation. */
  readonly place: (chunk: Chunk) => void;
  /** Maximum number of enumerations of all options, each of which costs time in proportion to the machines. */
  readonly maxEnumerations: number;
}

/** Places `count` tasks in chunks, each at the option with the best rank. Returns null if some can't be placed. */
export const distributeTasks = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  count: number,
  { zone, first, accept, place, maxEnumerations }: Distribution,
): Chunk[] | null => {
  const chunks: Chunk[] = [];
  const used = new Map<string, number>();
  const zoneAllowed: ZoneFilter = (name) =>
    (zone === null || name === zone) && tasksAllowedInZone(group, used, name) >= 1;
  let remaining = count;
  let enumerations = 0;
  let options: PlacementOption[] = first === null ? [] : [first];
  while (remaining > 0) {
    if (options.length === 0) {
      if (++enumerations > maxEnumerations) return null;
      options = bestOptions(simulation, group, zoneAllowed, remaining, accept);
    }
    const option = options.shift();
    if (option === undefined) return null;
    const { slot } = option.placement;
    if (!zoneAllowed(slot.zone)) continue;
    simulation.provision(option);
    // A chunk is limited to the tasks that can start on this machine at the same time.
    const tasks = Math.min(remaining, option.count, tasksAllowedInZone(group, used, slot.zone));
    const chunk = { option, count: tasks };
    place(chunk);
    used.set(slot.zone, (used.get(slot.zone) ?? 0) + tasks);
    chunks.push(chunk);
    remaining -= tasks;
    if (remaining > 0) addFollowUpOptions(simulation, group, option, options, accept);
  }
  return chunks;
};
