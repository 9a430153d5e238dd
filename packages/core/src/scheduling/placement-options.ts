/** Enumerates where a group's tasks could go, without looking at every machine. */
import { fits, placeAllowed } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { type MachinePool, poolAccepts, UNSORTED } from './machine-pool.js';
import type { OptionEvaluator } from './option-evaluator.js';
import {
  type CapacityOffer,
  type ClusterSnapshot,
  gpuKind,
  NO_EQUIVALENT,
  type Placement,
  type PlacementOption,
  type TaskGroup,
} from './plan-input.js';

/** Whether tasks of the group may go to the zone. */
export type ZoneFilter = (zone: string) => boolean;

/** Receives an option; returns the rank that further ones have to be below. */
export type OptionVisitor = (option: PlacementOption) => Micros;

const INITIAL_CLASS_CAPACITY = 64;

/** The options of one simulation. */
export class PlacementOptions {
  private virtualMachines = 0;
  /** Tasks that the machines of each equivalence class can take, as far as they were visited for the group. */
  private tasksByClass = new Int32Array(INITIAL_CLASS_CAPACITY);

  constructor(
    private readonly snapshot: ClusterSnapshot,
    private readonly pools: ReadonlyMap<string, MachinePool>,
    private readonly placementByMachine: ReadonlyMap<string, Placement>,
    private readonly equivalenceClasses: ReadonlyMap<string, number>,
    private readonly evaluator: OptionEvaluator,
  ) {}

  /**
   * Visits the placements where the group's tasks could go. `visit` is called with an option only if its rank is below the
   * bound that its last call returned. Of equivalent machines, no more are visited than `enough` tasks need.
   */
  forEach(group: TaskGroup, zoneAllowed: ZoneFilter, enough: number, visit: OptionVisitor): void {
    if (group.allowedMachines !== null) {
      this.visitMachines(group, group.allowedMachines, zoneAllowed, visit);
      return;
    }
    const { spec } = group;
    this.resetClasses();
    let bound = Infinity;
    for (const pool of this.pools.values())
      if (poolAccepts(pool, spec) && zoneAllowed(pool.zone))
        bound = this.visitPool(group, pool, enough, bound, visit);
    for (const offer of this.snapshot.offers) {
      const { type, zone, spot } = offer;
      if (!placeAllowed(spec, type.name, zone, spot) || !fits(spec, type) || !zoneAllowed(zone)) continue;
      const option = this.evaluateOffer(group, offer, bound);
      if (option !== null) bound = visit(option);
    }
  }

  /** What the placement offers to the group's next tasks, if its rank is below the bound; else null. */
  evaluate(group: TaskGroup, placement: Placement, bound: Micros): PlacementOption | null {
    return this.evaluator.evaluate(group, placement, null, bound);
  }

  /** What a machine provisioned from the offer would offer, if its rank is below the bound; else null. */
  evaluateOffer(group: TaskGroup, offer: CapacityOffer, bound: Micros): PlacementOption | null {
    if (!this.isAvailable(offer)) return null;
    return this.evaluator.evaluate(group, this.virtualPlacement(offer), offer, bound);
  }

  /** Whether a machine could be provisioned for the group. */
  canScaleOut({ spec }: TaskGroup): boolean {
    return this.snapshot.offers.some(
      (offer) =>
        placeAllowed(spec, offer.type.name, offer.zone, offer.spot) &&
        fits(spec, offer.type) &&
        this.isAvailable(offer),
    );
  }

  private isAvailable(offer: CapacityOffer): boolean {
    return (this.snapshot.provisioned.get(offer) ?? 0) < offer.limit;
  }

  private visitMachines(
    group: TaskGroup,
    machines: ReadonlySet<string>,
    zoneAllowed: ZoneFilter,
    visit: OptionVisitor,
  ): void {
    let bound = Infinity;
    for (const name of machines) {
      const placement = this.placementByMachine.get(name);
      if (placement === undefined) continue;
      const { type, zone, spot } = placement.slot;
      if (!placeAllowed(group.spec, type.name, zone, spot) || !zoneAllowed(zone)) continue;
      const option = this.evaluator.evaluate(group, placement, null, bound);
      if (option !== null) bound = visit(option);
    }
  }

  private resetClasses(): void {
    if (this.tasksByClass.length < this.equivalenceClasses.size)
      this.tasksByClass = new Int32Array(this.equivalenceClasses.size * 2);
    else this.tasksByClass.fill(0);
  }

  /** Visits the pool's machines, the earliest first. Returns the bound. */
  private visitPool(
    group: TaskGroup,
    pool: MachinePool,
    enough: number,
    initialBound: Micros,
    visit: OptionVisitor,
  ): Micros {
    const kind = gpuKind(group.spec);
    const placements = pool.byEarliestFit[kind];
    const fitTimes = pool.sortedFits[kind];
    const runTime = this.evaluator.runTime(group, pool.type);
    const useClasses = group.avoid.size === 0;
    const { tasksByClass } = this;
    let bound = initialBound;
    for (let i = 0; i < placements.length; i++) {
      if (fitTimes[i]! + runTime >= bound) {
        // Provisioned ones stand behind the sorted ones, and are few.
        while (i + 1 < placements.length && fitTimes[i + 1] !== UNSORTED) i++;
        continue;
      }
      const placement = placements[i]!;
      if (placement.earliestFit[kind] + runTime >= bound) continue;
      const equivalenceClass = useClasses ? placement.equivalenceClass : NO_EQUIVALENT;
      if (equivalenceClass !== NO_EQUIVALENT && tasksByClass[equivalenceClass]! >= enough) continue;
      const option = this.evaluator.evaluate(group, placement, null, bound);
      if (equivalenceClass !== NO_EQUIVALENT) {
        // What the first of them can't offer, the others can't either.
        if (option === null) tasksByClass[equivalenceClass] = enough;
        else tasksByClass[equivalenceClass] = tasksByClass[equivalenceClass]! + option.count;
      }
      if (option !== null) bound = visit(option);
    }
    return bound;
  }

  private virtualPlacement({ type, zone, spot }: CapacityOffer): Placement {
    const readyAt = this.snapshot.now + type.bootUs;
    return {
      slot: {
        key: `rent-${this.virtualMachines++}`,
        type,
        zone,
        spot,
        sunkCost: false,
        machine: null,
        readyAt,
        free: { cores: type.cores, gpus: type.gpus, memoryGb: type.memoryGb },
        changes: [],
        images: new Set(),
        used: false,
      },
      earliestFit: [readyAt, readyAt],
      equivalenceClass: NO_EQUIVALENT,
    };
  }
}
