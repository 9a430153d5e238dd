/** A machine as the planner sees it. */
import type { MachineType } from '../domain/machine.js';
import type { Amounts } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';

/** Capacity that changes at a later time: work that ends frees it (positive), planned work takes it (negative). */
export interface CapacityChange extends Amounts {
  readonly at: Micros;
}

/** A machine in the snapshot: up, booting, or only available from the cloud. */
export interface MachineSlot {
  /** Unique within the snapshot. */
  readonly key: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Costs the same whether it is used or not: it is never scaled in. */
  sunkCost: boolean;
  /** The machine's name; null for one that would have to be provisioned. */
  readonly machine: string | null;
  /** When tasks can start on it. */
  readyAt: Micros;
  /** Free capacity at `readyAt`. */
  free: Readonly<Amounts>;
  /** By time, the earliest first. */
  changes: readonly CapacityChange[];
  /** Images that are there, or will be. */
  images: ReadonlySet<string>;
  /** Whether the plan places anything on it. */
  used: boolean;
  /** Equal for idle machines that are interchangeable; computed on first use. */
  equivalenceKey?: string;
}
