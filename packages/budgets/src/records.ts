/** What the state service holds of the books (docs/budgets.md). What can't be read is null, never nothing. */
import { createHash } from 'node:crypto';

import { reader } from '@shaleyoke/config/checked';
import canonicalize from 'canonicalize';
import { Schema } from 'effect';

import type { Charge } from './books.js';

export const HEAD = 'b/head';
export const OPEN = 'b/o/';
export const OWNERS = 'b/a/';
export const JOURNAL = 'b/j/';
export const LIMITS = 'b/l/';
export const CLOSED = 'b/s/';
export const openKey = (n: number): string => `${OPEN}${n}`;
export const ownersKey = (n: number): string => `${OWNERS}${n}`;
export const journalKey = (n: number): string => `${JOURNAL}${String(n).padStart(9, '0')}`;
export const limitKey = (owner: string): string => `${LIMITS}${owner}`;
export const closedKey = (owner: string, month: string): string => `${CLOSED}${owner}/${month}`;

const Int = Schema.Int;
const Natural = Schema.NonNegativeInt;

/** Month, money, time, money not charged, stops, of the money: late. */
const MonthRow = Schema.Tuple(Schema.String, Natural, Natural, Natural, Natural, Natural);
export type MonthRow = typeof MonthRow.Type;

/** Accounts of some owners. */
const Owners = {
  /** By owner: months of jobs in the journal; under no name all that are older. */
  m: Schema.Record({ key: Schema.String, value: Schema.Array(MonthRow) }),
  /** By owner: the last month whose statement is closed. */
  z: Schema.Record({ key: Schema.String, value: Schema.String }),
  /** By owner: a month, and the overrun of the one before that comes off it. */
  c: Schema.Record({ key: Schema.String, value: Schema.Tuple(Schema.String, Natural) }),
  /** By owner: the month in which the soft limit was told. */
  t: Schema.Record({ key: Schema.String, value: Schema.String }),
};
/** Owners that have no room in the head; written in one transaction with it. */
const OwnersPage = Schema.Struct({
  v: Schema.Literal(1),
  /** Number of the flush that wrote it. */
  f: Natural,
  ...Owners,
});

const Head = Schema.Struct({
  v: Schema.Literal(1),
  /** Number of the flush that wrote it. */
  f: Natural,
  /** All is accounted up to this moment, microseconds of time of day. */
  w: Natural,
  cost: Natural,
  p: Schema.Struct({ boot: Int, unused: Int, lost: Int, stopped: Int, unseen: Int, takeover: Int }),
  ...Owners,
  /** Journal: the page at which this flush began, the last page, the digest of the page before that. */
  j: Schema.Struct({ from: Natural, last: Natural, prev: Schema.String }),
});
export type Head = typeof Head.Type;
export type OwnersPart = { -readonly [K in keyof typeof Owners]: Record<string, Head[K][string]> };

/** Owner, class, whether a service, commitment, months, runs of attempts. */
const OpenRow = Schema.Tuple(
  Schema.String,
  Schema.String,
  Schema.Literal(0, 1),
  Schema.NullOr(Natural),
  Schema.Array(MonthRow),
  /** Month, first attempt, step from one to the next (0 or 1), first task, then pending money and time of each. */
  Schema.Array(Schema.Tuple([Schema.String, Natural, Schema.Literal(0, 1), Natural], Natural)),
);
export type OpenRow = typeof OpenRow.Type;
const OpenPage = Schema.Struct({
  v: Schema.Literal(1),
  jobs: Schema.Record({ key: Schema.String, value: OpenRow }),
});
export type OpenPage = typeof OpenPage.Type;

const JournalRow = Schema.Tuple(
  Schema.String,
  Schema.String,
  Schema.String,
  Schema.Array(MonthRow),
  Schema.Literal(0, 1),
);
export type JournalRow = typeof JournalRow.Type;
const JournalPage = Schema.Struct({
  v: Schema.Literal(1),
  n: Natural,
  /** Digest of the page before. */
  prev: Schema.String,
  /** Job, owner, class, months, and whether nothing more of the job will come. */
  rows: Schema.Array(JournalRow),
});
export type JournalPage = typeof JournalPage.Type;

const LimitChange = Schema.Struct({
  at: Natural,
  by: Schema.String,
  why: Schema.String,
  before: Schema.NullOr(Schema.Struct({ soft: Schema.NullOr(Natural), hard: Schema.NullOr(Natural) })),
  after: Schema.Struct({ soft: Schema.NullOr(Natural), hard: Schema.NullOr(Natural) }),
});
const LimitRecord = Schema.Struct({
  v: Schema.Literal(1),
  soft: Schema.NullOr(Natural),
  hard: Schema.NullOr(Natural),
  /** The newest last; older ones go when there is no more room. */
  changes: Schema.Array(LimitChange),
});
export type LimitRecord = typeof LimitRecord.Type;

/** A closed month of an owner. Never changes. */
const ClosedRecord = Schema.Struct({
  v: Schema.Literal(1),
  owner: Schema.String,
  month: Schema.String,
  zone: Schema.String,
  currency: Schema.String,
  /** Its first and last moment, and when it was closed. */
  from: Natural,
  to: Natural,
  at: Natural,
  row: MonthRow,
  limit: Schema.Struct({ soft: Schema.NullOr(Natural), hard: Schema.NullOr(Natural) }),
  /** Overrun of the month before, which came off this one. */
  carried: Natural,
  /** The last page of the journal that has any of it. */
  last: Natural,
});
export type ClosedRecord = typeof ClosedRecord.Type;

export const readHead = reader(Head);
export const readOwners = reader(OwnersPage);
export const readOpen = reader(OpenPage);
export const readJournal = reader(JournalPage);
export const readLimit = reader(LimitRecord);
export const readClosed = reader(ClosedRecord);

/** SHA-256, in hex, of the value's canonical JSON (RFC 8785). */
export const digestOf = (value: unknown): string =>
  createHash('sha256')
    .update(canonicalize(value) ?? '')
    .digest('hex');

export const monthRow = (month: string, c: Readonly<Charge>): MonthRow => [
  month,
  c.money,
  c.us,
  c.free,
  c.stops,
  c.late,
];
export const chargeOf = ([, money, us, free, stops, late]: MonthRow): Charge => ({
  money,
  us,
  free,
  stops,
  late,
});
