/** Finds the earliest time at which all members of a gang have room at once. */
import type { MachineSlot } from '../cluster/machine-slot.js';
import { UNBOUNDED_RUN_TIME } from '../cluster/runtime-estimates.js';
import type { JobSpec } from '../domain/job.js';
import { type Amounts, countFits, maxTasksPerZone } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { poolAccepts } from './machine-pool.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { TaskGroup } from './plan-input.js';

/** More tasks fit in a zone from a time on. */
interface RoomGained {
  readonly at: Micros;
  readonly zone: string;
  readonly tasks: number;
}

/** Free capacity of the slot from its ready time on, and after each of its changes. */
const capacityLevels = ({ free, changes }: MachineSlot): Amounts[] => {
  let { cores, gpus, memoryGb } = free;
  const levels = [{ cores, gpus, memoryGb }];
  for (const change of changes) {
    cores += change.cores;
    gpus += change.gpus;
    memoryGb += change.memoryGb;
    levels.push({ cores, gpus, memoryGb });
  }
  return levels;
};

/** Adds the times from which more of the job's tasks fit on the slot for good. */
const addRoomOf = (slot: MachineSlot, spec: JobSpec, gained: RoomGained[]): void => {
  const levels = capacityLevels(slot);
  const least = levels[levels.length - 1]!;
  let tasks = countFits(spec, least);
  // Backwards, the least capacity from a time on can only shrink.
  for (let i = levels.length - 1; i >= 0 && tasks > 0; i--) {
    const previous = levels[i - 1];
    if (previous !== undefined) {
      least.cores = Math.min(least.cores, previous.cores);
      least.gpus = Math.min(least.gpus, previous.gpus);
      least.memoryGb = Math.min(least.memoryGb, previous.memoryGb);
    }
    const before = previous === undefined ? 0 : countFits(spec, least);
    const at = i === 0 ? slot.readyAt : Math.max(slot.readyAt, slot.changes[i - 1]!.at);
    if (tasks > before && at < UNBOUNDED_RUN_TIME)
      gained.push({ at, zone: slot.zone, tasks: tasks - before });
    tasks = before;
  }
};

/** All times from which more members fit, on existing machines and on those that may be provisioned. */
const roomGained = (simulation: PlacementSimulation, group: TaskGroup, zone: string | null): RoomGained[] => {
  const { spec, allowedMachines } = group;
  const gained: RoomGained[] = [];
  for (const pool of simulation.pools) {
    if (!poolAccepts(pool, spec) || (zone !== null && pool.zone !== zone)) continue;
    for (const { slot } of pool.placements)
      if (allowedMachines === null || (slot.machine !== null && allowedMachines.has(slot.machine)))
        addRoomOf(slot, spec, gained);
  }
  if (allowedMachines !== null) return gained;
  for (const offer of simulation.options.offersFor(group)) {
    if (zone !== null && offer.zone !== zone) continue;
    const tasks = simulation.options.remainingMachines(group, offer) * countFits(spec, offer.type);
    if (tasks > 0) gained.push({ at: simulation.snapshot.now + offer.type.bootUs, zone: offer.zone, tasks });
  }
  return gained;
};

/**
 * The earliest time from which all members fit at once, for good, in the zone, or in any zone if null; null if there is no
 * such time.
 */
export const earliestCommonStart = (
  simulation: PlacementSimulation,
  group: TaskGroup,
  zone: string | null,
): Micros | null => {
  const { spec, count } = group;
  const limit = spec.spreadAcrossZones ? maxTasksPerZone(spec) : Infinity;
  const tasksByZone = new Map<string, number>();
  let total = 0;
  const gained = roomGained(simulation, group, zone).sort((one, other) => one.at - other.at);
  for (const { at, zone: name, tasks } of gained) {
    const before = tasksByZone.get(name) ?? 0;
    tasksByZone.set(name, before + tasks);
    total += Math.min(limit, before + tasks) - Math.min(limit, before);
    if (total >= count) return Math.max(at, group.notBefore ?? 0);
  }
  return null;
};
