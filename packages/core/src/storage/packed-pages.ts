/**
 * Many small records packed into few values. The state service counts every put, so at five hundred
 * machines and twenty-five changes a second a key for each would cost more than all else. A record keeps
 * its page for as long as that page fits the state service's limits, and the page has room set aside for
 * the largest that it can become.
 *
 * Pages of this version have keys of their own (`q/s0`, `r/s0`); those of the version before (`q/0`) are
 * read, never written to again, and emptied once everything on them stands on our pages. The version before
 * reads ours too and never writes them, so that neither can take a record away from the other: what holds of
 * a record is what all its copies say together. Pages that have become too large are taken apart likewise:
 * copies are written and confirmed first, the old page is emptied last.
 */
import type { StoredItem } from '../domain/key-value-store.js';
import { bytesOf } from '../codecs/value-size.js';
import type { WriteUrgency, FencedWriter } from './fenced-writer.js';

interface Page {
  readonly key: string;
  /** Room set aside, by record. */
  readonly records: Map<string, number>;
  size: number;
  stale: boolean;
  /** Nothing new is put there: it can't be read, or is being taken apart. */
  closed: boolean;
}

type PageValue = Readonly<Record<string, unknown>>;

export const readPage = (v: unknown): PageValue | null => {
  const entries = (v as { entries?: unknown } | null)?.entries;
  return typeof entries === 'object' && entries !== null && !Array.isArray(entries)
    ? (entries as PageValue)
    : null;
};

/** `{"entries":{}}` and some reserve; what is left of a value is for records. */
const FRAME = 128;
export const pageRoom = (valueBytes: number): number =>
  Math.max(256, valueBytes - Math.min(512, FRAME + Math.floor(valueBytes / 16)));

const OWN = 's';
const MOST_PAGES = 100_000;

export interface PackedRecordSource {
  /** The record as it is now; null if it is not needed any more. */
  readonly describe: (id: string) => unknown;
  /** A record is surely written as told. */
  readonly written?: (id: string, value: unknown) => void;
  /** Writes the record of a page that is given up to where it belongs now; `ok` once that is surely done. */
  readonly move: (id: string, then: (ok: boolean) => void) => void;
}

export class PackedPages {
  private readonly pages: Page[] = [];
  private readonly pageOf = new Map<string, Page>();
  /** Further pages of ours on which a record stands, from a move that a crash cut short. */
  private readonly copies = new Map<string, Set<Page>>();
  /** Pages to be emptied, with what must stand elsewhere before. */
  private readonly leaving = new Map<string, ReadonlySet<string>>();
  private moving = false;

  constructor(
    private readonly writer: FencedWriter,
    private readonly prefix: string,
    private limit: number,
    private readonly records: PackedRecordSource,
  ) {}

  /** The largest record that may be kept here: several must fit into a page. */
  get largest(): number {
    return Math.floor(this.limit / 3);
  }

  has(id: string): boolean {
    return this.pageOf.has(id);
  }

  /** Whether some page is still to be taken apart. */
  get unsettled(): boolean {
    return this.leaving.size > 0 || this.copies.size > 0;
  }

  private pageAt(n: number): Page {
    for (let i = this.pages.length; i <= n; i++)
      this.pages.push({
        key: `${this.prefix}${OWN}${i}`,
        records: new Map(),
        size: 0,
        stale: false,
        closed: false,
      });
    return this.pages[n]!;
  }

  /** A page as it was read; `keep` gives the room of a record that is still needed, null if it is not. */
  load(item: StoredItem, keep: (id: string) => number | null): void {
    const name = item.key.slice(this.prefix.length);
    const entries = readPage(item.value);
    this.writer.rememberVersion(item.key, item.version);
    if (!name.startsWith(OWN)) {
      // Of the version before, whatever its size.
      const ids = Object.keys(entries ?? {});
      if (ids.length > 0) this.leaving.set(item.key, new Set(ids));
      return;
    }
    const n = Number(name.slice(OWN.length));
    if (!Number.isInteger(n) || n < 0 || n > MOST_PAGES) return;
    const page = this.pageAt(n);
    // What can't be read is left as it is: nothing more is put there.
    if (entries === null) page.closed = true;
    for (const id of Object.keys(entries ?? {})) {
      const room = keep(id);
      if (room === null) page.stale = true;
      else if (this.pageOf.has(id)) {
        // Either copy may be the newer one: this one goes only once the other says all that both do.
        page.records.set(id, room);
        page.size += room;
        this.copies.set(id, (this.copies.get(id) ?? new Set()).add(page));
      } else this.assign(page, id, room);
    }
    if (page.size > this.limit || bytesOf(item.value) > this.limit + FRAME) this.giveUp(page);
  }

