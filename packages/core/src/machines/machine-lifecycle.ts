/** Lifecycle of the machines in the cluster state, which come from stored records, the cloud's list and heartbeats. */
import { Machine, type TaskAttempt } from '../cluster/cluster-model.js';
import type { Heartbeat } from '../domain/heartbeat.js';
import type { ListedMachine } from '../domain/machine.js';
import { type Micros, MILLISECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { MachineStore } from '../storage/machine-store.js';

/** Maximum number of removed machines whose names are kept, to recognize delayed lists and heartbeats. */
const MAX_REMOVED_NAMES = 2_000;
/** How often a machine that retires once it is empty is checked. */
const RETIREMENT_CHECK_INTERVAL: Micros = 500 * MILLISECOND;

/** Actions that the lifecycle of machines requests from other components, and events that it reports. */
export interface MachineEvents {
  /** Has the cloud delete a machine that is recorded as retiring, or that has failed. */
  deleteMachine(name: string): void;
  /** The attempt is certainly no longer on its machine. */
  endAttempt(attempt: TaskAttempt): void;
  /** The machine is certainly gone, with everything on it. */
  machineRemoved(machine: Machine): void;
}

/** Properties of a machine that are needed to add it. */
export interface MachineDescription {
  /** Address of the worker; empty if it is not known yet. */
  readonly address: string;
  /** Name of the machine type. */
  readonly type: string;
  /** Name of the zone that the machine is in. */
  readonly zone: string;
  /** Whether the cloud may reclaim the machine at short notice. */
  readonly spot: boolean;
}

/** Adds, stores, retires and removes the machines of the cluster state. */
export class MachineLifecycle {
  /** When machines were removed, by name; delayed lists and heartbeats may still contain them. */
  private readonly removedAt = new Map<string, Micros>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly store: MachineStore,
    private readonly events: MachineEvents,
  ) {}

  private get machines(): Map<string, Machine> {
    return this.term.cluster.machines;
  }

  /** Adds a machine to the cluster state, without storing a record of it. */
  add(name: string, { address, type, zone, spot }: MachineDescription): Machine {
    const machine = new Machine(name, address, type, zone, spot, this.term.context.now);
    this.machines.set(name, machine);
    return machine;
  }

  /** Returns the sender of a heartbeat, adding it if it is new; null if the machine was removed. */
  registerHeartbeat(heartbeat: Heartbeat): Machine | null {
    const { machine: name, type, zone } = heartbeat;
    const known = this.machines.get(name);
    if (known !== undefined) return known;
    if (this.removedAt.has(name)) return null;
    if (this.term.isRestored && this.isStale(heartbeat)) return null;
    // The machine was never recorded, so no leader has started a task on it.
    this.term.context.info('machine.registered', { machine: name, type, zone });
    return this.add(name, heartbeat);
  }

  /**
   * Whether the heartbeat of an unrecorded machine was sent before the machine was removed. Tasks are started only on
   * recorded machines, and a record is deleted only once its machine is certainly gone. So a heartbeat that lists tasks of an
   * unrecorded machine is from before the removal. A new leader once accepted such a delayed heartbeat, and assumed until the
   * lease expired that the machine existed and ran tasks that were running elsewhere by then.
   */
  private isStale(heartbeat: Heartbeat): boolean {
    if (heartbeat.tasks.length === 0 || !this.store.areAllRecordsReadable) return false;
    this.term.context.info('heartbeat.stale', {
      machine: heartbeat.machine,
      session: heartbeat.agentEpoch,
      tasks: heartbeat.tasks.length,
    });
    return true;
  }

  /**
   * Removes a machine that was added by a heartbeat before the records were read, if that heartbeat turns out to be stale.
   * Returns whether it was.
   */
  removeStaleMachine(machine: Machine, heartbeat: Heartbeat): boolean {
    if (machine.recorded !== 'no' || !this.isStale(heartbeat)) return false;
    this.machines.delete(machine.name);
    return true;
  }

  /** Stores the record of a machine, unless it is stored already or being written. */
  persist(machine: Machine): void {
    // Writing before the machine records are read would overwrite their pages.
    if (machine.recorded !== 'no' || !this.term.isRestored) return;
    machine.recorded = 'writing';
    this.store.put(machine, () => {
      machine.recorded = 'yes';
      this.term.schedulePass();
    });
  }

  /** Adds a machine that the cloud provisioned for a request sent at `since`. */
  recordProvisioned(name: string, type: string, zone: string, spot: boolean, since: Micros): void {
    const machine = this.machines.get(name) ?? this.add(name, { address: '', type, zone, spot });
    machine.provisionedAt = since;
  }

  /** Handles a machine in the cloud's list: adds it if it is unknown, or deletes it if it is unknown and has failed. */
  recordListed(listed: ListedMachine): void {
    const { name } = listed;
    let machine = this.machines.get(name);
    if (machine === undefined) {
      if (this.removedAt.has(name)) return;
      if (listed.state === 'failed') {
        this.events.deleteMachine(name);
        return;
      }
      machine = this.add(name, listed);
      machine.provisionedAt = this.term.context.now - listed.ageUs;
      this.term.context.info('machine.discovered', { machine: name, type: listed.type, zone: listed.zone });
    }
    if (machine.address === '') machine.address = listed.address;
  }

  /** Removes a machine that is certainly gone, and ends all attempts on it. */
  remove(machine: Machine, reason: string): void {
    if (!this.machines.has(machine.name)) return;
    this.term.context.info('machine.removed', {
      machine: machine.name,
      reason,
      tasks: machine.attempts.size,
    });
    this.machines.delete(machine.name);
    this.recordRemoval(machine.name);
    machine.up = false;
    machine.awaitingReconciliation = false;
    machine.retirementReason ??= reason;
    for (const attempt of [...machine.attempts.values()]) this.events.endAttempt(attempt);
    this.events.machineRemoved(machine);
    this.store.drop(machine);
    this.term.schedulePass();
  }

  private recordRemoval(name: string): void {
    this.removedAt.set(name, this.term.context.now);
    if (this.removedAt.size <= MAX_REMOVED_NAMES) return;
    const oldest = this.removedAt.keys().next().value!;
    this.removedAt.delete(oldest);
  }

  /**
   * Takes a machine out of use for good. Its retirement is stored before the deletion is requested, so that a delayed deletion
   * can't hit a machine that a later leader uses again.
   */
  retire(machine: Machine, reason: string): void {
    if (machine.deletionRequested) return;
    machine.deletionRequested = true;
    machine.retirementReason ??= reason;
    this.term.context.info('machine.retired', {
      machine: machine.name,
      reason,
      tasks: machine.attempts.size,
    });
    machine.recorded = 'writing';
    this.store.put(machine, () => {
      machine.recorded = 'yes';
      this.events.deleteMachine(machine.name);
    });
  }

  /** Retires a machine once it is empty, or at `latest`. */
  retireWhenEmpty(machine: Machine, reason: string, latest: Micros): void {
    if (machine.attempts.size === 0 || this.term.context.now >= latest) {
      this.retire(machine, reason);
      return;
    }
    this.term.after(RETIREMENT_CHECK_INTERVAL, () => {
      if (this.machines.has(machine.name)) this.retireWhenEmpty(machine, reason, latest);
    });
  }
}
