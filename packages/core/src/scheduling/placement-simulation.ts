/**
 * The picture that placement works on: machines by pool, in the order in which they may have room, with
 * everything that a play-out changes noted so that it can be taken back. Nothing is copied: at a thousand
 * machines a copy for each candidate costs far more than the play-out itself.
 */
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import type { Amounts } from '../domain/resources.js';
import { addTo, fits, placeAllowed, timesFits } from '../domain/resources.js';
import type { CapacityChange, MachineSlot } from '../cluster/machine-slot.js';
import {
  gpuKind,
  type TaskGroup,
  type PlacementOption,
  type ClusterSnapshot,
  type CapacityOffer,
  type Placement,
} from './plan-input.js';
import {
  DEAR_MACHINE,
  DEAR_WEIGHT,
  BLOCK_WEIGHT,
  SMALL,
  dearness,
  fetchTime,
  priceOf,
  waste,
} from './ranking.js';
import { earliest, firstFit, FOREVER, insert, negative } from './capacity-timeline.js';

interface Pool {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** By the first floor that the seats had, for each need of GPUs. */
  readonly byFloor: [Placement[], Placement[]];
  readonly seats: Placement[];
  /** The floors that the seats were sorted by. */
  readonly sorted: [Micros[], Micros[]];
  /** The least that any group of the plan needs here, by need of GPUs. Null: none may come here. */
  readonly least: [Amounts | null, Amounts | null];
  /** Work of lower priority begins nowhere here: its machines drain for what waits. */
  keptFor: number;
}

type Undo =
  | {
      readonly seat: Placement;
      readonly free: Readonly<Amounts>;
      readonly changes: readonly CapacityChange[];
      readonly images: ReadonlySet<string>;
      readonly used: boolean;
      readonly alike: number;
      readonly floor0: Micros;
      readonly floor1: Micros;
    }
  | { readonly seat: null; readonly rentable: CapacityOffer; readonly pool: Pool };

/** Stands for the floor of a rented machine, which is added behind the sorted ones. */
const UNSORTED = -1;

/** Of a machine on which nothing runs, all that decides what it can offer beside when it is ready. */
const likenessOf = ({ type, zone, spot, sunkCost: sunk, free, images }: MachineSlot): string =>
  `${type.name}|${sunk ? 'sunk' : ''}|${zone}|${spot ? 's' : 'o'}|${free.cores}|${free.gpus}|${free.memoryGb}|${[...images].join()}`;

export class PlacementSimulation {
  readonly zones: readonly string[];
  private readonly pools = new Map<string, Pool>();
  private readonly seatByMachine = new Map<string, Placement>();
  private readonly alikes = new Map<string, number>();
  private undo: Undo[] = [];
  private virtual = 0;
  private seen = new Int32Array(64);
  /** Places looked at: the work bound of a plan, for tests and logs. */
  looks = 0;
  private readonly kinds: readonly JobSpec[];
  private readonly larger = new Map<JobSpec, readonly JobSpec[]>();

  constructor(
    readonly picture: ClusterSnapshot,
    groups: readonly TaskGroup[],
    /** Kinds of tasks that may be placed beside the groups. */
    furtherKinds: readonly JobSpec[] = [],
  ) {
    const kinds = new Map<string, JobSpec>();
    for (const k of [...(picture.kinds ?? []), ...groups.map((g) => g.spec)]) {
      const key = `${k.cores}|${k.gpus}|${k.memoryGb}|${k.machineTypes?.join('+') ?? '*'}`;
      if (k.shape !== 'service') kinds.set(key, k);
    }
    this.kinds = [...kinds.values()];
    const zones = new Set<string>();
    for (const s of picture.slots) {
      const seat: Placement = { slot: s, floor: [0, 0], alike: this.alikeOf(s) };
      this.poolOf(s.type, s.zone, s.spot).seats.push(seat);
      if (s.machine !== null) this.seatByMachine.set(s.machine, seat);
      zones.add(s.zone);
    }
    for (const r of picture.rentable) {
      zones.add(r.zone);
      this.poolOf(r.type, r.zone, r.spot);
    }
    this.zones = [...zones];
    for (const p of this.pools.values()) {
      for (const g of groups) this.widen(p, g.spec);
      for (const spec of furtherKinds) this.widen(p, spec);
      this.sort(p);
    }
  }

