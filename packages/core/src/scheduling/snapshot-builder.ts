/** Builds the snapshot that a plan works on, from the state of the machines and predicted run times. */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import type { CapacityChange, MachineSlot } from '../cluster/machine-slot.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { CapacityOffer, ClusterSnapshot } from './plan-input.js';
import { TotalCapacity } from './total-capacity.js';

/** How long a machine's slot is cached while the machine doesn't change. */
const SLOT_CACHE_TIME: Micros = 2_500 * MILLISECOND;

/** A cached slot is used only if its next predicted change is further away than this. */
const MIN_TIME_TO_CHANGE: Micros = 100 * MILLISECOND;

/** Minimum remaining boot time that is predicted for a booting machine. */
const MIN_REMAINING_BOOT_TIME: Micros = 2 * SECOND;

/** Predicted remaining boot time of an overdue machine, as a share of the time since it was provisioned. */
const OVERDUE_BOOT_SHARE = 0.2;

/** Time from the end of a stopped task's grace period until its capacity is free. */
const STOP_OVERHEAD: Micros = SECOND;

const isBooting = (machine: Machine): boolean =>
  !machine.up &&
  machine.retirementReason === null &&
  !machine.awaitingReconciliation &&
  machine.agentEpoch === 0;

/** Builds snapshots, and caches machine slots between them. */
export class SnapshotBuilder {
  private readonly context: NodeContext;

  constructor(private readonly cluster: ClusterState) {
    this.context = cluster.context;
  }

  /** Builds a snapshot of all machines that work may be placed on, with the offers that may be provisioned. */
  build(offers: readonly CapacityOffer[], recurringSpecs: readonly JobSpec[]): ClusterSnapshot {
    const slots: MachineSlot[] = [];
    const costSensitive = this.cluster.isCostSensitive();
    const { now, machineTypes } = this.context;
    for (const machine of this.cluster.machines.values()) {
      const type = machineTypes.get(machine.type);
      const slot = type === undefined ? null : this.slotOf(machine, type, costSensitive);
      if (slot !== null) slots.push(slot);
    }
    const totalCapacity = new TotalCapacity();
    for (const slot of slots) totalCapacity.addSlot(slot);
    for (const offer of offers) totalCapacity.addOffer(offer);
    return {
      now,
      slots,
      types: [...machineTypes.values()],
      offers,
      recurringSpecs,
      totalCapacity,
      provisioned: new Map(),
      predictor: {
        runTime: (spec, type, checkpointedProgress) =>
          this.cluster.runtimeEstimates.remaining(
            spec.class,
            type.name,
            spec.estimatedRunUs,
            checkpointedProgress,
          ),
      },
    };
  }

  /** The machine's slot; null if nothing may be placed on it. Plans undo their changes to cached slots. */
  private slotOf(machine: Machine, type: MachineType, costSensitive: boolean): MachineSlot | null {
    // The predicted ready time of a booting machine moves with the clock, so its slot is not cached.
    if (isBooting(machine))
      return this.makeSlot(machine, type, costSensitive, this.expectedReadyAt(machine, type));
    if (!machine.isUsable()) return null;
    return (
      this.refreshCachedSlot(machine, type, costSensitive) ??
      this.makeCachedSlot(machine, type, costSensitive)
    );
  }

  /** The cached slot with current ready time, if the machine didn't change and its predictions are recent; else null. */
  private refreshCachedSlot(machine: Machine, type: MachineType, costSensitive: boolean): MachineSlot | null {
    const { now } = this.context;
    const cached = machine.cachedSlot;
    if (
      cached?.revision !== machine.revision ||
      now - cached.at >= SLOT_CACHE_TIME ||
      cached.slot.type !== type ||
      (cached.slot.changes[0]?.at ?? Infinity) <= now + MIN_TIME_TO_CHANGE
    )
      return null;
    const { slot } = cached;
    const sunkCost = machine.preprovisioned || !costSensitive;
    if (sunkCost !== slot.sunkCost) delete slot.equivalenceKey;
    slot.sunkCost = sunkCost;
    slot.readyAt = now;
    return slot;
  }

  private makeCachedSlot(machine: Machine, type: MachineType, costSensitive: boolean): MachineSlot {
    const { now } = this.context;
    const slot = this.makeSlot(machine, type, costSensitive, now);
    machine.cachedSlot = { revision: machine.revision, at: now, slot };
    return slot;
  }

  private expectedReadyAt(machine: Machine, type: MachineType): Micros {
    const { now } = this.context;
    const due = machine.provisionedAt + type.bootUs;
    const overdue = OVERDUE_BOOT_SHARE * (now - machine.provisionedAt);
    return Math.max(due, now + Math.max(MIN_REMAINING_BOOT_TIME, overdue));
  }

  private makeSlot(
    machine: Machine,
    type: MachineType,
    costSensitive: boolean,
    readyAt: Micros,
  ): MachineSlot {
    const { now } = this.context;
    const images = new Set(machine.cachedImages.keys());
    const changes: CapacityChange[] = [];
    for (const attempt of machine.attempts.values()) {
      const { image, cores, gpus, memoryGb } = attempt.job.spec;
      images.add(image);
      changes.push({ at: now + this.timeUntilFree(attempt, machine, type), cores, gpus, memoryGb });
    }
    changes.sort((one, other) => one.at - other.at);
    return {
      key: machine.name,
      type,
      zone: machine.zone,
      spot: machine.spot,
      sunkCost: machine.preprovisioned || !costSensitive,
      machine: machine.name,
      readyAt,
      free: machine.freeOf(type),
      changes,
      images,
      used: false,
    };
  }

  /** Predicted time until the attempt frees its capacity. */
  private timeUntilFree(attempt: TaskAttempt, machine: Machine, type: MachineType): Micros {
    if (attempt.stopping !== null) return attempt.stopping.graceUs + STOP_OVERHEAD;
    const { image, imageGb } = attempt.job.spec;
    const needsPull =
      attempt.runningAt === null && type.imagePullGbPerS > 0 && !machine.cachedImages.has(image);
    const pullTime = needsPull ? (imageGb / type.imagePullGbPerS) * SECOND : 0;
    return this.cluster.remainingRunTime(attempt) + pullTime;
  }
}
