/**
 * Owners' accounts in the form of the records: monthly sums of the journal, closed months, overruns and reported soft
 * limits. The first owners are stored in the head, which every flush writes anyway. Owners for whom it has no room are
 * stored on pages of their own, which are written in the same transaction as the journal rows that change them. Does no
 * I/O.
 */
import { jsonByteLength } from '@shaleyoke/core/codecs/value-size';

import { addCharge, type Ledger } from './ledger.js';
import { chargeOf, type MonthRow, monthRow, type OwnersPart } from './records.js';

/** Months with sums of their own; older closed ones are added into a single row. */
const MAX_SEPARATE_MONTHS = 3;
/** Bytes of a page without owners, with some reserve. */
const PAGE_OVERHEAD_BYTES = 256;
/** Upper limit of amounts in millionths of the currency, and of run times in hundreds of microseconds. */
const MAX_AMOUNT = 9_999_999_999_999;

/** What is stored of owners besides their sums. */
export interface OwnerMarks {
  /** By owner: the month in which reaching the soft limit was logged. */
  readonly softLimitReported: Map<string, string>;
  /** By owner: a month, and the overrun of the previous month that counts against its limit. */
  readonly carried: Map<string, readonly [string, number]>;
}

const emptyRow = (month: string): MonthRow => [month, 0, 0, 0, 0, 0];

const sumOf = (month: string, earlier: MonthRow | undefined, added: MonthRow): MonthRow => {
  const sum = chargeOf(added);
  if (earlier !== undefined) addCharge(sum, chargeOf(earlier));
  return monthRow(month, sum);
};

/** The most bytes an owner can need; reserving them keeps each owner on one page as its amounts grow. */
export const maxOwnerBytes = (owner: string): number => {
  const row: MonthRow = ['2026-12', MAX_AMOUNT, MAX_AMOUNT * 100, MAX_AMOUNT, 999_999_999, MAX_AMOUNT];
  return jsonByteLength({
    m: { [owner]: Array.from({ length: MAX_SEPARATE_MONTHS + 1 }, () => row) },
    z: { [owner]: '2026-12' },
    c: { [owner]: ['2026-12', MAX_AMOUNT] },
    t: { [owner]: '2026-12' },
  });
};

/** Assigns owners to pages, sums up their journal rows and finds the pages that have changed. */
export class OwnerAccounts {
  /** By owner and month: the sum of the journal; under the empty name that of older months. */
  private readonly months = new Map<string, Map<string, MonthRow>>();
  /** By owner: the number of its page; 0 is the head. */
  private readonly pageNumbers = new Map<string, number>();
  /** By page: the bytes reserved for its owners. */
  private readonly reservedBytes = new Map<number, number>();
  /** By page: the JSON of its recorded content without the flush number. */
  private readonly recorded = new Map<number, string>();
  /** By owner that was read: the number of the flush that wrote it. */
  private readonly flushNumbers = new Map<string, number>();

  /** `headOverheadBytes`: size limit of a head without owners. */
  constructor(
    private readonly ledger: Ledger,
    private readonly marks: OwnerMarks,
    private readonly maxValueBytes: number,
    private readonly headOverheadBytes: number,
  ) {}

  // ---- reading -----------------------------------------------------------------------------------

  /** Restores a page that was read, or the head as page 0; `flush`: number of the flush that wrote it. */
  restorePage(pageNumber: number, flush: number, part: OwnersPart): void {
    this.recorded.set(pageNumber, JSON.stringify(part));
    const owners = new Set([part.m, part.z, part.c, part.t].flatMap((x) => Object.keys(x)));
    for (const owner of owners) {
      // An owner is on two pages only after records were edited by hand: the later flush takes precedence.
      if ((this.flushNumbers.get(owner) ?? -1) >= flush) continue;
      this.flushNumbers.set(owner, flush);
      this.assignPage(owner, pageNumber);
      const rows = part.m[owner] ?? [];
      this.months.set(owner, new Map(rows.map((r) => [r[0], r])));
      const [closed, reportedMonth, carried] = [part.z[owner], part.t[owner], part.c[owner]];
      if (closed !== undefined) this.ledger.closedMonths.set(owner, closed);
      if (reportedMonth !== undefined) this.marks.softLimitReported.set(owner, reportedMonth);
      if (carried !== undefined) this.marks.carried.set(owner, carried);
    }
  }

