/** The books as the records tell them: for tools, which read and change nothing. */
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';

import { addCharge, type Charge, noCharge, noReasons, type Reason, REASONS } from './books.js';
import type { Money } from './money.js';
import { attemptsOf } from './packing.js';
import {
  chargeOf,
  CLOSED,
  type ClosedRecord,
  digestOf,
  HEAD,
  type Head,
  JOURNAL,
  journalKey,
  type LimitRecord,
  LIMITS,
  OPEN,
  OWNERS,
  readClosed,
  readHead,
  readJournal,
  readLimit,
  readOpen,
  readOwners,
} from './records.js';

/** What a job was charged in a month. `over`: nothing more will come. */
export interface Line {
  readonly job: string;
  readonly cls: string;
  readonly owner: string;
  readonly month: string;
  readonly charge: Readonly<Charge>;
  readonly over: boolean;
}

export interface OpenView {
  readonly job: string;
  readonly owner: string;
  readonly cls: string;
  readonly service: boolean;
  readonly commit: Money | null;
  readonly pending: Money;
  readonly running: number;
}

export interface BooksView {
  readonly head: Head | null;
  readonly lines: readonly Line[];
  readonly open: readonly OpenView[];
  readonly limits: ReadonlyMap<string, LimitRecord>;
  readonly closed: readonly ClosedRecord[];
  /** What is wrong with the records themselves; empty if nothing is. */
  readonly problems: readonly string[];
}

