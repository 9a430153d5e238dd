/** The machines of a term: known from the records, the cloud or their own heartbeats, until they are gone. */
import { Machine, type TaskAttempt } from '../cluster/cluster-model.js';
import type { Heartbeat } from '../domain/heartbeat.js';
import type { ListedMachine } from '../domain/machine.js';
import { type Micros, MILLI } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { MachineStore } from '../storage/machine-store.js';

/** Names of removed machines are kept for so many of them: lists and heartbeats may be older. */
const MAX_REMOVED_NAMES = 2_000;
/** How often a machine that is to be retired once it is empty is looked at. */
const RETIREMENT_CHECK_INTERVAL: Micros = 500 * MILLI;

/** What the machines' life needs of the other parts of the scheduler, and what it reports to them. */
export interface MachineEvents {
  /** Deletes a machine that is on record as retiring. */
  deleteMachine(name: string): void;
  /** The attempt is surely not on its machine any more. */
  endAttempt(attempt: TaskAttempt): void;
  /** The machine is gone for sure. */
  machineRemoved(machine: Machine): void;
}

/** What a machine is known by when it is added. */
export interface MachineDescription {
  /** Empty if it is not known yet. */
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Adds, records, retires and removes the machines of the cluster state. */
export class MachineLifecycle {
  /** When machines were removed for good, by name: older lists and heartbeats still name them. */
  private readonly removedAt = new Map<string, Micros>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly store: MachineStore,
    private readonly events: MachineEvents,
  ) {}

  private get machines(): Map<string, Machine> {
    return this.term.cluster.machines;
  }

  /** Adds a machine to the cluster state; not yet on record. */
  add(name: string, { address, type, zone, spot }: MachineDescription): Machine {
    const machine = new Machine(name, address, type, zone, spot, this.term.context.now);
    this.machines.set(name, machine);
    return machine;
  }

  /** The machine that a heartbeat comes from, added if it is new; null if it is gone for good. */
  registerHeartbeat(heartbeat: Heartbeat): Machine | null {
    const { machine: name, type, zone } = heartbeat;
    const known = this.machines.get(name);
    if (known !== undefined) return known;
    if (this.removedAt.has(name)) return null;
    if (this.term.isRestored && this.isStale(heartbeat)) return null;
    // Never on record, so no leader ever put anything on it.
    this.term.context.info('machine.registered', { machine: name, type, zone });
    return this.add(name, heartbeat);
  }

  /**
   * Whether the heartbeat of a machine that is not on record is from before its removal. Nothing is started on a machine before
   * it is on record, and it is taken off only once it is gone for sure: so a heartbeat that lists tasks, of a machine that is
   * not on record, was made before its end. A late one of that kind once had a new leader take the machine for one that is
   * there, with tasks that ran elsewhere by then, until a lease had passed.
   */
  private isStale(heartbeat: Heartbeat): boolean {
    if (heartbeat.tasks.length === 0 || !this.store.isComplete) return false;
    this.term.context.info('heartbeat.stale', {
      machine: heartbeat.machine,
      session: heartbeat.agentEpoch,
      tasks: heartbeat.tasks.length,
    });
    return true;
  }

  /**
   * Removes a machine whose heartbeat came before the records were read, if it turns out to be stale: its machine is not on
   * record. Returns whether it was.
   */
  removeStaleMachine(machine: Machine, heartbeat: Heartbeat): boolean {
    if (machine.recorded !== 'no' || !this.isStale(heartbeat)) return false;
    this.machines.delete(machine.name);
    return true;
  }

  /** Puts a machine on record, unless it is already, or is being put there. */
  persist(machine: Machine): void {
    // Before the machine records are read, their pages would be overwritten.
    if (machine.recorded !== 'no' || !this.term.isRestored) return;
    machine.recorded = 'writing';
    this.store.put(machine, () => {
      machine.recorded = 'yes';
      this.term.schedulePass();
    });
  }

  /** The cloud granted a machine that was requested at `since`. */
  recordProvisioned(name: string, type: string, zone: string, spot: boolean, since: Micros): void {
    const machine = this.machines.get(name) ?? this.add(name, { address: '', type, zone, spot });
    machine.provisionedAt = since;
  }

  /** The cloud lists a machine: adds it if it is new, or deletes it if it has failed and is not known. */
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

  /** The machine and everything on it are gone for sure. */
  remove(machine: Machine, reason: string): void {
    if (!this.machines.has(machine.name)) return;
    this.term.context.info('machine.removed', {
      machine: machine.name,
      reason,
      tasks: machine.attempts.size,
    });
    this.machines.delete(machine.name);
    this.rememberRemoved(machine.name);
    machine.up = false;
    machine.awaitingReconciliation = false;
    machine.retirementReason ??= reason;
    for (const attempt of [...machine.attempts.values()]) this.events.endAttempt(attempt);
    this.events.machineRemoved(machine);
    this.store.drop(machine);
    this.term.schedulePass();
  }

  private rememberRemoved(name: string): void {
    this.removedAt.set(name, this.term.context.now);
    if (this.removedAt.size <= MAX_REMOVED_NAMES) return;
    const oldest = this.removedAt.keys().next().value!;
    this.removedAt.delete(oldest);
  }

  /** Takes a machine out of use for good. Put on record first: a late deletion must not hit a new use. */
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
