/** Cluster simulations with budgets, and views of their records. */
import { Budgets } from '@shaleyoke/budgets/feature';
import { buildLedgerView, type LedgerView } from '@shaleyoke/budgets/reader';
import { parseBudgets } from '@shaleyoke/budgets/settings';
import type { Team } from '@shaleyoke/core/domain/settings';
import { SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import type { Random } from '@shaleyoke/emulator/random';

/** Teams without core or GPU quotas. */
export const teamsNamed = (names: readonly string[]): Team[] =>
  names.map((name) => ({ name, guaranteedCores: 0, maxCores: 0, guaranteedGpus: 0, maxGpus: 0 }));
/** The owners of most tests. */
export const TEAMS: Team[] = teamsNamed(['t', 'u']);
/** Settings for the owners. `limits`: further lines of the YAML file. */
export const budgetSettings = (limits = '', owners = TEAMS): ReturnType<typeof parseBudgets> =>
  parseBudgets(`version: 1\ncurrency: EUR\nzone: Europe/Warsaw\n${limits}`, owners, 'budgets');

/** A simulated cluster whose controllers have budgets. */
export interface BudgetSimulation {
  readonly simulation: ClusterSimulation;
  /** The ledger of the newest term. */
  readonly currentLedger: () => import('@shaleyoke/budgets/ledger').Ledger | undefined;
}

/**
 * Sets up a simulation of three controllers with budgets. `limits`: as for `budgetSettings`; `stateLimits`: lines of
 * the settings with the limits of the state service; `wallStart`: time at the start, in microseconds since the epoch.
 */
export const simulateBudgets = (
  random: Random,
  limits = '',
  perZone = 4,
  stateLimits = '',
  wallStart = Date.UTC(2026, 11, 1, 12) * 1000,
  owners = TEAMS,
): BudgetSimulation => {
  const all: Budgets[] = [];
  const simulation = new ClusterSimulation(
    random,
    3,
    owners.map((t) => `[[cluster.teams]]\nname = "${t.name}"\n`).join(''),
    1e9,
    perZone,
    stateLimits,
    () => {
      const feature = new Budgets(budgetSettings(limits, owners));
      all.push(feature);
      return [feature];
    },
    wallStart,
  );
  return {
    simulation,
    currentLedger: () => {
      let newest: Budgets['current'] = null;
      for (const feature of all)
        if (feature.current !== null && (newest === null || feature.current.termNumber > newest.termNumber))
          newest = feature.current;
      return newest?.ledger;
    },
  };
};

/** What the ledger's records in the simulated state service say now. */
export const recordedView = (simulation: ClusterSimulation): LedgerView =>
  buildLedgerView(
    simulation
      .keys('b/')
      .map((key) => ({ key, value: structuredClone(simulation.value(key)), version: 1, lease: null })),
  );

/** Charged run time of a job, in microseconds. */
export const chargedUs = (view: LedgerView, id: string): number =>
  view.lines.filter((l) => l.job === id).reduce((sum, l) => sum + l.charge.runUs, 0);
/** Amount charged for a job. */
export const chargedMoney = (view: LedgerView, id: string): number =>
  view.lines.filter((l) => l.job === id).reduce((sum, l) => sum + l.charge.money, 0);

/** By how much the start and the end of an attempt are reported late, at most. */
export const MAX_REPORT_DELAY = 4.2 * SECOND;
