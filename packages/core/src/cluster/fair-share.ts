/** Team quotas: limits, guarantees, and the fair-share order of jobs. */
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import { AMOUNT_TOLERANCE } from '../domain/resources.js';
import type { Team } from '../domain/settings.js';
import type { ActiveJob, Machine } from './cluster-model.js';

/** Cores and GPUs that a team uses. */
export interface TeamUsage {
  readonly cores: number;
  readonly gpus: number;
}

/** Whether the usage doesn't exceed the team's guaranteed cores and GPUs. */
export const isWithinGuarantee = (team: Team, usage: TeamUsage): boolean =>
  usage.cores <= team.guaranteedCores + AMOUNT_TOLERANCE &&
  usage.gpus <= team.guaranteedGpus + AMOUNT_TOLERANCE;

/** Number of tasks of `perTask` each that fit below the limit. A limit of 0 means unlimited. */
const tasksWithinLimit = (limit: number, used: number, perTask: number): number =>
  limit <= 0 || perTask <= 0 ? Infinity : Math.floor((limit - used + AMOUNT_TOLERANCE) / perTask);

/** Usage by team, to which a plan adds its own starts, and the tasks that remain within the teams' limits. */
export class QuotaUsage {
  private readonly cores = new Map<string, number>();
  private readonly gpus = new Map<string, number>();
  /** Usage that may belong to any team, in addition to its confirmed usage. */
  private readonly unverified = { cores: 0, gpus: 0 };

  /**
   * Counts a machine whose tasks are not all known. Its unknown tasks can't use more than what is free beside the confirmed
   * attempts, whichever team they belong to. Without this bound, a team with a limit started nothing while a single machine
   * had not sent a heartbeat to a new leader. Tasks listed only by an older heartbeat may be any team's: a delayed copy of
   * one team's tasks hid another team's (fault scenario `quota`).
   */
  addUnverified(type: MachineType | null, machine: Machine): void {
    const free = type === null ? { cores: Infinity, gpus: Infinity } : machine.freeBesideConfirmed(type);
    this.unverified.cores += Math.max(0, free.cores);
    this.unverified.gpus += Math.max(0, free.gpus);
  }

  /** Adds the usage of `times` tasks of the job to its team. */
  add(spec: JobSpec, times: number): void {
    this.addAmounts(spec.team, spec.cores * times, spec.gpus * times);
  }

  /** Adds amounts to a team's confirmed usage. */
  addAmounts(team: string, cores: number, gpus: number): void {
    this.cores.set(team, (this.cores.get(team) ?? 0) + cores);
    this.gpus.set(team, (this.gpus.get(team) ?? 0) + gpus);
  }

  /** Number of further tasks of the job that the team's limits allow; 0 for an unknown team. */
  remainingTasks(spec: JobSpec, team: Team | undefined): number {
    if (team === undefined) return 0;
    const usedCores = (this.cores.get(spec.team) ?? 0) + this.unverified.cores;
    const usedGpus = (this.gpus.get(spec.team) ?? 0) + this.unverified.gpus;
    const byCores = tasksWithinLimit(team.maxCores, usedCores, spec.cores);
    const byGpus = tasksWithinLimit(team.maxGpus, usedGpus, spec.gpus);
    return Math.max(0, Math.min(byCores, byGpus));
  }
}

/** Jobs that fit into their team's guarantee together with the team's earlier active jobs. */
export const guaranteedJobs = (jobs: readonly ActiveJob[], teams: readonly Team[]): Set<ActiveJob> => {
  const guaranteed = new Set<ActiveJob>();
  const demandByTeam = new Map<string, { cores: number; gpus: number }>();
  const byAge = jobs
    .filter((job) => job.phase === 'active' && !job.blockedOnDependencies && job.admissionHold === null)
    .sort((one, other) => one.acceptedAt - other.acceptedAt);
  for (const job of byAge) {
    const { team: name, tasks, cores, gpus } = job.spec;
    const team = teams.find((candidate) => candidate.name === name);
    if (team === undefined || (team.guaranteedCores <= 0 && team.guaranteedGpus <= 0)) continue;
    const demand = demandByTeam.get(name) ?? { cores: 0, gpus: 0 };
    demand.cores += cores * tasks;
    demand.gpus += gpus * tasks;
    demandByTeam.set(name, demand);
    if (isWithinGuarantee(team, demand)) guaranteed.add(job);
  }
  return guaranteed;
};

/**
 * Jobs in fair-share order: first those within their team's guarantee, which need not wait for capacity that other teams
 * borrow; then by priority; then in rounds, with each team's oldest remaining job in each round.
 */
export const fairShareOrder = (jobs: readonly ActiveJob[], teams: readonly Team[]): ActiveJob[] => {
  const guaranteed = guaranteedJobs(jobs, teams);
  const byAge = [...jobs].sort(
    (one, other) => one.acceptedAt - other.acceptedAt || (one.id < other.id ? -1 : 1),
  );
  const rounds = new Map<string, number>();
  const rows = byAge.map((job) => {
    const key = `${job.priority}|${job.spec.team}`;
    const round = rounds.get(key) ?? 0;
    rounds.set(key, round + 1);
    return { job, round, isGuaranteed: guaranteed.has(job) };
  });
  rows.sort(
    (one, other) =>
      Number(other.isGuaranteed) - Number(one.isGuaranteed) ||
      other.job.priority - one.job.priority ||
      one.round - other.round ||
      one.job.acceptedAt - other.job.acceptedAt,
  );
  return rows.map((row) => row.job);
};
