/** Helpers for tests on the simulated cluster: quotas, seed ranges, rule violations and unfinished jobs. */
import type { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';

/** The TOML settings of a team with a quota of `cores` cores. */
export const teamQuota = (cores: number, team = 't'): string =>
  `[[cluster.teams]]\nname = "${team}"\ncpus_max = ${cores}.0\n`;

/** The rule violations that the simulation recorded, without duplicates. */
export const violationsOf = (simulation: ClusterSimulation): string[] => [...new Set(simulation.violations)];

/** Those of the given jobs that have not ended according to the last answer to their users. */
export const unfinishedJobs = (simulation: ClusterSimulation, ids: readonly string[]): string[] =>
  ids.filter((id) => !['done', 'cancelled'].includes(simulation.stageOf(id) ?? ''));

/** The first and last seed to run: `FROM-TO` from an environment variable, or `defaultRange` if it is not set. */
export const seedRange = (variable: string, defaultRange = '1-3'): readonly [number, number] =>
  (process.env[variable] ?? defaultRange).split('-').map(Number) as [number, number];
