/** Rebuilds the ledger from its records for tools, which only read. */
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';

import {
  addCharge,
  type Charge,
  PLATFORM_REASONS,
  type PlatformReason,
  zeroCharge,
  zeroPlatformCosts,
} from './ledger.js';
import type { Money } from './money.js';
import { attemptsOf } from './packing.js';
import {
  chargeOf,
  CLOSED_PREFIX,
  type ClosedRecord,
  digestOf,
  type Head,
  HEAD_KEY,
  JOURNAL_PREFIX,
  journalKey,
  type LimitRecord,
  LIMITS_PREFIX,
  OPEN_PREFIX,
  OWNERS_PREFIX,
  readClosed,
  readHead,
  readJournal,
  readLimit,
  readOpen,
  readOwners,
} from './records.js';

/** What a job was charged in a month, from the journal or from an open page. */
export interface ChargeLine {
  readonly job: string;
  readonly jobClass: string;
  readonly owner: string;
  readonly month: string;
  readonly charge: Readonly<Charge>;
  /** Whether the journal says that the job can no longer be charged. */
  readonly jobComplete: boolean;
}

/** A job whose amounts may still change. */
export interface OpenJobView {
  readonly job: string;
  readonly owner: string;
  readonly jobClass: string;
  readonly service: boolean;
  /** The estimated total cost; null if the job has not been admitted. */
  readonly commitment: Money | null;
  /** Accrued by running attempts and not yet charged. */
  readonly pending: Money;
  /** Number of running tasks. */
  readonly running: number;
}

/** The content of all records that were read. */
export interface LedgerView {
  /** With the owners of all pages; null if it is missing or can't be read. */
  readonly head: Head | null;
  /** One entry for each job and month. */
  readonly lines: readonly ChargeLine[];
  /** Jobs on open pages. */
  readonly open: readonly OpenJobView[];
  /** Limits that operators set, by owner. */
  readonly limits: ReadonlyMap<string, LimitRecord>;
  /** All closed months of all owners. */
  readonly closed: readonly ClosedRecord[];
  /** Faults of the records themselves; empty if there are none. */
  readonly problems: readonly string[];
}

/** Adds the owners of separate pages to the head. */
const withOwners = (head: Head, items: readonly StoredItem[], problems: string[]): Head => {
  let all = head;
  for (const item of items.filter((x) => x.key.startsWith(OWNERS_PREFIX))) {
    const page = readOwners(item.value);
    if (page === null) problems.push(`${item.key}: can't be read`);
    else
      all = {
        ...all,
        m: { ...page.m, ...all.m },
        z: { ...page.z, ...all.z },
        c: { ...page.c, ...all.c },
        t: { ...page.t, ...all.t },
      };
  }
  return all;
};

/**
 * Decodes the records and checks the chain of the journal. `items`: the records under `b/`, in any order; `first`:
 * number of the first journal page among them.
 */
export const buildLedgerView = (items: readonly StoredItem[], first = 0): LedgerView => {
  const problems: string[] = [];
  const lines: ChargeLine[] = [];
  const open: OpenJobView[] = [];
  const limits = new Map<string, LimitRecord>();
  const closed: ClosedRecord[] = [];
  const headItem = items.find((it) => it.key === HEAD_KEY);
  const storedHead = headItem === undefined ? null : readHead(headItem.value);
  if (headItem !== undefined && storedHead === null) problems.push(`${HEAD_KEY}: can't be read`);
  const head = storedHead === null ? null : withOwners(storedHead, items, problems);
  const inJournal = new Map<string, Set<string>>();
  const completeJobs = new Set<string>();
  let previousDigest: string | null = null;
  let expected = first;
  for (const item of items
    .filter((x) => x.key.startsWith(JOURNAL_PREFIX))
    .sort((a, b) => (a.key < b.key ? -1 : 1))) {
    const page = readJournal(item.value);
    if (page === null) {
      problems.push(`${item.key}: can't be read`);
      previousDigest = null;
      expected++;
      continue;
    }
    if (item.key !== journalKey(expected) || page.n !== expected)
      problems.push(`${item.key}: expected page ${expected} of the journal`);
    if (previousDigest !== null && page.prev !== previousDigest)
      problems.push(`${item.key}: does not follow the page before; one of them was changed`);
    previousDigest = digestOf(page);
    expected = page.n + 1;
    for (const [job, owner, jobClass, months, final] of page.rows) {
      const journaledMonths = inJournal.get(job) ?? new Set<string>();
      inJournal.set(job, journaledMonths);
      if (final === 1) completeJobs.add(job);
      for (const row of months) {
        if (journaledMonths.has(row[0]))
          problems.push(`${item.key}: ${job} stands in the journal twice for ${row[0]}`);
        journaledMonths.add(row[0]);
        lines.push({ job, jobClass, owner, month: row[0], charge: chargeOf(row), jobComplete: final === 1 });
      }
    }
  }
  // The journal may have grown since the head was read, but it must reach the page that the head names.
  if (head !== null && first === 0 && head.j.last > Math.max(0, expected - 1))
    problems.push(`${HEAD_KEY}: names page ${head.j.last} as the last of the journal; there are ${expected}`);
  const seen = new Set<string>();
  for (const item of items) {
    if (item.key.startsWith(OPEN_PREFIX)) {
      const page = readOpen(item.value);
      if (page === null) problems.push(`${item.key}: can't be read`);
      for (const [job, row] of Object.entries(page?.jobs ?? {})) {
        // During a flush, or after a crash in one, a job may be here and also in the journal or on another page.
        if (completeJobs.has(job) || seen.has(job)) continue;
        seen.add(job);
        const [owner, jobClass, service, commit, months] = row;
        for (const monthlyRow of months)
          if (inJournal.get(job)?.has(monthlyRow[0]) !== true)
            lines.push({
              job,
              jobClass,
              owner,
              month: monthlyRow[0],
              charge: chargeOf(monthlyRow),
              jobComplete: false,
            });
        const attempts = attemptsOf(row);
        open.push({
          job,
          owner,
          jobClass,
          service: service === 1,
          commitment: commit,
          pending: attempts.reduce((sum, a) => sum + a.money, 0),
          running: new Set(attempts.map((a) => a.index)).size,
        });
      }
    } else if (item.key.startsWith(LIMITS_PREFIX)) {
      const record = readLimit(item.value);
      if (record === null) problems.push(`${item.key}: can't be read`);
      else limits.set(item.key.slice(LIMITS_PREFIX.length), record);
    } else if (item.key.startsWith(CLOSED_PREFIX)) {
      const record = readClosed(item.value);
      if (record === null) problems.push(`${item.key}: can't be read`);
      else closed.push(record);
    }
  }
  return { head, lines, open, limits, closed, problems };
};

