/** What the tests on the simulated cluster share: quotas, seeds to run, and the rules that were broken. */
import type { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';

/** Settings of the team `t` with a quota of so many cores. */
export const teamQuota = (cores: number, team = 't'): string =>
  `[[cluster.teams]]\nname = "${team}"\ncpus_max = ${cores}.0\n`;

/** Rules that the simulation saw broken, each once. */
export const violationsOf = (simulation: ClusterSimulation): string[] => [...new Set(simulation.broken)];

/** First and last seed to run: `FROM-TO` from an environment variable, 1 to 3 without it. */
export const seedRange = (variable: string): readonly [number, number] =>
  (process.env[variable] ?? '1-3').split('-').map(Number) as [number, number];
