/** What is free at this moment in a simulation, and keeping it for groups. */
import type { MachineSlot } from '../cluster/machine-slot.js';
import { UNBOUNDED_RUN_TIME } from '../cluster/runtime-estimates.js';
import { addTo, type Amounts, timesFits } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { type MachinePool, poolAccepts, poolSuits } from './machine-pool.js';
import type { PlacementSimulation } from './placement-simulation.js';
import { type GpuKind, gpuKind, type TaskGroup } from './plan-input.js';

/** Visits the pool's machines on which some work of the plan fits now, for as long as `visit` returns true. */
const visitFree = (
  pool: MachinePool,
  kind: GpuKind,
  now: Micros,
  visit: (slot: MachineSlot) => boolean,
): void => {
  const placements = pool.byEarliestFit[kind];
  const fitTimes = pool.sortedFits[kind];
  for (let i = 0; i < placements.length && fitTimes[i]! <= now; i++) {
    const { slot, earliestFit } = placements[i]!;
    if (earliestFit[kind] <= now && slot.machine !== null && !visit(slot)) return;
  }
};

/** How many of the group's tasks fit at this moment, in the zone or (null) in any; counts up to about `limit`. */
export const tasksFittingNow = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
  limit: number,
): number => {
  const { spec, allowedMachines } = group;
  const { now } = simulation.snapshot;
  let count = 0;
  for (const pool of simulation.pools) {
    if (count >= limit) break;
    if (!poolAccepts(pool, spec) || (zone !== null && pool.zone !== zone)) continue;
    visitFree(pool, gpuKind(spec), now, (slot) => {
      if (allowedMachines === null || allowedMachines.has(slot.machine!)) count += timesFits(spec, slot.free);
      return count < limit;
    });
  }
  return count;
};

/** All that is free at this moment on machines that the group may use. */
export const freeNow = (simulation: PlacementSimulation, group: TaskGroup): Amounts => {
  const { now } = simulation.snapshot;
  const free = { cores: 0, gpus: 0, memoryGb: 0 };
  for (const pool of simulation.pools)
    if (poolAccepts(pool, group.spec))
      visitFree(pool, gpuKind(group.spec), now, (slot) => {
        addTo(free, slot.free);
        return true;
      });
  return free;
};

/**
 * Keeps capacity that is free now from all that is placed after this: up to `count` tasks of the group in a zone. What is
 * not free is not waited for; the next plan keeps what is freed by then, before it starts anything else there.
 */
export const keepFreeCapacity = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string,
  count: number,
): void => {
  const { spec } = group;
  const { now } = simulation.snapshot;
  const kind = gpuKind(spec);
  let left = count;
  for (const pool of simulation.pools) {
    if (pool.zone !== zone || !poolAccepts(pool, spec)) continue;
    const placements = pool.byEarliestFit[kind];
    const fitTimes = pool.sortedFits[kind];
    for (let i = 0; i < placements.length && left > 0 && fitTimes[i]! <= now; i++) {
      const placement = placements[i]!;
      const { slot } = placement;
      if (placement.earliestFit[kind] > now || slot.machine === null) continue;
      const tasks = Math.min(left, timesFits(spec, slot.free));
      if (tasks <= 0) continue;
      const { images } = slot;
      simulation.occupy(placement, group, tasks, now, UNBOUNDED_RUN_TIME);
      // Which image will be needed there is not known.
      slot.images = images;
      left -= tasks;
    }
  }
};

/** Reserves the pools that a group could use: work of lower priority begins nowhere there. */
export const reservePools = (simulation: PlacementSimulation, { spec }: TaskGroup): void => {
  for (const pool of simulation.pools)
    if (poolSuits(pool, spec)) pool.reservedPriority = Math.max(pool.reservedPriority, spec.priority);
};
