/**
 * Backfill: waiting work beyond what a plan compares begins where there is capacity now, behind all that the plan decided
 * before it. A kind of task that doesn't fit anywhere is not tried again in the same plan, so that hundreds of equal jobs
 * cost about what one costs.
 */
import { reservePools, tasksFittingNow } from './free-capacity.js';
import { bestOptions, placeGroup, tasksAllowedInZone, zoneChoices } from './group-placement.js';
import { canStartNow } from './initial-placement.js';
import type { ZoneFilter } from './placement-options.js';
import type { PlacementSimulation } from './placement-simulation.js';
import { type PlacementOption, type PlanStep, type TaskGroup, taskKind } from './plan-input.js';

/** Tasks of one job that machines are provisioned for in one plan. */
const MAX_PROVISIONED_TASKS = 160;

/** Whether there is still time for parts of the backfill. */
export interface BackfillBudget {
  /** Whether there is time to place what can start now. */
  readonly hasTimeForStarts: () => boolean;
  /** Whether there is time to place what machines would be provisioned for. */
  readonly hasTimeForScaleOut: () => boolean;
}

/** Whether the group may go to any machine that its kind of task may go to. */
const isUnconstrained = ({ spec, zones, allowedMachines }: TaskGroup): boolean =>
  allowedMachines === null && (zones.size === 0 || !(spec.sameZone || spec.spreadAcrossZones));

/** The zone where most fits now, for a group whose tasks have to be in one; null: any zone. */
const chooseZone = (simulation: PlacementSimulation, group: TaskGroup): string | null => {
  let best: { zone: string | null; tasks: number } | null = null;
  for (const zone of zoneChoices(simulation, group)) {
    const tasks = tasksFittingNow(simulation, group, zone, group.count);
    if (best === null || tasks > best.tasks) best = { zone, tasks };
  }
  return best?.zone ?? null;
};

/** As many of a group's tasks as can begin now, where they finish first. */
const placeArrayNow = (simulation: PlacementSimulation, group: TaskGroup): PlanStep[] => {
  const { now } = simulation.snapshot;
  const chosenZone = chooseZone(simulation, group);
  const used = new Map<string, number>();
  const zoneAllowed: ZoneFilter = (zone) =>
    (chosenZone === null || zone === chosenZone) && tasksAllowedInZone(group, used, zone) >= 1;
  const startsNow = (option: PlacementOption): boolean => option.start <= now && option.offer === null;
  const steps: PlanStep[] = [];
  let left = group.count;
  while (left > 0) {
    const options = bestOptions(simulation, group, zoneAllowed, left, startsNow);
    if (options.length === 0) break;
    for (const { placement, start, finish, count: fitting } of options) {
      const { slot } = placement;
      if (left <= 0) break;
      if (!zoneAllowed(slot.zone)) continue;
      const count = Math.min(left, fitting, tasksAllowedInZone(group, used, slot.zone));
      simulation.occupy(placement, group, count, start, finish);
      used.set(slot.zone, (used.get(slot.zone) ?? 0) + count);
      steps.push({ group, placement, slot, count, start, finish });
      left -= count;
    }
  }
  return steps;
};

/** Places what can start now. A gang begins whole or not at all. */
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
 * What can't begin now is placed later, on machines that boot or that would be provisioned: else nothing beyond the groups
 * that are compared would ever be provisioned for. Nothing is started by that.
 */
const placeLater = (simulation: PlacementSimulation, group: TaskGroup, count: number): void => {
  if (group.spec.shape === 'gang') placeGroup(simulation, group);
  else placeGroup(simulation, { ...group, count: Math.min(count, MAX_PROVISIONED_TASKS) });
};

const totalCount = (steps: readonly PlanStep[]): number => steps.reduce((sum, step) => sum + step.count, 0);

/** Yields the steps of each group that begins now, in the given order, for as long as there is time. */
export function* placeBackfill(
  simulation: PlacementSimulation,
  groups: Iterable<TaskGroup>,
  budget: BackfillBudget,
): Generator<readonly PlanStep[]> {
  /** By kind, the fewest tasks at once that did not fit. */
  const unplaceable = new Map<string, number>();
  for (const group of groups) {
    if (!budget.hasTimeForStarts()) return;
    // Machines may be kept for higher priorities.
    const kind = `${group.spec.priority}|${taskKind(group.spec)}`;
    const atOnce = group.spec.shape === 'gang' ? group.count : 1;
    const limit = unplaceable.get(kind) ?? Infinity;
    const steps = atOnce >= limit ? [] : placeNow(simulation, group);
    if (steps.length === 0) {
      if (isUnconstrained(group) && !group.spec.sameZone) unplaceable.set(kind, Math.min(atOnce, limit));
      // What it is entitled to first is not given to lower priorities meanwhile.
      if (group.reserve) reservePools(simulation, group);
    }
    const left = group.count - totalCount(steps);
    if (left > 0 && budget.hasTimeForScaleOut() && simulation.options.canScaleOut(group))
      placeLater(simulation, group, left);
    yield steps;
  }
}
