/** When a machine has room, given what ends and what is planned on it. */
import type { Micros } from '../domain/time.js';
import type { Amounts } from '../domain/resources.js';
import { fits } from '../domain/resources.js';
import type { CapacityChange, MachineSlot } from '../cluster/machine-slot.js';

/** Services never finish: for the play-out they hold their room this long. */
export const FOREVER: Micros = 1e13;

/** The first time from which `need` fits for all of `length`; the room then is left in `room`. */
export const earliest = (
  s: MachineSlot,
  need: Amounts,
  length: Micros,
  room: Amounts,
  from: Micros = 0,
): Micros | null => {
  const { changes } = s;
  const ready = Math.max(s.readyAt, from);
  let { cores, gpus, memoryGb } = s.free;
  // Room at a start time is that of all changes up to it; then the least over the length must fit.
  for (let first = -1; first < changes.length; first++) {
    let t = ready;
    if (first >= 0) {
      const c = changes[first]!;
      cores += c.cores;
      gpus += c.gpus;
      memoryGb += c.memoryGb;
      if (c.at > t) t = c.at;
    }
    const next = changes[first + 1];
    if (next !== undefined && next.at <= t) continue;
    room.cores = cores;
    room.gpus = gpus;
    room.memoryGb = memoryGb;
    if (!fits(need, room)) continue;
    let ok = true;
    let c = cores;
    let g = gpus;
    let m = memoryGb;
    for (let i = first + 1; i < changes.length && changes[i]!.at < t + length; i++) {
      const x = changes[i]!;
      c += x.cores;
      g += x.gpus;
      m += x.memoryGb;
      if (c < room.cores) room.cores = c;
      if (g < room.gpus) room.gpus = g;
      if (m < room.memoryGb) room.memoryGb = m;
      if (!fits(need, room)) {
        ok = false;
        break;
      }
    }
    if (ok) return t;
  }
  return null;
};

export const negative = (at: Micros, n: Readonly<Amounts>): CapacityChange => ({
  at,
  cores: -n.cores,
  gpus: -n.gpus,
  memoryGb: -n.memoryGb,
});

/** Slots' amounts and changes are never altered in place: what is taken back is put back whole. */
export const insert = (s: MachineSlot, ...added: readonly CapacityChange[]): void => {
  const changes = s.changes.slice();
  for (const c of added) {
    let i = changes.length;
    while (i > 0 && changes[i - 1]!.at > c.at) i--;
    changes.splice(i, 0, c);
  }
  s.changes = changes;
};

/** When the least need first fits, however briefly; the slot's own word if it never does. */
export const firstFit = (s: MachineSlot, least: Amounts | null): Micros => {
  if (least === null) return FOREVER;
  let { cores, gpus, memoryGb } = s.free;
  let t = s.readyAt;
  for (let i = 0; ; i++) {
    const c = s.changes[i];
    if (
      (c === undefined || c.at > t) &&
      least.cores <= cores + 1e-6 &&
      least.gpus <= gpus + 1e-6 &&
      least.memoryGb <= memoryGb + 1e-6
    )
      return t;
    if (c === undefined) return FOREVER;
    cores += c.cores;
    gpus += c.gpus;
    memoryGb += c.memoryGb;
    if (c.at > t) t = c.at;
  }
};
