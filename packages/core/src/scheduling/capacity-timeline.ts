/** Free capacity of a machine over time, given when its work ends and what is planned on it. */
import type { CapacityChange, MachineSlot } from '../cluster/machine-slot.js';
import { UNBOUNDED_RUN_TIME } from '../cluster/runtime-estimates.js';
import { AMOUNT_TOLERANCE, type Amounts, fits } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';

/**
 * Whether `need` fits into `free` and still fits after each change, from index `from` on, that comes before `end`. `free` is
 * lowered to the minimum capacity over that time.
 */
const fitsUntil = (
  need: Amounts,
  free: Amounts,
  changes: readonly CapacityChange[],
  from: number,
  end: Micros,
): boolean => {
  if (!fits(need, free)) return false;
  let { cores, gpus, memoryGb } = free;
  for (let i = from; i < changes.length && changes[i]!.at < end; i++) {
    const change = changes[i]!;
    cores += change.cores;
    gpus += change.gpus;
    memoryGb += change.memoryGb;
    if (cores < free.cores) free.cores = cores;
    if (gpus < free.gpus) free.gpus = gpus;
    if (memoryGb < free.memoryGb) free.memoryGb = memoryGb;
    if (!fits(need, free)) return false;
  }
  return true;
};

/**
 * The earliest time, not before `notBefore`, from which `need` fits for the whole `duration`; null if there is none. Stores
 * the minimum free capacity over that duration in `free`.
 */
export const earliestStart = (
  slot: MachineSlot,
  need: Amounts,
  duration: Micros,
  free: Amounts,
  notBefore: Micros = 0,
): Micros | null => {
  const { changes } = slot;
  const ready = Math.max(slot.readyAt, notBefore);
  let { cores, gpus, memoryGb } = slot.free;
  // Accumulate all changes up to each candidate start; then the minimum over the duration must fit.
  for (let i = -1; i < changes.length; i++) {
    let start = ready;
    if (i >= 0) {
      const change = changes[i]!;
      cores += change.cores;
      gpus += change.gpus;
      memoryGb += change.memoryGb;
      if (change.at > start) start = change.at;
    }
    const next = changes[i + 1];
    if (next !== undefined && next.at <= start) continue;
    free.cores = cores;
    free.gpus = gpus;
    free.memoryGb = memoryGb;
    if (fitsUntil(need, free, changes, i + 1, start + duration)) return start;
  }
  return null;
};

/** The capacity change for planned work that occupies the amounts from `at` on. */
export const capacityTaken = (at: Micros, amounts: Readonly<Amounts>): CapacityChange => ({
  at,
  cores: -amounts.cores,
  gpus: -amounts.gpus,
  memoryGb: -amounts.memoryGb,
});

/**
 * Adds changes to a slot, after existing changes of the same time. A slot's amounts and changes are replaced and never
 * modified in place, since a rollback restores the previous objects.
 */
export const insertChanges = (slot: MachineSlot, ...added: readonly CapacityChange[]): void => {
  const changes = slot.changes.slice();
  for (const change of added) {
    let i = changes.length;
    while (i > 0 && changes[i - 1]!.at > change.at) i--;
    changes.splice(i, 0, change);
  }
  slot.changes = changes;
};

/** When `leastNeed` first fits, however briefly; `UNBOUNDED_RUN_TIME` if it never does or is null. */
export const firstFit = (slot: MachineSlot, leastNeed: Amounts | null): Micros => {
  if (leastNeed === null) return UNBOUNDED_RUN_TIME;
  let { cores, gpus, memoryGb } = slot.free;
  let at = slot.readyAt;
  for (let i = 0; ; i++) {
    const change = slot.changes[i];
    if (
      (change === undefined || change.at > at) &&
      leastNeed.cores <= cores + AMOUNT_TOLERANCE &&
      leastNeed.gpus <= gpus + AMOUNT_TOLERANCE &&
      leastNeed.memoryGb <= memoryGb + AMOUNT_TOLERANCE
    )
      return at;
    if (change === undefined) return UNBOUNDED_RUN_TIME;
    cores += change.cores;
    gpus += change.gpus;
    memoryGb += change.memoryGb;
    if (change.at > at) at = change.at;
  }
};
