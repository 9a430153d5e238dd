/**
 * Placement. The ordinary path scores each candidate first action by playing a bounded set of waiting
 * work out to completion under earliest predicted finish, and commits the first action only (paper,
 * 10.2-10.4). Past its budget it is earliest predicted finish, which is the same play-out without
 * alternatives for the first step.
 */
import { gpuKind, type Group, type Option, type Picture, type Step } from './plan-input.js';
import { PlacementSimulation } from './simulation.js';
import type { JobSpec, Micros } from '../model.js';
import { spreadLimit } from '../base/room.js';

/** Zones a job may still use: one already taken binds a job that must stay in one zone. */
const zoneChoices = (b: PlacementSimulation, g: Group): readonly (string | null)[] => {
  if (!g.spec.sameZone) return [null];
  const taken = [...g.zones].filter(([, n]) => n > 0).map(([z]) => z);
  return taken.length > 0 ? taken.slice(0, 1) : b.zones;
};

const zoneRoom = (g: Group, used: ReadonlyMap<string, number>, zone: string): number =>
  g.spec.spread ? spreadLimit(g.spec) - (g.zones.get(zone) ?? 0) - (used.get(zone) ?? 0) : Infinity;

/** Inserts by rank, earlier ones first among equals. */
const insertOption = (list: Option[], o: Option): void => {
  let i = list.length;
  while (i > 0 && list[i - 1]!.rank > o.rank) i--;
  list.splice(i, 0, o);
};

const any = (): boolean => true;

