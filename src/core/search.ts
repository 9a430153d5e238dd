/**
 * Placement. The ordinary path scores each candidate first action by playing a bounded set of waiting
 * work out to completion under earliest predicted finish, and commits the first action only (paper,
 * 10.2-10.4). Past its budget it is earliest predicted finish, which is the same play-out without
 * alternatives for the first step.
 */
import type { JobSpec, MachineType, Micros } from './model.js';
import type { Amounts } from './room.js';
import { addTo, fits, placeAllowed, spreadLimit, takeFrom, timesFits } from './room.js';

/** Room that changes at a later time: what ends gives room, what is planned takes it. */
interface Change extends Amounts {
  readonly at: Micros;
}

/** A machine in the picture: up, booting, or only rentable. */
export interface Slot {
  readonly key: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Null for a machine that would have to be rented. */
  readonly machine: string | null;
  readonly ready: Micros;
  /** Room at `ready`. */
  readonly free: Amounts;
  changes: Change[];
  images: Set<string>;
  /** Above 1: runs slower than its type. */
  readonly slow: number;
  used: boolean;
}

/** A kind of machine that may be rented. */
export interface Rentable {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly limit: number;
}

/** Identical waiting tasks of one job. */
export interface Group {
  readonly spec: JobSpec;
  readonly count: number;
  /** Tasks of the job in each zone already. */
  readonly zones: ReadonlyMap<string, number>;
  /** Machines that these tasks had better avoid. */
  readonly avoid: ReadonlySet<string>;
  /** Progress that a restart continues from. */
  readonly credit: Micros;
  /** Weight of the wait for a rented machine, 1 where the job has no tight aim. */
  readonly margin: Micros;
  /** No real work: room kept for arrivals. */
  readonly phantom: boolean;
}

/** `count` tasks of a group begin on a slot at a time. */
export interface Step {
  readonly group: Group;
  readonly slot: Slot;
  readonly count: number;
  readonly start: Micros;
  readonly finish: Micros;
}

export interface Predictor {
  runTime(spec: JobSpec, type: MachineType, credit: Micros): Micros;
}

export interface Picture {
  readonly now: Micros;
  slots: Slot[];
  readonly rentable: readonly Rentable[];
  rented: Map<Rentable, number>;
  readonly predictor: Predictor;
}

const copyPicture = (p: Picture): Picture => ({
  ...p,
  slots: p.slots.map((s) => ({
    ...s,
    free: { cores: s.free.cores, gpus: s.free.gpus, memoryGb: s.free.memoryGb },
    changes: s.changes.slice(),
  })),
  rented: new Map(p.rented),
});

/** Services never finish: for the play-out they hold their room this long. */
const FOREVER: Micros = 1e13;

const fetchTime = (spec: JobSpec, s: { type: MachineType; images: ReadonlySet<string> }): Micros =>
  s.images.has(spec.image) || s.type.fetchGbPerS <= 0
    ? 0
    : Math.round((spec.imageGb / s.type.fetchGbPerS) * 1e6);

const duration = (p: Picture, g: Group, s: { type: MachineType; slow: number }): Micros =>
  g.spec.shape === 'service' ? FOREVER : Math.round(p.predictor.runTime(g.spec, s.type, g.credit) * s.slow);

/** The first time from which `need` fits for all of `length`; the room then is left in `room`. */
const earliest = (s: Slot, need: Amounts, length: Micros, room: Amounts): Micros | null => {
  const starts: Micros[] = [s.ready];
  for (const c of s.changes) if (c.at > s.ready && c.cores + c.gpus + c.memoryGb > 0) starts.push(c.at);
  for (const t of starts) {
    room.cores = s.free.cores;
    room.gpus = s.free.gpus;
    room.memoryGb = s.free.memoryGb;
    const least = room;
    let i = 0;
    for (; i < s.changes.length && s.changes[i]!.at <= t; i++) addTo(least, s.changes[i]!);
    if (!fits(need, least)) continue;
    let { cores, gpus, memoryGb } = least;
    let ok = true;
    for (; i < s.changes.length && s.changes[i]!.at < t + length; i++) {
      const c = s.changes[i]!;
      cores += c.cores;
      gpus += c.gpus;
      memoryGb += c.memoryGb;
      least.cores = Math.min(least.cores, cores);
      least.gpus = Math.min(least.gpus, gpus);
      least.memoryGb = Math.min(least.memoryGb, memoryGb);
      if (!fits(need, least)) {
        ok = false;
        break;
      }
    }
    if (ok) return t;
  }
  return null;
};

