/**
 * Queues commands to workers by machine and sends them one call at a time, with fencing tokens. A worker refuses calls with a
 * token below the highest that it has seen, so raising a machine's token prevents delayed copies of earlier starts from being
 * executed.
 */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { attemptKey } from '../cluster/task-attempt.js';
import type { CommandReply, Heartbeat, WorkerCommand } from '../domain/heartbeat.js';
import type { Micros } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Maximum number of commands in a message to a worker, whose size limit is 64 KiB. */
export const MAX_COMMANDS_PER_MESSAGE = 400;

/** Notifications about failed starts and about replies to commands. */
export interface CommandQueueEvents {
  /** A start was never sent or was refused, so the attempt is certainly not on its machine. */
  startFailed(attempt: TaskAttempt): void;
  /** A reply to commands contained a newer heartbeat. */
  heartbeatReceived(machine: Machine, heartbeat: Heartbeat): void;
}

/** Queues and sends the start and stop commands of one term, and handles the replies. */
export class CommandQueue {
  /** Machines whose queued starts are sent at the end of the current step. */
  private readonly machinesToDispatch = new Set<Machine>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly events: CommandQueueEvents,
  ) {}

  /** Queues the start of an attempt whose placement is recorded; reports a failed start if it may no longer start. */
  queueStart(attempt: TaskAttempt): void {
    const { machine, job } = attempt;
    const isCurrent = machine.attempts.get(attemptKey(job.id, attempt.index)) === attempt;
    if (!isCurrent || attempt.state !== 'recording') return;
    const mayStart =
      job.phase === 'active' &&
      !job.blockedOnDependencies &&
      machine.isUsable() &&
      machine.agentEpoch === attempt.agentEpoch &&
      this.term.canDispatch();
    if (!mayStart) {
      this.events.startFailed(attempt);
      return;
    }
    machine.queuedCommands.push({
      op: 'start',
      job: job.id,
      index: attempt.index,
      attempt: attempt.number,
    });
    this.dispatchAtEndOfStep(machine);
  }

  /** Queues the stop of an attempt and sends it as soon as possible. */
  queueStop(attempt: TaskAttempt, graceUs: Micros): void {
    const { machine, job, index, number } = attempt;
    machine.queuedCommands.push({ op: 'stop', job: job.id, index, attempt: number, graceUs });
    this.dispatchQueued(machine);
  }

  /** Batches the starts that are queued for a machine within one step into one call. */
  private dispatchAtEndOfStep(machine: Machine): void {
    if (this.machinesToDispatch.size === 0)
      this.term.context.atEndOfStep(() => {
        const machines = [...this.machinesToDispatch];
        this.machinesToDispatch.clear();
        for (const next of machines) this.dispatchQueued(next);
      });
    this.machinesToDispatch.add(machine);
  }

  /** Sends the queued commands of a machine, one call at a time. */
  dispatchQueued(machine: Machine): void {
    if (machine.commandInFlight || machine.queuedCommands.length === 0 || machine.address === '') return;
    const batch = machine.queuedCommands.splice(0, MAX_COMMANDS_PER_MESSAGE);
    // Restarting a task replaces the worker's record of its exit, with the same effect as a `forget`.
    const restartsEnded = batch.some(
      (command) =>
        command.op === 'start' && machine.endedSinceFencing.has(attemptKey(command.job, command.index)),
    );
    if (restartsEnded) this.fenceEarlierStarts(machine);
    const token = this.term.fencingTokenOf(machine);
    const starts: TaskAttempt[] = [];
    const commands = this.takeValidCommands(machine, batch, token, starts);
    if (commands.length === 0) return;
    if (starts.length > 0) machine.lastStartToken = token;
    machine.commandInFlight = true;
    this.term.context.sendCommands(machine.address, token, machine.agentEpoch, commands, (reply) => {
      machine.commandInFlight = false;
      if (this.term.hasEnded) return;
      this.handleReply(machine, starts, reply);
      this.dispatchQueued(machine);
    });
  }

  /** Returns the commands of a batch that may still be sent; adds the attempts that they start to `starts`. */
  private takeValidCommands(
    machine: Machine,
    batch: readonly WorkerCommand[],
    token: number,
    starts: TaskAttempt[],
  ): WorkerCommand[] {
    const mayCommand = this.term.canActAsLeader() && !this.term.hasEnded;
    const mayStart = mayCommand && this.term.canDispatch();
    return batch.filter((command) => {
      if (command.op !== 'start') return mayCommand;
      const attempt = machine.attempts.get(attemptKey(command.job, command.index));
      if (attempt?.number !== command.attempt || attempt.state !== 'recording') return false;
      if (!mayStart || attempt.agentEpoch !== machine.agentEpoch || attempt.job.phase !== 'active') {
        this.events.startFailed(attempt);
        return false;
      }
      attempt.state = 'sent';
      attempt.fencingToken = token;
      starts.push(attempt);
      return true;
    });
  }

  private handleReply(machine: Machine, starts: readonly TaskAttempt[], reply: CommandReply): void {
    const { context: ctx } = this.term;
    if (reply.kind === 'lost') {
      if (starts.length > 0) {
        machine.fencingCounter++;
        ctx.info('command.unanswered', { machine: machine.name, starts: starts.length });
      }
      for (const attempt of starts) if (attempt.state === 'sent') attempt.state = 'unknown';
      return;
    }
    if (reply.kind === 'refused') {
      ctx.info('command.rejected', { machine: machine.name, starts: starts.length });
      for (const attempt of starts) if (attempt.state === 'sent') this.events.startFailed(attempt);
    } else {
      // The starts were executed before the reply's heartbeat was created, so a task that it doesn't list is not there.
      for (const attempt of starts) if (attempt.state === 'sent') attempt.state = 'fetching';
    }
    const { heartbeat } = reply;
    if (heartbeat !== null && heartbeat.machine === machine.name && machine.isNewerHeartbeat(heartbeat))
      this.events.heartbeatReceived(machine, heartbeat);
  }

  /**
   * Raises the fencing token before a `forget` is sent to the machine; returns false if it may not be sent now. After a
   * `forget` the worker would treat a delayed copy of the start as new, and run a task that is on another machine by then
   * (found by a generated history with repeated messages). While a call is in flight the token is not raised, because the
   * worker would refuse the starts in that call.
   */
  prepareForget(machine: Machine): boolean {
    if (machine.commandInFlight) return false;
    this.fenceEarlierStarts(machine);
    return true;
  }

  /**
   * Fences starts of ended jobs that are still in flight: a worker whose heartbeat is answered before it receives such a start
   * must refuse it, otherwise it could start the task at any time during the lease that the answer renews.
   */
  fenceStartsOfEndedJobs(machine: Machine): void {
    const token = this.term.fencingTokenOf(machine);
    for (const attempt of machine.attempts.values())
      if (attempt.job.phase === 'ended' && attempt.state === 'sent' && attempt.fencingToken >= token) {
        machine.fencingCounter++;
        return;
      }
  }

  /** Makes the worker refuse copies of all starts sent so far, once it has received the next message. */
  private fenceEarlierStarts(machine: Machine): void {
    if (machine.lastStartToken === this.term.fencingTokenOf(machine)) machine.fencingCounter++;
    machine.endedSinceFencing.clear();
  }
}
