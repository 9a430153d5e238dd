/** Which work may be preempted for which, by the protocol. */
import type { Team } from '../domain/settings.js';
import type { ActiveJob, TaskAttempt } from './cluster-model.js';
import { isWithinGuarantee, type TeamUsage } from './fair-share.js';

/** What the right to preempt depends on. */
export interface PreemptionPolicy {
  readonly teams: readonly Team[];
  /** In use by team. */
  readonly usage: ReadonlyMap<string, TeamUsage>;
  /** Whether a job fits into its team's guarantee along with the team's earlier unfinished jobs. */
  readonly isGuaranteed: (job: ActiveJob) => boolean;
}

const exceedsGuarantee = (team: Team | undefined, usage: TeamUsage | undefined): boolean =>
  team !== undefined && usage !== undefined && !isWithinGuarantee(team, usage);

/**
 * Whether `victim` may be stopped for `job`: it has a lower priority, or its team exceeds its guarantee and the job is
 * within its own team's. In every other case, work does not preempt work of the same or a higher priority.
 */
export const mayPreempt = (job: ActiveJob, victim: TaskAttempt, policy: PreemptionPolicy): boolean => {
  const victimTeam = victim.job.spec.team;
  // A job counts with the priority of those that depend on it, on either side.
  if (victim.job.priority < job.priority) return true;
  if (victimTeam === job.spec.team || !policy.isGuaranteed(job)) return false;
  const team = policy.teams.find((candidate) => candidate.name === victimTeam);
  return exceedsGuarantee(team, policy.usage.get(victimTeam));
};