const insert = (s: Slot, c: Change): void => {
  let i = s.changes.length;
  while (i > 0 && s.changes[i - 1]!.at > c.at) i--;
  s.changes.splice(i, 0, c);
};

const occupy = (s: Slot, g: Group, count: number, start: Micros, finish: Micros): void => {
  const n: Amounts = {
    cores: g.spec.cores * count,
    gpus: g.spec.gpus * count,
    memoryGb: g.spec.memoryGb * count,
  };
  if (start <= s.ready) takeFrom(s.free, n);
  else insert(s, { at: start, cores: -n.cores, gpus: -n.gpus, memoryGb: -n.memoryGb });
  insert(s, { at: finish, ...n });
  if (!s.images.has(g.spec.image)) s.images = new Set(s.images).add(g.spec.image);
  s.used = true;
};

/** Keeps GPU machines for work that needs GPUs, and full machines full, among near-equal finishes. */
const waste = (spec: JobSpec, s: Slot): Micros => {
  let w = 0;
  if (spec.gpus === 0 && s.type.gpus > 0) w += 8_000_000;
  const share = s.type.gpus > 0 ? s.free.gpus / s.type.gpus : s.free.cores / s.type.cores;
  w += Math.round(2_000_000 * Math.max(0, Math.min(1, share)));
  if (s.spot) w += 500_000;
  return w;
};

interface Option {
  readonly slot: Slot;
  readonly rentable: Rentable | null;
  readonly start: Micros;
  readonly finish: Micros;
  readonly count: number;
  readonly rank: number;
  readonly warm: boolean;
}

let virtualKey = 0;
const virtualSlot = (p: Picture, r: Rentable): Slot => ({
  key: `rent-${virtualKey++}`,
  type: r.type,
  zone: r.zone,
  spot: r.spot,
  machine: null,
  ready: p.now + r.type.bootUs,
  free: { cores: r.type.cores, gpus: r.type.gpus, memoryGb: r.type.memoryGb },
  changes: [],
  images: new Set(),
  slow: 1,
  used: false,
});

const perTask = (spec: JobSpec, r: Rentable): number =>
  (r.spot ? r.type.spotPrice : r.type.price) / Math.max(1, timesFits(spec, r.type));

/** Where `g`'s tasks could go, each with its predicted finish. */
const options = (p: Picture, g: Group, zone: string | null): Option[] => {
  const { spec } = g;
  const out: Option[] = [];
  const room: Amounts = { cores: 0, gpus: 0, memoryGb: 0 };
  const consider = (s: Slot, rentable: Rentable | null, extra: Micros): void => {
    if (zone !== null && s.zone !== zone) return;
    const fetch = fetchTime(spec, s);
    const length = fetch + duration(p, g, s);
    const start = earliest(s, spec, length, room);
    if (start === null) return;
    const avoid = s.machine !== null && g.avoid.has(s.machine) ? 60_000_000 : 0;
    out.push({
      slot: s,
      rentable,
      start,
      finish: start + length,
      count: Math.max(1, timesFits(spec, room)),
      rank: start + length + waste(spec, s) + extra + avoid,
      warm: fetch === 0,
    });
  };
  for (const s of p.slots) {
    if (!placeAllowed(spec, s.type.name, s.zone, s.spot) || !fits(spec, s.type)) continue;
    consider(s, null, 0);
  }
  let cheapest = Infinity;
  const allowed = p.rentable.filter((r) => {
    if (!placeAllowed(spec, r.type.name, r.zone, r.spot) || !fits(spec, r.type)) return false;
    cheapest = Math.min(cheapest, perTask(spec, r));
    return (p.rented.get(r) ?? 0) < r.limit;
  });
  for (const r of allowed) {
    const dearer = cheapest > 0 ? Math.min(6, perTask(spec, r) / cheapest) : 1;
    consider(virtualSlot(p, r), r, Math.round(g.margin * dearer));
  }
  return out;
};

