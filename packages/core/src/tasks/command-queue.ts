/**
 * Commands to workers: queued by machine, sent one call at a time, and fenced by tokens. A worker refuses calls with a token
 * below the highest that it has seen, so raising a machine's token keeps late copies of earlier starts from being executed.
 */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { attemptKey } from '../cluster/task-attempt.js';
import type { CommandReply, Heartbeat, WorkerCommand } from '../domain/heartbeat.js';
import type { Micros } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Commands that one message to a worker holds: it may have 64 KiB. */
export const MAX_COMMANDS = 400;

/** What follows from commands that were not executed, and from the answers to others. */
export interface CommandQueueEvents {
  /** The start was never sent or was refused: the attempt is surely not on its machine. */
  startFailed(attempt: TaskAttempt): void;
  /** A newer heartbeat came with the answer to commands. */
  heartbeatReceived(machine: Machine, heartbeat: Heartbeat): void;
}

/** Queues and sends the start and stop commands of one term, and takes in their answers. */
export class CommandQueue {
  /** Machines with starts that are sent at the end of the step. */
  private readonly dispatchAtEndOfStep = new Set<Machine>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly events: CommandQueueEvents,
  ) {}

  /** Queues the start of an attempt whose place is on record; it fails if the attempt may not start any more. */
  queueStart(attempt: TaskAttempt): void {
    const { machine, job } = attempt;
    const isCurrent = machine.attempts.get(attemptKey(job.id, attempt.index)) === attempt;
    if (!isCurrent || attempt.state !== 'recording') return;
    const mayStart =
      job.phase === 'active' &&
      !job.gangBroken &&
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
    this.dispatchTogether(machine);
  }

  /** Queues the stop of an attempt and sends it as soon as possible. */
  queueStop(attempt: TaskAttempt, graceUs: Micros): void {
    const { machine, job, index, number } = attempt;
    machine.queuedCommands.push({ op: 'stop', job: job.id, index, attempt: number, graceUs });
    this.dispatchQueued(machine);
  }

  /** Starts on a machine that are decided, or put on record, in one step go out in one call. */
  private dispatchTogether(machine: Machine): void {
    if (this.dispatchAtEndOfStep.size === 0)
      this.term.context.atEndOfStep(() => {
        const machines = [...this.dispatchAtEndOfStep];
        this.dispatchAtEndOfStep.clear();
        for (const next of machines) this.dispatchQueued(next);
      });
    this.dispatchAtEndOfStep.add(machine);
  }

  /** Sends the commands that wait for a machine, one call at a time. */
  dispatchQueued(machine: Machine): void {
    if (machine.commandInFlight || machine.queuedCommands.length === 0 || machine.address === '') return;
    const batch = machine.queuedCommands.splice(0, MAX_COMMANDS);
    // The same task again replaces what the worker keeps of its end, as a `forget` does.
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

  /** The commands of a batch that may still be sent; the attempts that they start are added to `starts`. */
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
      // Executed before its heartbeat was made: what the heartbeat doesn't list is not there.
      for (const attempt of starts) if (attempt.state === 'sent') attempt.state = 'fetching';
    }
    const { heartbeat } = reply;
    if (heartbeat !== null && heartbeat.machine === machine.name && machine.isNewerHeartbeat(heartbeat))
      this.events.heartbeatReceived(machine, heartbeat);
  }

  /**
   * Prepares a `forget` of what ended on the machine; false if it may not be sent now. After a `forget` the worker would take
   * a late copy of the start for a new one, and run a task that is elsewhere by then (found by a generated history of repeated
   * messages): so the token is raised with it, unless a start is on its way, which that would refuse.
   */
  prepareForget(machine: Machine): boolean {
    if (machine.commandInFlight) return false;
    this.fenceEarlierStarts(machine);
    return true;
  }

  /**
   * Fences starts that are on their way for jobs that have ended: a worker that is answered without having received such a
   * start must refuse it, else it could begin the task for as long as the lease that the answer renews.
   */
  fenceStartsOfEndedJobs(machine: Machine): void {
    const token = this.term.fencingTokenOf(machine);
    for (const attempt of machine.attempts.values())
      if (attempt.job.phase === 'ended' && attempt.state === 'sent' && attempt.fencingToken >= token) {
        machine.fencingCounter++;
        return;
      }
  }

  /** From the worker's next message on, copies of all starts sent so far are refused. */
  private fenceEarlierStarts(machine: Machine): void {
    if (machine.lastStartToken === this.term.fencingTokenOf(machine)) machine.fencingCounter++;
    machine.endedSinceFencing.clear();
  }
}
