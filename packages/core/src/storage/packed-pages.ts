/**
 * Packs many small records into few values. The key-value store counts every put against its write limit, so with five hundred
 * machines and twenty-five changes a second, one key per record would cost more than all other writes. A record stays on its
 * page as long as the page fits the store's limits, and each page reserves space for the maximum size of its records.
 *
 * Pages of this version have separate keys (`q/s0`, `r/s0`). Pages of the previous version (`q/0`) are read but no longer
 * written, and are emptied once all of their records have been written to pages of this version. The previous version reads
 * the new pages too but never writes them, so neither version can delete a record of the other: the valid state of a record
 * is the union of all its copies. Pages that have become too large are emptied in the same way: the copies are written and
 * confirmed first, and the old page is emptied last.
 */
import { jsonByteLength } from '../codecs/value-size.js';
import type { StoredItem } from '../domain/key-value-store.js';
import type { FencedWriter, WriteUrgency } from './fenced-writer.js';
import { PAGE_FRAME_BYTES, readPage, reducedPageCapacity } from './page-format.js';

export { pageCapacity, readPage } from './page-format.js';

interface Page {
  readonly key: string;
  /** Reserved size by record id, in characters of JSON. */
  readonly reservations: Map<string, number>;
  /** Sum of the reservations. */
  reservedSize: number;
  /** The stored page still contains records that were dropped. */
  stale: boolean;
  /** Accepts no new records: the page is unreadable or is being emptied. */
  closed: boolean;
}

/** Follows the key prefix in the key of a page of this version. */
const PAGE_NAME_PREFIX = 's';
const MAX_PAGE_NUMBER = 100_000;
/** Minimum number of records of the maximum size that fit into a page. */
const MIN_RECORDS_PER_PAGE = 3;

/** Source of the records that are packed into pages. */
export interface PackedRecordSource {
  /** Returns the current stored form of the record; null if it is no longer needed. */
  readonly encode: (id: string) => unknown;
  /** Called when the store has confirmed the record with this value. */
  readonly onWritten?: (id: string, value: unknown) => void;
  /** Writes a record of a page that is being emptied to its new page; `ok` tells whether the store accepted it. */
  readonly move: (id: string, onMoved: (ok: boolean) => void) => void;
}

/** The pages under one key prefix, and the page of each record. */
export class PackedPages {
  /** Pages by their numbers. Only those that are stored or have records exist: a number alone takes no memory. */
  private readonly pages: (Page | undefined)[] = [];
  private readonly pageOf = new Map<string, Page>();
  /** Additional pages of this version that contain a record, left by a move that a crash interrupted. */
  private readonly duplicates = new Map<string, Set<Page>>();
  /** Keys of pages to be emptied, with the ids of the records that have to be moved first. */
  private readonly pagesToEmpty = new Map<string, ReadonlySet<string>>();
  private compacting = false;

  /** `pageCapacity`: characters of JSON that the records of a page may take; see the function of that name. */
  constructor(
    private readonly writer: FencedWriter,
    private readonly prefix: string,
    private pageCapacity: number,
    private readonly source: PackedRecordSource,
  ) {}

  /** Maximum size of a record that may be stored on a page, in characters of JSON: several records must fit into one. */
  get maxRecordSize(): number {
    return Math.floor(this.pageCapacity / MIN_RECORDS_PER_PAGE);
  }

  /** Whether the record is assigned to a page. */
  has(id: string): boolean {
    return this.pageOf.has(id);
  }

  private pageAt(pageNumber: number): Page {
    return (this.pages[pageNumber] ??= {
      key: `${this.prefix}${PAGE_NAME_PREFIX}${pageNumber}`,
      reservations: new Map(),
      reservedSize: 0,
      stale: false,
      closed: false,
    });
  }

  /** Loads a stored page. `maxSizeOf` returns the maximum size of a record, or null if the record is no longer needed. */
  load(item: StoredItem, maxSizeOf: (id: string) => number | null): void {
    const name = item.key.slice(this.prefix.length);
    const entries = readPage(item.value);
    const ids = Object.keys(entries ?? {});
    this.writer.rememberVersion(item.key, item.version);
    if (!name.startsWith(PAGE_NAME_PREFIX)) {
      // Written by the previous version: emptied whatever its size.
      if (ids.length > 0) this.pagesToEmpty.set(item.key, new Set(ids));
      return;
    }
    const pageNumber = Number(name.slice(PAGE_NAME_PREFIX.length));
    if (!Number.isInteger(pageNumber) || pageNumber < 0 || pageNumber > MAX_PAGE_NUMBER) return;
    const page = this.pageAt(pageNumber);
    // An unreadable page is left as it is and accepts no new records.
    if (entries === null) page.closed = true;
    for (const id of ids) this.loadRecord(page, id, maxSizeOf(id));
    if (
      page.reservedSize > this.pageCapacity ||
      jsonByteLength(item.value) > this.pageCapacity + PAGE_FRAME_BYTES
    )
      this.closeAndEmpty(page);
  }

