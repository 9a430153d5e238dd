/**
 * A simulation of the cluster in which plans place work: machines grouped into pools, and an undo log of all changes that a
 * rollout makes. The undo log replaces copies: at a thousand machines, copying the state for each candidate costs far more
 * than the rollout itself.
 */
import type { CapacityChange, MachineSlot } from '../cluster/machine-slot.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Amounts } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { capacityTaken, earliestStart, firstFit, insertChanges } from './capacity-timeline.js';
import {
  appendPlacement,
  emptyPool,
  includeNeed,
  type MachinePool,
  poolKey,
  removeLastPlacement,
  sortPool,
} from './machine-pool.js';
import { OptionEvaluator } from './option-evaluator.js';
import { PlacementOptions } from './placement-options.js';
import {
  type CapacityOffer,
  type ClusterSnapshot,
  NO_EQUIVALENT,
  type Placement,
  type PlacementOption,
  type TaskGroup,
} from './plan-input.js';

/** An entry of the undo log: a placement's state before a change, or a machine that was provisioned. */
type UndoEntry =
  | {
      readonly placement: Placement;
      readonly free: Readonly<Amounts>;
      readonly changes: readonly CapacityChange[];
      readonly images: ReadonlySet<string>;
      readonly used: boolean;
      readonly equivalenceClass: number;
      readonly earliestFit0: Micros;
      readonly earliestFit1: Micros;
    }
  | { readonly placement: null; readonly offer: CapacityOffer; readonly pool: MachinePool };

/** Everything except the ready time that decides what an idle machine can offer, as text. */
const equivalenceKeyOf = ({ type, zone, spot, sunkCost, free, images }: MachineSlot): string =>
  `${type.name}|${sunkCost ? 'sunk' : ''}|${zone}|${spot ? 's' : 'o'}|${free.cores}|${free.gpus}|${free.memoryGb}|${[...images].join()}`;

const NO_AMOUNTS: Readonly<Amounts> = { cores: 0, gpus: 0, memoryGb: 0 };

/** Amounts that `count` tasks of the job need. */
const demandOf = (spec: JobSpec, count: number): Amounts => ({
  cores: spec.cores * count,
  gpus: spec.gpus * count,
  memoryGb: spec.memoryGb * count,
});

/** Places work in a plan's snapshot, and undoes placements. */
export class PlacementSimulation {
  /** Zones of all machines and offers. */
  readonly zones: readonly string[];
  /** Enumerates where a group's tasks could go. */
  readonly options: PlacementOptions;
  private readonly poolsByKey = new Map<string, MachinePool>();
  private readonly placementByMachine = new Map<string, Placement>();
  private readonly equivalenceClasses = new Map<string, number>();
  private readonly undoLog: UndoEntry[] = [];
  private readonly evaluator: OptionEvaluator;

  constructor(
    /** Modified by the simulation until it is rolled back. */
    readonly snapshot: ClusterSnapshot,
    groups: readonly TaskGroup[],
    /** Kinds of tasks that may be placed in addition to the groups. */
    backfillKinds: readonly JobSpec[] = [],
  ) {
    this.evaluator = new OptionEvaluator(snapshot, groups);
    this.zones = this.addMachines();
    for (const pool of this.poolsByKey.values()) {
      for (const group of groups) includeNeed(pool, group.spec);
      for (const spec of backfillKinds) includeNeed(pool, spec);
      sortPool(pool);
    }
    this.options = new PlacementOptions(
      snapshot,
      this.poolsByKey,
      this.placementByMachine,
      this.equivalenceClasses,
      this.evaluator,
    );
  }

  /** Pools of machines, one for each type, zone and purchase option (spot or on-demand). */
  get pools(): Iterable<MachinePool> {
    return this.poolsByKey.values();
  }

  /** Number of placements examined so far: the cost of the plan. */
  get placementsExamined(): number {
    return this.evaluator.examined;
  }

  /** Adds all machines to their pools, creates the pools of all offers, and returns the zones of both. */
  private addMachines(): string[] {
    const zones = new Set<string>();
    for (const slot of this.snapshot.slots) {
      const placement: Placement = {
        slot,
        earliestFit: [0, 0],
        equivalenceClass: this.equivalenceClassOf(slot),
      };
      this.poolOf(slot.type, slot.zone, slot.spot).placements.push(placement);
      if (slot.machine !== null) this.placementByMachine.set(slot.machine, placement);
      zones.add(slot.zone);
    }
    for (const { type, zone, spot } of this.snapshot.offers) {
      zones.add(zone);
      this.poolOf(type, zone, spot);
    }
    return [...zones];
  }

  private poolOf(type: MachineType, zone: string, spot: boolean): MachinePool {
    const key = poolKey(type, zone, spot);
    let pool = this.poolsByKey.get(key);
    if (pool === undefined) {
      pool = emptyPool(type, zone, spot);
      this.poolsByKey.set(key, pool);
    }
    return pool;
  }

