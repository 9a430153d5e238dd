/** Capacity of a machine for one kind of work (with or without GPUs), given its usage by priority. */
import type { Priority } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';

/** Amounts are decimals; sums are kept in whole millionths, so that adding and subtracting leaves no rounding error. */
export const UNITS_PER_AMOUNT = 1_000_000;

/** Converts an amount to whole millionths. */
export const toUnits = (amount: number): number => Math.round(amount * UNITS_PER_AMOUNT);

/** All priorities, lowest first. */
export const PRIORITIES: readonly Priority[] = [0, 1, 2, 3];

/** Sums of cores and GPUs in whole millionths. */
export interface UnitSums {
  cores: number;
  gpus: number;
}

/** Usage of a machine by the tasks of one priority, separately for tasks with and without GPUs. */
export interface PriorityUsage {
  /** Usage by tasks that need GPUs. */
  readonly withGpus: UnitSums;
  /** Usage by tasks without GPUs. */
  readonly coresOnly: UnitSums;
}

/** Capacity for a kind of work, in GPUs or cores. */
export interface KindCapacity {
  /** Capacity that work of the kind and priority could use in total. */
  readonly total: number;
  /** Capacity that it could use now, including what lower priorities occupy. */
  readonly free: number;
}

/**
 * Capacity of a machine for work with GPUs that needs `coresEach` cores for each GPU. The total excludes usage by higher
 * priorities, and by work without GPUs of the same priority; usage by lower priorities counts as available, since it may be
 * preempted.
 */
export const gpuCapacity = (
  usage: readonly PriorityUsage[],
  type: MachineType,
  priority: Priority,
  coresEach: number,
): KindCapacity => {
  let protectedCores = 0;
  let protectedGpus = 0;
  let preemptibleGpus = 0;
  let usedCores = 0;
  let usedGpus = 0;
  usage.forEach(({ withGpus, coresOnly }, level) => {
    usedCores += withGpus.cores + coresOnly.cores;
    usedGpus += withGpus.gpus;
    if (level < priority) {
      preemptibleGpus += withGpus.gpus;
      return;
    }
    protectedCores += coresOnly.cores;
    if (level === priority) return;
    protectedCores += withGpus.cores;
    protectedGpus += withGpus.gpus;
  });
  const free = {
    cores: type.cores - usedCores / UNITS_PER_AMOUNT,
    gpus: type.gpus - usedGpus / UNITS_PER_AMOUNT,
  };
  return {
    total: Math.min(
      type.gpus - protectedGpus / UNITS_PER_AMOUNT,
      Math.max(0, type.cores - protectedCores / UNITS_PER_AMOUNT) / coresEach,
    ),
    free: Math.max(0, Math.min(free.gpus, free.cores / coresEach)) + preemptibleGpus / UNITS_PER_AMOUNT,
  };
};

/**
 * Capacity of a machine for work without GPUs. Cores used by lower priorities count as available: otherwise large jobs would
 * always be expected to start too late.
 */
export const coreCapacity = (
  usage: readonly PriorityUsage[],
  type: MachineType,
  priority: Priority,
): KindCapacity => {
  let usedCores = 0;
  let preemptibleCores = 0;
  usage.forEach(({ withGpus, coresOnly }, level) => {
    const cores = withGpus.cores + coresOnly.cores;
    usedCores += cores;
    if (level < priority) preemptibleCores += cores;
  });
  return {
    total: type.cores,
    free: Math.max(0, type.cores - usedCores / UNITS_PER_AMOUNT) + preemptibleCores / UNITS_PER_AMOUNT,
  };
};