  private loadRecord(page: Page, id: string, maxSize: number | null): void {
    if (maxSize === null) page.stale = true;
    else if (this.pageOf.has(id)) {
      // Either copy may be the newer one: this one is removed only after the other contains the data of both.
      page.reservations.set(id, maxSize);
      page.reservedSize += maxSize;
      this.duplicates.set(id, (this.duplicates.get(id) ?? new Set()).add(page));
    } else this.assign(page, id, maxSize);
  }

  /** Closes the page and queues its records for a move to other pages. */
  private closeAndEmpty(page: Page): void {
    if (this.pagesToEmpty.has(page.key)) return;
    page.closed = true;
    this.pagesToEmpty.set(page.key, new Set(page.reservations.keys()));
    for (const id of page.reservations.keys()) if (this.pageOf.get(id) === page) this.pageOf.delete(id);
    page.reservations.clear();
  }

  private assign(page: Page, id: string, maxSize: number): void {
    page.reservations.set(id, maxSize);
    page.reservedSize += maxSize;
    this.pageOf.set(id, page);
  }

  private removeRecord(page: Page, id: string): void {
    page.reservedSize -= page.reservations.get(id) ?? 0;
    page.reservations.delete(id);
    page.stale = true;
  }

  private findPageWithCapacity(maxSize: number): Page {
    for (let pageNumber = 0; pageNumber < this.pages.length; pageNumber++) {
      const page = this.pageAt(pageNumber);
      if (!page.closed && page.reservedSize + maxSize <= this.pageCapacity) return page;
    }
    return this.pageAt(this.pages.length);
  }

  /** Writes a record. `maxSize`: the maximum size that it can reach, in characters of JSON including its key. */
  put(
    id: string,
    maxSize: number,
    urgency: WriteUrgency,
    onConfirmed: () => void,
    onRefused?: () => void,
  ): void {
    if (!this.pageOf.has(id)) this.assign(this.findPageWithCapacity(maxSize), id, maxSize);
    this.write(this.pageOf.get(id)!, urgency, onConfirmed, onRefused);
  }

  /** Drops a record that is no longer needed; the next write of its page omits it. */
  drop(id: string): void {
    for (const page of [this.pageOf.get(id), ...(this.duplicates.get(id) ?? [])])
      if (page !== undefined) this.removeRecord(page, id);
    this.pageOf.delete(id);
    this.duplicates.delete(id);
  }

  /** Rewrites pages that still contain dropped records. */
  rewriteStalePages(): void {
    // Passes over the numbers without a page.
    this.pages.forEach((page) => {
      if (page?.stale === true && !page.closed) this.write(page, 'later', () => undefined);
    });
  }

  /** Merges the next duplicated record or empties the next page, one at a time. Called periodically; cheap when idle. */
  compact(): void {
    if (this.compacting || this.mergeNextDuplicate()) return;
    const next = this.pagesToEmpty.entries().next();
    if (next.done !== true) this.moveRecords(...next.value);
  }

  /** Starts the write that merges the next duplicated record; returns false if there is none. */
  private mergeNextDuplicate(): boolean {
    for (const [id, pages] of this.duplicates) {
      const page = this.pageOf.get(id);
      if (page === undefined) {
        this.duplicates.delete(id);
        continue;
      }
      this.compacting = true;
      const onWritten = (): void => {
        this.compacting = false;
        this.duplicates.delete(id);
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
    // One more than the number of moves started, so that the count can't reach 0 before all moves have been started.
    let remaining = 1;
    let allMoved = true;
    const onMoved = (ok: boolean): void => {
      allMoved &&= ok;
      if (--remaining > 0) return;
      if (allMoved) this.emptyPage(key);
      else {
        // A record could not be moved: keep the page, and retry it after the other pages.
        this.compacting = false;
        this.pagesToEmpty.delete(key);
        this.pagesToEmpty.set(key, ids);
      }
    };
    for (const id of ids) {
      if (this.source.encode(id) === null) continue;
      remaining++;
      this.source.move(id, onMoved);
    }
    onMoved(true);
  }

  private emptyPage(key: string): void {
    const onWritten = (): void => {
      this.pagesToEmpty.delete(key);
      this.compacting = false;
      const page = this.pages.find((candidate) => candidate?.key === key);
      if (page === undefined) return;
      page.closed = false;
      page.reservedSize = 0;
      page.stale = false;
    };
    this.writer.put(key, () => ({ entries: {} }), onWritten, { urgency: 'later' });
  }

  private write(page: Page, urgency: WriteUrgency, onConfirmed: () => void, onRefused?: () => void): void {
    const onWritten = (value: unknown): void => {
      for (const [id, record] of Object.entries(readPage(value) ?? {})) this.source.onWritten?.(id, record);
      onConfirmed();
    };
    // The store accepts less than the configured value size: use smaller pages from now on.
    const onPageRefused = (bytes: number): void => {
      this.pageCapacity = reducedPageCapacity(this.pageCapacity, bytes);
      if (page.reservations.size > 1) this.closeAndEmpty(page);
      onRefused?.();
    };
    this.writer.put(page.key, () => this.encodePage(page), onWritten, {
      urgency,
      onRefused: onPageRefused,
    });
  }

  private encodePage(page: Page): unknown {
    page.stale = false;
    const entries: Record<string, unknown> = {};
    for (const id of page.reservations.keys()) entries[id] = this.source.encode(id);
    return { entries };
  }
}
