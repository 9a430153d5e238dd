/** What the tests on the simulated cluster share: quotas, seeds to run, and the rules that were broken. */
import type { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';

/** Settings of the team `t` with a quota of so many cores. */
export const teamQuota = (cores: number, team = 't'): string =>
  `[[cluster.teams]]\nname = "${team}"\ncpus_max = ${cores}.0\n`;

/** Rules that the simulation saw broken, each once. */
export const violationsOf = (simulation: ClusterSimulation): string[] => [...new Set(simulation.broken)];

/** Those of the jobs that have not ended, as their users were last told. */
export const unfinishedJobs = (simulation: ClusterSimulation, ids: readonly string[]): string[] =>
  ids.filter((id) => !['done', 'cancelled'].includes(simulation.stageOf(id) ?? ''));

/** First and last seed to run: `FROM-TO` from an environment variable, or `standard` without it. */
export const seedRange = (variable: string, standard = '1-3'): readonly [number, number] =>
  (process.env[variable] ?? standard).split('-').map(Number) as [number, number];
