/** The picture that a plan works on, made of the machines as they are and what is predicted of them. */
import type { Picture, Rentable } from './plan-input.js';
import type { Change, Slot } from '../cluster/machine-slot.js';
import type { Machine } from '../cluster/cluster-model.js';
import type { Context } from '../node/node-context.js';
import type { Estate } from '../cluster/cluster-state.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { MILLI, SECOND } from '../domain/time.js';

/** How long a machine's slot is kept in the picture while nothing changes there. */
const PICTURE_FRESH = 2_500 * MILLI;

export class Imaging {
  private readonly ctx: Context;

  constructor(private readonly estate: Estate) {
    this.ctx = estate.ctx;
  }

  /**
   * Kept from plan to plan while nothing changes on the machine, for as long as predictions stay fresh. A plan takes
   * back what it changed in it.
   */
  private slotOf(m: Machine, type: MachineType, thrifty: boolean): Slot | null {
    const booting = !m.up && m.retiring === null && !m.unresolved && m.session === 0;
    if (!booting && !m.usable()) return null;
    const { now } = this.ctx;
    const kept = m.pictured;
    if (
      !booting &&
      kept !== null &&
      kept.changes === m.changes &&
      now - kept.at < PICTURE_FRESH &&
      kept.slot.type === type &&
      (kept.slot.changes[0]?.at ?? Infinity) > now + 100 * MILLI
    ) {
      const sunk = m.standing || !thrifty;
      if (sunk !== kept.slot.sunk) delete kept.slot.likeness;
      kept.slot.sunk = sunk;
      kept.slot.ready = now;
      return kept.slot;
    }
    const slot = this.makeSlot(m, type, thrifty, booting);
    if (!booting) m.pictured = { changes: m.changes, at: now, slot };
    return slot;
  }

  private makeSlot(m: Machine, type: MachineType, thrifty: boolean, booting: boolean): Slot {
    const { now } = this.ctx;
    const images = new Set(m.images.keys());
    const changes: Change[] = [];
    for (const a of m.attempts.values()) {
      images.add(a.job.spec.image);
      const left =
        a.stopping !== null
          ? a.stopping.graceUs + SECOND
          : this.estate.remaining(a) +
            (a.runningAt === null && type.imagePullGbPerS > 0 && !m.images.has(a.job.spec.image)
              ? (a.job.spec.imageGb / type.imagePullGbPerS) * SECOND
              : 0);
      const { cores, gpus, memoryGb } = a.job.spec;
      changes.push({ at: now + left, cores, gpus, memoryGb });
    }
    changes.sort((x, y) => x.at - y.at);
    const due = m.rentedAt + type.bootUs;
    const ready = booting ? Math.max(due, now + Math.max(2 * SECOND, 0.2 * (now - m.rentedAt))) : now;
    return {
      key: m.name,
      type,
      zone: m.zone,
      spot: m.spot,
      sunk: m.standing || !thrifty,
      machine: m.name,
      ready,
      free: m.freeOf(type),
      changes,
      images,
      used: false,
    };
  }

  picture(rentable: readonly Rentable[], kinds: readonly JobSpec[]): Picture {
    const slots: Slot[] = [];
    const thrifty = this.estate.thrifty();
    for (const m of this.estate.machines.values()) {
      const type = this.ctx.types.get(m.type);
      const slot = type === undefined ? null : this.slotOf(m, type, thrifty);
      if (slot !== null) slots.push(slot);
    }
    return {
      now: this.ctx.now,
      slots,
      types: [...this.ctx.types.values()],
      rentable,
      kinds,
      rented: new Map(),
      predictor: {
        runTime: (spec, type, credit) =>
          this.estate.timings.remaining(spec.class, type.name, spec.estimatedRunUs, credit),
      },
    };
  }
}