  private poolOf(type: MachineType, zone: string, spot: boolean): Pool {
    const key = `${type.name}|${zone}|${spot ? 's' : 'o'}`;
    let p = this.pools.get(key);
    if (p === undefined) {
      p = {
        type,
        zone,
        spot,
        byFloor: [[], []],
        sorted: [[], []],
        seats: [],
        least: [null, null],
        keptFor: 0,
      };
      this.pools.set(key, p);
    }
    return p;
  }

  private widen(p: Pool, spec: JobSpec): void {
    if (!placeAllowed(spec, p.type.name, p.zone, p.spot) || !fits(spec, p.type)) return;
    const k = gpuKind(spec);
    const l = p.least[k];
    if (l === null) p.least[k] = { cores: spec.cores, gpus: spec.gpus, memoryGb: spec.memoryGb };
    else {
      l.cores = Math.min(l.cores, spec.cores);
      l.gpus = Math.min(l.gpus, spec.gpus);
      l.memoryGb = Math.min(l.memoryGb, spec.memoryGb);
    }
  }

  /** Idle machines that differ in nothing that counts need be looked at once. */
  private alikeOf(slot: MachineSlot): number {
    if (slot.changes.length > 0) return -1;
    slot.equivalenceKey ??= likenessOf(slot);
    // Machines that are up are all ready at once; the text itself is then the key, and is hashed once for many plans.
    const key =
      slot.readyAt <= this.picture.now ? slot.equivalenceKey : `${slot.readyAt}|${slot.equivalenceKey}`;
    let number = this.alikes.get(key);
    if (number === undefined) this.alikes.set(key, (number = this.alikes.size));
    return number;
  }

  /** Once, before anything is played out: floors found later would be those of some trial. */
  private sort(p: Pool): void {
    for (const k of [0, 1] as const) {
      if (p.least[k] === null) continue;
      for (const s of p.seats) s.floor[k] = firstFit(s.slot, p.least[k]);
      p.byFloor[k].push(...p.seats);
      p.byFloor[k].sort((x, y) => x.floor[k] - y.floor[k]);
      p.sorted[k].push(...p.byFloor[k].map((x) => x.floor[k]));
    }
  }

  mark(): number {
    return this.undo.length;
  }

  /** Takes back everything since the mark. */
  rollback(mark: number): void {
    while (this.undo.length > mark) {
      const u = this.undo.pop()!;
      if (u.seat !== null) {
        const s = u.seat.slot;
        s.free = u.free;
        s.changes = u.changes;
        s.images = u.images;
        s.used = u.used;
        u.seat.alike = u.alike;
        u.seat.floor[0] = u.floor0;
        u.seat.floor[1] = u.floor1;
      } else {
        this.picture.rented.set(u.rentable, this.picture.rented.get(u.rentable)! - 1);
        if (this.picture.rented.get(u.rentable) === 0) this.picture.rented.delete(u.rentable);
        this.picture.slots.pop();
        u.pool.seats.pop();
        for (const k of [0, 1] as const) {
          u.pool.byFloor[k].pop();
          u.pool.sorted[k].pop();
        }
      }
    }
  }

  private note(seat: Placement): void {
    const s = seat.slot;
    this.undo.push({
      seat,
      free: s.free,
      changes: s.changes,
      images: s.images,
      used: s.used,
      alike: seat.alike,
      floor0: seat.floor[0],
      floor1: seat.floor[1],
    });
  }

  private refit(seat: Placement): void {
    const { slot } = seat;
    const p = this.poolOf(slot.type, slot.zone, slot.spot);
    seat.alike = -1;
    seat.floor[0] = firstFit(slot, p.least[0]);
    seat.floor[1] = firstFit(slot, p.least[1]);
  }

