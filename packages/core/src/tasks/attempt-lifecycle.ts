/**
 * The life of an attempt: decided, put on record, sent, reported, stopped, ended. An attempt counts as present on its machine
 * from the decision until proven otherwise (docs/safety.md).
 */
import type { ActiveJob, Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { attemptKey } from '../cluster/task-attempt.js';
import type { Heartbeat, ReportedTask } from '../domain/heartbeat.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { CommandQueue } from './command-queue.js';
import { GangSupervisor } from './gang-attempts.js';
import { delayRetry, recordRun, recordTaskFailure } from './run-outcomes.js';

/** A job whose places can't be put on record is not tried again before so many seconds have passed. */
const RETRY_SECONDS_AFTER_UNRECORDED = 30;
/** A worker that had no room, or was busy, is not asked again at once. */
const RETRY_SECONDS_AFTER_REJECTION = 1;
/** A faulty machine is retired after this time even if it is not empty by then. */
const FAULTY_MACHINE_DRAIN: Micros = 8 * SECOND;

/** What the attempts' life needs of the other parts of the scheduler, and what it reports to them. */
export interface AttemptEvents {
  /** Puts the places of a job on record: nothing is sent there before. Calls `then` once it is done, or `refused`. */
  recordPlacement(job: ActiveJob, then: () => void, refused: () => void): void;
  /** A heartbeat that came with the answer to commands. */
  heartbeatReceived(machine: Machine, heartbeat: Heartbeat): void;
  /** An attempt of the job is gone: of an ended job none may be left. */
  attemptReleased(job: ActiveJob): void;
  /** An attempt is not on its machine any more; `exit` is how it ended, where that is known. */
  attemptEnded(attempt: TaskAttempt, exit: ReportedTask | null): void;
  /** Takes a machine out of use once it is empty, or at `latest`. */
  retireWhenEmpty(machine: Machine, reason: string, latest: Micros): void;
}

/** Where a task is to be started. */
export interface TaskPlace {
  readonly index: number;
  readonly machine: Machine;
}

/** Begins, adopts, stops and ends attempts, and keeps them in the cluster state. */
export class AttemptLifecycle {
  /** Completed runs that the runtime estimates learned from since the caller last reset this. */
  learnedRuns = 0;
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

  // ---- beginning ---------------------------------------------------------------------------------

  /** Begins attempts at the given places: from here on the tasks count as being there. */
  begin(job: ActiveJob, places: readonly TaskPlace[]): void {
    const { context: ctx } = this.term;
    const attempts = this.createAttempts(job, places);
    job.startedBefore = true;
    ctx.debug('job.tasks_dispatched', () => ({
      job: job.id,
      tasks: places.map((place) => `${place.index}@${place.machine.name}`),
      attempt: attempts.at(-1)?.number ?? 0,
      waitedS: (ctx.wallNow - job.acceptedAt) / SECOND,
    }));
    // A job's places are on record before anything is sent there: a new leader then knows which
    // machines may hold its tasks, and waits for no others.
    const unrecorded = attempts.some((attempt) => !job.recordedMachines.has(attempt.machine.name));
    const start = (): void => {
      for (const attempt of attempts) this.commands.queueStart(attempt);
    };
    if (!unrecorded) start();
    else
      this.events.recordPlacement(job, start, () => {
        // What can't be put on record is not started, and not tried again at once.
        delayRetry(this.term, job, RETRY_SECONDS_AFTER_UNRECORDED);
        for (const attempt of attempts) if (attempt.state === 'recording') this.end(attempt, null);
      });
  }

  private createAttempts(job: ActiveJob, places: readonly TaskPlace[]): TaskAttempt[] {
    const { now } = this.term.context;
    const isGang = job.spec.shape === 'gang';
    // The members of a gang share one attempt number.
    let number = isGang ? this.term.nextAttemptNumber() : 0;
    const attempts: TaskAttempt[] = [];
    for (const { index, machine } of places) {
      if (!isGang) number = this.term.nextAttemptNumber();
      const attempt: TaskAttempt = {
        job,
        index,
        number,
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

  /** Takes in a task of an earlier leader's attempt, as a machine reports it; `confirmed` with a token of this term. */
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

  // ---- ending ------------------------------------------------------------------------------------

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
   * Drops an attempt that only an older heartbeat reported and that is not there, or is elsewhere: it need never have been
   * there in this term, so nothing is learned from it, and no gang is broken by it.
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

  /** An attempt is surely not on its machine any more. `exit` is how it ended, where that is known. */
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
    if (recordRun(this.term, attempt, cause, exit?.checkpointed === true)) this.learnedRuns++;
    if (cause === 'error' && recordTaskFailure(this.term, machine, job)) this.retireFaulty(machine);
    if (cause === 'noRoom' || cause === 'busy' || cause === 'unknown')
      delayRetry(this.term, job, RETRY_SECONDS_AFTER_REJECTION);
    if (job.spec.shape === 'gang' && cause !== 'done' && job.liveAttempts.size > 0) this.gangs.breakGang(job);
    if (job.liveAttempts.size === 0) job.gangBroken = false;
    this.events.attemptReleased(job);
    this.term.schedulePass();
  }

  private retireFaulty(machine: Machine): void {
    machine.retirementReason = 'faulty';
    for (const attempt of [...machine.attempts.values()])
      this.stop(attempt, attempt.job.spec.checkpointDurationUs + SECOND);
    this.events.retireWhenEmpty(machine, 'faulty', this.term.context.now + FAULTY_MACHINE_DRAIN);
  }

  /** Stops attempts of gangs that can't become whole any more, for example after a failover. */
  breakIncompleteGangs(): void {
    this.gangs.breakIncompleteGangs();
  }

  // ---- commands ----------------------------------------------------------------------------------

  /** Stops an attempt. `graceUs`: time to save its checkpoint; 0 stops at once. */
  stop(attempt: TaskAttempt, graceUs: Micros): void {
    const { job, machine, stopping } = attempt;
    // A task that is saving is not waited for once the job is over.
    const sooner = job.phase !== 'active' && graceUs === 0 && stopping !== null && stopping.graceUs > 0;
    if (stopping !== null && !sooner) return;
    if (attempt.state === 'recording') {
      // Never sent, so it is nowhere.
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

  /** Sends the commands that wait for a machine, one call at a time. */
  dispatchQueued(machine: Machine): void {
    this.commands.dispatchQueued(machine);
  }

  /** Prepares a `forget` of what ended on the machine; false if it may not be sent now. */
  prepareForget(machine: Machine): boolean {
    return this.commands.prepareForget(machine);
  }

  /** Fences starts that are on their way to the machine for jobs that have ended. */
  fenceStartsOfEndedJobs(machine: Machine): void {
    this.commands.fenceStartsOfEndedJobs(machine);
  }
}
