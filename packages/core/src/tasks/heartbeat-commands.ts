/**
 * The commands that answer a heartbeat: stops of what is over, and `forget` for ends that need not be kept. They are derived
 * anew from each heartbeat, so nothing is lost when an answer is.
 */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { attemptKey } from '../cluster/task-attempt.js';
import type { Heartbeat, ReportedTask, WorkerCommand } from '../domain/heartbeat.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { AttemptLifecycle } from './attempt-lifecycle.js';
import { isFromThisTerm, isWanted } from './reported-tasks.js';
import type { TaskEvents } from './task-events.js';

/** A task that is still there so long after its grace period is stopped at once. */
const STOP_OVERDUE: Micros = 3 * SECOND;

/** Derives the commands that answer a heartbeat from the cluster state. */
export class HeartbeatCommands {
  constructor(
    private readonly term: LeaderTerm,
    private readonly attempts: Pick<AttemptLifecycle, 'prepareForget'>,
    private readonly events: Pick<TaskEvents, 'mustRetain'>,
  ) {}

  /** Stops for everything on the machine that is over or unknown. */
  stopsFor(machine: Machine, heartbeat: Heartbeat): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    const listed = new Set<TaskAttempt>();
    for (const task of heartbeat.tasks) {
      if (task.state === 'exited') continue;
      const attempt = machine.attempts.get(attemptKey(task.job, task.index));
      if (attempt?.number !== task.attempt) {
        // Which attempt is the true one is known only from a heartbeat of this term.
        if (isFromThisTerm(this.term, heartbeat) || !isWanted(this.term, task))
          commands.push(stopOf(task, 0));
        continue;
      }
      listed.add(attempt);
      const graceUs = this.repeatedStopGrace(attempt, task);
      if (graceUs !== null) commands.push(stopOf(task, graceUs));
    }
    // Begun since the heartbeat was made, or the stop command is still on its way.
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

  /** Grace period of the stop to send once more to a listed attempt; null if none is to be sent. */
  private repeatedStopGrace({ job, stopping }: TaskAttempt, task: ReportedTask): Micros | null {
    if (stopping === null) return null;
    const isOverdue = this.term.context.now - stopping.since > stopping.graceUs + STOP_OVERDUE;
    if (isOverdue || job.phase === 'ended') return 0;
    return task.state === 'saving' ? null : stopping.graceUs;
  }

  /** Before the records are read: stops for jobs that had ended by then. Nothing else is known to be over. */
  stopsBeforeRecordsAreRead(heartbeat: Heartbeat): WorkerCommand[] {
    const { activeJobIds: unendedJobs } = this.term;
    if (unendedJobs === null) return [];
    return heartbeat.tasks
      .filter((task) => task.state !== 'exited' && !unendedJobs.has(task.job))
      .map((task) => stopOf(task, 0));
  }

  /** At most `limit` commands to forget the ends that are on record or of no use. */
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
    // Only what is done: such a task never starts again, so no start is refused for what is kept there.
    if (task.cause !== 'done') return false;
    // The worker keeps a result until it is written; only then may it forget.
    const job = this.term.cluster.jobs.get(task.job);
    const isUnwritten =
      job !== undefined &&
      (job.phase === 'finishing' || (job.phase === 'active' && !job.durablyDone.has(task.index)));
    return isUnwritten || this.events.mustRetain(task);
  }
}

const stopOf = (task: ReportedTask, graceUs: Micros): WorkerCommand => ({
  op: 'stop',
  job: task.job,
  index: task.index,
  attempt: task.attempt,
  graceUs,
});
