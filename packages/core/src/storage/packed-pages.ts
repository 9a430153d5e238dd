/**
 * Many small records packed into few values. The state service counts every put, so at five hundred machines and twenty-five
 * changes a second a key for each would cost more than all else. A record keeps its page for as long as that page fits the
 * state service's limits, and the page has room set aside for the largest that the record can become.
 *
 * Pages of this version have keys of their own (`q/s0`, `r/s0`); those of the version before (`q/0`) are read, never
 * written to again, and emptied once everything on them stands on pages of this version. The version before reads those too
 * and never writes them, so that neither can take a record away from the other: what holds of a record is what all its
 * copies together contain. Pages that have become too large are emptied likewise: copies are written and confirmed first, the
 * old page is emptied last.
 */
import { bytesOf } from '../codecs/value-size.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { FencedWriter, WriteUrgency } from './fenced-writer.js';
import { PAGE_FRAME_BYTES, readPage, smallerPageRoom } from './page-format.js';

export { pageRoom, readPage } from './page-format.js';

interface Page {
  readonly key: string;
  /** Room set aside, by record. */
  readonly records: Map<string, number>;
  size: number;
  /** Holds records that are not needed any more. */
  stale: boolean;
  /** Nothing new is put there: it can't be read, or is being emptied. */
  closed: boolean;
}

/** Begins the name of a page of this version, after the prefix. */
const PAGE_NAME_PREFIX = 's';
const MAX_PAGE_NUMBER = 100_000;
/** So many of the largest records must fit into a page. */
const MIN_RECORDS_PER_PAGE = 3;

/** Where the records of the pages come from. */
export interface PackedRecordSource {
  /** The record as it is now; null if it is not needed any more. */
  readonly describe: (id: string) => unknown;
  /** The store has confirmed a record with this value. */
  readonly written?: (id: string, value: unknown) => void;
  /** Writes the record of a page that is emptied to where it belongs now; `ok` once the store has confirmed that. */
  readonly move: (id: string, then: (ok: boolean) => void) => void;
}

/** The pages under one prefix, and which page each record is on. */
export class PackedPages {
  private readonly pages: Page[] = [];
  private readonly pageOf = new Map<string, Page>();
  /** Further pages of this version that hold a record, from a move that a crash cut short. */
  private readonly copies = new Map<string, Set<Page>>();
  /** Keys of pages to be emptied, with the records that must be written elsewhere before. */
  private readonly pagesToEmpty = new Map<string, ReadonlySet<string>>();
  private compacting = false;

  /** `roomLimit`: characters of JSON that the records of a page may take; see `pageRoom`. */
  constructor(
    private readonly writer: FencedWriter,
    private readonly prefix: string,
    private roomLimit: number,
    private readonly records: PackedRecordSource,
  ) {}

  /** The largest record that may be kept here: several must fit into a page. */
  get largestRecord(): number {
    return Math.floor(this.roomLimit / MIN_RECORDS_PER_PAGE);
  }

  /** Whether the record has a page. */
  has(id: string): boolean {
    return this.pageOf.has(id);
  }

  private pageAt(number: number): Page {
    for (let i = this.pages.length; i <= number; i++)
      this.pages.push({
        key: `${this.prefix}${PAGE_NAME_PREFIX}${i}`,
        records: new Map(),
        size: 0,
        stale: false,
        closed: false,
      });
    return this.pages[number]!;
  }

  /** A page as it was read; `keep` returns the room of a record that is still needed, null if it is not. */
  load(item: StoredItem, keep: (id: string) => number | null): void {
    const name = item.key.slice(this.prefix.length);
    const entries = readPage(item.value);
    const ids = Object.keys(entries ?? {});
    this.writer.rememberVersion(item.key, item.version);
    if (!name.startsWith(PAGE_NAME_PREFIX)) {
      // Of the version before, whatever its size.
      if (ids.length > 0) this.pagesToEmpty.set(item.key, new Set(ids));
      return;
    }
    const number = Number(name.slice(PAGE_NAME_PREFIX.length));
    if (!Number.isInteger(number) || number < 0 || number > MAX_PAGE_NUMBER) return;
    const page = this.pageAt(number);
    // What can't be read is left as it is: nothing more is put there.
    if (entries === null) page.closed = true;
    for (const id of ids) this.loadRecord(page, id, keep(id));
    if (page.size > this.roomLimit || bytesOf(item.value) > this.roomLimit + PAGE_FRAME_BYTES)
      this.closeAndEmpty(page);
  }

  private loadRecord(page: Page, id: string, room: number | null): void {
    if (room === null) page.stale = true;
    else if (this.pageOf.has(id)) {
      // Either copy may be the newer one: this one goes only once the other holds all that both do.
      page.records.set(id, room);
      page.size += room;
      this.copies.set(id, (this.copies.get(id) ?? new Set()).add(page));
    } else this.assign(page, id, room);
  }

