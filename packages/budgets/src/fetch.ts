/** Reads the books for tools: as much as is asked for, in an order in which nothing that moves is missed. */
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';

import { type BooksView, viewBooks } from './reader.js';
import { CLOSED, HEAD, JOURNAL, journalKey, LIMITS, OPEN, OWNERS, readClosed } from './records.js';

/** The state service, as tools need it. Each throws if it does not answer. */
export interface Service {
  /** All items under a prefix, of keys after `after` and not after `until`, in the order of their keys. */
  list(prefix: string, after?: string, until?: string): Promise<readonly StoredItem[]>;
  get(key: string): Promise<StoredItem | null>;
  /** By compare-and-set; 0: the key must not exist. False: somebody else was faster. */
  put(key: string, value: unknown, version: number): Promise<boolean>;
}

/**
 * The head comes first: all that it names is there from then on. A job goes from its open page to the journal while the leader serves: who read the journal first, and then the
 * open pages, could find it on neither.
 */
const read = async (
  service: Service,
  closed: readonly StoredItem[],
  after?: string,
  until?: string,
): Promise<StoredItem[]> => {
  const head = await service.get(HEAD);
  const owners = await service.list(OWNERS);
  const open = await service.list(OPEN);
  const journal = await service.list(JOURNAL, after, until);
  const limits = await service.list(LIMITS);
  return [...owners, ...open, ...journal, ...limits, ...closed, ...(head === null ? [] : [head])];
};

/** All books on record. */
export const allBooks = async (service: Service): Promise<BooksView> =>
  viewBooks(await read(service, await service.list(CLOSED)));

/**
 * What a statement of one month rests on. `from`: the month's first moment. A page that was on record when an
 * earlier month was closed, before this one began, holds nothing of it; nor does one after its own closing. Years
 * of journal are not read for one month.
 */
export const booksOfMonth = async (
  service: Service,
  owner: string,
  month: string,
  from: number,
): Promise<BooksView> => {
  const closed = await service.list(CLOSED);
  let first = 0;
  let last: number | null = null;
  for (const it of closed) {
    const c = readClosed(it.value);
    if (c === null) continue;
    if (c.at < from) first = Math.max(first, c.last);
    if (c.owner === owner && c.month === month) last = c.last;
  }
  const after = first === 0 ? undefined : journalKey(first - 1);
  const until = last === null ? undefined : journalKey(last);
  const items = await read(service, closed, after, until);
  const view = viewBooks(items, first);
  if (last === null) return view;
  // Closed: what its lines add up to must be what was closed.
  const record = view.closed.find((c) => c.owner === owner && c.month === month)!;
  const sum = view.lines
    .filter((l) => l.owner === owner && l.month === month)
    .reduce((n, l) => n + l.charge.money, 0);
  if (sum === record.row[1]) return view;
  const problem = `${owner} ${month}: closed at ${record.row[1]}, its jobs say ${sum}`;
  return { ...view, problems: [...view.problems, problem] };
};