  occupy(seat: Placement, g: TaskGroup, count: number, start: Micros, finish: Micros): void {
    this.note(seat);
    const s = seat.slot;
    const { spec } = g;
    const n: Amounts = {
      cores: spec.cores * count,
      gpus: spec.gpus * count,
      memoryGb: spec.memoryGb * count,
    };
    if (start <= s.readyAt) {
      s.free = {
        cores: s.free.cores - n.cores,
        gpus: s.free.gpus - n.gpus,
        memoryGb: s.free.memoryGb - n.memoryGb,
      };
      insert(s, { at: finish, ...n });
    } else insert(s, negative(start, n), { at: finish, ...n });
    if (!s.images.has(spec.image)) s.images = new Set(s.images).add(spec.image);
    s.used = true;
    this.refit(seat);
  }

  /** The room that ends at `from` stays taken until `until`. */
  prolong(seat: Placement, g: TaskGroup, count: number, from: Micros, until: Micros): void {
    this.note(seat);
    const { spec } = g;
    const n: Amounts = {
      cores: spec.cores * count,
      gpus: spec.gpus * count,
      memoryGb: spec.memoryGb * count,
    };
    insert(seat.slot, negative(from, n), { at: until, ...n });
    this.refit(seat);
  }

  /** Makes a chosen place part of the picture: one that would be rented is counted. */
  realise(o: PlacementOption): void {
    const r = o.rentable;
    if (r === null) return;
    const { picture } = this;
    const pool = this.poolOf(r.type, r.zone, r.spot);
    picture.rented.set(r, (picture.rented.get(r) ?? 0) + 1);
    picture.slots.push(o.seat.slot);
    pool.seats.push(o.seat);
    for (const k of [0, 1] as const) {
      // At the end of the order, whatever its floor: the scan below knows that floors are not sorted there.
      pool.byFloor[k].push(o.seat);
      pool.sorted[k].push(UNSORTED);
    }
    this.undo.push({ seat: null, rentable: r, pool });
  }

  private virtualSeat(r: CapacityOffer): Placement {
    const ready = this.picture.now + r.type.bootUs;
    return {
      slot: {
        key: `rent-${this.virtual++}`,
        type: r.type,
        zone: r.zone,
        spot: r.spot,
        sunkCost: false,
        machine: null,
        readyAt: ready,
        free: { cores: r.type.cores, gpus: r.type.gpus, memoryGb: r.type.memoryGb },
        changes: [],
        images: new Set(),
        used: false,
      },
      floor: [ready, ready],
      alike: -1,
    };
  }

  private duration(g: TaskGroup, s: { type: MachineType }): Micros {
    if (g.spec.shape === 'service') return FOREVER;
    let run = g.runTimes.get(s.type.name);
    if (run === undefined) {
      run = this.picture.predictor.runTime(g.spec, s.type, g.checkpointedProgress);
      g.runTimes.set(s.type.name, run);
    }
    return run;
  }

  private readonly room: Amounts = { cores: 0, gpus: 0, memoryGb: 0 };

  /** Kinds of tasks so much larger that a small one in the wrong place keeps them out. */
  private largerThan(spec: JobSpec): readonly JobSpec[] {
    let found = this.larger.get(spec);
    if (found === undefined) {
      found = spec.gpus > 0 ? [] : this.kinds.filter((k) => k.cores >= SMALL * spec.cores);
      this.larger.set(spec, found);
    }
    return found;
  }

  /**
   * How many of a small task fit into the room just found beside as many large ones as would fit there:
   * null if there are no larger ones to be had here.
   */
  private gapFor(spec: JobSpec, type: MachineType): number | null {
    let gap: number | null = null;
    for (const k of this.largerThan(spec)) {
      if (!fits(k, type) || (k.machineTypes !== null && !k.machineTypes.includes(type.name))) continue;
      const places = timesFits(k, this.room);
      const rest = {
        cores: this.room.cores - places * k.cores,
        gpus: this.room.gpus,
        memoryGb: this.room.memoryGb - places * k.memoryGb,
      };
      const n = timesFits(spec, rest);
      if (gap === null || n < gap) gap = n;
    }
    return gap;
  }

