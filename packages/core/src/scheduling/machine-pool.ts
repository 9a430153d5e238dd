/** Machines of one type, zone and purchase option, sorted by when they may have free capacity. */
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { type Amounts, fits, isPlacementAllowed } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { firstFit } from './capacity-timeline.js';
import { GPU_KINDS, gpuKind, type Placement } from './plan-input.js';

/** Marks a provisioned machine, which is appended behind the sorted ones, in place of its earliest fit. */
export const UNSORTED = -1;

/** Interchangeable machines of a plan. Pairs are indexed by `GpuKind`. */
export interface MachinePool {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Placements sorted by their initial earliest fit, with provisioned ones at the end. */
  readonly byEarliestFit: readonly [Placement[], Placement[]];
  /** All placements of the pool, in the order in which they were added. */
  readonly placements: Placement[];
  /** The earliest fits that `byEarliestFit` was sorted by. */
  readonly sortedFits: readonly [Micros[], Micros[]];
  /** The smallest amounts that any task of the plan needs here; null if none may run here. */
  readonly leastNeed: [Amounts | null, Amounts | null];
  /** Work of lower priority doesn't start here, so that the pool's machines drain for waiting work. */
  reservedPriority: number;
}

/** Key of a pool: unique for each type, zone and purchase option. */
export const poolKey = (type: MachineType, zone: string, spot: boolean): string =>
  `${type.name}|${zone}|${spot ? 's' : 'o'}`;

/** Creates a pool without machines. */
export const emptyPool = (type: MachineType, zone: string, spot: boolean): MachinePool => ({
  type,
  zone,
  spot,
  byEarliestFit: [[], []],
  sortedFits: [[], []],
  placements: [],
  leastNeed: [null, null],
  reservedPriority: 0,
});

/** Whether the pool's type, zone and purchase option allow tasks of the job, regardless of reservations. */
export const poolMatches = ({ type, zone, spot }: MachinePool, spec: JobSpec): boolean =>
  isPlacementAllowed(spec, type.name, zone, spot) && fits(spec, type);

/** Whether tasks of the job may run in the pool, given the priority that it is reserved for. */
export const poolAccepts = (pool: MachinePool, spec: JobSpec): boolean =>
  spec.priority >= pool.reservedPriority && poolMatches(pool, spec);

/** Lowers the pool's `leastNeed` to the needs of the job's tasks, if they may run there. */
export const includeNeed = (pool: MachinePool, spec: JobSpec): void => {
  if (!poolMatches(pool, spec)) return;
  const kind = gpuKind(spec);
  const leastNeed = pool.leastNeed[kind];
  if (leastNeed === null) {
    pool.leastNeed[kind] = { cores: spec.cores, gpus: spec.gpus, memoryGb: spec.memoryGb };
    return;
  }
  leastNeed.cores = Math.min(leastNeed.cores, spec.cores);
  leastNeed.gpus = Math.min(leastNeed.gpus, spec.gpus);
  leastNeed.memoryGb = Math.min(leastNeed.memoryGb, spec.memoryGb);
};

/** Sorts the pool, once, before any work is placed: later the earliest fits would include trial placements. */
export const sortPool = (pool: MachinePool): void => {
  for (const kind of GPU_KINDS) {
    const leastNeed = pool.leastNeed[kind];
    if (leastNeed === null) continue;
    const sorted = pool.byEarliestFit[kind];
    for (const placement of pool.placements)
      placement.earliestFit[kind] = firstFit(placement.slot, leastNeed);
    sorted.push(...pool.placements);
    sorted.sort((one, other) => one.earliestFit[kind] - other.earliestFit[kind]);
    pool.sortedFits[kind].push(...sorted.map((placement) => placement.earliestFit[kind]));
  }
};

/** Adds a provisioned machine at the end of the order, regardless of its earliest fit. */
export const appendPlacement = (pool: MachinePool, placement: Placement): void => {
  pool.placements.push(placement);
  for (const kind of GPU_KINDS) {
    pool.byEarliestFit[kind].push(placement);
    pool.sortedFits[kind].push(UNSORTED);
  }
};

/** Removes the provisioned machine that was added last. */
export const removeLastPlacement = (pool: MachinePool): void => {
  pool.placements.pop();
  for (const kind of GPU_KINDS) {
    pool.byEarliestFit[kind].pop();
    pool.sortedFits[kind].pop();
  }
};
