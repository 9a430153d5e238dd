/** Simulates the placement of waiting work to completion, and scores the result. */
import type { Micros } from '../domain/time.js';
import { placeGroup } from './group-placement.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlanStep, TaskGroup } from './plan-input.js';

/** The result of a rollout; `isBetter` compares two. */
export interface Score {
  /** Time from now until the last task finishes. */
  readonly makespan: Micros;
  /** Sum over all tasks of the time from now until they finish; for services, until they start. */
  readonly totalCompletionTime: number;
  /** Number of tasks that could not be placed; compared before the other fields. */
  readonly unplacedTasks: number;
}

/** Places `groups` one after the other, and scores them together with `firstSteps`, which are placed already. */
export const simulateCompletion = (
  simulation: PlacementSimulation,
  groups: readonly TaskGroup[],
  firstSteps: readonly PlanStep[],
): Score => {
  const { now } = simulation.snapshot;
  let makespan = 0;
  let totalCompletionTime = 0;
  let unplacedTasks = 0;
  const addSteps = (steps: readonly PlanStep[]): void => {
    for (const { group, start, finish, count } of steps) {
      const end = group.spec.shape === 'service' ? start : finish;
      makespan = Math.max(makespan, end - now);
      totalCompletionTime += (end - now) * count;
    }
  };
  addSteps(firstSteps);
  for (const group of groups) {
    const steps = placeGroup(simulation, group);
    if (steps === null) unplacedTasks += group.count;
    else addSteps(steps);
  }
  return { makespan, totalCompletionTime: totalCompletionTime, unplacedTasks: unplacedTasks };
};

/**
 * Whether `one` is the better score: fewer unplaced tasks; then a makespan that is shorter by more than the tolerance; then
 * the smaller total completion time.
 */
export const isBetter = (one: Score, other: Score, tolerance: Micros): boolean => {
  if (one.unplacedTasks !== other.unplacedTasks) return one.unplacedTasks < other.unplacedTasks;
  if (Math.abs(one.makespan - other.makespan) > tolerance) return one.makespan < other.makespan;
  return one.totalCompletionTime < other.totalCompletionTime;
};