  /** The page is to be emptied: its records move to others. */
  private giveUp(page: Page): void {
    if (this.leaving.has(page.key)) return;
    page.closed = true;
    this.leaving.set(page.key, new Set(page.records.keys()));
    for (const id of page.records.keys()) if (this.pageOf.get(id) === page) this.pageOf.delete(id);
    page.records.clear();
  }

  private assign(page: Page, id: string, room: number): void {
    page.records.set(id, room);
    page.size += room;
    this.pageOf.set(id, page);
  }

  private free(room: number): Page {
    for (const p of this.pages) if (!p.closed && p.size + room <= this.limit) return p;
    return this.pageAt(this.pages.length);
  }

  /** Writes a record. `room`: the largest that it can become, in characters of JSON with its key. */
  put(id: string, room: number, urgent: WriteUrgency, done: () => void, refused?: () => void): void {
    if (!this.pageOf.has(id)) this.assign(this.free(room), id, room);
    this.write(this.pageOf.get(id)!, urgent, done, refused);
  }

  /** The record is not needed any more; its page says so with its next write. */
  drop(id: string): void {
    for (const page of [this.pageOf.get(id), ...(this.copies.get(id) ?? [])]) {
      if (page === undefined) continue;
      page.size -= page.records.get(id) ?? 0;
      page.records.delete(id);
      page.stale = true;
    }
    this.pageOf.delete(id);
    this.copies.delete(id);
  }

  /** Writes pages that still hold records that were dropped. */
  rewriteStalePages(): void {
    for (const p of this.pages) if (p.stale && !p.closed) this.write(p, 'later', () => undefined);
  }

  /** Takes the next page apart, one at a time: called again and again, cheap when there is nothing to do. */
  compact(): void {
    if (this.moving) return;
    for (const [id, pages] of this.copies) {
      if (!this.pageOf.has(id)) {
        this.copies.delete(id);
        continue;
      }
      this.moving = true;
      const done = (): void => {
        this.moving = false;
        this.copies.delete(id);
        for (const p of pages) {
          p.size -= p.records.get(id) ?? 0;
          p.records.delete(id);
          p.stale = true;
        }
      };
      this.write(this.pageOf.get(id)!, 'later', done, () => {
        this.moving = false;
      });
      return;
    }
    const next = this.leaving.entries().next();
    if (next.done === true) return;
    const [key, ids] = next.value;
    this.moving = true;
    let left = 1;
    let whole = true;
    const one = (ok: boolean): void => {
      whole &&= ok;
      if (--left > 0) return;
      if (whole) this.empty(key);
      else {
        // Something on it could not be written elsewhere: it stays, and the others come first.
        this.moving = false;
        this.leaving.delete(key);
        this.leaving.set(key, ids);
      }
    };
    for (const id of ids) {
      if (this.records.describe(id) === null) continue;
      left++;
      this.records.move(id, one);
    }
    one(true);
  }

  private empty(key: string): void {
    this.writer.put(
      key,
      () => ({ entries: {} }),
      () => {
        this.leaving.delete(key);
        this.moving = false;
        const page = this.pages.find((p) => p.key === key);
        if (page === undefined) return;
        page.closed = false;
        page.size = 0;
        page.stale = false;
      },
      { urgent: 'later' },
    );
  }

  private write(page: Page, urgent: WriteUrgency, done: () => void, refused?: () => void): void {
    this.writer.put(
      page.key,
      () => {
        page.stale = false;
        const entries: Record<string, unknown> = {};
        for (const id of page.records.keys()) entries[id] = this.records.describe(id);
        return { entries };
      },
      (value) => {
        for (const [id, v] of Object.entries(readPage(value) ?? {})) this.records.written?.(id, v);
        done();
      },
      {
        urgent,
        // The state service takes less than was announced: smaller pages from now on.
        refused: (bytes) => {
          this.limit = Math.max(256, Math.min(this.limit, Math.floor(bytes * 0.7)));
          if (page.records.size > 1) this.giveUp(page);
          refused?.();
        },
      },
    );
  }
}
