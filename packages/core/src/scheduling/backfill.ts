/**
 * Backfill: waiting work beyond the groups that a plan compares starts where there is free capacity now, after everything
 * that the plan decided before. A kind of task that fits nowhere is not tried again in the same plan, so that hundreds of
 * identical jobs cost about as much as one.
 */
import { reservePools, tasksFittingNow } from './free-capacity.js';
import { placeGroup, zoneChoices } from './group-placement.js';
import { canStartNow } from './initial-placement.js';
import type { ZoneFilter } from './placement-options.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlacementOption, PlanStep, TaskGroup } from './plan-input.js';
import { bestOptions, tasksAllowedInZone } from './task-distribution.js';
import { taskKind } from './task-kind.js';

/** Maximum number of tasks of one job that a plan provisions machines for. */
const MAX_PROVISIONED_TASKS = 160;

/** Tells whether there is still time for parts of the backfill. */
export interface BackfillBudget {
  /** Whether there is time to place groups that can start now. */
  readonly hasTimeForStarts: () => boolean;
  /** Whether there is time to place groups that machines would be provisioned for. */
  readonly hasTimeForScaleOut: () => boolean;
}

/** Whether the group has no constraints beyond those of its kind of task. */
const isUnconstrained = ({ spec, zones, allowedMachines }: TaskGroup): boolean =>
  allowedMachines === null && (zones.size === 0 || !(spec.sameZone || spec.spreadAcrossZones));

/** For a single-zone group, the zone where most of its tasks fit now; null: any zone. */
const chooseZone = (simulation: PlacementSimulation, group: TaskGroup): string | null => {
  let best: { zone: string | null; tasks: number } | null = null;
  for (const zone of zoneChoices(simulation, group)) {
    const tasks = tasksFittingNow(simulation, group, zone, group.count);
    if (best === null || tasks > best.tasks) best = { zone, tasks };
  }
  return best?.zone ?? null;
};

/** Places as many of the group's tasks as can start now, by earliest predicted finish. */
const placeArrayNow = (simulation: PlacementSimulation, group: TaskGroup): PlanStep[] => {
  const { now } = simulation.snapshot;
  const chosenZone = chooseZone(simulation, group);
  const used = new Map<string, number>();
  const zoneAllowed: ZoneFilter = (zone) =>
    (chosenZone === null || zone === chosenZone) && tasksAllowedInZone(group, used, zone) >= 1;
  const startsNow = (option: PlacementOption): boolean => option.start <= now && option.offer === null;
  const steps: PlanStep[] = [];
  let remaining = group.count;
  while (remaining > 0) {
    const options = bestOptions(simulation, group, zoneAllowed, remaining, startsNow);
    if (options.length === 0) break;
    for (const { placement, start, finish, count: fitting } of options) {
      const { slot } = placement;
      if (remaining <= 0) break;
      if (!zoneAllowed(slot.zone)) continue;
      const count = Math.min(remaining, fitting, tasksAllowedInZone(group, used, slot.zone));
      simulation.occupy(placement, group, count, start, finish);
      used.set(slot.zone, (used.get(slot.zone) ?? 0) + count);
      steps.push({ group, placement, slot, count, start, finish });
      remaining -= count;
    }
  }
  return steps;
};

/** Places the tasks that can start now: for a gang, all or none. */
const placeNow = (simulation: PlacementSimulation, group: TaskGroup): PlanStep[] => {
  if (!canStartNow(simulation, group)) return [];
  if (group.spec.shape !== 'gang') return placeArrayNow(simulation, group);
  const mark = simulation.mark();
  const steps = placeGroup(simulation, group) ?? [];
  if (steps.every((step) => step.start <= simulation.snapshot.now)) return steps;
  simulation.rollback(mark);
  return [];
};

/**
 * Places tasks that can't start now at a later time, on machines that are booting or would be provisioned, so that machines
 * are also provisioned for groups beyond those that are compared. This starts no tasks.
 */
const placeLater = (simulation: PlacementSimulation, group: TaskGroup, count: number): void => {
  if (group.spec.shape === 'gang') placeGroup(simulation, group);
  else placeGroup(simulation, { ...group, count: Math.min(count, MAX_PROVISIONED_TASKS) });
};

const totalCount = (steps: readonly PlanStep[]): number => steps.reduce((sum, step) => sum + step.count, 0);

/** Places the groups in the given order while there is time; yields each group's steps that start now. */
export function* placeBackfill(
  simulation: PlacementSimulation,
  groups: Iterable<TaskGroup>,
  budget: BackfillBudget,
): Generator<readonly PlanStep[]> {
  /** By kind of task, the smallest number of simultaneous tasks that did not fit. */
  const unplaceable = new Map<string, number>();
  for (const group of groups) {
    if (!budget.hasTimeForStarts()) return;
    // The priority is part of the key, since pools may be reserved for higher priorities.
    const kind = `${group.spec.priority}|${taskKind(group.spec)}`;
    const simultaneousTasks = group.spec.shape === 'gang' ? group.count : 1;
    const limit = unplaceable.get(kind) ?? Infinity;
    const steps = simultaneousTasks >= limit ? [] : placeNow(simulation, group);
    if (steps.length === 0) {
      if (isUnconstrained(group) && !group.spec.sameZone)
        unplaceable.set(kind, Math.min(simultaneousTasks, limit));
      // Keep lower priorities off the pools that the group has a prior claim to.
      if (group.reservesCapacity) reservePools(simulation, group);
    }
    const remaining = group.count - totalCount(steps);
    if (remaining > 0 && budget.hasTimeForScaleOut() && simulation.options.canScaleOut(group))
      placeLater(simulation, group, remaining);
    yield steps;
  }
}
