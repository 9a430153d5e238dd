/** Amounts of cores, GPUs and memory, and what a job's description allows. */
import type { JobSpec } from './job.js';
import type { MachineType } from './machine.js';

export interface Amounts {
  cores: number;
  gpus: number;
  memoryGb: number;
}

/** Amounts are decimals; sums of them are compared with this slack. */
const SLACK = 1e-6;

export const fits = (need: Readonly<Amounts>, free: Readonly<Amounts>): boolean =>
  need.cores <= free.cores + SLACK &&
  need.gpus <= free.gpus + SLACK &&
  need.memoryGb <= free.memoryGb + SLACK;

export const addTo = (a: Amounts, b: Readonly<Amounts>): void => {
  a.cores += b.cores;
  a.gpus += b.gpus;
  a.memoryGb += b.memoryGb;
};

export const takeFrom = (a: Amounts, b: Readonly<Amounts>): void => {
  a.cores -= b.cores;
  a.gpus -= b.gpus;
  a.memoryGb -= b.memoryGb;
};

/** How many times `need` fits into `free`. */
export const timesFits = (need: Readonly<Amounts>, free: Readonly<Amounts>): number => {
  const per = (n: number, f: number) => (n > 0 ? Math.floor((f + SLACK) / n) : Infinity);
  const k = Math.min(
    per(need.cores, free.cores),
    per(need.gpus, free.gpus),
    per(need.memoryGb, free.memoryGb),
  );
  return k === Infinity ? 1_000 : Math.max(0, k);
};

export const typeAllowed = (spec: JobSpec, type: MachineType): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type.name)) && fits(spec, type);

export const placeAllowed = (spec: JobSpec, type: string, zone: string, spot: boolean): boolean =>
  (spec.machineTypes === null || spec.machineTypes.includes(type)) &&
  (spec.zone === null || spec.zone === zone) &&
  (spec.spot || !spot);

export const fitsSomewhere = (spec: JobSpec, types: ReadonlyMap<string, MachineType>): boolean => {
  for (const t of types.values())
    if (typeAllowed(spec, t) && (spec.zone === null || t.zones.includes(spec.zone))) return true;
  return false;
};

/** At most half of the tasks, rounded up, may be in one zone. */
export const spreadLimit = (spec: JobSpec): number => Math.ceil(spec.tasks / 2);
