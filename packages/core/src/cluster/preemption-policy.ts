/** The protocol's rules on which work may be preempted for which. */
import type { Team } from '../domain/settings.js';
import type { ActiveJob, TaskAttempt } from './cluster-model.js';
import { isWithinGuarantee, type TeamUsage } from './fair-share.js';

/** The data that decides whether one job may preempt another. */
export interface PreemptionPolicy {
  /** All teams, with their guarantees. */
  readonly teams: readonly Team[];
  /** Cores and GPUs in use by team. */
  readonly usage: ReadonlyMap<string, TeamUsage>;
  /** Whether a job fits into its team's guarantee together with the team's earlier active jobs. */
  readonly isGuaranteed: (job: ActiveJob) => boolean;
}

const exceedsGuarantee = (team: Team | undefined, usage: TeamUsage | undefined): boolean =>
  team !== undefined && usage !== undefined && !isWithinGuarantee(team, usage);

/**
 * Whether `victim` may be stopped for `job`: if it has a lower priority, or if its team exceeds its guarantee while the job
 * is within the guarantee of another team. Otherwise work doesn't preempt work of the same or a higher priority.
 */
export const mayPreempt = (job: ActiveJob, victim: TaskAttempt, policy: PreemptionPolicy): boolean => {
  const victimTeam = victim.job.spec.team;
  // Both are effective priorities, which include those of dependents.
  if (victim.job.priority < job.priority) return true;
  if (victimTeam === job.spec.team || !policy.isGuaranteed(job)) return false;
  const team = policy.teams.find((candidate) => candidate.name === victimTeam);
  return exceedsGuarantee(team, policy.usage.get(victimTeam));
};
