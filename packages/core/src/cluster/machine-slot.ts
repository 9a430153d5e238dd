/** The planner's representation of a machine. */
import type { MachineType } from '../domain/machine.js';
import type { Amounts } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';

/** A later change of free capacity: positive for work that ends, negative for planned work that starts. */
export interface CapacityChange extends Amounts {
  /** When the change takes effect. */
  readonly at: Micros;
}

/** A machine in a snapshot: up, booting, or to be provisioned from the cloud. */
export interface MachineSlot {
  /** Unique within the snapshot. */
  readonly key: string;
  readonly type: MachineType;
  readonly zone: string;
  /** Whether it is a spot machine, which the cloud may reclaim. */
  readonly spot: boolean;
  /** Whether using the machine adds no cost, because it is never scaled in or cost is not weighed. */
  sunkCost: boolean;
  /** Name of the machine; null if it has yet to be provisioned. */
  readonly machine: string | null;
  /** Earliest time at which tasks can start on it. */
  readyAt: Micros;
  /** Free capacity at `readyAt`. */
  free: Readonly<Amounts>;
  /** Later changes of the free capacity, sorted by time. */
  changes: readonly CapacityChange[];
  /** Images that are cached there, or will be once its tasks have started. */
  images: ReadonlySet<string>;
  /** Whether the plan places any task on it. */
  used: boolean;
  /** Equal for idle machines that are interchangeable except for `readyAt`; computed on first use. */
  equivalenceKey?: string;
}
