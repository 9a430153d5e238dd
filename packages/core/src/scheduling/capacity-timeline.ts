/** When a machine has free capacity, given what ends and what is planned on it. */
import type { CapacityChange, MachineSlot } from '../cluster/machine-slot.js';
import { UNBOUNDED_RUN_TIME } from '../cluster/runtime-estimates.js';
import { AMOUNT_TOLERANCE, type Amounts, fits } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';

/**
 * Whether `need` fits into `free`, and goes on fitting through the changes from the given one on that come before `end`.
 * `free` is lowered to the least capacity of that time.
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
 * The first time, not before `notBefore`, from which `need` fits for all of `duration`; null if there is none. The least
 * capacity that is free throughout that time is left in `free`.
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
  // The capacity at a start time is that of all changes up to it; then the least over the duration must fit.
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

/** The change by which planned work takes the amounts. */
export const capacityTaken = (at: Micros, amounts: Readonly<Amounts>): CapacityChange => ({
  at,
  cores: -amounts.cores,
  gpus: -amounts.gpus,
  memoryGb: -amounts.memoryGb,
});

/**
 * Adds changes to a slot, behind those of the same time. A slot's amounts and changes are never altered in place: a
 * rollback puts the former ones back as they were.
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

/** When the least need first fits, however briefly; `UNBOUNDED_RUN_TIME` if it never does, or if there is no need. */
export const firstFit = (slot: MachineSlot, least: Amounts | null): Micros => {
  if (least === null) return UNBOUNDED_RUN_TIME;
  let { cores, gpus, memoryGb } = slot.free;
  let at = slot.readyAt;
  for (let i = 0; ; i++) {
    const change = slot.changes[i];
    if (
      (change === undefined || change.at > at) &&
      least.cores <= cores + AMOUNT_TOLERANCE &&
      least.gpus <= gpus + AMOUNT_TOLERANCE &&
      least.memoryGb <= memoryGb + AMOUNT_TOLERANCE
    )
      return at;
    if (change === undefined) return UNBOUNDED_RUN_TIME;
    cores += change.cores;
    gpus += change.gpus;
    memoryGb += change.memoryGb;
    if (change.at > at) at = change.at;
  }
};
