/** Worlds with budgets on, and what their records say. */
import { Budgets } from '@shaleyoke/budgets/feature';
import { type BooksView, viewBooks } from '@shaleyoke/budgets/reader';
import { parseBudgets } from '@shaleyoke/budgets/settings';
import type { Team } from '@shaleyoke/core/domain/settings';
import { SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import type { Random } from '@shaleyoke/emulator/random';

export const teams = (names: readonly string[]): Team[] =>
  names.map((name) => ({ name, guaranteedCores: 0, maxCores: 0, guaranteedGpus: 0, maxGpus: 0 }));
export const TEAMS: Team[] = teams(['t', 'u']);
export const settings = (limits = '', of = TEAMS): ReturnType<typeof parseBudgets> =>
  parseBudgets(`version: 1\ncurrency: EUR\nzone: Europe/Warsaw\n${limits}`, of, 'budgets');

export interface Played {
  readonly w: ClusterSimulation;
  /** The books of whoever leads, or led last. */
  readonly books: () => import('@shaleyoke/budgets/books').Ledger | undefined;
}

export const play = (
  r: Random,
  limits = '',
  perZone = 4,
  next = '',
  wallStart = Date.UTC(2026, 11, 1, 12) * 1000,
  of = TEAMS,
): Played => {
  const all: Budgets[] = [];
  const w = new ClusterSimulation(
    r,
    3,
    of.map((t) => `[[cluster.teams]]\nname = "${t.name}"\n`).join(''),
    1e9,
    perZone,
    next,
    () => {
      const b = new Budgets(settings(limits, of));
      all.push(b);
      return [b];
    },
    wallStart,
  );
  return {
    w,
    books: () => {
      let newest: Budgets['current'] = null;
      for (const b of all)
        if (b.current !== null && (newest === null || b.current.termNumber > newest.termNumber))
          newest = b.current;
      return newest?.ledger;
    },
  };
};

export const view = (w: ClusterSimulation): BooksView =>
  viewBooks(
    w.keys('b/').map((key) => ({ key, value: structuredClone(w.value(key)), version: 1, lease: null })),
  );

export const chargedUs = (v: BooksView, id: string): number =>
  v.lines.filter((l) => l.job === id).reduce((sum, l) => sum + l.charge.us, 0);
export const chargedMoney = (v: BooksView, id: string): number =>
  v.lines.filter((l) => l.job === id).reduce((sum, l) => sum + l.charge.money, 0);

/** Seen late by a report, at most: each attempt's begin, and its end. */
export const REPORT = 4.2 * SECOND;
