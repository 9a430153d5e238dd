/** Heartbeats of workers: registers them, renews leases, and answers with commands. */
import type { Machine } from '../cluster/cluster-model.js';
import type { Heartbeat, HeartbeatResponse, WorkerCommand } from '../domain/heartbeat.js';
import { SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { MachineLifecycle } from '../machines/machine-lifecycle.js';
import type { AttemptLifecycle } from './attempt-lifecycle.js';
import { MAX_COMMANDS } from './command-queue.js';
import { HeartbeatCommands } from './heartbeat-commands.js';
import { Reconciler } from './reconciliation.js';
import type { TaskEvents } from './task-events.js';

/** Takes in the workers' heartbeats during one leader's term. */
export class HeartbeatHandler {
  /** The newest heartbeats that came while the records of earlier leaders were being read. */
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

  /** A heartbeat that could not be answered with 200 still shows that its sender is alive. */
  recordLiveness(heartbeat: Heartbeat): void {
    const machine = this.term.cluster.machines.get(heartbeat.machine);
    if (machine?.isNewerHeartbeat(heartbeat) === true) machine.lastHeartbeatAt = this.term.context.now;
  }

  /** Takes in a heartbeat and answers it; an accepted one renews the worker's lease. */
  respond(heartbeat: Heartbeat): HeartbeatResponse {
    const { context: ctx } = this.term;
    const machine = this.machineLifecycle.registerHeartbeat(heartbeat);
    // A heartbeat that was held back outlives its machine.
    if (machine === null) return { kind: 'unavailable' };
    if (heartbeat.fencingToken > this.term.fencingTokenOf(machine)) {
      // The worker would drop a 200 of ours, and stay with this leader until its lease has run out.
      ctx.info('heartbeat.token_ahead', { machine: machine.name, token: heartbeat.fencingToken });
      return { kind: 'unavailable' };
    }
    const newer = machine.isNewerHeartbeat(heartbeat);
    // The answer renews the lease unless this is a late copy, which can't be ruled out; but a copy shows nothing of now.
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
    // Whatever is answered with 200 renews the lease of all that runs there: the answer has the commands to stop what is over,
    // also if something newer was received meanwhile by another way, and while the records are still being read.
    const stops = this.stopsFor(machine, heartbeat);
    if (stops.length > MAX_COMMANDS) {
      // More than an answer holds: they are sent directly, and the lease is not renewed before there are fewer.
      if (machine.queuedCommands.length === 0) machine.queuedCommands.push(...stops);
      this.attempts.dispatchQueued(machine);
      return { kind: 'unavailable' };
    }
    this.attempts.fenceStartsOfEndedJobs(machine);
    const forgets =
      newer && this.term.isRestored
        ? this.commands.forgetsFor(machine, heartbeat, MAX_COMMANDS - stops.length)
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
   * Reconciles the heartbeats that came while the records were being read. A machine that sent one is not empty just because
   * it could not be reconciled yet: its tasks were once started anew elsewhere (ran_twice on a grown krakow day).
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

  /** Takes in a heartbeat newer than all that is known of its machine. */
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

  /** The worker was started anew: nothing of its earlier epochs is there any more. */
  private beginEpoch(machine: Machine, agentEpoch: number): void {
    const { context: ctx } = this.term;
    if (machine.agentEpoch > 0)
      ctx.info('machine.epoch_changed', { machine: machine.name, session: agentEpoch });
    for (const attempt of [...machine.attempts.values()])
      if (attempt.agentEpoch < agentEpoch) this.attempts.end(attempt, null);
    machine.agentEpoch = agentEpoch;
    // The epoch began by now, and lasts for a whole lease from its beginning. Where it is first seen in the answer to a
    // command, which renews nothing, what was just started there would else be ended at once (ran_twice in a generated history).
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