const realise = (p: Picture, o: Option): Slot => {
  if (o.rentable === null) return o.slot;
  p.rented.set(o.rentable, (p.rented.get(o.rentable) ?? 0) + 1);
  p.slots.push(o.slot);
  return o.slot;
};

const best = (all: readonly Option[]): Option | null => {
  let b: Option | null = null;
  for (const o of all) if (b === null || o.rank < b.rank) b = o;
  return b;
};

/** Zones a job may still use: one already taken binds a job that must stay in one zone. */
const zoneChoices = (p: Picture, g: Group): (string | null)[] => {
  if (!g.spec.sameZone) return [null];
  const taken = [...g.zones].filter(([, n]) => n > 0).map(([z]) => z);
  if (taken.length > 0) return taken.slice(0, 1);
  const zones = new Set<string>();
  for (const s of p.slots) zones.add(s.zone);
  for (const r of p.rentable) zones.add(r.zone);
  return [...zones];
};

const zoneRoom = (g: Group, used: ReadonlyMap<string, number>, zone: string): number =>
  g.spec.spread ? spreadLimit(g.spec) - (g.zones.get(zone) ?? 0) - (used.get(zone) ?? 0) : Infinity;

/** Places tasks one chunk at a time where they finish first. Null: some can be placed nowhere. */
const placeTasks = (p: Picture, g: Group, zone: string | null, first: Option | null): Step[] | null => {
  const steps: Step[] = [];
  const used = new Map<string, number>();
  let left = g.count;
  let forced = first;
  while (left > 0) {
    const o = forced ?? best(options(p, g, zone).filter((x) => zoneRoom(g, used, x.slot.zone) >= 1));
    forced = null;
    if (o === null) return null;
    const slot = realise(p, o);
    // Chunks of a gang are kept to what starts together; of an array to what fits at that moment.
    const count = Math.min(left, o.count, zoneRoom(g, used, slot.zone));
    occupy(slot, g, count, o.start, o.finish);
    used.set(slot.zone, (used.get(slot.zone) ?? 0) + count);
    steps.push({ group: g, slot, count, start: o.start, finish: o.finish });
    left -= count;
  }
  return steps;
};

/** All members begin together: the start is that of the last one, the finish that of the slowest. */
const asGang = (steps: readonly Step[]): Step[] => {
  const start = Math.max(...steps.map((s) => s.start));
  const length = Math.max(...steps.map((s) => s.finish - s.start));
  for (const s of steps) {
    if (s.start === start) continue;
    // The room stays taken from the member's own start until the gang's end.
    const n = s.group.spec;
    const extra = start + length - s.finish;
    if (extra > 0) {
      insert(s.slot, {
        at: s.finish,
        cores: -n.cores * s.count,
        gpus: -n.gpus * s.count,
        memoryGb: -n.memoryGb * s.count,
      });
      insert(s.slot, {
        at: start + length,
        cores: n.cores * s.count,
        gpus: n.gpus * s.count,
        memoryGb: n.memoryGb * s.count,
      });
    }
  }
  return steps.map((s) => ({ ...s, start, finish: start + length }));
};

const lastFinish = (steps: readonly Step[]): Micros => Math.max(...steps.map((s) => s.finish));

