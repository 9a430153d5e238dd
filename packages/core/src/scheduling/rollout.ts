/** Plays waiting work out to completion in a simulation, and scores what comes of it. */
import type { Micros } from '../domain/time.js';
import { placeGroup } from './group-placement.js';
import type { TaskGroup, PlanStep } from './plan-input.js';
import type { PlacementSimulation } from './placement-simulation.js';

export interface Score {
  readonly makespan: Micros;
  readonly sum: number;
  /** Represented work that could be placed nowhere: more of it is never better. */
  readonly unplaced: number;
}

/** Plays `groups` out to completion and adds what `opening` already decided. */
export const simulateCompletion = (
  simulation: PlacementSimulation,
  groups: readonly TaskGroup[],
  opening: readonly PlanStep[],
): Score => {
  const p = simulation.picture;
  let makespan = 0;
  let sum = 0;
  let unplaced = 0;
  const add = (steps: readonly PlanStep[]): void => {
    for (const s of steps) {
      if (s.group.spec.shape === 'service') {
        sum += (s.start - p.now) * s.count;
        makespan = Math.max(makespan, s.start - p.now);
      } else {
        makespan = Math.max(makespan, s.finish - p.now);
        sum += (s.finish - p.now) * s.count;
      }
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

export const isBetter = (one: Score, other: Score, tolerance: Micros): boolean => {
  if (one.unplaced !== other.unplaced) return one.unplaced < other.unplaced;
  if (Math.abs(one.makespan - other.makespan) > tolerance) return one.makespan < other.makespan;
  return one.sum < other.sum;
};
