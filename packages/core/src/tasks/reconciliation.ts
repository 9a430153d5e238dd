/** Reconciles the tasks that workers report with the attempts in the cluster state. */
import type { ActiveJob, Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { attemptKey } from '../cluster/task-attempt.js';
import type { Heartbeat, ReportedTask } from '../domain/heartbeat.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { AttemptLifecycle } from './attempt-lifecycle.js';
import { gangAttemptNumber } from './gang-attempts.js';
import { recordCachedImage } from './image-cache.js';
import { isFromThisTerm, isStillNeeded } from './reported-tasks.js';
import type { TaskEvents } from './task-events.js';
import { drainBeforeTermination } from './termination-drain.js';

/** Updates the cluster state from a machine's reported tasks. */
export class Reconciler {
  constructor(
    private readonly term: LeaderTerm,
    private readonly attempts: AttemptLifecycle,
    private readonly events: Pick<TaskEvents, 'markDone' | 'taskRunning' | 'unknownAttemptExited'>,
  ) {}

  /** Applies the task list of the machine's newest heartbeat. The records of earlier leaders must have been read. */
  reconcile(machine: Machine, heartbeat: Heartbeat): void {
    if (machine.awaitingReconciliation && heartbeat.fencingToken >= this.term.firstFencingToken) {
      // The worker is fenced from all earlier leaders, so its list is complete.
      machine.awaitingReconciliation = false;
      this.term.schedulePass();
    }
    const listed = this.matchListedTasks(machine, heartbeat);
    this.endUnlistedAttempts(machine, heartbeat, listed);
    if (machine.terminationAt !== null)
      drainBeforeTermination(this.term, this.attempts, machine, machine.terminationAt);
    if (machine.attempts.size > 0 || machine.unknownTaskCount > 0) machine.idleSince = this.term.context.now;
  }

  /** Returns the attempts that the heartbeat lists as present, and counts the tasks that match no attempt. */
  private matchListedTasks(machine: Machine, heartbeat: Heartbeat): ReadonlySet<TaskAttempt> {
    const listed = new Set<TaskAttempt>();
    const confirmed = isFromThisTerm(this.term, heartbeat);
    machine.unknownTaskCount = 0;
    for (const task of heartbeat.tasks) {
      const attempt = this.matchTask(machine, task, confirmed);
      if (attempt === null) continue;
      listed.add(attempt);
      if (confirmed) this.confirm(attempt);
      this.updateState(machine, attempt, task);
    }
    return listed;
  }

  /** Returns the attempt of a listed task; null if the task has exited or is unknown. Unknown tasks are counted. */
  private matchTask(machine: Machine, task: ReportedTask, confirmed: boolean): TaskAttempt | null {
    const job = this.term.cluster.jobs.get(task.job);
    let attempt = machine.attempts.get(attemptKey(task.job, task.index));
    if (attempt !== undefined && attempt.number !== task.attempt && confirmed && !attempt.confirmed) {
      this.attempts.discard(attempt);
      attempt = undefined;
    }
    if (attempt !== undefined && attempt.number !== task.attempt) {
      if (task.state !== 'exited') machine.unknownTaskCount++;
      return null;
    }
    if (task.state === 'exited') {
      this.handleExit(machine, job, attempt, task);
      return null;
    }
    if (attempt === undefined && job !== undefined) attempt = this.adopt(machine, job, task, confirmed);
    if (attempt === undefined) {
      machine.unknownTaskCount++;
      return null;
    }
    return attempt;
  }

  private endUnlistedAttempts(
    machine: Machine,
    heartbeat: Heartbeat,
    listed: ReadonlySet<TaskAttempt>,
  ): void {
    for (const attempt of [...machine.attempts.values()]) {
      if (listed.has(attempt)) continue;
      // A start whose reply was lost may still be executed until the worker has seen a higher fencing token.
      if (attempt.state === 'recording' || attempt.state === 'sent') continue;
      if (attempt.state === 'unknown' && heartbeat.fencingToken <= attempt.fencingToken) continue;
      this.attempts.end(attempt, null);
    }
  }

  private adopt(
    machine: Machine,
    job: ActiveJob,
    task: ReportedTask,
    confirmed: boolean,
  ): TaskAttempt | undefined {
    if (!isStillNeeded(this.term, task)) return undefined;
    // The task is on this machine now, so attempts that only earlier heartbeats reported are over.
    if (confirmed)
      for (const conflicting of conflictingAttempts(job, task))
        if (!conflicting.confirmed) this.attempts.discard(conflicting);
    if (job.liveAttempts.has(task.index)) return undefined;
    if (job.spec.shape === 'gang') {
      const attemptNumber = gangAttemptNumber(job);
      if (attemptNumber !== null && attemptNumber !== task.attempt) return undefined;
    }
    return this.attempts.adopt(machine, job, task, confirmed);
  }

  private confirm(attempt: TaskAttempt): void {
    if (attempt.confirmed) return;
    attempt.confirmed = true;
    attempt.machine.notifyObserver();
    if (attempt.runningAt !== null) this.events.taskRunning(attempt);
  }

  private updateState(machine: Machine, attempt: TaskAttempt, task: ReportedTask): void {
    if (task.state === 'exited' || attempt.state === task.state) return;
    const { context: ctx } = this.term;
    ctx.debug('attempt.state_changed', {
      job: attempt.job.id,
      task: attempt.index,
      machine: machine.name,
      state: task.state,
    });
    attempt.state = task.state;
    machine.markChanged();
    if (task.state === 'running' && attempt.runningAt === null) {
      attempt.runningAt = ctx.now;
      if (attempt.confirmed) this.events.taskRunning(attempt);
    }
    if (task.state !== 'fetching')
      recordCachedImage(
        machine,
        attempt.job.spec,
        ctx.machineTypes.get(machine.type)?.imageCacheGb ?? Infinity,
      );
    this.term.schedulePass();
  }

  private handleExit(
    machine: Machine,
    job: ActiveJob | undefined,
    attempt: TaskAttempt | undefined,
    task: ReportedTask,
  ): void {
    if (attempt === undefined) this.events.unknownAttemptExited(task.job, task);
    const isDone = task.cause === 'done';
    if (isDone) {
      machine.consecutiveErrors = 0;
      machine.failedJobs.clear();
    }
    if (attempt !== undefined) this.attempts.end(attempt, task);
    if (isDone && job?.phase === 'active') this.events.markDone(job, task.index);
  }
}

/** Live attempts that exclude the reported one: other attempts of the same task or, in a gang, with another number. */
const conflictingAttempts = (job: ActiveJob, task: ReportedTask): readonly TaskAttempt[] => {
  if (job.spec.shape === 'gang')
    return [...job.liveAttempts.values()].filter(
      (attempt) => attempt.number !== task.attempt || attempt.index === task.index,
    );
  const attempt = job.liveAttempts.get(task.index);
  return attempt === undefined ? [] : [attempt];
};
