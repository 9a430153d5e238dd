/** What reconciliation reports to the other parts of the scheduler, and asks of them. */
import type { ActiveJob, TaskAttempt } from '../cluster/cluster-model.js';
import type { ReportedTask } from '../domain/heartbeat.js';

/** What workers' heartbeats show of tasks. */
export interface TaskEvents {
  /** The results of a task are there. */
  markDone(job: ActiveJob, index: number): void;
  /** A task runs. */
  taskRunning(attempt: TaskAttempt): void;
  /** The end of an attempt that this leader did not know. */
  unknownAttemptExited(job: string, exit: ReportedTask): void;
  /** Whether its worker is to keep the end of a done attempt, though it is on record. */
  mustRetain(exit: ReportedTask): boolean;
}