  /** All sums of the journal, for restoring the ledger. */
  *monthRows(): Iterable<readonly [owner: string, row: MonthRow]> {
    for (const [owner, months] of this.months) for (const row of months.values()) yield [owner, row];
  }

  /** The sum of an owner's month in the journal. */
  journaledRow(owner: string, month: string): MonthRow {
    return this.months.get(owner)?.get(month) ?? emptyRow(month);
  }

  // ---- writing -----------------------------------------------------------------------------------

  /** Adds rows that are being appended to the journal. */
  addJournaled(owner: string, rows: readonly MonthRow[]): void {
    const months = this.months.get(owner) ?? new Map<string, MonthRow>();
    this.months.set(owner, months);
    for (const row of rows) months.set(row[0], sumOf(row[0], months.get(row[0]), row));
  }

  private assignPage(owner: string, pageNumber: number): void {
    const previousPage = this.pageNumbers.get(owner);
    if (previousPage !== undefined)
      this.reservedBytes.set(
        previousPage,
        (this.reservedBytes.get(previousPage) ?? 0) - maxOwnerBytes(owner),
      );
    this.pageNumbers.set(owner, pageNumber);
    this.reservedBytes.set(pageNumber, (this.reservedBytes.get(pageNumber) ?? 0) + maxOwnerBytes(owner));
  }

  /** The owner's page, assigned on first use; 0 is the head. */
  pageOf(owner: string): number {
    const assignedPage = this.pageNumbers.get(owner);
    if (assignedPage !== undefined) return assignedPage;
    const neededBytes = maxOwnerBytes(owner);
    let pageNumber = 0;
    const freeBytes = (candidate: number): number =>
      this.maxValueBytes -
      PAGE_OVERHEAD_BYTES -
      (candidate === 0 ? this.headOverheadBytes : 0) -
      (this.reservedBytes.get(candidate) ?? 0);
    while (
      freeBytes(pageNumber) < neededBytes &&
      (pageNumber === 0 || (this.reservedBytes.get(pageNumber) ?? 0) > 0)
    )
      pageNumber++;
    this.assignPage(owner, pageNumber);
    return pageNumber;
  }

  /** An owner's rows; closed months beyond `MAX_SEPARATE_MONTHS` are added into one. */
  private rowsOf(owner: string): MonthRow[] {
    const months = this.months.get(owner) ?? new Map<string, MonthRow>();
    const last = this.ledger.closedMonths.get(owner) ?? '';
    const named = [...months.keys()].filter((m) => m !== '').sort();
    for (const month of named.slice(0, Math.max(0, named.length - MAX_SEPARATE_MONTHS))) {
      if (month > last) break;
      months.set('', sumOf('', months.get(''), months.get(month)!));
      months.delete(month);
    }
    return [...months.values()];
  }

  /** The current content of all pages, with the owners of the head as page 0. */
  partsByPage(): Map<number, OwnersPart> {
    const out = new Map<number, OwnersPart>([[0, { m: {}, z: {}, c: {}, t: {} }]]);
    const { softLimitReported: told, carried } = this.marks;
    const owners = [this.months, this.ledger.closedMonths, carried, told].flatMap((x) => [...x.keys()]);
    for (const owner of new Set(owners)) {
      const pageNumber = this.pageOf(owner);
      const part = out.get(pageNumber) ?? { m: {}, z: {}, c: {}, t: {} };
      out.set(pageNumber, part);
      if (this.months.has(owner)) part.m[owner] = this.rowsOf(owner);
      const [closed, carriedOverrun, reportedMonth] = [
        this.ledger.closedMonths.get(owner),
        carried.get(owner),
        told.get(owner),
      ];
      if (closed !== undefined) part.z[owner] = closed;
      if (carriedOverrun !== undefined) part.c[owner] = carriedOverrun;
      if (reportedMonth !== undefined) part.t[owner] = reportedMonth;
    }
    return out;
  }

  /** Pages other than the head that differ from their recorded content. */
  changedPages(parts: ReadonlyMap<number, OwnersPart>): number[] {
    return [...parts].filter(([n, p]) => n > 0 && JSON.stringify(p) !== this.recorded.get(n)).map(([n]) => n);
  }

  /** Notes that a page's content has been written. */
  confirmWritten(pageNumber: number, part: OwnersPart): void {
    this.recorded.set(pageNumber, JSON.stringify(part));
  }
}
