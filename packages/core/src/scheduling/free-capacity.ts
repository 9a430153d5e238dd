/** Free capacity at the current time of a simulation, and its reservation for groups. */
import type { MachineSlot } from '../cluster/machine-slot.js';
import { UNBOUNDED_RUN_TIME } from '../cluster/runtime-estimates.js';
import { addTo, type Amounts, countFits } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { type MachinePool, poolAccepts, poolMatches } from './machine-pool.js';
import type { PlacementSimulation } from './placement-simulation.js';
import { type GpuKind, gpuKind, type TaskGroup } from './plan-input.js';

/** Visits the pool's existing machines on which some work of the plan fits now, until `visit` returns false. */
const visitFreeSlots = (
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

/** Number of the group's tasks that fit now in the zone, or in any zone if null. Stops counting once `limit` is reached. */
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
    visitFreeSlots(pool, gpuKind(spec), now, (slot) => {
      if (allowedMachines === null || allowedMachines.has(slot.machine!)) count += countFits(spec, slot.free);
      return count < limit;
    });
  }
  return count;
};

/** Total free capacity now on machines that the group may use. */
export const freeCapacityNow = (simulation: PlacementSimulation, group: TaskGroup): Amounts => {
  const { now } = simulation.snapshot;
  const free = { cores: 0, gpus: 0, memoryGb: 0 };
  for (const pool of simulation.pools)
    if (poolAccepts(pool, group.spec))
      visitFreeSlots(pool, gpuKind(group.spec), now, (slot) => {
        addTo(free, slot.free);
        return true;
      });
  return free;
};

/**
 * Reserves capacity that is free now for up to `count` tasks of the group in a zone, against everything that is placed
 * later. It doesn't wait for capacity that is in use: the next plan reserves what is free by then, before it starts other
 * work there.
 */
export const reserveFreeCapacity = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string,
  count: number,
): void => {
  const { spec } = group;
  const { now } = simulation.snapshot;
  const kind = gpuKind(spec);
  let remaining = count;
  for (const pool of simulation.pools) {
    if (pool.zone !== zone || !poolAccepts(pool, spec)) continue;
    const placements = pool.byEarliestFit[kind];
    const fitTimes = pool.sortedFits[kind];
    for (let i = 0; i < placements.length && remaining > 0 && fitTimes[i]! <= now; i++) {
      const placement = placements[i]!;
      const { slot } = placement;
      if (placement.earliestFit[kind] > now || slot.machine === null) continue;
      const tasks = Math.min(remaining, countFits(spec, slot.free));
      if (tasks <= 0) continue;
      const { images } = slot;
      simulation.occupy(placement, group, tasks, now, UNBOUNDED_RUN_TIME);
      // The image of the future tasks is not known, so the group's image must not count as cached.
      slot.images = images;
      remaining -= tasks;
    }
  }
};

/**
 * Reserves all pools that the group could use: no work of lower priority starts there. A gang that the machines and offers
 * never hold at once reserves nothing.
 */
export const reservePools = (simulation: PlacementSimulation, { spec, count }: TaskGroup): void => {
  if (spec.shape === 'gang' && !simulation.snapshot.totalCapacity.holdsAtOnce(spec, count)) return;
  for (const pool of simulation.pools)
    if (poolMatches(pool, spec)) pool.reservedPriority = Math.max(pool.reservedPriority, spec.priority);
};