/** Places one group under earliest predicted finish. Null if it fits nowhere, now or later. */
export const placeGroup = (p: Picture, g: Group, first: Option | null = null): Step[] | null => {
  const zones = zoneChoices(p, g);
  let chosen: { picture: Picture; steps: Step[]; rank: number } | null = null;
  if (zones.length === 1 && g.spec.shape !== 'gang') return placeTasks(p, g, zones[0]!, first);
  for (const zone of zones) {
    if (first !== null && zone !== null && first.slot.zone !== zone) continue;
    const trial = copyPicture(p);
    const opening =
      first === null
        ? null
        : { ...first, slot: trial.slots.find((s) => s.key === first.slot.key) ?? first.slot };
    const raw = placeTasks(trial, g, zone, opening);
    if (raw === null) continue;
    const steps = g.spec.shape === 'gang' ? asGang(raw) : raw;
    const rented = steps.reduce((n, s) => n + (s.slot.machine === null && s.start > p.now ? 1 : 0), 0);
    const rank = lastFinish(steps) + rented * 1_000;
    if (chosen === null || rank < chosen.rank) chosen = { picture: trial, steps, rank };
  }
  if (chosen === null) return null;
  p.slots = chosen.picture.slots;
  p.rented = chosen.picture.rented;
  return chosen.steps;
};

export interface Score {
  readonly makespan: Micros;
  readonly sum: number;
  /** Represented work that could be placed nowhere: more of it is never better. */
  readonly unplaced: number;
}

/** Plays `groups` out to completion and adds what `opening` already decided. */
export const playOut = (p: Picture, groups: readonly Group[], opening: readonly Step[]): Score => {
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
    const steps = placeGroup(p, g);
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
}

/** For one group: the best option whose image is there and the best whose is not, or that boots. */
const firstOptions = (p: Picture, g: Group): Option[] => {
  const all = zoneChoices(p, g).flatMap((z) => options(p, g, z));
  const warm = best(all.filter((o) => o.warm && o.start <= p.now));
  const cold = best(all.filter((o) => !(o.warm && o.start <= p.now)));
  return [warm, cold].filter((o): o is Option => o !== null);
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
  const steps: Step[] = [];
  let left = groups.filter((g) => !g.phantom);
  const phantoms = groups.filter((g) => g.phantom);
  let searched = 0;
  let fellBack = false;
  while (left.length > 0) {
    const represented = left.slice(0, limits.depth);
    const shortlist = represented.slice(0, limits.width);
    let chosen: { group: Group; option: Option; score: Score } | null = null;
    const candidates = shortlist.flatMap((group) =>
      firstOptions(p, group).map((option) => ({ group, option })),
    );
    // One candidate, or one group with one place to go: nothing to compare.
    if (candidates.length > 1 && represented.length > 1) {
      for (const { group, option } of candidates) {
        if (stopwatch() - began > limits.budgetUs) {
          fellBack = true;
          break;
        }
        const trial = copyPicture(p);
        const slot = trial.slots.find((s) => s.key === option.slot.key) ?? option.slot;
        const own =
          slot === option.slot
            ? { ...option, slot: { ...slot, free: { ...slot.free }, changes: [] } }
            : { ...option, slot };
        const opening = placeGroup(trial, group, own);
        if (opening === null) continue;
        searched++;
        const score = playOut(
          trial,
          represented.filter((g) => g !== group),
          opening,
        );
        if (chosen === null || better(score, chosen.score, limits.toleranceUs))
          chosen = { group, option, score };
      }
    } else if (candidates.length > 0 && represented.length === 1) {
      const one = best(candidates.map((c) => c.option))!;
      chosen = { group: represented[0]!, option: one, score: { makespan: 0, sum: 0, unplaced: 0 } };
    }
    if (fellBack) break;
    const group = chosen?.group ?? left[0]!;
    const made = placeGroup(p, group, chosen?.option ?? null);
    if (made !== null) steps.push(...made);
    left = left.filter((g) => g !== group);
  }
  for (const g of left) {
    const made = placeGroup(p, g);
    if (made !== null) steps.push(...made);
  }
  for (const g of phantoms) placeGroup(p, g);
  return { steps, picture: p, searched, fellBack };
};
