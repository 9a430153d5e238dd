/** Gang scheduling: all members of a gang share one attempt number, and run together or not at all. */
import type { ActiveJob, TaskAttempt } from '../cluster/cluster-model.js';
import type { Micros } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Whether all members of the gang are live with the same attempt number. */
const isWholeGang = (job: ActiveJob): boolean => {
  if (job.liveAttempts.size !== job.spec.tasks) return false;
  let attemptNumber: number | null = null;
  for (const member of job.liveAttempts.values()) {
    if (attemptNumber !== null && member.number !== attemptNumber) return false;
    attemptNumber = member.number;
  }
  return true;
};

/** Returns the live members without a pending stop, which are stopped when the gang attempt is broken. */
const unstoppedMembers = (job: ActiveJob): TaskAttempt[] =>
  [...job.liveAttempts.values()].filter((member) => member.stopping === null);

/** Returns the attempt number that an adopted member must have: the newest of the live members; null if there are none. */
export const gangAttemptNumber = (job: ActiveJob): number | null => {
  let newest: number | null = null;
  for (const member of job.liveAttempts.values())
    newest = newest === null ? member.number : Math.max(newest, member.number);
  return newest;
};

/**
 * Stops the remaining members of gangs whose attempt can no longer be complete. Nothing but the attempts themselves tells that a
 * gang is broken, so that it may start again as soon as the last one has ended, in whatever way.
 */
export class GangSupervisor {
  /** Gangs whose members are being stopped in this step: a member that was never sent ends while the others are visited. */
  private readonly breaking = new Set<ActiveJob>();

  /** `stop`: stops an attempt; `graceUs` is the time to save its checkpoint, 0 stops it immediately. */
  constructor(
    private readonly term: LeaderTerm,
    private readonly stop: (attempt: TaskAttempt, graceUs: Micros) => void,
  ) {}

  /** Stops the members that are not being stopped yet, after one was lost or because one can't go on. */
  breakGang(job: ActiveJob, graceUs: Micros): void {
    if (job.phase !== 'active' || job.isComplete || this.breaking.has(job)) return;
    const members = unstoppedMembers(job);
    if (members.length === 0) return;
    this.term.context.info('gang.broken', { job: job.id, left: job.liveAttempts.size });
    this.breaking.add(job);
    try {
      for (const member of members) this.stop(member, graceUs);
    } finally {
      this.breaking.delete(job);
    }
  }

  /** Breaks gangs that are incomplete although every machine that may hold a member has been reconciled. */
  breakIncompleteGangs(): void {
    for (const job of this.term.cluster.jobs.values()) {
      if (job.spec.shape !== 'gang' || job.phase !== 'active' || job.liveAttempts.size === 0) continue;
      if (job.isComplete || isWholeGang(job)) continue;
      if (!this.mayHaveUnreportedMembers(job)) this.breakGang(job, 0);
    }
  }

  private mayHaveUnreportedMembers(job: ActiveJob): boolean {
    const { machines } = this.term.cluster;
    for (const name of job.unreconciledMachines)
      if (machines.get(name)?.awaitingReconciliation === true) return true;
    return false;
  }
}
