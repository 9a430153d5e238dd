/**
 * The ledger's records in the state service (docs/budgets.md). A record that doesn't match its schema is read as null
 * and never taken for a missing one.
 */
import { createHash } from 'node:crypto';

import { recordDecoder } from '@shaleyoke/config/schema-decoding';
import canonicalize from 'canonicalize';
import { Schema } from 'effect';

import type { Charge } from './ledger.js';

/** Key of the record with the totals, which every flush writes. */
export const HEAD_KEY = 'b/head';
/** Keys of pages of open jobs. */
export const OPEN_PREFIX = 'b/o/';
/** Keys of pages of owners' accounts. */
export const OWNERS_PREFIX = 'b/a/';
/** Keys of pages of the journal. */
export const JOURNAL_PREFIX = 'b/j/';
/** Keys of limits that operators set, by owner. */
export const LIMITS_PREFIX = 'b/l/';
/** Keys of closed months, by owner and month. */
export const CLOSED_PREFIX = 'b/s/';
/** Key of a page of open jobs. */
export const openKey = (n: number): string => `${OPEN_PREFIX}${n}`;
/** Key of a page of owners' accounts. */
export const ownersKey = (n: number): string => `${OWNERS_PREFIX}${n}`;
/** Key of a journal page, padded so that keys sort by number. */
export const journalKey = (n: number): string => `${JOURNAL_PREFIX}${String(n).padStart(9, '0')}`;
/** Key of an owner's limit record. */
export const limitKey = (owner: string): string => `${LIMITS_PREFIX}${owner}`;
/** Key of an owner's closed month. */
export const closedKey = (owner: string, month: string): string => `${CLOSED_PREFIX}${owner}/${month}`;

const Int = Schema.Int;
const Natural = Schema.NonNegativeInt;

/** Month, money charged, run time charged, money not charged, preemptions, and how much of the money is late. */
const MonthRow = Schema.Tuple(Schema.String, Natural, Natural, Natural, Natural, Natural);
/** An owner's or a job's amounts in a month. */
export type MonthRow = typeof MonthRow.Type;

/** Accounts of the owners of one page, or of the head. */
const Owners = {
  /** By owner: sums of the journal by month; under the empty name that of all older months. */
  m: Schema.Record({ key: Schema.String, value: Schema.Array(MonthRow) }),
  /** By owner: the last month whose statement is closed. */
  z: Schema.Record({ key: Schema.String, value: Schema.String }),
  /** By owner: a month, and the overrun of the previous month that counts against its limit. */
  c: Schema.Record({ key: Schema.String, value: Schema.Tuple(Schema.String, Natural) }),
  /** By owner: the month in which reaching the soft limit was logged. */
  t: Schema.Record({ key: Schema.String, value: Schema.String }),
};
/** Owners for whom the head has no room; written in one transaction with it. */
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
  /** Everything is accounted up to this moment, in microseconds since the epoch. */
  w: Natural,
  cost: Natural,
  p: Schema.Struct({ boot: Int, unused: Int, lost: Int, stopped: Int, unseen: Int, takeover: Int }),
  ...Owners,
  /** Journal: its last page when the first incomplete flush began, its last page now, the digest before that. */
  j: Schema.Struct({ from: Natural, last: Natural, prev: Schema.String }),
});
/** The record under `HEAD_KEY`. */
export type Head = typeof Head.Type;
/** The accounts of a page or of the head, to be filled in. */
export type OwnersPart = { -readonly [K in keyof typeof Owners]: Record<string, Head[K][string]> };

/** Owner, class, whether a service, commitment, months, runs of consecutive attempts. */
const OpenRow = Schema.Tuple(
  Schema.String,
  Schema.String,
  Schema.Literal(0, 1),
  Schema.NullOr(Natural),
  Schema.Array(MonthRow),
  /**
   * Month, number of the first attempt, step from one number to the next (0 or 1), first task, then pending money and
   * run time of each attempt.
   */
  Schema.Array(Schema.Tuple([Schema.String, Natural, Schema.Literal(0, 1), Natural], Natural)),
);
/** An open job on a page. */
export type OpenRow = typeof OpenRow.Type;
const OpenPage = Schema.Struct({
  v: Schema.Literal(1),
  jobs: Schema.Record({ key: Schema.String, value: OpenRow }),
});
/** A page of open jobs. */
export type OpenPage = typeof OpenPage.Type;

const JournalRow = Schema.Tuple(
  Schema.String,
  Schema.String,
  Schema.String,
  Schema.Array(MonthRow),
  Schema.Literal(0, 1),
);
/** Final amounts of a job; see `JournalPage`. */
export type JournalRow = typeof JournalRow.Type;
const JournalPage = Schema.Struct({
  v: Schema.Literal(1),
  n: Natural,
  /** Digest of the previous page. */
  prev: Schema.String,
  /** Job, owner, class, months, and whether the job can no longer be charged. */
  rows: Schema.Array(JournalRow),
});
/** A page of the journal; pages form a chain by their digests. */
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
  /** The newest last; the oldest are dropped when there is no more room. */
  changes: Schema.Array(LimitChange),
});
/** An owner's limits as operators set them, with the latest changes. */
export type LimitRecord = typeof LimitRecord.Type;

/** A closed month of an owner; such a record never changes. */
const ClosedRecord = Schema.Struct({
  v: Schema.Literal(1),
  owner: Schema.String,
  month: Schema.String,
  zone: Schema.String,
  currency: Schema.String,
  /** The first moment of the month, that of the next month, and when the month was closed. */
  from: Natural,
  to: Natural,
  at: Natural,
  row: MonthRow,
  limit: Schema.Struct({ soft: Schema.NullOr(Natural), hard: Schema.NullOr(Natural) }),
  /** Overrun of the previous month, which counted against this month's limit. */
  carried: Natural,
  /** The last page of the journal when the month was recorded; later pages hold nothing of it. */
  last: Natural,
});
/** The record that a closed statement is made from. */
export type ClosedRecord = typeof ClosedRecord.Type;

/** Checks a value against the schema of the head; null if it doesn't match. */
export const readHead = recordDecoder(Head);
/** Checks a page of owners; null if it doesn't match. */
export const readOwners = recordDecoder(OwnersPage);
/** Checks a page of open jobs; null if it doesn't match. */
export const readOpen = recordDecoder(OpenPage);
/** Checks a journal page; null if it doesn't match. */
export const readJournal = recordDecoder(JournalPage);
/** Checks an owner's limit record; null if it doesn't match. */
export const readLimit = recordDecoder(LimitRecord);
/** Checks a closed month; null if it doesn't match. */
export const readClosed = recordDecoder(ClosedRecord);

/** SHA-256, in hex, of the value's canonical JSON (RFC 8785). */
export const digestOf = (value: unknown): string =>
  createHash('sha256')
    .update(canonicalize(value) ?? '')
    .digest('hex');

/** Encodes a charge as a row. */
export const monthRow = (month: string, charge: Readonly<Charge>): MonthRow => [
  month,
  charge.money,
  charge.runUs,
  charge.uncharged,
  charge.stops,
  charge.late,
];
/** Decodes a row into a charge. */
export const chargeOf = ([, money, runUs, free, stops, late]: MonthRow): Charge => ({
  money,
  runUs,
  uncharged: free,
  stops,
  late,
});
