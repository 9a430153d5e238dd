/**
 * Owners' accounts as the records hold them: sums by month of what is in the journal, closed months, overruns, and
 * what was told. The first owners stand in the head, which is written anyway; those that have no room there on
 * pages of their own, written in the same transaction as what changes them. Decides only; does no I/O.
 */
import { bytesOf } from '@shaleyoke/core/codecs/value-size';

import { addCharge, type Books } from './books.js';
import { chargeOf, type MonthRow, monthRow, type OwnersPart } from './records.js';

/** Months that are named one by one; older ones are summed up. */
const MONTHS_KEPT = 3;
/** What of a value the form of a page takes, and some reserve. */
const FRAME = 256;
/** No amount, in millionths, and no time, in microseconds, has more digits. */
const MOST = 9_999_999_999_999;

/** What stands beside the sums. */
export interface Marks {
  /** By owner: the month in which the soft limit was told. */
  readonly told: Map<string, string>;
  /** By owner: a closed month's successor, and the overrun that comes off it. */
  readonly carried: Map<string, readonly [string, number]>;
}

const emptyRow = (month: string): MonthRow => [month, 0, 0, 0, 0, 0];

const sumOf = (month: string, a: MonthRow | undefined, b: MonthRow): MonthRow => {
  const sum = chargeOf(b);
  if (a !== undefined) addCharge(sum, chargeOf(a));
  return monthRow(month, sum);
};

/** Bytes that an owner may come to need: its place never has to change as its amounts grow. */
export const mostBytes = (owner: string): number => {
  const row: MonthRow = ['2026-12', MOST, MOST * 100, MOST, 999_999_999, MOST];
  return bytesOf({
    m: { [owner]: Array.from({ length: MONTHS_KEPT + 1 }, () => row) },
    z: { [owner]: '2026-12' },
    c: { [owner]: ['2026-12', MOST] },
    t: { [owner]: '2026-12' },
  });
};

export class Accounts {
  private readonly months = new Map<string, Map<string, MonthRow>>();
  /** By owner: 0 for the head, else the number of its page. */
  private readonly homes = new Map<string, number>();
  /** By page: bytes that its owners may need. */
  private readonly taken = new Map<number, number>();
  /** By page: what is on record, but for its flush number. */
  private readonly written = new Map<number, string>();
  /** By owner: number of the flush that wrote it, where it was read. */
  private readonly readAt = new Map<string, number>();

  /** `headRest`: bytes of a head without owners, at most. */
  constructor(
    private readonly books: Books,
    private readonly marks: Marks,
    private readonly valueBytes: number,
    private readonly headRest: number,
  ) {}

  // ---- reading -----------------------------------------------------------------------------------

  /** A page as it was read, the head being page 0; `flush`: the number of the flush that wrote it. */
  adopt(n: number, flush: number, part: OwnersPart): void {
    this.written.set(n, JSON.stringify(part));
    const owners = new Set([part.m, part.z, part.c, part.t].flatMap((x) => Object.keys(x)));
    for (const owner of owners) {
      // An owner stands twice only where its place was changed by hand: the later one counts.
      if ((this.readAt.get(owner) ?? -1) >= flush) continue;
      this.readAt.set(owner, flush);
      this.settle(owner, n);
      const rows = part.m[owner] ?? [];
      this.months.set(owner, new Map(rows.map((r) => [r[0], r])));
      const [closed, told, carried] = [part.z[owner], part.t[owner], part.c[owner]];
      if (closed !== undefined) this.books.closed.set(owner, closed);
      if (told !== undefined) this.marks.told.set(owner, told);
      if (carried !== undefined) this.marks.carried.set(owner, carried);
    }
  }

  /** All sums, for books that are taken over. */
  *sums(): Iterable<readonly [owner: string, row: MonthRow]> {
    for (const [owner, months] of this.months) for (const row of months.values()) yield [owner, row];
  }

  /** What the journal holds for an owner's month. */
  inJournal(owner: string, month: string): MonthRow {
    return this.months.get(owner)?.get(month) ?? emptyRow(month);
  }

  // ---- writing -----------------------------------------------------------------------------------

  /** Amounts that go into the journal. */
  post(owner: string, rows: readonly MonthRow[]): void {
    const months = this.months.get(owner) ?? new Map<string, MonthRow>();
    this.months.set(owner, months);
    for (const m of rows) months.set(m[0], sumOf(m[0], months.get(m[0]), m));
  }

  private settle(owner: string, n: number): void {
    const before = this.homes.get(owner);
    if (before !== undefined) this.taken.set(before, (this.taken.get(before) ?? 0) - mostBytes(owner));
    this.homes.set(owner, n);
    this.taken.set(n, (this.taken.get(n) ?? 0) + mostBytes(owner));
  }

  /** The page where an owner stands; 0 is the head. */
  homeOf(owner: string): number {
    const known = this.homes.get(owner);
    if (known !== undefined) return known;
    const need = mostBytes(owner);
    let n = 0;
    const room = (k: number): number =>
      this.valueBytes - FRAME - (k === 0 ? this.headRest : 0) - (this.taken.get(k) ?? 0);
    while (room(n) < need && (n === 0 || (this.taken.get(n) ?? 0) > 0)) n++;
    this.settle(owner, n);
    return n;
  }

  /** An owner's months, the older closed ones as one. */
  private summed(owner: string): MonthRow[] {
    const months = this.months.get(owner) ?? new Map<string, MonthRow>();
    const last = this.books.closed.get(owner) ?? '';
    const named = [...months.keys()].filter((m) => m !== '').sort();
    for (const m of named.slice(0, Math.max(0, named.length - MONTHS_KEPT))) {
      if (m > last) break;
      months.set('', sumOf('', months.get(''), months.get(m)!));
      months.delete(m);
    }
    return [...months.values()];
  }

  /** What stands on each page now, the head's share being page 0. */
  parts(): Map<number, OwnersPart> {
    const out = new Map<number, OwnersPart>([[0, { m: {}, z: {}, c: {}, t: {} }]]);
    const { told, carried } = this.marks;
    const owners = [this.months, this.books.closed, carried, told].flatMap((x) => [...x.keys()]);
    for (const owner of new Set(owners)) {
      const n = this.homeOf(owner);
      const part = out.get(n) ?? { m: {}, z: {}, c: {}, t: {} };
      out.set(n, part);
      if (this.months.has(owner)) part.m[owner] = this.summed(owner);
      const [z, c, t] = [this.books.closed.get(owner), carried.get(owner), told.get(owner)];
      if (z !== undefined) part.z[owner] = z;
      if (c !== undefined) part.c[owner] = c;
      if (t !== undefined) part.t[owner] = t;
    }
    return out;
  }

  /** Pages but the head that differ from what is on record. */
  changed(parts: ReadonlyMap<number, OwnersPart>): number[] {
    return [...parts].filter(([n, p]) => n > 0 && JSON.stringify(p) !== this.written.get(n)).map(([n]) => n);
  }

  confirm(n: number, part: OwnersPart): void {
    this.written.set(n, JSON.stringify(part));
  }
}