  /** Number of the slot's equivalence class: of interchangeable idle machines, only some need to be examined. */
  private equivalenceClassOf(slot: MachineSlot): number {
    if (slot.changes.length > 0) return NO_EQUIVALENT;
    slot.equivalenceKey ??= equivalenceKeyOf(slot);
    // Machines that are up are all ready now, so the cached string itself is the key; it is hashed once for many plans.
    const key =
      slot.readyAt <= this.snapshot.now ? slot.equivalenceKey : `${slot.readyAt}|${slot.equivalenceKey}`;
    let classNumber = this.equivalenceClasses.get(key);
    if (classNumber === undefined)
      this.equivalenceClasses.set(key, (classNumber = this.equivalenceClasses.size));
    return classNumber;
  }

  /** A savepoint for `rollback`. */
  mark(): number {
    return this.undoLog.length;
  }

  /** Undoes all changes since the mark. */
  rollback(mark: number): void {
    while (this.undoLog.length > mark) {
      const entry = this.undoLog.pop()!;
      if (entry.placement === null) {
        this.removeProvisioned(entry.offer, entry.pool);
        continue;
      }
      const { placement } = entry;
      const { slot } = placement;
      slot.free = entry.free;
      slot.changes = entry.changes;
      slot.images = entry.images;
      slot.used = entry.used;
      placement.equivalenceClass = entry.equivalenceClass;
      placement.earliestFit[0] = entry.earliestFit0;
      placement.earliestFit[1] = entry.earliestFit1;
    }
  }

  private removeProvisioned(offer: CapacityOffer, pool: MachinePool): void {
    const { provisioned: provisionedCounts, slots } = this.snapshot;
    provisionedCounts.set(offer, provisionedCounts.get(offer)! - 1);
    if (provisionedCounts.get(offer) === 0) provisionedCounts.delete(offer);
    slots.pop();
    removeLastPlacement(pool);
  }

  private logUndo(placement: Placement): void {
    const { slot } = placement;
    this.undoLog.push({
      placement,
      free: slot.free,
      changes: slot.changes,
      images: slot.images,
      used: slot.used,
      equivalenceClass: placement.equivalenceClass,
      earliestFit0: placement.earliestFit[0],
      earliestFit1: placement.earliestFit[1],
    });
  }

  private updateEarliestFit(placement: Placement): void {
    const { slot } = placement;
    const { leastNeed } = this.poolOf(slot.type, slot.zone, slot.spot);
    placement.equivalenceClass = NO_EQUIVALENT;
    placement.earliestFit[0] = firstFit(slot, leastNeed[0]);
    placement.earliestFit[1] = firstFit(slot, leastNeed[1]);
  }

  /** Places `count` tasks of the group on the machine from `start` to `finish`. */
  occupy(placement: Placement, group: TaskGroup, count: number, start: Micros, finish: Micros): void {
    const demand = demandOf(group.spec, count);
    this.take(placement, group, demand, start, { at: finish, ...demand });
  }

  /**
   * Places `count` tasks that keep their capacity for the rest of the simulation. The machine still counts as in use until
   * `finish` only.
   */
  hold(placement: Placement, group: TaskGroup, count: number, start: Micros, finish: Micros): void {
    this.take(placement, group, demandOf(group.spec, count), start, { at: finish, ...NO_AMOUNTS });
  }

  private take(
    placement: Placement,
    { spec }: TaskGroup,
    demand: Amounts,
    start: Micros,
    later: CapacityChange,
  ): void {
    this.logUndo(placement);
    const { slot } = placement;
    if (start <= slot.readyAt) {
      slot.free = {
        cores: slot.free.cores - demand.cores,
        gpus: slot.free.gpus - demand.gpus,
        memoryGb: slot.free.memoryGb - demand.memoryGb,
      };
      insertChanges(slot, later);
    } else insertChanges(slot, capacityTaken(start, demand), later);
    if (!slot.images.has(spec.image)) slot.images = new Set(slot.images).add(spec.image);
    slot.used = true;
    this.updateEarliestFit(placement);
  }

  /** Whether `count` tasks of the group have room on the machine from `start` to `finish`. */
  hasRoom(placement: Placement, group: TaskGroup, count: number, start: Micros, finish: Micros): boolean {
    const free = { ...NO_AMOUNTS };
    const demand = demandOf(group.spec, count);
    return earliestStart(placement.slot, demand, finish - start, free, start) === start;
  }

  /** Adds the option's machine to the snapshot if it has to be provisioned; does nothing for an existing machine. */
  provision({ offer, placement }: PlacementOption): void {
    if (offer === null) return;
    const { provisioned: provisionedCounts, slots } = this.snapshot;
    const pool = this.poolOf(offer.type, offer.zone, offer.spot);
    provisionedCounts.set(offer, (provisionedCounts.get(offer) ?? 0) + 1);
    slots.push(placement.slot);
    appendPlacement(pool, placement);
    this.undoLog.push({ placement: null, offer, pool });
  }
}
