/** Places one group of waiting tasks in a simulation, where they finish first. */
import { spreadLimit } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import type { TaskGroup, PlacementOption, PlanStep } from './plan-input.js';
import type { PlacementSimulation } from './placement-simulation.js';

/** Zones a job may still use: one already taken binds a job that must stay in one zone. */
export const zoneChoices = (
  simulation: PlacementSimulation,
  group: TaskGroup,
): readonly (string | null)[] => {
  if (!group.spec.sameZone) return [null];
  const taken = [...group.zones].filter(([, n]) => n > 0).map(([z]) => z);
  return taken.length > 0 ? taken.slice(0, 1) : simulation.zones;
};

export const zoneRoom = (group: TaskGroup, used: ReadonlyMap<string, number>, zone: string): number =>
  group.spec.spreadAcrossZones
    ? spreadLimit(group.spec) - (group.zones.get(zone) ?? 0) - (used.get(zone) ?? 0)
    : Infinity;

/** Inserts by rank, earlier ones first among equals. */
const insertOption = (list: PlacementOption[], o: PlacementOption): void => {
  let i = list.length;
  while (i > 0 && list[i - 1]!.rank > o.rank) i--;
  list.splice(i, 0, o);
};

const any = (): boolean => true;

/** The best places that together hold `wanted` tasks, best first; fewer where there are not as many. */
export const bestOptions = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zoneAllowed: (zone: string) => boolean,
  wanted: number,
  suits: (o: PlacementOption) => boolean,
): PlacementOption[] => {
  const best: PlacementOption[] = [];
  let total = 0;
  let bound = Infinity;
  simulation.eachOption(group, zoneAllowed, wanted, (o) => {
    if (!suits(o)) return bound;
    insertOption(best, o);
    total += o.count;
    while (best.length > 1 && total - best[best.length - 1]!.count >= wanted) total -= best.pop()!.count;
    bound = total >= wanted ? best[best.length - 1]!.rank : Infinity;
    return bound;
  });
  return best;
};

/** Places tasks a chunk at a time where they finish first. Null: some can be placed nowhere. */
const placeTasks = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
  /** Null: any place. */
  suits: ((o: PlacementOption) => boolean) | null = null,
): PlanStep[] | null => {
  const steps: PlanStep[] = [];
  const used = new Map<string, number>();
  const allowed = (z: string): boolean => (zone === null || z === zone) && zoneRoom(group, used, z) >= 1;
  let left = group.count;
  let list: PlacementOption[] = [];
  let forced = first;
  while (left > 0) {
    if (forced === null && list.length === 0)
      list = bestOptions(simulation, group, allowed, left, suits ?? any);
    const o: PlacementOption | undefined = forced ?? list.shift();
    forced = null;
    if (o === undefined) return null;
    const { seat } = o;
    if (!allowed(seat.slot.zone)) continue;
    simulation.realise(o);
    // Chunks of a gang are kept to what starts together; of an array to what fits at that moment.
    const count = Math.min(left, o.count, zoneRoom(group, used, seat.slot.zone));
    simulation.occupy(seat, group, count, o.start, o.finish);
    used.set(seat.slot.zone, (used.get(seat.slot.zone) ?? 0) + count);
    steps.push({
      group,
      placement: seat,
      slot: seat.slot,
      count,
      start: o.start,
      finish: o.finish,
    });
    left -= count;
    if (left <= 0 || list.length === 0) continue;
    // What the same place, or another one rented like it, offers next takes part again.
    const bound = list[list.length - 1]!.rank;
    const again = group.allowedMachines !== null || seat.slot.machine !== null || o.rentable !== null;
    const next = again ? simulation.offer(group, seat, null, bound) : null;
    if (next !== null && (suits ?? any)(next)) insertOption(list, next);
    if (o.rentable !== null && suits === null) {
      const more = simulation.offerRented(group, o.rentable, bound);
      if (more !== null) insertOption(list, more);
    }
  }
  return steps;
};

/** All members begin together: the start is that of the last one, the finish that of the slowest. */
const asGang = (simulation: PlacementSimulation, steps: readonly PlanStep[]): PlanStep[] => {
  const start = Math.max(...steps.map((s) => s.start));
  const length = Math.max(...steps.map((s) => s.finish - s.start));
  for (const s of steps) {
    // The room stays taken from the member's own start until the gang's end.
    if (s.start !== start && start + length > s.finish)
      simulation.prolong(s.placement, s.group, s.count, s.finish, start + length);
  }
  return steps.map((s) => ({ ...s, start, finish: start + length }));
};

const lastFinish = (steps: readonly PlanStep[]): Micros => Math.max(...steps.map((s) => s.finish));

/**
 * Each member where it ranks first may mean that all wait for the last one, though there is room for all now
 * on places that each of them likes a little less: a cold image, a machine to be kept for longer. Several
 * gangs then hold each other's places in the plan, and none begins. Seen on a krakow day: 60 places stood
 * idle while ten gangs of 16 waited. Both are tried where they differ.
 */
const placeGang = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  first: PlacementOption | null,
): PlanStep[] | null => {
  const { now } = simulation.picture;
  const mark = simulation.mark();
  const roomNow = simulation.hasRoomNow(group, zone, group.count);
  const free = (): PlanStep[] | null => {
    const raw = placeTasks(simulation, group, zone, first);
    return raw === null ? null : asGang(simulation, raw);
  };
  const steps = free();
  if (!roomNow || steps?.[0] === undefined || steps[0].start <= now) return steps;
  const finish = lastFinish(steps);
  simulation.rollback(mark);
  // Dear machines are left out: gangs on them keep their GPUs from work that needs them.
  const suits = (o: PlacementOption): boolean => o.start <= now && !o.dear;
  const raw = placeTasks(simulation, group, zone, first !== null && suits(first) ? first : null, suits);
  if (raw !== null) {
    const atOnce = asGang(simulation, raw);
    if (lastFinish(atOnce) < finish) return atOnce;
  }
  simulation.rollback(mark);
  return free();
};

/** Places one group under earliest predicted finish. Null, and no trace, if it fits nowhere, now or later. */
export const placeGroup = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  first: PlacementOption | null = null,
): PlanStep[] | null => {
  const mark = simulation.mark();
  const place = (zone: string | null): PlanStep[] | null => {
    const steps =
      group.spec.shape === 'gang'
        ? placeGang(simulation, group, zone, first)
        : placeTasks(simulation, group, zone, first);
    if (steps === null) simulation.rollback(mark);
    return steps;
  };
  let zones = zoneChoices(simulation, group);
  if (first !== null && zones.length > 1) zones = [first.seat.slot.zone];
  if (zones.length === 1) return place(zones[0]!);
  let chosen: { zone: string | null; rank: number } | null = null;
  for (const zone of zones) {
    const steps = place(zone);
    if (steps === null) continue;
    const rented = steps.reduce(
      (n, s) => n + (s.slot.machine === null && s.start > simulation.picture.now ? 1 : 0),
      0,
    );
    const rank = lastFinish(steps) + rented * 1_000;
    const leads = chosen === null || rank < chosen.rank;
    if (leads) chosen = { zone, rank };
    // The last one tried stays as it is if it is the best.
    if (leads && zone === zones[zones.length - 1]) return steps;
    simulation.rollback(mark);
  }
  return chosen === null ? null : place(chosen.zone);
};
