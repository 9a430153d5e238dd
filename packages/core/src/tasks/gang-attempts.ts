/** Gangs: one attempt number for all members, all or none. */
import type { Attempt, ActiveJob } from '../cluster/cluster-model.js';

/** Whether the gang's members that live make up one whole attempt. */
export const wholeGang = (job: ActiveJob): boolean => {
  if (job.live.size !== job.spec.tasks) return false;
  let no: number | null = null;
  for (const a of job.live.values()) {
    if (no !== null && a.no !== no) return false;
    no = a.no;
  }
  return true;
};

/** Members to stop because the attempt can't be whole any more. */
export const leftovers = (job: ActiveJob): Attempt[] =>
  [...job.live.values()].filter((a) => a.stopping === null);

/** The attempt that an adopted member must belong to. */
export const gangAttempt = (job: ActiveJob): number | null => {
  let no: number | null = null;
  for (const a of job.live.values()) no = no === null ? a.no : Math.max(no, a.no);
  return no;
};
