/** Machines of one type, zone and kind, in the order in which they may have free capacity. */
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { type Amounts, fits, placeAllowed } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { firstFit } from './capacity-timeline.js';
import { GPU_KINDS, gpuKind, type Placement } from './plan-input.js';

/** Stands for the earliest fit of a provisioned machine, which is added behind the sorted ones. */
export const UNSORTED = -1;

/** Pairs are by need of GPUs. */
export interface MachinePool {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** By the first value of their earliest fit. */
  readonly byEarliestFit: readonly [Placement[], Placement[]];
  readonly placements: Placement[];
  /** The values of the earliest fit that the placements were sorted by. */
  readonly sortedFits: readonly [Micros[], Micros[]];
  /** The least that any group of the plan needs here. Null: none may come here. */
  readonly leastNeed: [Amounts | null, Amounts | null];
  /** Work of lower priority begins nowhere here: the pool's machines drain for what waits. */
  reservedPriority: number;
}

/** Unique by type, zone and kind. */
export const poolKey = (type: MachineType, zone: string, spot: boolean): string =>
  `${type.name}|${zone}|${spot ? 's' : 'o'}`;

/** A pool without machines. */
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

/** Whether tasks of the job could ever run in the pool. */
export const poolSuits = ({ type, zone, spot }: MachinePool, spec: JobSpec): boolean =>
  placeAllowed(spec, type.name, zone, spot) && fits(spec, type);

/** Whether tasks of the job may run in the pool, given what it is reserved for. */
export const poolAccepts = (pool: MachinePool, spec: JobSpec): boolean =>
  spec.priority >= pool.reservedPriority && poolSuits(pool, spec);

/** Lowers the least need of the pool to what the job's tasks need. */
export const includeNeed = (pool: MachinePool, spec: JobSpec): void => {
  if (!poolSuits(pool, spec)) return;
  const kind = gpuKind(spec);
  const least = pool.leastNeed[kind];
  if (least === null) {
    pool.leastNeed[kind] = { cores: spec.cores, gpus: spec.gpus, memoryGb: spec.memoryGb };
    return;
  }
  least.cores = Math.min(least.cores, spec.cores);
  least.gpus = Math.min(least.gpus, spec.gpus);
  least.memoryGb = Math.min(least.memoryGb, spec.memoryGb);
};

/** Sorts the pool. Once, before any simulation: an earliest fit found later would be that of some trial. */
export const sortPool = (pool: MachinePool): void => {
  for (const kind of GPU_KINDS) {
    const least = pool.leastNeed[kind];
    if (least === null) continue;
    const sorted = pool.byEarliestFit[kind];
    for (const placement of pool.placements) placement.earliestFit[kind] = firstFit(placement.slot, least);
    sorted.push(...pool.placements);
    sorted.sort((one, other) => one.earliestFit[kind] - other.earliestFit[kind]);
    pool.sortedFits[kind].push(...sorted.map((placement) => placement.earliestFit[kind]));
  }
};

/** Adds a provisioned machine, at the end of the order whatever its earliest fit. */
export const appendPlacement = (pool: MachinePool, placement: Placement): void => {
  pool.placements.push(placement);
  for (const kind of GPU_KINDS) {
    pool.byEarliestFit[kind].push(placement);
    pool.sortedFits[kind].push(UNSORTED);
  }
};

/** Removes the machine that was added last. */
export const removeLastPlacement = (pool: MachinePool): void => {
  pool.placements.pop();
  for (const kind of GPU_KINDS) {
    pool.byEarliestFit[kind].pop();
    pool.sortedFits[kind].pop();
  }
};
