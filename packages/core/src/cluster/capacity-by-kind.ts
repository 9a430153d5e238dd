/** How much capacity a machine has for one kind of work, counted in amounts by priority. */
import type { Priority } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';

/** Amounts are decimals; sums are kept in whole millionths, so that what is added and subtracted again leaves nothing. */
export const UNIT = 1_000_000;

/** An amount in whole millionths. */
export const scaled = (amount: number): number => Math.round(amount * UNIT);

/** All priorities, the lowest first. */
export const PRIORITIES: readonly Priority[] = [0, 1, 2, 3];

/** Cores and GPUs in whole millionths. */
export interface ScaledSums {
  cores: number;
  gpus: number;
}

/** What the tasks of one priority use on a machine, apart by whether they take GPUs. */
export interface PriorityUsage {
  readonly withGpus: ScaledSums;
  readonly coresOnly: ScaledSums;
}

/** Capacity for a kind of work, in GPUs or cores. */
export interface KindCapacity {
  /** What work of the kind and priority could have in all. */
  readonly total: number;
  /** What it could have now, that of lower priorities included. */
  readonly free: number;
}

/**
 * Capacity of a machine for work with GPUs that takes `coresEach` beside each. The cores and GPUs that this work may not
 * preempt are subtracted; those of lower priorities can be had.
 */
export const gpuCapacity = (
  usage: readonly PriorityUsage[],
  type: MachineType,
  priority: Priority,
  coresEach: number,
): KindCapacity => {
  let cores = 0;
  let gpus = 0;
  let lowerGpus = 0;
  let allCores = 0;
  let allGpus = 0;
  usage.forEach(({ withGpus, coresOnly }, level) => {
    allCores += withGpus.cores + coresOnly.cores;
    allGpus += withGpus.gpus;
    if (level < priority) {
      lowerGpus += withGpus.gpus;
      return;
    }
    cores += coresOnly.cores;
    if (level === priority) return;
    cores += withGpus.cores;
    gpus += withGpus.gpus;
  });
  const free = { cores: type.cores - allCores / UNIT, gpus: type.gpus - allGpus / UNIT };
  return {
    total: Math.min(type.gpus - gpus / UNIT, Math.max(0, type.cores - cores / UNIT) / coresEach),
    free: Math.max(0, Math.min(free.gpus, free.cores / coresEach)) + lowerGpus / UNIT,
  };
};

/**
 * Capacity of a machine for work without GPUs. What lower priorities use can be had: without it, large jobs always seem to
 * start too late.
 */
export const coreCapacity = (
  usage: readonly PriorityUsage[],
  type: MachineType,
  priority: Priority,
): KindCapacity => {
  let all = 0;
  let lower = 0;
  usage.forEach(({ withGpus, coresOnly }, level) => {
    const cores = withGpus.cores + coresOnly.cores;
    all += cores;
    if (level < priority) lower += cores;
  });
  return { total: type.cores, free: Math.max(0, type.cores - all / UNIT) + lower / UNIT };
};