/** The best places that together hold `wanted` tasks, best first; fewer where there are not as many. */
const bestOptions = (
  b: PlacementSimulation,
  g: Group,
  zoneAllowed: (zone: string) => boolean,
  wanted: number,
  suits: (o: Option) => boolean,
): Option[] => {
  const best: Option[] = [];
  let total = 0;
  let bound = Infinity;
  b.eachOption(g, zoneAllowed, wanted, (o) => {
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
  b: PlacementSimulation,
  g: Group,
  zone: string | null,
  first: Option | null,
  /** Null: any place. */
  suits: ((o: Option) => boolean) | null = null,
): Step[] | null => {
  const steps: Step[] = [];
  const used = new Map<string, number>();
  const allowed = (z: string): boolean => (zone === null || z === zone) && zoneRoom(g, used, z) >= 1;
  let left = g.count;
  let list: Option[] = [];
  let forced = first;
  while (left > 0) {
    if (forced === null && list.length === 0) list = bestOptions(b, g, allowed, left, suits ?? any);
    const o: Option | undefined = forced ?? list.shift();
    forced = null;
    if (o === undefined) return null;
    const { seat } = o;
    if (!allowed(seat.slot.zone)) continue;
    b.realise(o);
    // Chunks of a gang are kept to what starts together; of an array to what fits at that moment.
    const count = Math.min(left, o.count, zoneRoom(g, used, seat.slot.zone));
    b.occupy(seat, g, count, o.start, o.finish);
    used.set(seat.slot.zone, (used.get(seat.slot.zone) ?? 0) + count);
    steps.push({
      group: g,
      seat,
      slot: seat.slot,
      count,
      start: o.start,
      finish: o.finish,
    });
    left -= count;
    if (left <= 0 || list.length === 0) continue;
    // What the same place, or another one rented like it, offers next takes part again.
    const bound = list[list.length - 1]!.rank;
    const again = g.only !== null || seat.slot.machine !== null || o.rentable !== null;
    const next = again ? b.offer(g, seat, null, bound) : null;
    if (next !== null && (suits ?? any)(next)) insertOption(list, next);
    if (o.rentable !== null && suits === null) {
      const more = b.offerRented(g, o.rentable, bound);
      if (more !== null) insertOption(list, more);
    }
  }
  return steps;
};

/** All members begin together: the start is that of the last one, the finish that of the slowest. */
const asGang = (b: PlacementSimulation, steps: readonly Step[]): Step[] => {
  const start = Math.max(...steps.map((s) => s.start));
  const length = Math.max(...steps.map((s) => s.finish - s.start));
  for (const s of steps) {
    // The room stays taken from the member's own start until the gang's end.
    if (s.start !== start && start + length > s.finish)
      b.prolong(s.seat, s.group, s.count, s.finish, start + length);
  }
  return steps.map((s) => ({ ...s, start, finish: start + length }));
};

const lastFinish = (steps: readonly Step[]): Micros => Math.max(...steps.map((s) => s.finish));

/**
 * Each member where it ranks first may mean that all wait for the last one, though there is room for all now
 * on places that each of them likes a little less: a cold image, a machine to be kept for longer. Several
 * gangs then hold each other's places in the plan, and none begins. Seen on a krakow day: 60 places stood
 * idle while ten gangs of 16 waited. Both are tried where they differ.
 */
const placeGang = (
  b: PlacementSimulation,
  g: Group,
  zone: string | null,
  first: Option | null,
): Step[] | null => {
  const { now } = b.picture;
  const mark = b.mark();
  const roomNow = b.hasRoomNow(g, zone, g.count);
  const free = (): Step[] | null => {
    const raw = placeTasks(b, g, zone, first);
    return raw === null ? null : asGang(b, raw);
  };
  const steps = free();
  if (!roomNow || steps?.[0] === undefined || steps[0].start <= now) return steps;
  const finish = lastFinish(steps);
  b.rollback(mark);
  // Dear machines are left out: gangs on them keep their GPUs from work that needs them.
  const suits = (o: Option): boolean => o.start <= now && !o.dear;
  const raw = placeTasks(b, g, zone, first !== null && suits(first) ? first : null, suits);
  if (raw !== null) {
    const atOnce = asGang(b, raw);
    if (lastFinish(atOnce) < finish) return atOnce;
  }
  b.rollback(mark);
  return free();
};

/** Places one group under earliest predicted finish. Null, and no trace, if it fits nowhere, now or later. */
export const placeGroup = (b: PlacementSimulation, g: Group, first: Option | null = null): Step[] | null => {
  const mark = b.mark();
  const place = (zone: string | null): Step[] | null => {
    const steps = g.spec.shape === 'gang' ? placeGang(b, g, zone, first) : placeTasks(b, g, zone, first);
    if (steps === null) b.rollback(mark);
    return steps;
  };
  let zones = zoneChoices(b, g);
  if (first !== null && zones.length > 1) zones = [first.seat.slot.zone];
  if (zones.length === 1) return place(zones[0]!);
  let chosen: { zone: string | null; rank: number } | null = null;
  for (const zone of zones) {
    const steps = place(zone);
    if (steps === null) continue;
    const rented = steps.reduce(
      (n, s) => n + (s.slot.machine === null && s.start > b.picture.now ? 1 : 0),
      0,
    );
    const rank = lastFinish(steps) + rented * 1_000;
    const leads = chosen === null || rank < chosen.rank;
    if (leads) chosen = { zone, rank };
    // The last one tried stays as it is if it is the best.
    if (leads && zone === zones[zones.length - 1]) return steps;
    b.rollback(mark);
  }
  return chosen === null ? null : place(chosen.zone);
};

export interface Score {
  readonly makespan: Micros;
  readonly sum: number;
  /** Represented work that could be placed nowhere: more of it is never better. */
  readonly unplaced: number;
}

/** Plays `groups` out to completion and adds what `opening` already decided. */
export const playOut = (
  b: PlacementSimulation,
  groups: readonly Group[],
  opening: readonly Step[],
): Score => {
  const p = b.picture;
  let makespan = 0;
  let sum = 0;
  let unplaced = 0;
  const add = (steps: readonly Step[]): void => {
    for (const s of steps) {
      if (s.group.spec.shape === 'service') {
        sum += (s.start - p.now) * s.count;
        makespan = Math.max(makespan, s.start - p.now);
      } else {
        makespan = Math.max(makespan, s.finish - p.now);
        sum += (s.finish - p.now) * s.count;
      }
    }
  };
  add(opening);
  for (const g of groups) {
    const steps = placeGroup(b, g);
    if (steps === null) unplaced += g.count;
    else add(steps);
  }
  return { makespan, sum, unplaced };
};

const better = (a: Score, b: Score, tolerance: Micros): boolean => {
  if (a.unplaced !== b.unplaced) return a.unplaced < b.unplaced;
  if (Math.abs(a.makespan - b.makespan) > tolerance) return a.makespan < b.makespan;
  return a.sum < b.sum;
};

/** After the budget, so much longer may go into placing what can't begin now: a plan has to end. */
const PLACING: Micros = 80_000;

export interface SearchLimits {
  readonly budgetUs: Micros;
  readonly width: number;
  readonly depth: number;
  readonly toleranceUs: Micros;
}

export interface Decision {
  readonly steps: readonly Step[];
  readonly picture: Picture;
  readonly searched: number;
  readonly fellBack: boolean;
  /** Places looked at: what the plan cost, whatever the machine. */
  readonly looks: number;
}

/** What of a job's room is kept in each of so many zones, so that it finds enough wherever it may go. */
const shareOf = (spec: JobSpec, zones: number): number => {
  if (spec.sameZone) return spec.tasks;
  return spec.spread ? spreadLimit(spec) : Math.ceil(spec.tasks / zones);
};

/** Whether the group can begin at this moment: a gang needs room for all its members. */
const beginsNow = (b: PlacementSimulation, g: Group): boolean => {
  const wanted = g.spec.shape === 'gang' ? g.count : 1;
  return zoneChoices(b, g).some((z) => b.hasRoomNow(g, z, wanted));
};

/**
 * For one group: the best place whose image is there and the best whose is not, or that boots. None if
 * the group can't begin now: a gang needs room for all its members.
 */
const firstOptions = (b: PlacementSimulation, g: Group): Option[] => {
  const out: Option[] = [];
  const { now } = b.picture;
  const wanted = g.spec.shape === 'gang' ? g.count : 1;
  for (const z of zoneChoices(b, g)) {
    if (!b.hasRoomNow(g, z, wanted)) continue;
    const found: { warm: Option | null; cold: Option | null; room: number } = {
      warm: null,
      cold: null,
      room: 0,
    };
    b.eachOption(
      g,
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

/**
 * Chooses first actions one after the other, each committed into the picture before the next is
 * searched. `groups` come in the order of turns; the picture is changed.
 */
export const search = (
  p: Picture,
  groups: readonly Group[],
  limits: SearchLimits,
  stopwatch: () => Micros,
): Decision => {
  const began = stopwatch();
  const b = new PlacementSimulation(p, groups);
  const steps: Step[] = [];
  let left = groups.filter((g) => !g.phantom);
  const kept = groups.filter((g) => g.kept === true);
  const phantoms = groups.filter((g) => g.phantom && g.kept !== true);
  let searched = 0;
  let fellBack = false;
  const settle = (g: Group, first: Option | null): void => {
    const made = placeGroup(b, g, first);
    if (made !== null) steps.push(...made);
  };
  // Else the first actions of others, which are all that is compared below, would take the room that
  // is being made for these, a task at a time, for ever.
  // What can't begin now, nor have machines rented for it, only holds room for later: of that as many are
  // placed as a candidate is played out with, in the order of turns. The others wait for the next plan.
  const settled = new Set<Group>();
  const held = [0, 0];
  const late = (g: Group): boolean => {
    const k = gpuKind(g.spec);
    if (held[k]! >= limits.depth && !b.mayRent(g)) return true;
    held[k]!++;
    return stopwatch() - began > limits.budgetUs + PLACING;
  };
  for (const g of left) {
    if (!g.reserve || beginsNow(b, g)) continue;
    // Else each place that becomes free would go to smaller work of lower priority, for as long as more
    // waits above it than one plan looks at: on a full-size day 40 gangs waited so behind arrays.
    if (late(g)) b.keepFor(g);
    else settle(g, null);
    settled.add(g);
  }
  left = left.filter((g) => !settled.has(g));
  const place = (part: readonly Group[]): void => {
    let left = part;
    while (left.length > 0) {
      const represented = left.slice(0, limits.depth);
      let chosen: { group: Group; option: Option; score: Score } | null = null;
      const candidates: { group: Group; option: Option }[] = [];
      let listed = 0;
      for (const group of represented) {
        const places = firstOptions(b, group);
        for (const option of places) candidates.push({ group, option });
        if (places.length > 0) listed++;
        if (listed >= limits.width) break;
      }
      // Nothing can begin now: there is no first action to choose, only what to wait for and to rent.
      if (candidates.length === 0) break;
      // One candidate, or one group with one place to go: nothing to compare.
      if (candidates.length > 1 && represented.length > 1) {
        for (const { group, option } of candidates) {
          if (stopwatch() - began > limits.budgetUs) {
            fellBack = true;
            break;
          }
          const mark = b.mark();
          const opening = placeGroup(b, group, option);
          if (opening !== null) {
            searched++;
            const score = playOut(
              b,
              represented.filter((g) => g !== group),
              opening,
            );
            if (chosen === null || better(score, chosen.score, limits.toleranceUs))
              chosen = { group, option, score };
          }
          b.rollback(mark);
        }
      } else if (candidates.length > 0 && represented.length === 1) {
        const one = candidates.map((c) => c.option).reduce((x, y) => (y.rank < x.rank ? y : x));
        chosen = { group: represented[0]!, option: one, score: { makespan: 0, sum: 0, unplaced: 0 } };
      }
      if (fellBack) break;
      const group = chosen?.group ?? left[0]!;
      settle(group, chosen?.option ?? null);
      left = left.filter((g) => g !== group);
    }
    for (const g of left) if (beginsNow(b, g) || !late(g)) settle(g, null);
  };
  if (kept.length === 0) place(left);
  else {
    // What has to start at once comes before the room that is kept for more of it, all else after that.
    const urgent = Math.min(...kept.map((g) => g.spec.priority));
    place(left.filter((g) => g.spec.priority >= urgent));
    for (const g of kept) for (const zone of b.zones) b.keepRoom(g, zone, shareOf(g.spec, b.zones.length));
    place(left.filter((g) => g.spec.priority < urgent));
  }
  for (const g of phantoms) placeGroup(b, g);
  return { steps, picture: p, searched, fellBack, looks: b.looks };
};
