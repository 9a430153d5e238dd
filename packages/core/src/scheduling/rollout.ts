/** Rolls waiting work out to completion in a simulation, and scores the result. */
import type { Micros } from '../domain/time.js';
import { placeGroup } from './group-placement.js';
import type { PlacementSimulation } from './placement-simulation.js';
import type { PlanStep, TaskGroup } from './plan-input.js';

/** The result of a rollout; `isBetter` compares two. */
export interface Score {
  /** From now until the last task finishes. */
  readonly makespan: Micros;
  /** Of all tasks' times from now until they finish; services count until they start. */
  readonly sum: number;
  /** Tasks that could be placed nowhere: more of them is never better. */
  readonly unplaced: number;
}

/** Places `groups` one after the other and scores them with the steps of `opening`, which are placed already. */
export const simulateCompletion = (
  simulation: PlacementSimulation,
  groups: readonly TaskGroup[],
  opening: readonly PlanStep[],
): Score => {
  const { now } = simulation.snapshot;
  let makespan = 0;
  let sum = 0;
  let unplaced = 0;
  const add = (steps: readonly PlanStep[]): void => {
    for (const { group, start, finish, count } of steps) {
      const end = group.spec.shape === 'service' ? start : finish;
      makespan = Math.max(makespan, end - now);
      sum += (end - now) * count;
    }
  };
  add(opening);
  for (const group of groups) {
    const steps = placeGroup(simulation, group);
    if (steps === null) unplaced += group.count;
    else add(steps);
  }
  return { makespan, sum, unplaced };
};

/** Fewer unplaced tasks, then a makespan shorter by more than the tolerance, then the smaller sum. */
export const isBetter = (one: Score, other: Score, tolerance: Micros): boolean => {
  if (one.unplaced !== other.unplaced) return one.unplaced < other.unplaced;
  if (Math.abs(one.makespan - other.makespan) > tolerance) return one.makespan < other.makespan;
  return one.sum < other.sum;
};
