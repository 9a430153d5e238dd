/** Turns of the teams, and their limits. */
import type { ActiveJob, Machine } from './cluster-model.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Team } from '../domain/settings.js';

export class QuotaUsage {
  private readonly cores = new Map<string, number>();
  private readonly gpus = new Map<string, number>();
  /** What any team may use beside what is known of it. */
  private readonly doubted = { cores: 0, gpus: 0 };

  /**
   * What may run on a machine that is not accounted for is no more than what fits beside all that is proven there, whichever
   * team's it is. A team with a limit once started nothing while a single machine had not reported to a new leader. What
   * only an older report tells of counts as anybody's: a late copy of one team's tasks once hid another's (`quota`).
   */
  doubt(type: MachineType | null, m: Machine): void {
    const free = type === null ? { cores: Infinity, gpus: Infinity } : m.freeBesideConfirmed(type);
    this.doubted.cores += Math.max(0, free.cores);
    this.doubted.gpus += Math.max(0, free.gpus);
  }

  add(spec: JobSpec, times: number): void {
    this.addAmounts(spec.team, spec.cores * times, spec.gpus * times);
  }

  addAmounts(team: string, cores: number, gpus: number): void {
    this.cores.set(team, (this.cores.get(team) ?? 0) + cores);
    this.gpus.set(team, (this.gpus.get(team) ?? 0) + gpus);
  }

  /** How many more tasks of this kind the team's limit allows. A limit of 0 means there is none. */
  room(spec: JobSpec, team: Team | undefined): number {
    if (team === undefined) return 0;
    const left = (max: number, used: number, each: number): number =>
      max <= 0 || each <= 0 ? Infinity : Math.floor((max - used + 1e-6) / each);
    return Math.max(
      0,
      Math.min(
        left(team.maxCores, (this.cores.get(spec.team) ?? 0) + this.doubted.cores, spec.cores),
        left(team.maxGpus, (this.gpus.get(spec.team) ?? 0) + this.doubted.gpus, spec.gpus),
      ),
    );
  }
}

/** Jobs that fit into their team's guarantee along with the team's earlier unfinished jobs. */
export const guaranteedJobs = (jobs: readonly ActiveJob[], teams: readonly Team[]): Set<ActiveJob> => {
  const inside = new Set<ActiveJob>();
  const taken = new Map<string, { cores: number; gpus: number }>();
  const byAge = jobs
    .filter((j) => j.phase === 'active' && !j.blockedOnDependencies && j.admissionHold === null)
    .sort((a, b) => a.acceptedAt - b.acceptedAt);
  for (const job of byAge) {
    const { team: name, tasks, cores, gpus } = job.spec;
    const team = teams.find((t) => t.name === name);
    if (team === undefined || (team.guaranteedCores <= 0 && team.guaranteedGpus <= 0)) continue;
    const t = taken.get(name) ?? { cores: 0, gpus: 0 };
    t.cores += cores * tasks;
    t.gpus += gpus * tasks;
    taken.set(name, t);
    if (t.cores <= team.guaranteedCores + 1e-6 && t.gpus <= team.guaranteedGpus + 1e-6) inside.add(job);
  }
  return inside;
};

/**
 * Jobs in the order of turns: inside their team's guarantee first, for they need not wait on other
 * teams' borrowing; then by priority; then, in rounds, each team's oldest.
 */
export const fairShareOrder = (jobs: readonly ActiveJob[], teams: readonly Team[]): ActiveJob[] => {
  const inside = guaranteedJobs(jobs, teams);
  const byAge = [...jobs].sort((a, b) => a.acceptedAt - b.acceptedAt || (a.id < b.id ? -1 : 1));
  const rounds = new Map<string, number>();
  const rows = byAge.map((job) => {
    const key = `${job.priority}|${job.spec.team}`;
    const round = rounds.get(key) ?? 0;
    rounds.set(key, round + 1);
    return { job, round, within: inside.has(job) };
  });
  rows.sort(
    (a, b) =>
      Number(b.within) - Number(a.within) ||
      b.job.priority - a.job.priority ||
      a.round - b.round ||
      a.job.acceptedAt - b.job.acceptedAt,
  );
  return rows.map((r) => r.job);
};
