/** Resource amounts, and the placement constraints of a job specification. */
import type { JobSpec } from './job.js';
import type { MachineType } from './machine.js';

/** Resources that a task requests or a machine has. */
export interface Amounts {
  /** CPU cores; may be fractional. */
  cores: number;
  /** Number of GPUs. */
  gpus: number;
  /** Memory in gigabytes. */
  memoryGb: number;
}

/** Tolerance for comparisons of summed amounts, which are floating-point numbers. */
export const AMOUNT_TOLERANCE = 1e-6;
/** Fit count of a request for no resources, which would fit without limit. */
const FIT_COUNT_OF_EMPTY_REQUEST = 1_000;

/** Whether the requested amounts fit into the free ones. */
export const fits = (need: Readonly<Amounts>, free: Readonly<Amounts>): boolean =>
  need.cores <= free.cores + AMOUNT_TOLERANCE &&
  need.gpus <= free.gpus + AMOUNT_TOLERANCE &&
  need.memoryGb <= free.memoryGb + AMOUNT_TOLERANCE;

/** Adds the amounts to `total` in place. */
export const addTo = (total: Amounts, amount: Readonly<Amounts>): void => {
  total.cores += amount.cores;
  total.gpus += amount.gpus;
  total.memoryGb += amount.memoryGb;
};

/** Subtracts the amounts from `total` in place. */
export const subtractFrom = (total: Amounts, amount: Readonly<Amounts>): void => {
  total.cores -= amount.cores;
  total.gpus -= amount.gpus;
  total.memoryGb -= amount.memoryGb;
};

const fitCountOf = (need: number, free: number): number =>
  need > 0 ? Math.floor((free + AMOUNT_TOLERANCE) / need) : Infinity;

/** Number of requests of size `need` that fit into `free` together. */
export const countFits = (need: Readonly<Amounts>, free: Readonly<Amounts>): number => {
  const fitCount = Math.min(
    fitCountOf(need.cores, free.cores),
    fitCountOf(need.gpus, free.gpus),
    fitCountOf(need.memoryGb, free.memoryGb),
  );
  return fitCount === Infinity ? FIT_COUNT_OF_EMPTY_REQUEST : Math.max(0, fitCount);
};

/** Whether the job may run on the machine type and one of its tasks fits on an empty machine of it. */
export const isMachineTypeAllowed = (spec: JobSpec, type: MachineType): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type.name)) && fits(spec, type);

/** Whether the job may run on machines of this type, zone and pricing model, regardless of their free capacity. */
export const isPlacementAllowed = (spec: JobSpec, type: string, zone: string, spot: boolean): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type)) &&
  (spec.zone === null || spec.zone === zone) &&
  (spec.spot || !spot);

/** Whether any machine type could run a task of the job in a zone that the job allows. */
export const fitsAnyMachineType = (spec: JobSpec, types: ReadonlyMap<string, MachineType>): boolean => {
  for (const type of types.values())
    if (isMachineTypeAllowed(spec, type) && (spec.zone === null || type.zones.includes(spec.zone)))
      return true;
  return false;
};

/** Maximum number of tasks per zone for a job that is spread across zones: half of them, rounded up. */
export const maxTasksPerZone = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);