  /** The place that a seat offers to the group's next tasks, if its rank is below the bound. */
  offer(
    g: TaskGroup,
    seat: Placement,
    rentable: CapacityOffer | null,
    bound: Micros,
  ): PlacementOption | null {
    this.looks++;
    const { spec } = g;
    const s = seat.slot;
    const extra =
      rentable === null
        ? 0
        : Math.round(g.scaleOutThreshold * Math.max(1, dearness(this.picture, g, s.type, s.spot)));
    const fetch = fetchTime(spec, s);
    const length = fetch + this.duration(g, s);
    if (s.readyAt + length + extra >= bound) return null;
    const start = earliest(s, spec, length, this.room, g.notBefore);
    if (start === null) return null;
    const avoid = s.machine !== null && g.avoid.has(s.machine) ? 60_000_000 : 0;
    const finish = start + length;
    // Where a small task takes no place from a large one, and the machine is busy for as long anyway, it
    // costs nothing, however dear the machine.
    const gap = this.gapFor(spec, s.type);
    const inGap = gap !== null && gap > 0 && finish <= (s.changes.at(-1)?.at ?? s.readyAt);
    const blocks = gap === 0 ? Math.min(g.allowedDelay, BLOCK_WEIGHT) : 0;
    // On a machine that could be returned, work that needs little of what is dear about it blocks the rest.
    const dear =
      s.sunkCost || inGap
        ? 0
        : Math.min(
            g.allowedDelay,
            Math.round(DEAR_WEIGHT * Math.max(0, dearness(this.picture, g, s.type, s.spot) - 1)),
          );
    const price = s.sunkCost ? 1 : priceOf(this.picture, g, s.type, s.spot);
    const wasted = inGap ? 0 : waste(spec, s, finish, price, g.allowedDelay);
    const rank = finish + wasted + blocks + dear + extra + avoid;
    if (rank >= bound) return null;
    const fit = Math.max(1, timesFits(spec, this.room));
    const count = gap !== null && gap > 0 ? Math.min(fit, gap) : fit;
    return {
      seat,
      rentable,
      start,
      finish,
      count,
      rank,
      dear: price >= DEAR_MACHINE || (s.sunkCost && spec.gpus === 0 && s.type.gpus > 0),
      warm: fetch === 0,
    };
  }

  /**
   * Visits the places where `g`'s tasks could go. `visit` is called with a place only if its rank is below
   * the bound that its last call returned. `enough` alike places are visited, no more.
   */
  eachOption(
    g: TaskGroup,
    zoneAllowed: (zone: string) => boolean,
    enough: number,
    visit: (o: PlacementOption) => Micros,
  ): void {
    const { spec } = g;
    const k = gpuKind(spec);
    let bound = Infinity;
    if (g.allowedMachines !== null) {
      for (const name of g.allowedMachines) {
        const seat = this.seatByMachine.get(name);
        if (seat === undefined) continue;
        const { slot: s } = seat;
        if (!placeAllowed(spec, s.type.name, s.zone, s.spot) || !zoneAllowed(s.zone)) continue;
        const o = this.offer(g, seat, null, bound);
        if (o !== null) bound = visit(o);
      }
      return;
    }
    if (this.seen.length < this.alikes.size) this.seen = new Int32Array(this.alikes.size * 2);
    else this.seen.fill(0);
    const { seen } = this;
    const likeness = g.avoid.size === 0;
    for (const p of this.pools.values()) {
      if (!this.open(p, spec)) continue;
      if (!zoneAllowed(p.zone)) continue;
      const seats = p.byFloor[k];
      const sorted = p.sorted[k];
      const least = this.duration(g, p);
      for (let i = 0; i < seats.length; i++) {
        if (sorted[i]! + least >= bound) {
          // Rented ones stand behind the sorted ones, and are few.
          while (i + 1 < seats.length && sorted[i + 1] !== UNSORTED) i++;
          continue;
        }
        const seat = seats[i]!;
        if (seat.floor[k] + least >= bound) continue;
        if (likeness && seat.alike >= 0) {
          if (seen[seat.alike]! >= enough) continue;
          const o = this.offer(g, seat, null, bound);
          if (o === null) {
            // What the first of them can't offer, the others can't either.
            seen[seat.alike] = enough;
            continue;
          }
          seen[seat.alike] = seen[seat.alike]! + o.count;
          bound = visit(o);
          continue;
        }
        const o = this.offer(g, seat, null, bound);
        if (o !== null) bound = visit(o);
      }
    }
    for (const r of this.picture.rentable) {
      if (!placeAllowed(spec, r.type.name, r.zone, r.spot) || !fits(spec, r.type)) continue;
      if (!zoneAllowed(r.zone)) continue;
      const o = this.offerRented(g, r, bound);
      if (o !== null) bound = visit(o);
    }
  }

