/** What the autoscaler and its parts need of the scheduler. */
import type { Machine } from '../cluster/cluster-model.js';
import type { ListedMachine } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import type { PreprovisionedMachines } from './preprovisioned-machines.js';

/** The scheduler as the autoscaler sees it: the machines of the cluster state, and the leader's right to act. */
export interface AutoscalerHost {
  /** Number of the leader's term: part of the names of requests. */
  readonly term: number;
  readonly preprovisioned: Pick<PreprovisionedMachines, 'isOpen' | 'canProvision' | 'recordFirstList'>;
  machines(): Iterable<Machine>;
  find(name: string): Machine | undefined;
  /** The cloud granted a machine that was requested at `since`. */
  recordProvisioned(name: string, type: string, zone: string, spot: boolean, since: Micros): void;
  /** The cloud lists a machine. */
  recordListed(machine: ListedMachine): void;
  /** The machine and everything on it are gone for sure. */
  remove(machine: Machine, reason: string): void;
  /** Takes the machine out of use and has it deleted. */
  retire(machine: Machine, reason: string): void;
  /** What is known of the cloud changed: a plan may answer to that. */
  schedulePass(): void;
  /** Whether the term still lasts; after it no answer counts. */
  isActive(): boolean;
  /** Whether anything may be decided now. */
  canActAsLeader(): boolean;
  /** Whether capacity is to be saved. */
  isCostSensitive(): boolean;
}
