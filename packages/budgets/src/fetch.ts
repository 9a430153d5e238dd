/** Reads the ledger's records for tools, in an order in which no charge that moves between records is missed. */
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';

import { buildLedgerView, type LedgerView } from './reader.js';
import {
  CLOSED_PREFIX,
  HEAD_KEY,
  JOURNAL_PREFIX,
  journalKey,
  LIMITS_PREFIX,
  OPEN_PREFIX,
  OWNERS_PREFIX,
  readClosed,
} from './records.js';

/** What tools need of the state service. Each method throws if the service doesn't answer. */
export interface StoreAccess {
  /** All items under a prefix with keys after `after` and up to `until`, ordered by key. */
  list(prefix: string, after?: string, until?: string): Promise<readonly StoredItem[]>;
  /** The item of a key, or null if there is none. */
  get(key: string): Promise<StoredItem | null>;
  /** Writes by compare-and-set; version 0: the key must not exist. False: the version has changed meanwhile. */
  put(key: string, value: unknown, version: number): Promise<boolean>;
}

/**
 * Reads the head first: the pages that it names exist from then on. Reads open pages before the journal: jobs move from
 * the former to the latter while the leader serves, and in the other order a job could be found on neither.
 */
const readItems = async (
  service: StoreAccess,
  closed: readonly StoredItem[],
  after?: string,
  until?: string,
): Promise<StoredItem[]> => {
  const head = await service.get(HEAD_KEY);
  const owners = await service.list(OWNERS_PREFIX);
  const open = await service.list(OPEN_PREFIX);
  const journal = await service.list(JOURNAL_PREFIX, after, until);
  const limits = await service.list(LIMITS_PREFIX);
  return [...owners, ...open, ...journal, ...limits, ...closed, ...(head === null ? [] : [head])];
};

/** Reads all records. */
export const readLedger = async (service: StoreAccess): Promise<LedgerView> =>
  buildLedgerView(await readItems(service, await service.list(CLOSED_PREFIX)));

/**
 * Reads what a statement of one month needs. `from`: the month's first moment. The journal is read from the
 * page that was its last one when a month was closed before this one began, up to the page that was its last one when
 * this month was closed, so that years of journal aren't read for one month.
 */
export const readLedgerOfMonth = async (
  service: StoreAccess,
  owner: string,
  month: string,
  from: number,
): Promise<LedgerView> => {
  const closed = await service.list(CLOSED_PREFIX);
  let first = 0;
  let last: number | null = null;
  for (const item of closed) {
    const record = readClosed(item.value);
    if (record === null) continue;
    if (record.at < from) first = Math.max(first, record.last);
    if (record.owner === owner && record.month === month) last = record.last;
  }
  const after = first === 0 ? undefined : journalKey(first - 1);
  const until = last === null ? undefined : journalKey(last);
  const items = await readItems(service, closed, after, until);
  const view = buildLedgerView(items, first);
  if (last === null) return view;
  // The lines of a closed month must add up to the recorded sum.
  const record = view.closed.find((c) => c.owner === owner && c.month === month)!;
  const sum = view.lines
    .filter((l) => l.owner === owner && l.month === month)
    .reduce((n, l) => n + l.charge.money, 0);
  if (sum === record.row[1]) return view;
  const problem = `${owner} ${month}: closed at ${record.row[1]}, its jobs say ${sum}`;
  return { ...view, problems: [...view.problems, problem] };
};
