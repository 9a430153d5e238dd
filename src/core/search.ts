/**
 * Placement. The ordinary path scores each candidate first action by playing a bounded set of waiting
 * work out to completion under earliest predicted finish, and commits the first action only (paper,
 * 10.2-10.4). Past its budget it is earliest predicted finish, which is the same play-out without
 * alternatives for the first step.
 */
import type { JobSpec, MachineType, Micros } from './model.js';
import type { Amounts } from './room.js';
import { fits, placeAllowed, spreadLimit, takeFrom, timesFits } from './room.js';

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
  /** Costs the same whether it is used or not: it is never returned. */
  readonly sunk: boolean;
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
  /** How long it may wait for a cheaper place without risk to its next aim. */
  readonly patience: Micros;
  /** The only machines to look at, where room is being made for the group. */
  readonly only: ReadonlySet<string> | null;
  /**
   * Its turn, its promise or its priority protects it: if it can't begin now, what it will need is kept
   * from the groups behind it.
   */
  readonly reserve: boolean;
  /** No real work: room kept for arrivals. */
  readonly phantom: boolean;
  /** Relative prices by type and kind, filled in as they are asked for. */
  readonly dear: Map<string, number>;
  /** Predicted run times by type, filled in as they are asked for. */
  readonly runs: Map<string, Micros>;
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
  readonly types: Iterable<MachineType>;
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

const duration = (p: Picture, g: Group, s: { type: MachineType; slow: number }): Micros => {
  if (g.spec.shape === 'service') return FOREVER;
  let run = g.runs.get(s.type.name);
  if (run === undefined) {
    run = p.predictor.runTime(g.spec, s.type, g.credit);
    g.runs.set(s.type.name, run);
  }
  return Math.round(run * s.slow);
};

