/** Enumerates where a group's tasks could go, without examining every machine. */
import { fits, isPlacementAllowed } from '../domain/resources.js';
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

/** Decides whether tasks of the group may go to the zone. */
export type ZoneFilter = (zone: string) => boolean;

/** Receives an option; returns the upper bound on the rank of further options. */
export type OptionVisitor = (option: PlacementOption) => Micros;

const INITIAL_CLASS_CAPACITY = 64;

/** Enumerates and evaluates the placement options of one simulation. */
export class PlacementOptions {
  private virtualMachineCount = 0;
  /** Number of the group's tasks that fit on the machines visited so far, by equivalence class. */
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
   * bound that the last call returned. Of equivalent machines, no more are visited than `wantedTasks` tasks need.
   */
  forEach(group: TaskGroup, zoneAllowed: ZoneFilter, wantedTasks: number, visit: OptionVisitor): void {
    if (group.allowedMachines !== null) {
      this.visitMachines(group, group.allowedMachines, zoneAllowed, visit);
      return;
    }
    const { spec } = group;
    this.resetTasksByClass();
    let bound = Infinity;
    for (const pool of this.pools.values())
      if (poolAccepts(pool, spec) && zoneAllowed(pool.zone))
        bound = this.visitPool(group, pool, wantedTasks, bound, visit);
    for (const offer of this.offersFor(group)) {
      if (!zoneAllowed(offer.zone)) continue;
      const option = this.evaluateOffer(group, offer, bound);
      if (option !== null) bound = visit(option);
    }
  }

  /** The option that the placement offers to the group's next tasks; null if its rank is not below the bound. */
  evaluate(group: TaskGroup, placement: Placement, bound: Micros): PlacementOption | null {
    return this.evaluator.evaluate(group, placement, null, bound);
  }

  /** The option on a machine provisioned from the offer; null if none is left or its rank is not below the bound. */
  evaluateOffer(group: TaskGroup, offer: CapacityOffer, bound: Micros): PlacementOption | null {
    if (this.remainingMachines(group, offer) <= 0) return null;
    return this.evaluator.evaluate(group, this.virtualPlacement(offer), offer, bound);
  }

  /** Whether any offer that suits the group has machines left to provision. */
  canScaleOut(group: TaskGroup): boolean {
    return this.offersFor(group).some((offer) => this.remainingMachines(group, offer) > 0);
  }

  /** Offers of machines on which the group's tasks may run. */
  offersFor({ spec }: TaskGroup): CapacityOffer[] {
    return this.snapshot.offers.filter(
      ({ type, zone, spot }) => isPlacementAllowed(spec, type.name, zone, spot) && fits(spec, type),
    );
  }

  /** Number of machines that may still be provisioned from the offer for the group. */
  remainingMachines({ spec }: TaskGroup, offer: CapacityOffer): number {
    const limit = spec.shape === 'gang' ? Math.max(offer.limit, offer.gangLimit ?? 0) : offer.limit;
    return limit - (this.snapshot.provisioned.get(offer) ?? 0);
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
      if (!isPlacementAllowed(group.spec, type.name, zone, spot) || !zoneAllowed(zone)) continue;
      const option = this.evaluator.evaluate(group, placement, null, bound);
      if (option !== null) bound = visit(option);
    }
  }

  private resetTasksByClass(): void {
    if (this.tasksByClass.length < this.equivalenceClasses.size)
      this.tasksByClass = new Int32Array(this.equivalenceClasses.size * 2);
    else this.tasksByClass.fill(0);
  }

  /** Visits the pool's machines by earliest fit. Returns the new bound. */
  private visitPool(
    group: TaskGroup,
    pool: MachinePool,
    wantedTasks: number,
    initialBound: Micros,
    visit: OptionVisitor,
  ): Micros {
    const kind = gpuKind(group.spec);
    const placements = pool.byEarliestFit[kind];
    const fitTimes = pool.sortedFits[kind];
    const runTime = this.evaluator.runTime(group, pool.type);
    const useClasses = group.avoidedMachines.size === 0;
    const { tasksByClass } = this;
    let bound = initialBound;
    for (let i = 0; i < placements.length; i++) {
      if (fitTimes[i]! + runTime >= bound) {
        // Skip to the few provisioned machines, which follow the sorted ones.
        while (i + 1 < placements.length && fitTimes[i + 1] !== UNSORTED) i++;
        continue;
      }
      const placement = placements[i]!;
      if (placement.earliestFit[kind] + runTime >= bound) continue;
      const equivalenceClass = useClasses ? placement.equivalenceClass : NO_EQUIVALENT;
      if (equivalenceClass !== NO_EQUIVALENT && tasksByClass[equivalenceClass]! >= wantedTasks) continue;
      const option = this.evaluator.evaluate(group, placement, null, bound);
      if (equivalenceClass !== NO_EQUIVALENT) {
        // If one machine of the class offers nothing below the bound, neither do the others.
        if (option === null) tasksByClass[equivalenceClass] = wantedTasks;
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
        key: `provisioned-${this.virtualMachineCount++}`,
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