/** Total charges by owner and month. */
export const totalsOf = (lines: readonly ChargeLine[]): Map<string, Map<string, Charge>> => {
  const totals = new Map<string, Map<string, Charge>>();
  for (const line of lines) {
    const months = totals.get(line.owner) ?? new Map<string, Charge>();
    totals.set(line.owner, months);
    const sum = months.get(line.month) ?? zeroCharge();
    months.set(line.month, sum);
    addCharge(sum, line.charge);
  }
  return totals;
};

/** Where the cost of all machines has gone. */
export interface Balance {
  /** The recorded total cost. */
  readonly cost: Money;
  /** Charged to all owners. */
  readonly charged: Money;
  /** Paid by the platform, by reason. */
  readonly platform: Readonly<Record<PlatformReason, Money>>;
  /** Cost less charges and platform costs: pending, or not yet recorded by a flush in progress. */
  readonly pending: Money;
}

/** Compares the recorded total cost with charges and platform costs. */
export const balanceOf = (view: LedgerView): Balance => {
  const platform = zeroPlatformCosts();
  let rest = view.head?.cost ?? 0;
  let charged = 0;
  for (const line of view.lines) charged += line.charge.money;
  for (const reason of PLATFORM_REASONS) {
    platform[reason] = view.head?.p[reason] ?? 0;
    rest -= platform[reason];
  }
  return { cost: view.head?.cost ?? 0, charged, platform, pending: rest - charged };
};

/** Recomputes the sums of the head and of closed months from the charges; returns each difference, or none. */
export const verifyLedger = (view: LedgerView): string[] => {
  const differences = [...view.problems];
  const { head } = view;
  if (head === null) return differences;
  // The head's sums cover the journal alone, not the open pages.
  const journaled = new Map<string, Charge>();
  const journal = view.lines.filter((l) => l.jobComplete || l.month <= (head.z[l.owner] ?? ''));
  for (const [owner, months] of totalsOf(journal))
    for (const [month, charge] of months) journaled.set(`${owner} ${month}`, charge);
  for (const [owner, rows] of Object.entries(head.m))
    for (const row of rows) {
      const expected = chargeOf(row);
      let actual = journaled.get(`${owner} ${row[0]}`) ?? zeroCharge();
      if (row[0] === '') {
        // The sum of all months that have no row of their own in the head.
        const named = new Set(rows.map((r) => r[0]));
        actual = zeroCharge();
        for (const [key, charge] of journaled) {
          const [jobOwner, month] = key.split(' ');
          if (jobOwner === owner && !named.has(month!)) actual.money += charge.money;
        }
      }
      if (actual.money !== expected.money)
        differences.push(
          `${owner} ${row[0] || 'older months'}: the head says ${expected.money}, its jobs ${actual.money}`,
        );
    }
  for (const record of view.closed) {
    const sum = journaled.get(`${record.owner} ${record.month}`)?.money ?? 0;
    if (sum !== record.row[1])
      differences.push(`${record.owner} ${record.month}: closed at ${record.row[1]}, its jobs say ${sum}`);
  }
  const pending = view.open.reduce((sum, o) => sum + o.pending, 0);
  const balance = balanceOf(view);
  if (balance.pending !== pending)
    differences.push(
      `pending: cost less charges less the platform's account is ${balance.pending}, attempts say ${pending}`,
    );
  return differences;
};
