/** How far a heartbeat and the tasks that it reports can be relied on. */
import type { Heartbeat, ReportedTask } from '../domain/heartbeat.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/**
 * Whether the heartbeat was made after its worker had received a message of this term. An older one may be a late copy: it adds
 * places to wait for, but does not decide which of two attempts is the true one. It once did: the true one was stopped, and
 * begun a third time before its worker had reported that (docs/incidents/kept-reports.md).
 */
export const isFromThisTerm = (term: LeaderTerm, heartbeat: Heartbeat): boolean =>
  heartbeat.fencingToken >= term.firstFencingToken;

/** Whether the task may be of use where it is reported: its job is active, and the task not done. */
export const isWanted = (term: LeaderTerm, task: ReportedTask): boolean => {
  const job = term.cluster.jobs.get(task.job);
  return job?.phase === 'active' && task.index < job.spec.tasks && !job.done.has(task.index);
};
