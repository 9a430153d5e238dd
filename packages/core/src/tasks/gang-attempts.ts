/** Gangs: one attempt number for all members, all or none. */
import type { TaskAttempt, ActiveJob } from '../cluster/cluster-model.js';

/** Whether the gang's members that live make up one whole attempt. */
export const wholeGang = (job: ActiveJob): boolean => {
  if (job.liveAttempts.size !== job.spec.tasks) return false;
  let no: number | null = null;
  for (const a of job.liveAttempts.values()) {
    if (no !== null && a.number !== no) return false;
    no = a.number;
  }
  return true;
};

/** Members to stop because the attempt can't be whole any more. */
export const leftovers = (job: ActiveJob): TaskAttempt[] =>
  [...job.liveAttempts.values()].filter((a) => a.stopping === null);

/** The attempt that an adopted member must belong to. */
export const gangAttempt = (job: ActiveJob): number | null => {
  let no: number | null = null;
  for (const a of job.liveAttempts.values()) no = no === null ? a.number : Math.max(no, a.number);
  return no;
};
