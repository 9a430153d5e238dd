/** Which work may be stopped for which, by the protocol. */
import type { ActiveJob, TaskAttempt } from './cluster-model.js';
import type { Team } from '../domain/settings.js';

export interface TeamUsage {
  readonly cores: number;
  readonly gpus: number;
}

/** Whether a team uses more than it is guaranteed. */
const beyond = (team: Team | undefined, use: TeamUsage | undefined): boolean =>
  team !== undefined &&
  use !== undefined &&
  (use.cores > team.guaranteedCores + 1e-6 || use.gpus > team.guaranteedGpus + 1e-6);

export interface PreemptionPolicy {
  readonly teams: readonly Team[];
  readonly use: ReadonlyMap<string, TeamUsage>;
  /** Jobs that fit into their team's guarantee along with its earlier unfinished jobs. */
  readonly guaranteed: (job: ActiveJob) => boolean;
}

/** In every other case, work does not preempt work of the same or a higher priority. */
export const mayPreempt = (job: ActiveJob, victim: TaskAttempt, rights: PreemptionPolicy): boolean => {
  const v = victim.job.spec;
  // A job counts with the priority of those that need it, on either side.
  if (victim.job.priority < job.priority) return true;
  if (v.team === job.spec.team || !rights.guaranteed(job)) return false;
  return beyond(
    rights.teams.find((t) => t.name === v.team),
    rights.use.get(v.team),
  );
};
