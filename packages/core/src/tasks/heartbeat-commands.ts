/**
 * Commands in the response to a heartbeat: stops for tasks that are no longer wanted, and `forget` for exits that the worker
 * need not retain. They are derived again from each heartbeat, so a lost response loses no command.
 */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { attemptKey } from '../cluster/task-attempt.js';
import type { Heartbeat, ReportedTask, WorkerCommand } from '../domain/heartbeat.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { AttemptLifecycle } from './attempt-lifecycle.js';
import { isFromThisTerm, isStillNeeded } from './reported-tasks.js';
import type { TaskEvents } from './task-events.js';

/** A task still present this long after its grace period is stopped immediately. */
const STOP_OVERDUE_AFTER: Micros = 3 * SECOND;

/** Derives the commands in the response to a heartbeat from the cluster state. */
export class HeartbeatCommands {
  constructor(
    private readonly term: LeaderTerm,
    private readonly attempts: Pick<AttemptLifecycle, 'prepareForget'>,
    private readonly events: Pick<TaskEvents, 'mustRetain'>,
  ) {}

  /** Returns stops for all tasks on the machine that are over or unknown. */
  stopsFor(machine: Machine, heartbeat: Heartbeat): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    const listed = new Set<TaskAttempt>();
    for (const task of heartbeat.tasks) {
      if (task.state === 'exited') continue;
      const attempt = machine.attempts.get(attemptKey(task.job, task.index));
      if (attempt?.number !== task.attempt) {
        // Only a heartbeat of this term shows which of two attempts is the current one.
        if (isFromThisTerm(this.term, heartbeat) || !isStillNeeded(this.term, task))
          commands.push(stopCommand(task, 0));
        continue;
      }
      listed.add(attempt);
      const graceUs = this.repeatedStopGrace(attempt, task);
      if (graceUs !== null) commands.push(stopCommand(task, graceUs));
    }
    // Attempts that started after the heartbeat was created, or whose stop command is still in flight.
    for (const attempt of machine.attempts.values())
      if (!listed.has(attempt) && attempt.stopping !== null && attempt.job.phase === 'ended')
        commands.push({
          op: 'stop',
          job: attempt.job.id,
          index: attempt.index,
          attempt: attempt.number,
          graceUs: 0,
        });
    return commands;
  }

  /** Returns the grace period of the stop to repeat for a listed attempt; null if no stop is to be sent. */
  private repeatedStopGrace({ job, stopping }: TaskAttempt, task: ReportedTask): Micros | null {
    if (stopping === null) return null;
    const isOverdue = this.term.context.now - stopping.since > stopping.graceUs + STOP_OVERDUE_AFTER;
    if (isOverdue || job.phase === 'ended') return 0;
    return task.state === 'saving' ? null : stopping.graceUs;
  }

  /** Returns stops for jobs that are known to have ended before the records are read; nothing else is known to be over. */
  stopsBeforeRecordsAreRead(heartbeat: Heartbeat): WorkerCommand[] {
    const { activeJobIds } = this.term;
    if (activeJobIds === null) return [];
    return heartbeat.tasks
      .filter((task) => task.state !== 'exited' && !activeJobIds.has(task.job))
      .map((task) => stopCommand(task, 0));
  }

  /** Returns at most `limit` `forget` commands for exits that are recorded or not needed. */
  forgetsFor(machine: Machine, heartbeat: Heartbeat, limit: number): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const task of heartbeat.tasks) {
      if (commands.length >= limit) break;
      if (task.state !== 'exited' || this.mustRetain(task)) continue;
      if (!this.attempts.prepareForget(machine)) break;
      commands.push({ op: 'forget', job: task.job, index: task.index, attempt: task.attempt });
    }
    return commands;
  }

  private mustRetain(task: ReportedTask): boolean {
    // Only done tasks are retained: they never start again, so no start is refused because of a retained exit.
    if (task.cause !== 'done') return false;
    // The worker has to retain a result until the store has confirmed it.
    const job = this.term.cluster.jobs.get(task.job);
    const isUnwritten =
      job !== undefined &&
      (job.phase === 'finishing' || (job.phase === 'active' && !job.durablyDone.has(task.index)));
    return isUnwritten || this.events.mustRetain(task);
  }
}

const stopCommand = (task: ReportedTask, graceUs: Micros): WorkerCommand => ({
  op: 'stop',
  job: task.job,
  index: task.index,
  attempt: task.attempt,
  graceUs,
});
