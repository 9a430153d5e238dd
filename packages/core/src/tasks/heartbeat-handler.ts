/** Handles worker heartbeats: registers machines, renews leases, and responds with commands. */
import type { Machine } from '../cluster/cluster-model.js';
import type { Heartbeat, HeartbeatResponse, WorkerCommand } from '../domain/heartbeat.js';
import { SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { MachineLifecycle } from '../machines/machine-lifecycle.js';
import type { AttemptLifecycle } from './attempt-lifecycle.js';
import { MAX_COMMANDS_PER_MESSAGE } from './command-queue.js';
import { HeartbeatCommands } from './heartbeat-commands.js';
import { Reconciler } from './reconciliation.js';
import type { TaskEvents } from './task-events.js';

/** Processes worker heartbeats during one leader's term. */
export class HeartbeatHandler {
  /** Newest heartbeat of each machine that arrived while the records of earlier leaders were being read. */
  private readonly earlyHeartbeats = new Map<Machine, Heartbeat>();
  private readonly reconciler: Reconciler;
  private readonly commands: HeartbeatCommands;

  constructor(
    private readonly term: LeaderTerm,
    private readonly machineLifecycle: MachineLifecycle,
    private readonly attempts: AttemptLifecycle,
    events: TaskEvents,
  ) {
    this.reconciler = new Reconciler(term, attempts, events);
    this.commands = new HeartbeatCommands(term, attempts, events);
  }

  /** Records that the sender of a heartbeat is alive although it could not be answered with 200. */
  recordLiveness(heartbeat: Heartbeat): void {
    const machine = this.term.cluster.machines.get(heartbeat.machine);
    if (machine?.isNewerHeartbeat(heartbeat) === true) machine.lastHeartbeatAt = this.term.context.now;
  }

  /** Processes a heartbeat and returns the response; `accepted` renews the worker's lease. */
  respond(heartbeat: Heartbeat): HeartbeatResponse {
    const { context: ctx } = this.term;
    const machine = this.machineLifecycle.registerHeartbeat(heartbeat);
    // A delayed heartbeat of a machine that has been removed.
    if (machine === null) return { kind: 'unavailable' };
    if (heartbeat.fencingToken > this.term.fencingTokenOf(machine)) {
      // The worker would ignore a 200 with a lower token, and keep sending to this leader until its lease has expired.
      ctx.info('heartbeat.token_ahead', { machine: machine.name, token: heartbeat.fencingToken });
      return { kind: 'unavailable' };
    }
    const newer = machine.isNewerHeartbeat(heartbeat);
    // The response may renew the lease, so it counts as renewed even if this is a late copy. Only a newer heartbeat shows the
    // machine's current state.
    machine.leaseRenewedAt = ctx.now;
    if (newer) {
      machine.address = heartbeat.address;
      machine.lastHeartbeatAt = ctx.now;
      this.apply(machine, heartbeat);
    }
    this.machineLifecycle.persist(machine);
    return this.respondWithCommands(machine, heartbeat, newer);
  }

  private respondWithCommands(machine: Machine, heartbeat: Heartbeat, newer: boolean): HeartbeatResponse {
    // A 200 renews the lease of all tasks on the machine, so it always carries the stops of tasks that are over: also when newer
    // state has arrived by another path, and while the records are still being read.
    const stops = this.stopsFor(machine, heartbeat);
    if (stops.length > MAX_COMMANDS_PER_MESSAGE) {
      // Too many for a response: send them directly, and don't renew the lease until there are fewer.
      if (machine.queuedCommands.length === 0) machine.queuedCommands.push(...stops);
      this.attempts.dispatchQueued(machine);
      return { kind: 'unavailable' };
    }
    this.attempts.fenceStartsOfEndedJobs(machine);
    const forgets =
      newer && this.term.isRestored
        ? this.commands.forgetsFor(machine, heartbeat, MAX_COMMANDS_PER_MESSAGE - stops.length)
        : [];
    return {
      kind: 'accepted',
      fencingToken: this.term.fencingTokenOf(machine),
      commands: [...stops, ...forgets],
    };
  }

  private stopsFor(machine: Machine, heartbeat: Heartbeat): WorkerCommand[] {
    if (this.term.isRestored) return this.commands.stopsFor(machine, heartbeat);
    return this.commands.stopsBeforeRecordsAreRead(heartbeat);
  }

  /**
   * Reconciles the heartbeats that arrived while the records were being read. A machine that could not be reconciled yet must
   * not count as empty: its tasks would be started again on other machines (seen as ran_twice with an enlarged
   * workload of a recorded day).
   */
  replayEarlyHeartbeats(): void {
    for (const [machine, heartbeat] of this.earlyHeartbeats)
      if (
        this.term.cluster.machines.get(machine.name) === machine &&
        !this.machineLifecycle.removeStaleMachine(machine, heartbeat)
      )
        this.reconciler.reconcile(machine, heartbeat);
    this.earlyHeartbeats.clear();
  }

  /** Applies a heartbeat that is newer than everything known of its machine. */
  apply(machine: Machine, heartbeat: Heartbeat): void {
    if (heartbeat.agentEpoch > machine.agentEpoch) this.beginEpoch(machine, heartbeat.agentEpoch);
    machine.lastSequence = heartbeat.sequence;
    machine.acknowledgedToken = Math.max(machine.acknowledgedToken, heartbeat.fencingToken);
    if (!machine.up) this.markUp(machine);
    this.updateTermination(machine, heartbeat);
    if (!this.term.isRestored) {
      this.earlyHeartbeats.set(machine, heartbeat);
      return;
    }
    this.reconciler.reconcile(machine, heartbeat);
  }

  /** Starts a new epoch of the worker's agent; all tasks of earlier epochs are gone. */
  private beginEpoch(machine: Machine, agentEpoch: number): void {
    const { context: ctx } = this.term;
    if (machine.agentEpoch > 0)
      ctx.info('machine.epoch_changed', { machine: machine.name, session: agentEpoch });
    for (const attempt of [...machine.attempts.values()])
      if (attempt.agentEpoch < agentEpoch) this.attempts.end(attempt, null);
    machine.agentEpoch = agentEpoch;
    // The epoch has begun, and lasts at least one lease from its beginning. A reply to commands renews no lease, so if the epoch
    // is first seen in one, a task just started there would otherwise be ended at once (ran_twice in a generated history).
    machine.leaseRenewedAt = ctx.now;
    machine.cachedImages.clear();
    machine.markChanged();
  }

  private markUp(machine: Machine): void {
    const { context: ctx } = this.term;
    machine.up = true;
    machine.upSince = ctx.now;
    machine.idleSince = ctx.now;
    ctx.info('machine.ready', {
      machine: machine.name,
      type: machine.type,
      afterS: (ctx.now - machine.provisionedAt) / SECOND,
    });
    this.term.schedulePass();
  }

  private updateTermination(machine: Machine, { terminationNoticeUs }: Heartbeat): void {
    const { context: ctx } = this.term;
    if (terminationNoticeUs === null) {
      machine.terminationAt = null;
      return;
    }
    if (machine.terminationAt !== null) return;
    ctx.info('machine.termination_noticed', { machine: machine.name, leftS: terminationNoticeUs / SECOND });
    machine.terminationAt = ctx.now + terminationNoticeUs;
    this.term.schedulePass();
  }
}
