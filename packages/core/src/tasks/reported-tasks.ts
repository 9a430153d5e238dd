/** Checks whether a heartbeat is current and whether the tasks it reports are needed. */
import type { Heartbeat, ReportedTask } from '../domain/heartbeat.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/**
 * Whether the worker had received a message of this term when it created the heartbeat. An earlier heartbeat may be a delayed
 * copy: it adds machines to wait for, but must not decide which of two attempts is current. When it did, the current attempt
 * was stopped and the task started a third time before its worker had reported the stop (docs/incidents/kept-reports.md).
 */
export const isFromThisTerm = (term: LeaderTerm, heartbeat: Heartbeat): boolean =>
  heartbeat.fencingToken >= term.firstFencingToken;

/** Whether the reported task is still needed: its job is active and the task is not done. */
export const isStillNeeded = (term: LeaderTerm, task: ReportedTask): boolean => {
  const job = term.cluster.jobs.get(task.job);
  return job?.phase === 'active' && task.index < job.spec.tasks && !job.done.has(task.index);
};
