/** What separates machines for a task beside the time at which it would finish there: price, waste and images. */
import type { MachineSlot } from '../cluster/machine-slot.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { fits, timesFits } from '../domain/resources.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { ClusterSnapshot, TaskGroup } from './plan-input.js';

/** The most that a relative price per task counts. */
const MAX_COST_PENALTY = 3;

/** What a machine that is dearer by its job's lowest price again counts as, in waiting time. */
export const COST_PENALTY_WEIGHT: Micros = 8 * SECOND;

/** From so many times the lowest price on, a machine is expensive for a job. */
export const EXPENSIVE_PRICE_RATIO = 3;

/** A task is small beside one that takes so many times its cores. */
export const SMALL_TASK_RATIO = 4;

/** What a placement that keeps a large task out counts for, in waiting time. */
export const BLOCKING_WEIGHT: Micros = 10 * SECOND;

/** What a machine that the group had better avoid counts for, in waiting time. */
export const AVOIDANCE_WEIGHT: Micros = 60 * SECOND;

/** Share of the time by which a task keeps a machine busy for longer that counts against the placement. */
const EXTENSION_WEIGHT = 0.12;

/** What work without GPUs on a pre-provisioned machine with GPUs counts for, in waiting time. */
const GPU_MISUSE_WEIGHT: Micros = 8 * SECOND;

/** What a machine that is wholly free counts for, in waiting time. */
const EMPTINESS_WEIGHT: Micros = 4 * SECOND;

/** What the wrong kind of machine, spot or ordinary, counts for, in waiting time. */
const SPOT_MISMATCH_WEIGHT: Micros = 4 * SECOND;

/** Time to pull the job's image to a machine; 0 where it is cached. */
export const imagePullTime = (spec: JobSpec, { images, type }: MachineSlot): Micros =>
  images.has(spec.image) || type.imagePullGbPerS <= 0
    ? 0
    : Math.round((spec.imageGb / type.imagePullGbPerS) * SECOND);

/**
 * What separates machines with nearly equal finishes, in waiting time: machines with GPUs are kept for work that needs
 * GPUs, and a task had better go where the machine is busy for as long anyway, so that others become empty and can be
 * scaled in. `price` is the machine's relative price.
 */
export const wasteOf = (
  spec: JobSpec,
  slot: MachineSlot,
  finish: Micros,
  price: number,
  allowedDelay: Micros,
): Micros => {
  const { type, free, sunkCost } = slot;
  let waste = sunkCost && spec.gpus === 0 && type.gpus > 0 ? GPU_MISUSE_WEIGHT : 0;
  const busyUntil = slot.changes.at(-1)?.at ?? slot.readyAt;
  if (spec.shape !== 'service') {
    const extension = EXTENSION_WEIGHT * Math.max(0, finish - Math.max(busyUntil, slot.readyAt));
    // The whole machine is paid for until then: an expensive one must not be kept by what could run on a cheap one.
    waste += Math.round(
      sunkCost ? extension : Math.min(extension * price, Math.max(extension, allowedDelay)),
    );
  }
  const freeShare = type.gpus > 0 ? free.gpus / type.gpus : free.cores / type.cores;
  waste += Math.round(EMPTINESS_WEIGHT * Math.max(0, Math.min(1, freeShare)));
  // Spot machines are for work that checkpoints; the others are for what must not go there.
  if (spec.spot) waste += slot.spot === spec.checkpointIntervalUs > 0 ? 0 : SPOT_MISMATCH_WEIGHT;
  return waste;
};

/** What one task's share of a machine costs an hour. */
const pricePerTask = (spec: JobSpec, type: MachineType, spot: boolean): number =>
  (spot ? type.spotPrice : type.price) / Math.max(1, timesFits(spec, type));

const typeFits = (spec: JobSpec, type: MachineType): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type.name)) && fits(spec, type);

/** A price as a multiple of the lowest that a type with room for a task has; null where nothing has a price. */
const multipleOfCheapest = (
  snapshot: ClusterSnapshot,
  spec: JobSpec,
  price: number,
  ordinaryPrice: (type: MachineType) => number,
): number | null => {
  let cheapest = Infinity;
  // Nominal prices of all types count, also of those that are refused now: scarcity does not make an expensive machine
  // cheap.
  for (const type of snapshot.types)
    if (typeFits(spec, type)) cheapest = Math.min(cheapest, ordinaryPrice(type));
  return cheapest > 0 && cheapest < Infinity ? price / cheapest : null;
};

/** The price of a task's share of a machine, as a multiple of the lowest ordinary price that its job can get. */
export const relativeTaskPrice = (
  snapshot: ClusterSnapshot,
  group: TaskGroup,
  type: MachineType,
  spot: boolean,
): number => {
  const { spec, costPenalties } = group;
  const key = spot ? `${type.name}|s` : type.name;
  let ratio = costPenalties.get(key);
  if (ratio === undefined) {
    const ordinaryPrice = (other: MachineType): number => pricePerTask(spec, other, false);
    const multiple = multipleOfCheapest(snapshot, spec, pricePerTask(spec, type, spot), ordinaryPrice);
    ratio = multiple === null ? 1 : Math.min(MAX_COST_PENALTY, multiple);
    costPenalties.set(key, ratio);
  }
  return ratio;
};

/** The price of a machine, as a multiple of the cheapest ordinary one that the job could use. */
export const relativeMachinePrice = (
  snapshot: ClusterSnapshot,
  group: TaskGroup,
  type: MachineType,
  spot: boolean,
): number => {
  const { spec, costPenalties } = group;
  const key = spot ? `${type.name}|ms` : `${type.name}|m`;
  let ratio = costPenalties.get(key);
  if (ratio === undefined) {
    const price = spot ? type.spotPrice : type.price;
    ratio = multipleOfCheapest(snapshot, spec, price, (other) => other.price) ?? 1;
    costPenalties.set(key, ratio);
  }
  return ratio;
};
