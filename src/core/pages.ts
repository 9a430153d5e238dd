/**
 * Many small records packed into few values. The state service counts every put, so at five hundred
 * machines and twenty-five changes a second a key for each would cost more than all else. A record keeps
 * its page for as long as it lives, and the page has room set aside for the largest that it can become:
 * records never move, so none can be lost between two pages.
 */
import type { Item } from './model.js';
import type { Writer } from './writer.js';

interface Page {
  readonly key: string;
  /** Room set aside, by record. */
  readonly records: Map<string, number>;
  size: number;
  stale: boolean;
}

type PageValue = Readonly<Record<string, unknown>>;

export const readPage = (v: unknown): PageValue | null => {
  const entries = (v as { entries?: unknown } | null)?.entries;
  return typeof entries === 'object' && entries !== null && !Array.isArray(entries)
    ? (entries as PageValue)
    : null;
};

export class Pages {
  private readonly pages: Page[] = [];
  private readonly pageOf = new Map<string, Page>();

  constructor(
    private readonly writer: Writer,
    private readonly prefix: string,
    private readonly limit: number,
    /** The record as it is now. */
    private readonly describe: (id: string) => unknown,
    /** A record is surely written as told. */
    private readonly written: (id: string, value: unknown) => void = () => undefined,
  ) {}

  /** The largest record that may be kept here: several must fit into a page. */
  get largest(): number {
    return Math.floor(this.limit / 3);
  }

  has(id: string): boolean {
    return this.pageOf.has(id);
  }

  private pageAt(n: number): Page {
    for (let i = this.pages.length; i <= n; i++)
      this.pages.push({ key: `${this.prefix}${i}`, records: new Map(), size: 0, stale: false });
    return this.pages[n]!;
  }

  /** A page as it was read; `keep` gives the room of a record that is still needed, null if it is not. */
  load(item: Item, keep: (id: string) => number | null): void {
    const n = Number(item.key.slice(this.prefix.length));
    if (!Number.isInteger(n) || n < 0 || n > 100_000) return;
    const page = this.pageAt(n);
    this.writer.know(item.key, item.version);
    const entries = readPage(item.value);
    // What can't be read is left as it is: nothing more is put there.
    if (entries === null) page.size = this.limit;
    for (const id of Object.keys(entries ?? {})) {
      const room = this.pageOf.has(id) ? null : keep(id);
      if (room === null) page.stale = true;
      else this.assign(page, id, room);
    }
  }

  private assign(page: Page, id: string, room: number): void {
    page.records.set(id, room);
    page.size += room;
    this.pageOf.set(id, page);
  }

  private free(room: number): Page {
    for (const p of this.pages) if (p.size + room <= this.limit) return p;
    return this.pageAt(this.pages.length);
  }

  /** Writes a record. `room`: the largest that it can become, in characters of JSON with its key. */
  put(id: string, room: number, done: () => void = () => undefined): void {
    if (!this.pageOf.has(id)) this.assign(this.free(room), id, room);
    this.write(this.pageOf.get(id)!, done);
  }

  /** The record is not needed any more; its page says so with its next write. */
  drop(id: string): void {
    const page = this.pageOf.get(id);
    if (page === undefined) return;
    this.pageOf.delete(id);
    page.size -= page.records.get(id) ?? 0;
    page.records.delete(id);
    page.stale = true;
  }

  /** Writes pages that still hold records that were dropped. */
  tidy(): void {
    for (const p of this.pages) if (p.stale) this.write(p, () => undefined);
  }

  private write(page: Page, done: () => void): void {
    this.writer.put(
      page.key,
      () => {
        page.stale = false;
        const entries: Record<string, unknown> = {};
        for (const id of page.records.keys()) entries[id] = this.describe(id);
        return { entries };
      },
      (value) => {
        for (const [id, v] of Object.entries(readPage(value) ?? {})) this.written(id, v);
        done();
      },
    );
  }
}
