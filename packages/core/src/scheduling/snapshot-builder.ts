/** The picture that a plan works on, made of the machines as they are and what is predicted of them. */
import type { ClusterSnapshot, CapacityOffer } from './plan-input.js';
import type { CapacityChange, MachineSlot } from '../cluster/machine-slot.js';
import type { Machine } from '../cluster/cluster-model.js';
import type { NodeContext } from '../node/node-context.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { MILLI, SECOND } from '../domain/time.js';

/** How long a machine's slot is kept in the picture while nothing changes there. */
const PICTURE_FRESH = 2_500 * MILLI;

export class SnapshotBuilder {
  private readonly ctx: NodeContext;

  constructor(private readonly estate: ClusterState) {
    this.ctx = estate.ctx;
  }

  /**
   * Kept from plan to plan while nothing changes on the machine, for as long as predictions stay fresh. A plan takes
   * back what it changed in it.
   */
  private slotOf(m: Machine, type: MachineType, thrifty: boolean): MachineSlot | null {
    const booting = !m.up && m.retirementReason === null && !m.awaitingReconciliation && m.agentEpoch === 0;
    if (!booting && !m.isUsable()) return null;
    const { now } = this.ctx;
    const kept = m.cachedSlot;
    if (
      !booting &&
      kept !== null &&
      kept.changes === m.revision &&
      now - kept.at < PICTURE_FRESH &&
      kept.slot.type === type &&
      (kept.slot.changes[0]?.at ?? Infinity) > now + 100 * MILLI
    ) {
      const sunk = m.preprovisioned || !thrifty;
      if (sunk !== kept.slot.sunkCost) delete kept.slot.equivalenceKey;
      kept.slot.sunkCost = sunk;
      kept.slot.readyAt = now;
      return kept.slot;
    }
    const slot = this.makeSlot(m, type, thrifty, booting);
    if (!booting) m.cachedSlot = { changes: m.revision, at: now, slot };
    return slot;
  }

  private makeSlot(m: Machine, type: MachineType, thrifty: boolean, booting: boolean): MachineSlot {
    const { now } = this.ctx;
    const images = new Set(m.cachedImages.keys());
    const changes: CapacityChange[] = [];
    for (const a of m.attempts.values()) {
      images.add(a.job.spec.image);
      const left =
        a.stopping !== null
          ? a.stopping.graceUs + SECOND
          : this.estate.remainingRunTime(a) +
            (a.runningAt === null && type.imagePullGbPerS > 0 && !m.cachedImages.has(a.job.spec.image)
              ? (a.job.spec.imageGb / type.imagePullGbPerS) * SECOND
              : 0);
      const { cores, gpus, memoryGb } = a.job.spec;
      changes.push({ at: now + left, cores, gpus, memoryGb });
    }
    changes.sort((x, y) => x.at - y.at);
    const due = m.provisionedAt + type.bootUs;
    const ready = booting ? Math.max(due, now + Math.max(2 * SECOND, 0.2 * (now - m.provisionedAt))) : now;
    return {
      key: m.name,
      type,
      zone: m.zone,
      spot: m.spot,
      sunkCost: m.preprovisioned || !thrifty,
      machine: m.name,
      readyAt: ready,
      free: m.freeOf(type),
      changes,
      images,
      used: false,
    };
  }

  picture(rentable: readonly CapacityOffer[], kinds: readonly JobSpec[]): ClusterSnapshot {
    const slots: MachineSlot[] = [];
    const thrifty = this.estate.isCostSensitive();
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
          this.estate.runtimeEstimates.remaining(spec.class, type.name, spec.estimatedRunUs, credit),
      },
    };
  }
}
