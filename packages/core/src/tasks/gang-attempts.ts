/** Gang scheduling: all members of a gang share one attempt number, and they run together or not at all. */
import type { ActiveJob, TaskAttempt } from '../cluster/cluster-model.js';
import type { Micros } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Whether the gang's live members make up one whole attempt. */
const isWholeGang = (job: ActiveJob): boolean => {
  if (job.liveAttempts.size !== job.spec.tasks) return false;
  let attemptNumber: number | null = null;
  for (const member of job.liveAttempts.values()) {
    if (attemptNumber !== null && member.number !== attemptNumber) return false;
    attemptNumber = member.number;
  }
  return true;
};

/** The live members that are not being stopped yet: those to stop once the attempt can't be whole any more. */
export const unstoppedMembers = (job: ActiveJob): TaskAttempt[] =>
  [...job.liveAttempts.values()].filter((member) => member.stopping === null);

/** The attempt number that an adopted member must have; null while no member is live. */
export const gangAttemptNumber = (job: ActiveJob): number | null => {
  let newest: number | null = null;
  for (const member of job.liveAttempts.values())
    newest = newest === null ? member.number : Math.max(newest, member.number);
  return newest;
};

/** Stops the remaining members of gangs whose attempt can't be whole any more. */
export class GangSupervisor {
  /** `stop` stops an attempt, with time to save its checkpoint; 0 stops it at once. */
  constructor(
    private readonly term: LeaderTerm,
    private readonly stop: (attempt: TaskAttempt, graceUs: Micros) => void,
  ) {}

  /** A member of the gang is lost: stops the others at once. */
  breakGang(job: ActiveJob): void {
    if (job.phase !== 'active' || job.isComplete) return;
    if (!job.gangBroken) this.term.context.info('gang.broken', { job: job.id, left: job.liveAttempts.size });
    job.gangBroken = true;
    for (const member of unstoppedMembers(job)) this.stop(member, 0);
  }

  /** Breaks the gangs that are not whole although every machine that may hold a member is reconciled. */
  breakIncompleteGangs(): void {
    for (const job of this.term.cluster.jobs.values()) {
      if (
        job.spec.shape !== 'gang' ||
        job.phase !== 'active' ||
        job.gangBroken ||
        job.liveAttempts.size === 0
      )
        continue;
      if (job.isComplete || isWholeGang(job)) continue;
      if (!this.mayHaveUnreportedMembers(job)) this.breakGang(job);
    }
  }

  private mayHaveUnreportedMembers(job: ActiveJob): boolean {
    const { machines } = this.term.cluster;
    for (const name of job.unreconciledMachines)
      if (machines.get(name)?.awaitingReconciliation === true) return true;
    return false;
  }
}