/** The head with the owners that stand on pages of their own. */
const withOwners = (head: Head, items: readonly StoredItem[], problems: string[]): Head => {
  let all = head;
  for (const it of items.filter((x) => x.key.startsWith(OWNERS))) {
    const page = readOwners(it.value);
    if (page === null) problems.push(`${it.key}: can't be read`);
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
 * `items`: what stands under `b/`, in any order; `first`: the page at which what was read of the journal begins.
 */
export const viewBooks = (items: readonly StoredItem[], first = 0): BooksView => {
  const problems: string[] = [];
  const lines: Line[] = [];
  const open: OpenView[] = [];
  const limits = new Map<string, LimitRecord>();
  const closed: ClosedRecord[] = [];
  const headItem = items.find((it) => it.key === HEAD);
  const main = headItem === undefined ? null : readHead(headItem.value);
  if (headItem !== undefined && main === null) problems.push(`${HEAD}: can't be read`);
  const head = main === null ? null : withOwners(main, items, problems);
  const inJournal = new Map<string, Set<string>>();
  const over = new Set<string>();
  let before: string | null = null;
  let expected = first;
  for (const it of items.filter((x) => x.key.startsWith(JOURNAL)).sort((a, b) => (a.key < b.key ? -1 : 1))) {
    const page = readJournal(it.value);
    if (page === null) {
      problems.push(`${it.key}: can't be read`);
      before = null;
      expected++;
      continue;
    }
    if (it.key !== journalKey(expected) || page.n !== expected)
      problems.push(`${it.key}: expected page ${expected} of the journal`);
    if (before !== null && page.prev !== before)
      problems.push(`${it.key}: does not follow the page before; one of them was changed`);
    before = digestOf(page);
    expected = page.n + 1;
    for (const [job, owner, cls, months, final] of page.rows) {
      const known = inJournal.get(job) ?? new Set<string>();
      inJournal.set(job, known);
      if (final === 1) over.add(job);
      for (const m of months) {
        if (known.has(m[0])) problems.push(`${it.key}: ${job} stands in the journal twice for ${m[0]}`);
        known.add(m[0]);
        lines.push({ job, cls, owner, month: m[0], charge: chargeOf(m), over: final === 1 });
      }
    }
  }
  // Pages may be added while they are read; one that is missing at the end is known from the head.
  if (head !== null && first === 0 && head.j.last > Math.max(0, expected - 1))
    problems.push(`${HEAD}: names page ${head.j.last} as the last of the journal; there are ${expected}`);
  const seen = new Set<string>();
  for (const it of items) {
    if (it.key.startsWith(OPEN)) {
      const page = readOpen(it.value);
      if (page === null) problems.push(`${it.key}: can't be read`);
      for (const [job, row] of Object.entries(page?.jobs ?? {})) {
        // A flush that is under way, or was cut short, leaves a job here that stands elsewhere already.
        if (over.has(job) || seen.has(job)) continue;
        seen.add(job);
        const [owner, cls, service, commit, months] = row;
        for (const m of months)
          if (inJournal.get(job)?.has(m[0]) !== true)
            lines.push({ job, cls, owner, month: m[0], charge: chargeOf(m), over: false });
        const attempts = attemptsOf(row);
        open.push({
          job,
          owner,
          cls,
          service: service === 1,
          commit,
          pending: attempts.reduce((sum, a) => sum + a.money, 0),
          running: new Set(attempts.map((a) => a.index)).size,
        });
      }
    } else if (it.key.startsWith(LIMITS)) {
      const record = readLimit(it.value);
      if (record === null) problems.push(`${it.key}: can't be read`);
      else limits.set(it.key.slice(LIMITS.length), record);
    } else if (it.key.startsWith(CLOSED)) {
      const record = readClosed(it.value);
      if (record === null) problems.push(`${it.key}: can't be read`);
      else closed.push(record);
    }
  }
  return { head, lines, open, limits, closed, problems };
};

/** Charged in all, by owner and month. */
export const totalsOf = (lines: readonly Line[]): Map<string, Map<string, Charge>> => {
  const totals = new Map<string, Map<string, Charge>>();
  for (const l of lines) {
    const months = totals.get(l.owner) ?? new Map<string, Charge>();
    totals.set(l.owner, months);
    const c = months.get(l.month) ?? noCharge();
    months.set(l.month, c);
    addCharge(c, l.charge);
  }
  return totals;
};

export interface Balance {
  readonly cost: Money;
  readonly charged: Money;
  readonly platform: Readonly<Record<Reason, Money>>;
  /** Cost less the two: pending, and what a flush under way has not put on record. */
  readonly pending: Money;
}

export const balanceOf = (view: BooksView): Balance => {
  const platform = noReasons();
  let rest = view.head?.cost ?? 0;
  let charged = 0;
  for (const l of view.lines) charged += l.charge.money;
  for (const r of REASONS) {
    platform[r] = view.head?.p[r] ?? 0;
    rest -= platform[r];
  }
  return { cost: view.head?.cost ?? 0, charged, platform, pending: rest - charged };
};

/**
 * Rebuilds what the head says from the facts, and names each difference. Empty: the books agree.
 */
export const verifyBooks = (view: BooksView): string[] => {
  const out = [...view.problems];
  const { head } = view;
  if (head === null) return out;
  // The head sums up the journal alone: jobs that have not ended stand on pages of their own.
  const journaled = new Map<string, Charge>();
  const journal = view.lines.filter((l) => l.over || l.month <= (head.z[l.owner] ?? ''));
  for (const [owner, months] of totalsOf(journal))
    for (const [month, c] of months) journaled.set(`${owner} ${month}`, c);
  for (const [owner, rows] of Object.entries(head.m))
    for (const row of rows) {
      const want = chargeOf(row);
      let have = journaled.get(`${owner} ${row[0]}`) ?? noCharge();
      if (row[0] === '') {
        // All months that the head does not name one by one.
        const named = new Set(rows.map((r) => r[0]));
        have = noCharge();
        for (const [key, c] of journaled) {
          const [o, month] = key.split(' ');
          if (o === owner && !named.has(month!)) have.money += c.money;
        }
      }
      if (have.money !== want.money)
        out.push(`${owner} ${row[0] || 'older months'}: the head says ${want.money}, its jobs ${have.money}`);
    }
  for (const s of view.closed) {
    const sum = journaled.get(`${s.owner} ${s.month}`)?.money ?? 0;
    if (sum !== s.row[1]) out.push(`${s.owner} ${s.month}: closed at ${s.row[1]}, its jobs say ${sum}`);
  }
  const pending = view.open.reduce((sum, o) => sum + o.pending, 0);
  const b = balanceOf(view);
  if (b.pending !== pending)
    out.push(
      `pending: cost less charges less the platform's account is ${b.pending}, attempts say ${pending}`,
    );
  return out;
};
