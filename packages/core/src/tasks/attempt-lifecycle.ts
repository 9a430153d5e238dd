/**
 * Lifecycle of a task attempt: created, recorded, sent, reported, stopped, ended. An attempt counts as present on its machine
 * from its creation until the machine is known not to run it (docs/safety.md).
 */
import type { ActiveJob, Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { attemptKey } from '../cluster/task-attempt.js';
import type { Heartbeat, ReportedTask } from '../domain/heartbeat.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { CommandQueue } from './command-queue.js';
import { GangSupervisor } from './gang-attempts.js';
import { delayRetry, recordRun, recordTaskFailure } from './run-outcomes.js';

/** Delay before a job is started again after the store refused the record of its placement. */
const RETRY_SECONDS_AFTER_REFUSED_RECORD = 30;
/** Delay before a job is started again after a worker rejected one of its tasks. */
const RETRY_SECONDS_AFTER_REJECTION = 1;
/** A faulty machine is retired after this time even if it still runs tasks. */
const FAULTY_MACHINE_DRAIN_TIMEOUT: Micros = 8 * SECOND;

/** Operations of the scheduler that the lifecycle depends on, and notifications that it sends. */
export interface AttemptEvents {
  /** Records the job's machines; calls `onRecorded` once confirmed or `onRefused`. No start is sent before that. */
  recordPlacement(job: ActiveJob, onRecorded: () => void, onRefused: () => void): void;
  /** A reply to commands contained a newer heartbeat. */
  heartbeatReceived(machine: Machine, heartbeat: Heartbeat): void;
  /** An attempt of the job was removed from the cluster state; an ended job is dropped from it once none is left. */
  attemptReleased(job: ActiveJob): void;
  /** An attempt is no longer on its machine; `exit` is its last report, or null if how it ended is unknown. */
  attemptEnded(attempt: TaskAttempt, exit: ReportedTask | null): void;
  /** Retires a machine once it is empty, at `latest` in any case. */
  retireWhenEmpty(machine: Machine, reason: string, latest: Micros): void;
}

/** A task and the machine on which it is to be started. */
export interface TaskPlacement {
  /** Index of the task in its job. */
  readonly index: number;
  /** Machine that the scheduler selected. */
  readonly machine: Machine;
}

/** Starts, adopts, stops and ends attempts, and maintains them in the cluster state. */
export class AttemptLifecycle {
  /** Number of completed runs added to the runtime estimates since the caller last reset it. */
  completedRunCount = 0;
  private readonly commands: CommandQueue;
  private readonly gangs: GangSupervisor;

  constructor(
    private readonly term: LeaderTerm,
    private readonly events: AttemptEvents,
  ) {
    this.commands = new CommandQueue(term, {
      startFailed: (attempt) => {
        this.end(attempt, null);
      },
      heartbeatReceived: (machine, heartbeat) => {
        events.heartbeatReceived(machine, heartbeat);
      },
    });
    this.gangs = new GangSupervisor(term, (attempt, graceUs) => {
      this.stop(attempt, graceUs);
    });
  }

  /** Creates attempts with the given placements; from now on the tasks count as present on those machines. */
  startTasks(job: ActiveJob, placements: readonly TaskPlacement[]): void {
    const { context: ctx } = this.term;
    const attempts = this.createAttempts(job, placements);
    job.startedBefore = true;
    ctx.debug('job.tasks_dispatched', () => ({
      job: job.id,
      tasks: placements.map((placement) => `${placement.index}@${placement.machine.name}`),
      attempt: attempts.at(-1)?.number ?? 0,
      waitedS: (ctx.wallNow - job.acceptedAt) / SECOND,
    }));
    // The placement is recorded before any start is sent, so that a new leader knows which machines
    // may hold the job's tasks and doesn't have to wait for others.
    const unrecorded = attempts.some((attempt) => !job.recordedMachines.has(attempt.machine.name));
    const start = (): void => {
      for (const attempt of attempts) this.commands.queueStart(attempt);
    };
    if (!unrecorded) start();
    else
      this.events.recordPlacement(job, start, () => {
        // Without a record the tasks aren't started, and the job is retried only after a delay.
        delayRetry(this.term, job, RETRY_SECONDS_AFTER_REFUSED_RECORD);
        for (const attempt of attempts) if (attempt.state === 'recording') this.end(attempt, null);
      });
  }

  private createAttempts(job: ActiveJob, placements: readonly TaskPlacement[]): TaskAttempt[] {
    const { now } = this.term.context;
    const isGang = job.spec.shape === 'gang';
    // The members of a gang share one attempt number.
    let attemptNumber = isGang ? this.term.nextAttemptNumber() : 0;
    const attempts: TaskAttempt[] = [];
    for (const { index, machine } of placements) {
      if (!isGang) attemptNumber = this.term.nextAttemptNumber();
      const attempt: TaskAttempt = {
        job,
        index,
        number: attemptNumber,
        machine,
        agentEpoch: machine.agentEpoch,
        state: 'recording',
        fencingToken: 0,
        commandedAt: now,
        runningAt: null,
        startTimeKnown: true,
        confirmed: true,
        stopping: null,
      };
      this.attach(attempt);
      machine.idleSince = now;
      attempts.push(attempt);
    }
    return attempts;
  }

  /** Adopts an attempt of an earlier leader that a machine reports; `confirmed` if the heartbeat has a token of this term. */
  adopt(machine: Machine, job: ActiveJob, task: ReportedTask, confirmed: boolean): TaskAttempt {
    const { context: ctx } = this.term;
    const attempt: TaskAttempt = {
      job,
      index: task.index,
      number: task.attempt,
      machine,
      agentEpoch: machine.agentEpoch,
      state: 'fetching',
      fencingToken: 0,
      commandedAt: ctx.now,
      runningAt: null,
      startTimeKnown: false,
      confirmed,
      stopping: null,
    };
    ctx.debug('attempt.adopted', {
      job: job.id,
      task: task.index,
      machine: machine.name,
      attempt: task.attempt,
    });
    this.attach(attempt);
    return attempt;
  }

  private attach(attempt: TaskAttempt): void {
    const { job, machine, index } = attempt;
    job.liveAttempts.set(index, attempt);
    machine.attempts.set(attemptKey(job.id, index), attempt);
    machine.markChanged();
  }

  /** Removes an attempt from the cluster state; false if it was not in it. */
  private detach(attempt: TaskAttempt): boolean {
    const { job, machine, index } = attempt;
    const key = attemptKey(job.id, index);
    if (machine.attempts.get(key) !== attempt) return false;
    machine.attempts.delete(key);
    machine.markChanged();
    if (job.liveAttempts.get(index) === attempt) job.liveAttempts.delete(index);
    if (machine.attempts.size === 0) machine.idleSince = this.term.context.now;
    job.requeue(index);
    return true;
  }

  /**
   * Removes an attempt that only a heartbeat from before this term reported, and that turned out to be absent or on another
   * machine. It may never have been there in this term, so it affects neither runtime estimates nor the job's gang.
   */
  discard(attempt: TaskAttempt): void {
    if (!this.detach(attempt)) return;
    const { job, machine } = attempt;
    this.term.context.debug('attempt.discarded', {
      job: job.id,
      task: attempt.index,
      machine: machine.name,
      attempt: attempt.number,
    });
    this.events.attemptEnded(attempt, null);
    this.events.attemptReleased(job);
    this.term.schedulePass();
  }

  /** Ends an attempt that is certainly no longer on its machine. `exit` is its last report; null if unknown. */
  end(attempt: TaskAttempt, exit: ReportedTask | null): void {
    if (!attempt.confirmed && exit === null) {
      this.discard(attempt);
      return;
    }
    if (!this.detach(attempt)) return;
    const { job, machine } = attempt;
    if (exit !== null) machine.endedSinceFencing.add(attemptKey(job.id, attempt.index));
    const cause = exit?.cause ?? null;
    this.term.context.debug('attempt.ended', {
      job: job.id,
      task: attempt.index,
      machine: machine.name,
      cause: cause ?? 'gone',
    });
    this.events.attemptEnded(attempt, exit);
    if (recordRun(this.term, attempt, cause, exit?.checkpointed === true)) this.completedRunCount++;
    if (cause === 'error' && recordTaskFailure(this.term, machine, job)) this.retireFaulty(machine);
    if (cause === 'noRoom' || cause === 'busy' || cause === 'unknown')
      delayRetry(this.term, job, RETRY_SECONDS_AFTER_REJECTION);
    if (job.spec.shape === 'gang' && cause !== 'done' && job.liveAttempts.size > 0)
      this.gangs.breakGang(job, 0);
    this.events.attemptReleased(job);
    this.term.schedulePass();
  }

  private retireFaulty(machine: Machine): void {
    machine.retirementReason = 'faulty';
    for (const attempt of [...machine.attempts.values()])
      this.stop(attempt, attempt.job.spec.checkpointDurationUs + SECOND);
    this.events.retireWhenEmpty(machine, 'faulty', this.term.context.now + FAULTY_MACHINE_DRAIN_TIMEOUT);
  }

  /** Stops all members of a gang of which one can't go on. `graceUs`: time to save a checkpoint; 0 stops them immediately. */
  breakGang(job: ActiveJob, graceUs: Micros): void {
    this.gangs.breakGang(job, graceUs);
  }

  /** Stops the attempts of gangs that can no longer become complete, for example after a failover. */
  breakIncompleteGangs(): void {
    this.gangs.breakIncompleteGangs();
  }

  /** Stops an attempt. `graceUs`: time to save its checkpoint; 0 stops it immediately. */
  stop(attempt: TaskAttempt, graceUs: Micros): void {
    const { job, machine, stopping } = attempt;
    // Once the job is over, a stop without grace replaces one that waits for a checkpoint.
    const endsGrace = job.phase !== 'active' && graceUs === 0 && stopping !== null && stopping.graceUs > 0;
    if (stopping !== null && !endsGrace) return;
    if (attempt.state === 'recording') {
      // The start was never sent, so no worker runs it.
      this.end(attempt, null);
      return;
    }
    const { context: ctx } = this.term;
    attempt.stopping = { since: ctx.now, graceUs };
    machine.markChanged();
    ctx.debug('attempt.stop_requested', {
      job: job.id,
      task: attempt.index,
      machine: machine.name,
      graceUs,
    });
    this.commands.queueStop(attempt, graceUs);
  }

  /** Sends the queued commands of a machine, one call at a time. */
  dispatchQueued(machine: Machine): void {
    this.commands.dispatchQueued(machine);
  }

  /** Raises the fencing token before a `forget` is sent to the machine; returns false if it may not be sent now. */
  prepareForget(machine: Machine): boolean {
    return this.commands.prepareForget(machine);
  }

  /** Fences starts of ended jobs that are still in flight to the machine. */
  fenceStartsOfEndedJobs(machine: Machine): void {
    this.commands.fenceStartsOfEndedJobs(machine);
  }
}
