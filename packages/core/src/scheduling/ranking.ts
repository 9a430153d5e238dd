/** What separates places for a task beside the time at which it would finish there: price, waste and images. */
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import { fits, timesFits } from '../domain/resources.js';
import type { MachineSlot } from '../cluster/machine-slot.js';
import type { TaskGroup, ClusterSnapshot } from './plan-input.js';

export const fetchTime = (spec: JobSpec, s: { type: MachineType; images: ReadonlySet<string> }): Micros =>
  s.images.has(spec.image) || s.type.imagePullGbPerS <= 0
    ? 0
    : Math.round((spec.imageGb / s.type.imagePullGbPerS) * 1e6);

export const MAX_DEAR = 3;
/** What a place that is dearer by its job's lowest price again counts as, in waiting time. */
export const DEAR_WEIGHT: Micros = 8_000_000;

/** From so many times the lowest price on a machine is dear for a job. */
export const DEAR_MACHINE = 3;

/** A task is small beside one that takes so many times its cores. */
export const SMALL = 4;
/** What a place counts for, in waiting time, that keeps a large task out. */
export const BLOCK_WEIGHT: Micros = 10_000_000;

/** Share of the time by which a task keeps a machine busy for longer that counts against the place. */
export const EXTENSION_WEIGHT = 0.12;

/**
 * What separates places with near-equal finishes: GPU machines are kept for work that needs GPUs, and
 * a task had better go where the machine is busy for as long anyway, so that others become empty and
 * can be returned.
 */
export const waste = (
  spec: JobSpec,
  s: MachineSlot,
  finish: Micros,
  price: number,
  patience: Micros,
): Micros => {
  let w = s.sunkCost && spec.gpus === 0 && s.type.gpus > 0 ? 8_000_000 : 0;
  const busyUntil = s.changes.at(-1)?.at ?? s.readyAt;
  if (spec.shape !== 'service') {
    const plain = EXTENSION_WEIGHT * Math.max(0, finish - Math.max(busyUntil, s.readyAt));
    // The whole machine is paid for until then: a dear one must not be kept by what could run on a cheap one.
    w += Math.round(s.sunkCost ? plain : Math.min(plain * price, Math.max(plain, patience)));
  }
  const share = s.type.gpus > 0 ? s.free.gpus / s.type.gpus : s.free.cores / s.type.cores;
  w += Math.round(4_000_000 * Math.max(0, Math.min(1, share)));
  // Machines that may be taken back are for work that saves; the others are for what must not go there.
  if (spec.spot) w += s.spot === spec.checkpointIntervalUs > 0 ? 0 : 4_000_000;
  return w;
};

/** What one task's share of a machine costs an hour. */
export const perTask = (spec: JobSpec, type: MachineType, spot: boolean): number =>
  (spot ? type.spotPrice : type.price) / Math.max(1, timesFits(spec, type));

/** The price of a task's share of a machine, as a multiple of the lowest ordinary price that its job can get. */
export const dearness = (p: ClusterSnapshot, g: TaskGroup, type: MachineType, spot: boolean): number => {
  const key = spot ? `${type.name}|s` : type.name;
  let d = g.costPenalties.get(key);
  if (d === undefined) {
    // Nominal prices of all types count, also of those that are refused now: scarcity does not make
    // a dear machine cheap.
    let cheapest = Infinity;
    for (const t of p.types)
      if ((g.spec.machineTypes === null || g.spec.machineTypes.includes(t.name)) && fits(g.spec, t))
        cheapest = Math.min(cheapest, perTask(g.spec, t, false));
    d = cheapest > 0 && cheapest < Infinity ? Math.min(MAX_DEAR, perTask(g.spec, type, spot) / cheapest) : 1;
    g.costPenalties.set(key, d);
  }
  return d;
};

/** The price of a machine, as a multiple of the cheapest ordinary one that the job could use. */
export const priceOf = (p: ClusterSnapshot, g: TaskGroup, type: MachineType, spot: boolean): number => {
  const key = spot ? `${type.name}|ms` : `${type.name}|m`;
  let d = g.costPenalties.get(key);
  if (d === undefined) {
    let cheapest = Infinity;
    for (const t of p.types)
      if ((g.spec.machineTypes === null || g.spec.machineTypes.includes(t.name)) && fits(g.spec, t))
        cheapest = Math.min(cheapest, t.price);
    d = cheapest > 0 && cheapest < Infinity ? (spot ? type.spotPrice : type.price) / cheapest : 1;
    g.costPenalties.set(key, d);
  }
  return d;
};
