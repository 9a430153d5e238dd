/** Turns of the teams, and their limits. */
import type { ActiveJob } from './jobs.js';
import type { JobSpec, Team } from './model.js';

export class Usage {
  private readonly cores = new Map<string, number>();
  private readonly gpus = new Map<string, number>();

  add(spec: JobSpec, times: number): void {
    this.cores.set(spec.team, (this.cores.get(spec.team) ?? 0) + spec.cores * times);
    this.gpus.set(spec.team, (this.gpus.get(spec.team) ?? 0) + spec.gpus * times);
  }

  /** How many more tasks of this kind the team's limit allows. A limit of 0 means there is none. */
  room(spec: JobSpec, team: Team | undefined): number {
    if (team === undefined) return 0;
    const left = (max: number, used: number, each: number): number =>
      max <= 0 || each <= 0 ? Infinity : Math.floor((max - used + 1e-6) / each);
    return Math.max(
      0,
      Math.min(
        left(team.coresMax, this.cores.get(spec.team) ?? 0, spec.cores),
        left(team.gpusMax, this.gpus.get(spec.team) ?? 0, spec.gpus),
      ),
    );
  }
}

/**
 * Jobs in the order of turns: by priority, then, in rounds, each team's oldest. Within a round, jobs
 * inside their team's guarantee come first: they need not wait on other teams' borrowing.
 */
export const turnOrder = (jobs: readonly ActiveJob[], teams: readonly Team[]): ActiveJob[] => {
  const byAge = [...jobs].sort((a, b) => a.at - b.at || (a.id < b.id ? -1 : 1));
  const rounds = new Map<string, number>();
  const taken = new Map<string, { cores: number; gpus: number }>();
  const rows = byAge.map((job) => {
    const { team: name, priority, tasks, cores, gpus } = job.spec;
    const key = `${priority}|${name}`;
    const round = rounds.get(key) ?? 0;
    rounds.set(key, round + 1);
    const team = teams.find((t) => t.name === name);
    const t = taken.get(name) ?? { cores: 0, gpus: 0 };
    t.cores += cores * tasks;
    t.gpus += gpus * tasks;
    taken.set(name, t);
    const within =
      team !== undefined &&
      (team.cores > 0 || team.gpus > 0) &&
      t.cores <= team.cores + 1e-6 &&
      t.gpus <= team.gpus + 1e-6;
    return { job, priority, round, within };
  });
  rows.sort(
    (a, b) =>
      Number(b.within) - Number(a.within) ||
      b.priority - a.priority ||
      a.round - b.round ||
      a.job.at - b.job.at,
  );
  return rows.map((r) => r.job);
};