  /**
   * Keeps room that is free now from all that is placed after this: up to `count` tasks of the group in a zone. What is not
   * free is not waited for; the next plan keeps what came free by then, before it starts anything else there.
   */
  keepRoom(g: TaskGroup, zone: string, count: number): void {
    const { now } = this.picture;
    const k = gpuKind(g.spec);
    let left = count;
    for (const p of this.pools.values()) {
      if (p.zone !== zone || !this.open(p, g.spec)) continue;
      const seats = p.byFloor[k];
      const sorted = p.sorted[k];
      for (let i = 0; i < seats.length && left > 0 && sorted[i]! <= now; i++) {
        const seat = seats[i]!;
        if (seat.floor[k] > now || seat.slot.machine === null) continue;
        const n = Math.min(left, timesFits(g.spec, seat.slot.free));
        if (n <= 0) continue;
        const { images } = seat.slot;
        this.occupy(seat, g, n, now, FOREVER);
        // Whose image will be wanted there is not known.
        seat.slot.images = images;
        left -= n;
      }
    }
  }

  /** Keeps the machines that a group could use from all work of lower priority. */
  keepFor(g: TaskGroup): void {
    for (const p of this.pools.values())
      if (placeAllowed(g.spec, p.type.name, p.zone, p.spot) && fits(g.spec, p.type))
        p.keptFor = Math.max(p.keptFor, g.spec.priority);
  }

  private open(p: Pool, spec: JobSpec): boolean {
    return (
      spec.priority >= p.keptFor && placeAllowed(spec, p.type.name, p.zone, p.spot) && fits(spec, p.type)
    );
  }

  /** Whether `wanted` tasks of the group have room at this moment. Looks only where there may be any. */
  hasRoomNow(group: TaskGroup, zone: string | null, wanted: number): boolean {
    return this.roomNow(group, zone, wanted) >= wanted;
  }

  /** How many of the group's tasks have room at this moment; counts up to `most`. */
  roomNow(group: TaskGroup, zone: string | null, most: number): number {
    const { spec } = group;
    let room = 0;
    for (const pool of this.pools.values()) {
      if (room >= most) break;
      if (!this.open(pool, spec) || (zone !== null && pool.zone !== zone)) continue;
      this.visitFree(pool, gpuKind(spec), (slot) => {
        if (group.allowedMachines === null || group.allowedMachines.has(slot.machine!))
          room += timesFits(spec, slot.free);
        return room < most;
      });
    }
    return room;
  }

  /** All that is free at this moment on machines that the group may use. */
  freeNow(group: TaskGroup): Amounts {
    const free = { cores: 0, gpus: 0, memoryGb: 0 };
    for (const pool of this.pools.values())
      if (this.open(pool, group.spec))
        this.visitFree(pool, gpuKind(group.spec), (slot) => {
          addTo(free, slot.free);
          return true;
        });
    return free;
  }

  /** Machines of the pool on which some work of the plan has room now, for as long as `visit` wants more. */
  private visitFree(pool: Pool, kind: 0 | 1, visit: (slot: MachineSlot) => boolean): void {
    const { now } = this.picture;
    const seats = pool.byFloor[kind];
    const sorted = pool.sorted[kind];
    for (let i = 0; i < seats.length && sorted[i]! <= now; i++) {
      const seat = seats[i]!;
      if (seat.floor[kind] <= now && seat.slot.machine !== null && !visit(seat.slot)) return;
    }
  }

  /** Whether a machine could be rented for the group. */
  mayRent(g: TaskGroup): boolean {
    const { spec } = g;
    return this.picture.rentable.some(
      (r) =>
        placeAllowed(spec, r.type.name, r.zone, r.spot) &&
        fits(spec, r.type) &&
        (this.picture.rented.get(r) ?? 0) < r.limit,
    );
  }

  offerRented(g: TaskGroup, r: CapacityOffer, bound: Micros): PlacementOption | null {
    if ((this.picture.rented.get(r) ?? 0) >= r.limit) return null;
    return this.offer(g, this.virtualSeat(r), r, bound);
  }
}