/** The first time from which `need` fits for all of `length`; the room then is left in `room`. */
const earliest = (s: Slot, need: Amounts, length: Micros, room: Amounts): Micros | null => {
  const { changes } = s;
  let { cores, gpus, memoryGb } = s.free;
  // Room at a start time is that of all changes up to it; then the least over the length must fit.
  for (let first = -1; first < changes.length; first++) {
    let t = s.ready;
    if (first >= 0) {
      const c = changes[first]!;
      cores += c.cores;
      gpus += c.gpus;
      memoryGb += c.memoryGb;
      if (c.at > t) t = c.at;
    }
    const next = changes[first + 1];
    if (next !== undefined && next.at <= t) continue;
    room.cores = cores;
    room.gpus = gpus;
    room.memoryGb = memoryGb;
    if (!fits(need, room)) continue;
    let ok = true;
    let c = cores;
    let g = gpus;
    let m = memoryGb;
    for (let i = first + 1; i < changes.length && changes[i]!.at < t + length; i++) {
      const x = changes[i]!;
      c += x.cores;
      g += x.gpus;
      m += x.memoryGb;
      if (c < room.cores) room.cores = c;
      if (g < room.gpus) room.gpus = g;
      if (m < room.memoryGb) room.memoryGb = m;
      if (!fits(need, room)) {
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

const MAX_DEAR = 3;
/** What a place that is dearer by its job's lowest price again counts as, in waiting time. */
const DEAR_WEIGHT: Micros = 8_000_000;

/** Share of the time by which a task keeps a machine busy for longer that counts against the place. */
const EXTENSION_WEIGHT = 0.12;

/**
 * What separates places with near-equal finishes: GPU machines are kept for work that needs GPUs, and
 * a task had better go where the machine is busy for as long anyway, so that others become empty and
 * can be returned.
 */
const waste = (spec: JobSpec, s: Slot, finish: Micros): Micros => {
  let w = s.sunk && spec.gpus === 0 && s.type.gpus > 0 ? 8_000_000 : 0;
  const busyUntil = s.changes.at(-1)?.at ?? s.ready;
  if (spec.shape !== 'service')
    w += Math.round(EXTENSION_WEIGHT * Math.max(0, finish - Math.max(busyUntil, s.ready)));
  const share = s.type.gpus > 0 ? s.free.gpus / s.type.gpus : s.free.cores / s.type.cores;
  w += Math.round(4_000_000 * Math.max(0, Math.min(1, share)));
  // Machines that may be taken back are for work that saves; the others are for what must not go there.
  if (spec.spot) w += s.spot === spec.checkpointUs > 0 ? 0 : 4_000_000;
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
  sunk: false,
  machine: null,
  ready: p.now + r.type.bootUs,
  free: { cores: r.type.cores, gpus: r.type.gpus, memoryGb: r.type.memoryGb },
  changes: [],
  images: new Set(),
  slow: 1,
  used: false,
});

/** What one task's share of a machine costs an hour. */
const perTask = (spec: JobSpec, type: MachineType, spot: boolean): number =>
  (spot ? type.spotPrice : type.price) / Math.max(1, timesFits(spec, type));

/** The price of a task's share of a machine, as a multiple of the lowest ordinary price that its job can get. */
const dearness = (p: Picture, g: Group, type: MachineType, spot: boolean): number => {
  const key = `${type.name}|${spot ? 's' : 'o'}`;
  let d = g.dear.get(key);
  if (d === undefined) {
    // Nominal prices of all types count, also of those that are refused now: scarcity does not make
    // a dear machine cheap.
    let cheapest = Infinity;
    for (const t of p.types)
      if ((g.spec.types === null || g.spec.types.includes(t.name)) && fits(g.spec, t))
        cheapest = Math.min(cheapest, perTask(g.spec, t, false));
    d = cheapest > 0 && cheapest < Infinity ? Math.min(MAX_DEAR, perTask(g.spec, type, spot) / cheapest) : 1;
    g.dear.set(key, d);
  }
  return d;
};

/** Looks at every place where `g`'s tasks could go, each with its predicted finish. */
const eachOption = (
  p: Picture,
  g: Group,
  zoneAllowed: (zone: string) => boolean,
  /** Called with a place only if its rank is below the bound that the last call returned. */
  visit: (o: Option) => Micros,
): void => {
  const { spec } = g;
  const room: Amounts = { cores: 0, gpus: 0, memoryGb: 0 };
  let bound = Infinity;
  const consider = (s: Slot, rentable: Rentable | null, extra: Micros): void => {
    const fetch = fetchTime(spec, s);
    const length = fetch + duration(p, g, s);
    if (s.ready + length + extra >= bound) return;
    const start = earliest(s, spec, length, room);
    if (start === null) return;
    const avoid = s.machine !== null && g.avoid.has(s.machine) ? 60_000_000 : 0;
    const finish = start + length;
    // On a machine that could be returned, work that needs little of what is dear about it blocks the rest.
    const dear = s.sunk
      ? 0
      : Math.min(g.patience, Math.round(DEAR_WEIGHT * Math.max(0, dearness(p, g, s.type, s.spot) - 1)));
    const rank = finish + waste(spec, s, finish) + dear + extra + avoid;
    if (rank >= bound) return;
    const count = Math.max(1, timesFits(spec, room));
    bound = visit({ slot: s, rentable, start, finish, count, rank, warm: fetch === 0 });
  };
  for (const s of p.slots) {
    if (!placeAllowed(spec, s.type.name, s.zone, s.spot) || !fits(spec, s.type)) continue;
    if (g.only !== null && (s.machine === null || !g.only.has(s.machine))) continue;
    if (zoneAllowed(s.zone)) consider(s, null, 0);
  }
  if (g.only !== null) return;
  for (const r of p.rentable) {
    if (!placeAllowed(spec, r.type.name, r.zone, r.spot) || !fits(spec, r.type)) continue;
    if ((p.rented.get(r) ?? 0) >= r.limit || !zoneAllowed(r.zone)) continue;
    consider(virtualSlot(p, r), r, Math.round(g.margin * Math.max(1, dearness(p, g, r.type, r.spot))));
  }
};

const bestOption = (p: Picture, g: Group, zoneAllowed: (zone: string) => boolean): Option | null => {
  let b: Option | null = null;
  eachOption(p, g, zoneAllowed, (o) => {
    b = o;
    return o.rank;
  });
  return b;
};

const realise = (p: Picture, o: Option): Slot => {
  if (o.rentable === null) return o.slot;
  p.rented.set(o.rentable, (p.rented.get(o.rentable) ?? 0) + 1);
  p.slots.push(o.slot);
  return o.slot;
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
    const o = forced ?? bestOption(p, g, (z) => (zone === null || z === zone) && zoneRoom(g, used, z) >= 1);
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
  if (zones.length === 1) {
    const steps = placeTasks(p, g, zones[0]!, first);
    return steps !== null && g.spec.shape === 'gang' ? asGang(steps) : steps;
  }
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

/**
 * For one group: the best place whose image is there and the best whose is not, or that boots. None if
 * the group can't begin now: a gang needs room for all its members.
 */
const firstOptions = (p: Picture, g: Group): Option[] => {
  const out: Option[] = [];
  for (const z of zoneChoices(p, g)) {
    const found: { warm: Option | null; cold: Option | null; room: number } = {
      warm: null,
      cold: null,
      room: 0,
    };
    eachOption(
      p,
      g,
      (zone) => z === null || z === zone,
      (o) => {
        const now = o.start <= p.now;
        if (now) found.room += o.count;
        if (o.warm && now) {
          if (found.warm === null || o.rank < found.warm.rank) found.warm = o;
        } else if (found.cold === null || o.rank < found.cold.rank) found.cold = o;
        return Infinity;
      },
    );
    if (found.room < (g.spec.shape === 'gang' ? g.count : 1)) continue;
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
  const steps: Step[] = [];
  let left = groups.filter((g) => !g.phantom);
  const phantoms = groups.filter((g) => g.phantom);
  let searched = 0;
  let fellBack = false;
  // Else the first actions of others, which are all that is compared below, would take the room that
  // is being made for these, a task at a time, for ever.
  for (const g of left.filter((x) => x.reserve)) {
    if (firstOptions(p, g).length > 0) continue;
    const made = placeGroup(p, g);
    if (made !== null) steps.push(...made);
    left = left.filter((x) => x !== g);
  }
  while (left.length > 0) {
    const represented = left.slice(0, limits.depth);
    let chosen: { group: Group; option: Option; score: Score } | null = null;
    const candidates: { group: Group; option: Option }[] = [];
    let listed = 0;
    for (const group of represented) {
      const places = firstOptions(p, group);
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
      const one = candidates.map((c) => c.option).reduce((a, b) => (b.rank < a.rank ? b : a));
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
