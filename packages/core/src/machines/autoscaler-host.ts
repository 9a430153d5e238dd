/** The interface that the autoscaler requires of the scheduler. */
import type { Machine } from '../cluster/cluster-model.js';
import type { ListedMachine } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import type { PreprovisionedMachines } from './preprovisioned-machines.js';

/** Gives the autoscaler access to the machines of the cluster state and to the leader's permission to act. */
export interface AutoscalerHost {
  /** Number of the leader's term; makes the names of provisioning requests unique. */
  readonly term: number;
  /** Recording of pre-provisioned machines, which precedes the first provisioning request. */
  readonly preprovisioned: Pick<
    PreprovisionedMachines,
    'acceptsFirstList' | 'canProvision' | 'recordFirstList'
  >;
  /** All machines of the cluster state, whether up, booting or retiring. */
  machines(): Iterable<Machine>;
  /** The machine with this name, if the cluster state has it. */
  find(name: string): Machine | undefined;
  /** Adds a machine that the cloud provisioned for a request sent at `since`. */
  recordProvisioned(name: string, type: string, zone: string, spot: boolean, since: Micros): void;
  /** Handles a machine in the cloud's list: it may be new, or have failed. */
  recordListed(machine: ListedMachine): void;
  /** Removes a machine that is certainly gone, with everything on it. */
  remove(machine: Machine, reason: string): void;
  /** Takes a machine out of use and has the cloud delete it. */
  retire(machine: Machine, reason: string): void;
  /** Requests a plan, after a change in what is known about the cloud. */
  schedulePass(): void;
  /** Whether the term has not ended; replies that arrive later are ignored. */
  isActive(): boolean;
  /** Whether this leader may act on the cluster now. */
  canActAsLeader(): boolean;
  /** Whether cost matters more than spare capacity. */
  isCostSensitive(): boolean;
}
