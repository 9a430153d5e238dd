/**
 * How many tasks of a job could run at the same time, once all running work has ended. This bounds what a plan may hold for
 * a gang: its members run together, so a gang beyond the total capacity has no placement, however long it waits.
 */
import type { MachineSlot } from '../cluster/machine-slot.js';
import { UNBOUNDED_RUN_TIME } from '../cluster/runtime-estimates.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import {
  type Amounts,
  countFits,
  isMachineTypeAllowed,
  isPlacementAllowed,
  maxTasksPerZone,
  subtractFrom,
} from '../domain/resources.js';
import { taskKind } from './task-kind.js';

/** What decides which tasks a machine may run. */
export interface MachineKind {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
}

/** How many machines may be provisioned: for one plan, and for a gang over several plans. */
export interface OfferLimits {
  readonly limit: number;
  readonly gangLimit?: number;
}

/** Machines of one kind with equal capacity for work that ends. */
interface MachineClass extends MachineKind {
  readonly capacity: Readonly<Amounts>;
  counts: MachineCounts;
}

/** Numbers of machines: those that a gang may count on, and those for other work. */
interface MachineCounts {
  readonly forGangs: number;
  readonly forOthers: number;
}

const ONE_MACHINE: MachineCounts = { forGangs: 1, forOthers: 1 };

/** The capacity of the slot's machine without that of running services, which never end. */
const capacityWithoutServices = ({ type, changes }: MachineSlot): Readonly<Amounts> => {
  if ((changes.at(-1)?.at ?? 0) < UNBOUNDED_RUN_TIME) return type;
  const capacity = { cores: type.cores, gpus: type.gpus, memoryGb: type.memoryGb };
  for (let i = changes.length - 1; i >= 0 && changes[i]!.at >= UNBOUNDED_RUN_TIME; i--)
    subtractFrom(capacity, changes[i]!);
  return capacity;
};

/** Sums up machines and offers, and tells how many tasks they hold together. */
export class TotalCapacity {
  private readonly classes = new Map<string, MachineClass>();
  /** Tasks that fit at the same time, by kind of task and zone. */
  private readonly tasksByZone = new Map<string, ReadonlyMap<string, number>>();

  /** Adds a machine of the snapshot. */
  addSlot(slot: MachineSlot): void {
    this.add(slot, ONE_MACHINE, capacityWithoutServices(slot));
  }

  /** Adds an empty machine. */
  addMachine({ type, zone, spot }: MachineKind): void {
    this.add({ type, zone, spot }, ONE_MACHINE, type);
  }

  /** Adds all machines that may be provisioned from the offer. */
  addOffer({ type, zone, spot, limit, gangLimit = limit }: MachineKind & OfferLimits): void {
    this.add({ type, zone, spot }, { forGangs: gangLimit, forOthers: Math.max(limit, gangLimit) }, type);
  }

  /** A copy with further offers. */
  withOffers(offers: readonly (MachineKind & OfferLimits)[]): TotalCapacity {
    const total = new TotalCapacity();
    for (const machineClass of this.classes.values())
      total.add(machineClass, machineClass.counts, machineClass.capacity);
    for (const offer of offers) total.addOffer(offer);
    return total;
  }

  private add({ type, zone, spot }: MachineKind, counts: MachineCounts, capacity: Readonly<Amounts>): void {
    const key = `${type.name}|${zone}|${spot}|${capacity.cores}|${capacity.gpus}|${capacity.memoryGb}`;
    const machineClass = this.classes.get(key);
    if (machineClass === undefined) this.classes.set(key, { type, zone, spot, capacity, counts });
    else
      machineClass.counts = {
        forGangs: machineClass.counts.forGangs + counts.forGangs,
        forOthers: machineClass.counts.forOthers + counts.forOthers,
      };
    this.tasksByZone.clear();
  }

  /** Whether `count` tasks of the job can run at the same time under its constraints. */
  holdsAtOnce(spec: JobSpec, count: number): boolean {
    const limit = spec.spreadAcrossZones ? maxTasksPerZone(spec) : Infinity;
    const zones = [...this.tasksFittingByZone(spec).values()].map((tasks) => Math.min(tasks, limit));
    if (spec.sameZone) return zones.some((tasks) => tasks >= count);
    return zones.reduce((sum, tasks) => sum + tasks, 0) >= count;
  }

  /** Number of tasks of the job that can run at the same time, in all zones together. */
  tasksAtOnce(spec: JobSpec): number {
    return [...this.tasksFittingByZone(spec).values()].reduce((sum, tasks) => sum + tasks, 0);
  }

  private tasksFittingByZone(spec: JobSpec): ReadonlyMap<string, number> {
    const kind = `${spec.shape === 'gang'}|${taskKind(spec)}`;
    let byZone = this.tasksByZone.get(kind);
    if (byZone === undefined) {
      byZone = this.countByZone(spec);
      this.tasksByZone.set(kind, byZone);
    }
    return byZone;
  }

  private countByZone(spec: JobSpec): Map<string, number> {
    const byZone = new Map<string, number>();
    for (const { type, zone, spot, capacity, counts } of this.classes.values()) {
      if (!isMachineTypeAllowed(spec, type) || !isPlacementAllowed(spec, type.name, zone, spot)) continue;
      const machines = spec.shape === 'gang' ? counts.forGangs : counts.forOthers;
      byZone.set(zone, (byZone.get(zone) ?? 0) + machines * countFits(spec, capacity));
    }
    return byZone;
  }
}
