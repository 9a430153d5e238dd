/** The machines of a term: known from the records, the cloud or their own reports, until they are gone. */
import { Machine, type TaskAttempt } from '../cluster/cluster-model.js';
import type { Heartbeat } from '../domain/heartbeat.js';
import type { ListedMachine } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import { MILLI } from '../domain/time.js';
import type { MachineStore } from '../storage/machine-store.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Names of machines that are gone are kept for so many of them: lists and reports may be older. */
const BURIED = 2_000;

export interface MachineEvents {
  /** Deletes a machine that is on record as retiring. */
  remove(name: string): void;
  /** The attempt is surely not there any more. */
  end(a: TaskAttempt): void;
  gone(m: Machine): void;
}

export class MachineLifecycle {
  /** Machines that are gone for good: lists older than that still name them. */
  private readonly buried = new Map<string, Micros>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly roster: MachineStore,
    private readonly host: MachineEvents,
  ) {}

  private get machines(): Map<string, Machine> {
    return this.term.cluster.machines;
  }

  add(name: string, d: { address: string; type: string; zone: string; spot: boolean }): Machine {
    const m = new Machine(name, d.address, d.type, d.zone, d.spot, this.term.ctx.now);
    this.machines.set(name, m);
    return m;
  }

  /** The machine that a report comes from; null if it is gone for good. */
  registerHeartbeat(r: Heartbeat): Machine | null {
    const m = this.machines.get(r.machine);
    if (m !== undefined) return m;
    if (this.buried.has(r.machine)) return null;
    if (this.term.ready && this.isGhost(r)) return null;
    // Never on record, so no leader ever put anything on it.
    this.term.ctx.info('machine.registered', { machine: r.machine, type: r.type, zone: r.zone });
    return this.add(r.machine, r);
  }

  /**
   * Nothing is started on a machine before it is on record, and it is taken off only once it is gone for sure: so who tells of
   * tasks and is not on record tells of a time before its end. A late report of that kind once had a new leader take the
   * machine for one that is there, with tasks that ran elsewhere by then, until a lease had passed.
   */
  private isGhost(r: Heartbeat): boolean {
    if (r.tasks.length === 0 || !this.roster.isComplete) return false;
    this.term.ctx.info('heartbeat.stale', {
      machine: r.machine,
      session: r.agentEpoch,
      tasks: r.tasks.length,
    });
    return true;
  }

  /** Whether what came before the records were read is of a machine that is on none: then it is let go. */
  removeStaleMachine(m: Machine, r: Heartbeat): boolean {
    if (m.recorded !== 'no' || !this.isGhost(r)) return false;
    this.machines.delete(m.name);
    return true;
  }

  persist(m: Machine): void {
    // Before the roster is read, its pages would be overwritten.
    if (m.recorded !== 'no' || !this.term.ready) return;
    m.recorded = 'writing';
    this.roster.put(m, () => {
      m.recorded = 'yes';
      this.term.schedulePass();
    });
  }

  recordProvisioned(name: string, type: string, zone: string, spot: boolean, since: Micros): void {
    const m = this.machines.get(name) ?? this.add(name, { address: '', type, zone, spot });
    m.provisionedAt = since;
  }

  recordListed(l: ListedMachine): void {
    let m = this.machines.get(l.name);
    if (m === undefined) {
      if (this.buried.has(l.name)) return;
      if (l.state === 'failed') {
        this.host.remove(l.name);
        return;
      }
      m = this.add(l.name, l);
      m.provisionedAt = this.term.ctx.now - l.ageUs;
      this.term.ctx.info('machine.discovered', { machine: l.name, type: l.type, zone: l.zone });
    }
    if (m.address === '') m.address = l.address;
  }

  /** The machine and everything on it are gone for sure. */
  remove(m: Machine, reason: string): void {
    if (!this.machines.has(m.name)) return;
    this.term.ctx.info('machine.removed', { machine: m.name, reason, tasks: m.attempts.size });
    this.machines.delete(m.name);
    this.buried.set(m.name, this.term.ctx.now);
    if (this.buried.size > BURIED) this.buried.delete(this.buried.keys().next().value!);
    m.up = false;
    m.awaitingReconciliation = false;
    m.retirementReason ??= reason;
    for (const a of [...m.attempts.values()]) this.host.end(a);
    this.host.gone(m);
    this.roster.drop(m);
    this.term.schedulePass();
  }

  /** Takes a machine out of use for good. Put on record first: a late deletion must not hit a new use. */
  retire(m: Machine, reason: string): void {
    if (m.deletionRequested) return;
    m.deletionRequested = true;
    m.retirementReason ??= reason;
    this.term.ctx.info('machine.retired', { machine: m.name, reason, tasks: m.attempts.size });
    m.recorded = 'writing';
    this.roster.put(m, () => {
      m.recorded = 'yes';
      this.host.remove(m.name);
    });
  }

  /** Once it is empty, or at `latest`. */
  retireWhenEmpty(m: Machine, reason: string, latest: Micros): void {
    if (m.attempts.size === 0 || this.term.ctx.now >= latest) {
      this.retire(m, reason);
      return;
    }
    this.term.after(500 * MILLI, () => {
      if (this.machines.has(m.name)) this.retireWhenEmpty(m, reason, latest);
    });
  }
}