  /** Takes the page out of use: its records move to others. */
  private closeAndEmpty(page: Page): void {
    if (this.pagesToEmpty.has(page.key)) return;
    page.closed = true;
    this.pagesToEmpty.set(page.key, new Set(page.records.keys()));
    for (const id of page.records.keys()) if (this.pageOf.get(id) === page) this.pageOf.delete(id);
    page.records.clear();
  }

  private assign(page: Page, id: string, room: number): void {
    page.records.set(id, room);
    page.size += room;
    this.pageOf.set(id, page);
  }

  private removeRecord(page: Page, id: string): void {
    page.size -= page.records.get(id) ?? 0;
    page.records.delete(id);
    page.stale = true;
  }

  private pageWithRoom(room: number): Page {
    for (const page of this.pages) if (!page.closed && page.size + room <= this.roomLimit) return page;
    return this.pageAt(this.pages.length);
  }

  /** Writes a record. `room`: the largest that it can become, in characters of JSON with its key. */
  put(id: string, room: number, urgent: WriteUrgency, done: () => void, refused?: () => void): void {
    if (!this.pageOf.has(id)) this.assign(this.pageWithRoom(room), id, room);
    this.write(this.pageOf.get(id)!, urgent, done, refused);
  }

  /** The record is not needed any more; the next write of its page leaves it out. */
  drop(id: string): void {
    for (const page of [this.pageOf.get(id), ...(this.copies.get(id) ?? [])])
      if (page !== undefined) this.removeRecord(page, id);
    this.pageOf.delete(id);
    this.copies.delete(id);
  }

  /** Writes pages that still hold records that were dropped. */
  rewriteStalePages(): void {
    for (const page of this.pages) if (page.stale && !page.closed) this.write(page, 'later', () => undefined);
  }

  /** Merges the next record with copies, or empties the next page, one at a time. To be called often; cheap when idle. */
  compact(): void {
    if (this.compacting || this.mergeNextCopies()) return;
    const next = this.pagesToEmpty.entries().next();
    if (next.done !== true) this.moveRecords(...next.value);
  }

  /** Returns whether the write of a record that stands on several pages has begun. */
  private mergeNextCopies(): boolean {
    for (const [id, pages] of this.copies) {
      const page = this.pageOf.get(id);
      if (page === undefined) {
        this.copies.delete(id);
        continue;
      }
      this.compacting = true;
      const onWritten = (): void => {
        this.compacting = false;
        this.copies.delete(id);
        for (const copy of pages) this.removeRecord(copy, id);
      };
      this.write(page, 'later', onWritten, () => {
        this.compacting = false;
      });
      return true;
    }
    return false;
  }

  /** Writes the records elsewhere, and empties the page once all of that is confirmed. */
  private moveRecords(key: string, ids: ReadonlySet<string>): void {
    this.compacting = true;
    // One more than the moves that were begun, so that none of them is the last before all are.
    let remaining = 1;
    let allMoved = true;
    const onMoved = (ok: boolean): void => {
      allMoved &&= ok;
      if (--remaining > 0) return;
      if (allMoved) this.emptyPage(key);
      else {
        // Something on it could not be written elsewhere: it stays, and the other pages come first.
        this.compacting = false;
        this.pagesToEmpty.delete(key);
        this.pagesToEmpty.set(key, ids);
      }
    };
    for (const id of ids) {
      if (this.records.describe(id) === null) continue;
      remaining++;
      this.records.move(id, onMoved);
    }
    onMoved(true);
  }

  private emptyPage(key: string): void {
    const onWritten = (): void => {
      this.pagesToEmpty.delete(key);
      this.compacting = false;
      const page = this.pages.find((candidate) => candidate.key === key);
      if (page === undefined) return;
      page.closed = false;
      page.size = 0;
      page.stale = false;
    };
    this.writer.put(key, () => ({ entries: {} }), onWritten, { urgency: 'later' });
  }

  private write(page: Page, urgent: WriteUrgency, done: () => void, refused?: () => void): void {
    const onWritten = (value: unknown): void => {
      for (const [id, record] of Object.entries(readPage(value) ?? {})) this.records.written?.(id, record);
      done();
    };
    // The state service takes less than the settings name: smaller pages from now on.
    const onRefused = (bytes: number): void => {
      this.roomLimit = smallerPageRoom(this.roomLimit, bytes);
      if (page.records.size > 1) this.closeAndEmpty(page);
      refused?.();
    };
    this.writer.put(page.key, () => this.encodePage(page), onWritten, {
      urgency: urgent,
      onRefused: onRefused,
    });
  }

  private encodePage(page: Page): unknown {
    page.stale = false;
    const entries: Record<string, unknown> = {};
    for (const id of page.records.keys()) entries[id] = this.records.describe(id);
    return { entries };
  }
}
