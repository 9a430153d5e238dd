/** A machine as a plan sees it. */
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import type { Amounts } from '../domain/resources.js';

/** Room that changes at a later time: what ends gives room, what is planned takes it. */
export interface CapacityChange extends Amounts {
  readonly at: Micros;
}

/** A machine in the picture: up, booting, or only rentable. */
export interface MachineSlot {
  readonly key: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Costs the same whether it is used or not: it is never returned. */
  sunkCost: boolean;
  /** Null for a machine that would have to be rented. */
  readonly machine: string | null;
  readyAt: Micros;
  /** Room at `ready`. */
  free: Readonly<Amounts>;
  changes: readonly CapacityChange[];
  images: ReadonlySet<string>;
  used: boolean;
  /** Text that is equal for idle machines that are alike; made when it is first asked for. */
  equivalenceKey?: string;
}
