/** Amounts of cores, GPUs and memory, and what a job's description allows. */
import type { JobSpec } from './job.js';
import type { MachineType } from './machine.js';

/** Amounts of what a task needs or a machine has. */
export interface Amounts {
  cores: number;
  gpus: number;
  memoryGb: number;
}

/** Amounts are decimals; sums of them are compared with this tolerance. */
export const AMOUNT_TOLERANCE = 1e-6;
/** How often something that needs nothing at all fits. */
const FITS_ANY_TIMES = 1_000;

/** Whether what is needed fits into what is free. */
export const fits = (need: Readonly<Amounts>, free: Readonly<Amounts>): boolean =>
  need.cores <= free.cores + AMOUNT_TOLERANCE &&
  need.gpus <= free.gpus + AMOUNT_TOLERANCE &&
  need.memoryGb <= free.memoryGb + AMOUNT_TOLERANCE;

/** Adds an amount to a total, in place. */
export const addTo = (total: Amounts, amount: Readonly<Amounts>): void => {
  total.cores += amount.cores;
  total.gpus += amount.gpus;
  total.memoryGb += amount.memoryGb;
};

/** Takes an amount off a total, in place. */
export const takeFrom = (total: Amounts, amount: Readonly<Amounts>): void => {
  total.cores -= amount.cores;
  total.gpus -= amount.gpus;
  total.memoryGb -= amount.memoryGb;
};

const timesOf = (need: number, free: number): number =>
  need > 0 ? Math.floor((free + AMOUNT_TOLERANCE) / need) : Infinity;

/** How many times `need` fits into `free`. */
export const timesFits = (need: Readonly<Amounts>, free: Readonly<Amounts>): number => {
  const times = Math.min(
    timesOf(need.cores, free.cores),
    timesOf(need.gpus, free.gpus),
    timesOf(need.memoryGb, free.memoryGb),
  );
  return times === Infinity ? FITS_ANY_TIMES : Math.max(0, times);
};

/** Whether a task fits an empty machine of the type, and may run on that type. */
export const typeAllowed = (spec: JobSpec, type: MachineType): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type.name)) && fits(spec, type);

/** Whether the job may run on machines of this type, zone and kind, however much room they have. */
export const placeAllowed = (spec: JobSpec, type: string, zone: string, spot: boolean): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type)) &&
  (spec.zone === null || spec.zone === zone) &&
  (spec.spot || !spot);

/** Whether any machine type could run a task of the job. */
export const fitsSomewhere = (spec: JobSpec, types: ReadonlyMap<string, MachineType>): boolean => {
  for (const type of types.values())
    if (typeAllowed(spec, type) && (spec.zone === null || type.zones.includes(spec.zone))) return true;
  return false;
};

/** How many tasks of a job that spreads across zones may be in one zone: half of them, rounded up. */
export const spreadLimit = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);
