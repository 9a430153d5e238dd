/** Criteria that rank machines for a task in addition to its finish time there: price, waste and image pulls. */
import type { MachineSlot } from '../cluster/machine-slot.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { countFits, fits } from '../domain/resources.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { ClusterSnapshot, TaskGroup } from './plan-input.js';

/** Upper bound on the relative price of a task. */
const MAX_RELATIVE_TASK_PRICE = 3;

/** Penalty, in waiting time, for each multiple of the job's lowest price per task that a machine costs on top of it. */
export const COST_PENALTY: Micros = 8 * SECOND;

/** A machine is expensive for a job from this multiple of the job's lowest price on. */
export const EXPENSIVE_PRICE_RATIO = 3;

/** A task counts as small relative to one that needs at least this many times its cores. */
export const SMALL_TASK_RATIO = 4;

/** Penalty, in waiting time, for a placement that blocks a large task. */
export const BLOCKING_PENALTY: Micros = 10 * SECOND;

/** Penalty, in waiting time, for a machine that the group should avoid. */
export const AVOIDANCE_PENALTY: Micros = 60 * SECOND;

/** Penalty, as a share of the additional time for which the task keeps the machine busy. */
const BUSY_EXTENSION_SHARE = 0.12;

/** Penalty, in waiting time, for work without GPUs on a machine with GPUs whose cost is sunk. */
const GPU_MISUSE_PENALTY: Micros = 8 * SECOND;

/** Penalty, in waiting time, for a machine that is wholly free; proportionally less for one that is partly free. */
const EMPTY_MACHINE_PENALTY: Micros = 4 * SECOND;

/** Penalty, in waiting time, for the less suitable purchase option, spot or on-demand. */
const SPOT_MISMATCH_PENALTY: Micros = 4 * SECOND;

/** Time to pull the job's image to a machine; 0 if it is cached there or the type has no pull rate. */
export const imagePullTime = (spec: JobSpec, { images, type }: MachineSlot): Micros =>
  images.has(spec.image) || type.imagePullGbPerS <= 0
    ? 0
    : Math.round((spec.imageGb / type.imagePullGbPerS) * SECOND);

/**
 * Penalty that separates machines with nearly equal finish times, in waiting time. It keeps machines with GPUs for work that
 * needs GPUs, and prefers machines that are busy until the task's finish anyway, so that others become empty and can be
 * scaled in. `price` is the machine's relative price.
 */
export const wastePenalty = (
  spec: JobSpec,
  slot: MachineSlot,
  finish: Micros,
  price: number,
  allowedDelay: Micros,
): Micros => {
  const { type, free, sunkCost } = slot;
  let waste = sunkCost && spec.gpus === 0 && type.gpus > 0 ? GPU_MISUSE_PENALTY : 0;
  const busyUntil = slot.changes.at(-1)?.at ?? slot.readyAt;
  if (spec.shape !== 'service') {
    const extension = BUSY_EXTENSION_SHARE * Math.max(0, finish - Math.max(busyUntil, slot.readyAt));
    // The whole machine is paid for until the finish, so work that could run on a cheap one must not keep it running.
    waste += Math.round(
      sunkCost ? extension : Math.min(extension * price, Math.max(extension, allowedDelay)),
    );
  }
  const freeShare = type.gpus > 0 ? free.gpus / type.gpus : free.cores / type.cores;
  waste += Math.round(EMPTY_MACHINE_PENALTY * Math.max(0, Math.min(1, freeShare)));
  // Spot machines suit work that checkpoints; other work should use on-demand machines.
  if (spec.spot) waste += slot.spot === spec.checkpointIntervalUs > 0 ? 0 : SPOT_MISMATCH_PENALTY;
  return waste;
};

/** Hourly price of one task's share of a machine. */
const pricePerTask = (spec: JobSpec, type: MachineType, spot: boolean): number =>
  (spot ? type.spotPrice : type.price) / Math.max(1, countFits(spec, type));

const typeFits = (spec: JobSpec, type: MachineType): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type.name)) && fits(spec, type);

/** A price as a multiple of the lowest price among the types that fit a task; null if that is 0 or no type fits. */
const multipleOfCheapest = (
  snapshot: ClusterSnapshot,
  spec: JobSpec,
  price: number,
  onDemandPrice: (type: MachineType) => number,
): number | null => {
  let cheapest = Infinity;
  // List prices of all types count, including types that the cloud refuses now: scarcity does not make an expensive
  // machine cheap.
  for (const type of snapshot.types)
    if (typeFits(spec, type)) cheapest = Math.min(cheapest, onDemandPrice(type));
  return cheapest > 0 && cheapest < Infinity ? price / cheapest : null;
};

/** The price of a task's share of a machine, as a multiple of the job's lowest on-demand price, up to a bound. */
export const relativeTaskPrice = (
  snapshot: ClusterSnapshot,
  group: TaskGroup,
  type: MachineType,
  spot: boolean,
): number => {
  const { spec, relativePrices } = group;
  const key = spot ? `${type.name}|s` : type.name;
  let ratio = relativePrices.get(key);
  if (ratio === undefined) {
    const onDemandPrice = (other: MachineType): number => pricePerTask(spec, other, false);
    const multiple = multipleOfCheapest(snapshot, spec, pricePerTask(spec, type, spot), onDemandPrice);
    ratio = multiple === null ? 1 : Math.min(MAX_RELATIVE_TASK_PRICE, multiple);
    relativePrices.set(key, ratio);
  }
  return ratio;
};

/** The price of a machine, as a multiple of the cheapest on-demand machine that the job could use. */
export const relativeMachinePrice = (
  snapshot: ClusterSnapshot,
  group: TaskGroup,
  type: MachineType,
  spot: boolean,
): number => {
  const { spec, relativePrices } = group;
  const key = spot ? `${type.name}|ms` : `${type.name}|m`;
  let ratio = relativePrices.get(key);
  if (ratio === undefined) {
    const price = spot ? type.spotPrice : type.price;
    ratio = multipleOfCheapest(snapshot, spec, price, (other) => other.price) ?? 1;
    relativePrices.set(key, ratio);
  }
  return ratio;
};
