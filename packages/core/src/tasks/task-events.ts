/** Interface through which reconciliation notifies and queries the other parts of the scheduler. */
import type { ActiveJob, TaskAttempt } from '../cluster/cluster-model.js';
import type { ReportedTask } from '../domain/heartbeat.js';

/** Notifications about tasks that result from worker heartbeats. */
export interface TaskEvents {
  /** A task completed successfully. */
  markDone(job: ActiveJob, index: number): void;
  /** A confirmed attempt has started running. */
  taskRunning(attempt: TaskAttempt): void;
  /** A worker reported the exit of an attempt that is not in the cluster state. */
  unknownAttemptExited(job: string, exit: ReportedTask): void;
  /** Whether the worker has to retain the exit of a done attempt although it is recorded. */
  mustRetain(exit: ReportedTask): boolean;
}
