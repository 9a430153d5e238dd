/**
 * The books on record: read at the beginning of a term, then written flush by flush (docs/budgets.md). One
 * transaction is in flight at a time; each is fenced by the leader's key and puts its values on condition of the
 * versions that they replace.
 */
import { LEADER_KEY } from '@shaleyoke/core/codecs/keys';
import { bytesOf } from '@shaleyoke/core/codecs/value-size';
import type { StoredItem, StoreWrite, VersionCondition } from '@shaleyoke/core/domain/key-value-store';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';
import { pageRoom } from '@shaleyoke/core/storage/packed-pages';

import { Accounts, type Marks } from './accounts.js';
import { addCharge, type Books, noCharge, OpenJob } from './books.js';
import { attemptsOf, type Packed, Packing } from './packing.js';
import {
  chargeOf,
  digestOf,
  HEAD,
  type Head,
  JOURNAL,
  journalKey,
  type JournalPage,
  type JournalRow,
  LIMITS,
  type MonthRow,
  monthRow,
  OPEN,
  openKey,
  OWNERS,
  ownersKey,
  type OwnersPart,
  readHead,
  readJournal,
  readOpen,
  readOwners,
} from './records.js';

const PAGE = 500;
const RETRY: Micros = 500 * MILLI;
const LEAST_PAUSE: Micros = 2 * SECOND;
const MAX_BYTES = 40 * 1024;
/** Head, owners' page, journal page and a closed statement go in one transaction. */
const LEAST_OPS = 4;

/** Bytes of a head without owners, at most. */
const HEAD_REST = 512;

export interface Found {
  /** Everything up to this moment is accounted; null where no books were ever kept. */
  readonly w: Micros | null;
  readonly limits: readonly StoredItem[];
}

export class Store {
  private readonly versions = new Map<string, number>();
  private readonly packing = new Packing();
  private readonly accounts: Accounts;
  private tail: JournalPage = { v: 1, n: 0, prev: '', rows: [] };
  private flushNo = 0;
  /** The journal page at which the first flush began that is not known to be complete. */
  private from = 0;
  private busy = false;
  private due: Micros = 0;
  private room: number;
  /** Records that can't be read: nothing is written over them. */
  blind: string | null = null;
  /** Further puts that are to go with the next head: closed statements. */
  private readonly extra: { owner: string; write: StoreWrite; done: () => void }[] = [];

  constructor(
    private readonly term: LeaderTerm,
    private readonly books: Books,
    marks: Marks,
    private readonly changesPerS: number,
  ) {
    const { maxValueBytes: valueBytes } = term.context.settings;
    this.room = pageRoom(valueBytes);
    this.accounts = new Accounts(books, marks, valueBytes, HEAD_REST);
  }

  // ---- reading -----------------------------------------------------------------------------------

  load(then: (found: Found) => void): void {
    if (this.term.context.settings.maxTransactionOperations < LEAST_OPS) {
      this.term.context.error('budgets.transaction_too_small', {
        txnOps: this.term.context.settings.maxTransactionOperations,
        least: LEAST_OPS,
      });
      this.blind = 'cluster.state.txn_ops';
      then({ w: null, limits: [] });
      return;
    }
    this.get(HEAD, (item) => {
      const head = item === null ? null : readHead(item.value);
      if (item !== null && head === null) {
        this.goBlind(HEAD, then);
        return;
      }
      if (item !== null) this.versions.set(HEAD, item.version);
      this.list(OPEN, '', (open) => {
        const after = head === null || head.j.from === 0 ? '' : journalKey(head.j.from - 1);
        this.list(JOURNAL, after, (journal) => {
          this.list(LIMITS, '', (limits) => {
            this.list(OWNERS, '', (owners) => {
              if (head === null) then({ w: null, limits });
              else if (this.restoreOwners(head, owners, then))
                this.restore(head, open, journal, limits, then);
            });
          });
        });
      });
    });
  }

  private goBlind(key: string, then: (found: Found) => void): void {
    this.blind = key;
    this.term.context.error('budgets.unreadable', { key });
    then({ w: null, limits: [] });
  }

  private restoreOwners(head: Head, owners: readonly StoredItem[], then: (found: Found) => void): boolean {
    this.accounts.adopt(0, head.f, { m: head.m, z: head.z, c: head.c, t: head.t });
    for (const it of owners) {
      const page = readOwners(it.value);
      if (page === null) {
        this.goBlind(it.key, then);
        return false;
      }
      this.versions.set(it.key, it.version);
      const { m, z, c, t } = page;
      this.accounts.adopt(Number(it.key.slice(OWNERS.length)), page.f, { m, z, c, t });
    }
    return true;
  }

  private restore(
    head: Head,
    open: readonly StoredItem[],
    journal: readonly StoredItem[],
    limits: readonly StoredItem[],
    then: (found: Found) => void,
  ): void {
    const { books } = this;
    const inJournal = new Map<string, { over: boolean; months: Set<string> }>();
    for (const it of journal) {
      const page = readJournal(it.value);
      if (page === null) {
        this.goBlind(it.key, then);
        return;
      }
      this.versions.set(it.key, it.version);
      for (const [id, , , months, over] of page.rows) {
        const j = inJournal.get(id) ?? { over: false, months: new Set<string>() };
        inJournal.set(id, j);
        j.over ||= over === 1;
        for (const m of months) j.months.add(m[0]);
      }
      if (page.n === head.j.last) this.tail = page;
    }
    if (this.tail.n !== head.j.last) {
      this.goBlind(journalKey(head.j.last), then);
      return;
    }
    const pages = open.map((it) => ({ it, page: readOpen(it.value) }));
    const unreadable = pages.find((p) => p.page === null);
    if (unreadable !== undefined) {
      this.goBlind(unreadable.it.key, then);
      return;
    }
    for (const [owner, row] of this.accounts.sums()) books.restore(owner, row[0], chargeOf(row), null);
    for (const { it, page } of pages) {
      const n = Number(it.key.slice(OPEN.length));
      this.versions.set(it.key, it.version);
      const rows = Object.entries(page?.jobs ?? {});
      // A job stands on two pages, or on a page and in the journal, where a crash cut a flush short. What it was
      // charged is the same on both pages: it moves with the flush that changes it.
      const mine = rows.filter(([id]) => inJournal.get(id)?.over !== true && !books.jobs.has(id));
      this.packing.adopt(
        n,
        mine.map(([id]) => id),
      );
      for (const [id, row] of mine) {
        const job = books.job(id, row[0], row[1], row[2] === 1);
        job.commit = row[3];
        for (const m of row[4])
          if (inJournal.get(id)?.months.has(m[0]) !== true) books.restore(job.owner, m[0], chargeOf(m), job);
        for (const a of attemptsOf(row))
          books.recorded(job, a.index, a.no, { month: a.month, money: a.money, us: a.us });
      }
    }
    this.flushNo = head.f;
    this.from = head.j.from;
    books.takeOver({ cost: head.cost, platform: head.p });
    then({ w: head.w, limits });
  }

  /** A record as it is now; tried until the state service answers. */
  get(key: string, then: (item: StoredItem | null) => void): void {
    this.term.context.requestStore({ kind: 'get', key }, 1, (r) => {
      if (this.term.hasEnded) return;
      if (r.kind === 'item') then(r.item);
      else if (r.kind === 'missing') then(null);
      else
        this.term.after(RETRY, () => {
          this.get(key, then);
        });
    });
  }

  /** All items under a prefix, after a key. */
  list(
    prefix: string,
    after: string,
    then: (items: readonly StoredItem[]) => void,
    found: StoredItem[] = [],
  ): void {
    const op = { kind: 'list', prefix, limit: PAGE, ...(after === '' ? {} : { after }) } as const;
    this.term.context.requestStore(op, 1, (r) => {
      if (this.term.hasEnded) return;
      if (r.kind !== 'items') {
        this.term.after(RETRY, () => {
          this.list(prefix, after, then, found);
        });
        return;
      }
      found.push(...r.items);
      const last = r.items.at(-1);
      if (r.more && last !== undefined) this.list(prefix, last.key, then, found);
      else then(found);
    });
  }

  // ---- writing -----------------------------------------------------------------------------------

  /** What the journal holds for an owner's month. */
  inJournal(owner: string, month: string): MonthRow {
    return this.accounts.inJournal(owner, month);
  }

  get lastJournalPage(): number {
    return this.tail.n;
  }

  /** Whether a flush may begin: none is under way, and the rate of changes allows it. */
  get ready(): boolean {
    return this.blind === null && !this.busy && this.term.context.now >= this.due;
  }

  /** Puts a record of an owner with the next head, in the same transaction; `done` once that is surely written. */
  with(owner: string, write: StoreWrite, done: () => void): void {
    this.extra.push({ owner, write, done });
  }

  /** Writes the books as they are now. All must be accounted up to `w`; `written` once all of it is on record. */
  flush(w: Micros, written: () => void): void {
    this.busy = true;
    const began = this.term.context.now;
    this.flushNo++;
    const extra = this.extra.shift();
    // Pages of owners that this transaction has to hold: a closed statement never stands without its mark.
    const touched = new Set<number>();
    if (extra !== undefined) this.touch(touched, extra.owner);
    const ops = this.term.context.settings.maxTransactionOperations - 1 - (extra === undefined ? 0 : 1);
    const journal = this.append(ops, touched);
    const open = this.packing.pack(this.stillOpen(), this.room);
    const parts = this.accounts.parts();
    const owners = this.ownersToWrite(parts, touched, ops - journal.length);
    const head = this.head(w, parts.get(0)!);
    if (bytesOf(head) > this.term.context.settings.maxValueBytes - 128) {
      this.goBlind(HEAD, () => undefined);
      this.term.context.error('budgets.too_many_owners', { bytes: bytesOf(head) });
      return;
    }
    const first: StoreWrite[] = [
      { kind: 'put', key: HEAD, value: head },
      ...journal.map((p): StoreWrite => ({ kind: 'put', key: journalKey(p.n), value: p })),
      ...owners.map(([n, part]): StoreWrite => {
        return { kind: 'put', key: ownersKey(n), value: { v: 1, f: this.flushNo, ...part } };
      }),
      ...(extra === undefined ? [] : [extra.write]),
    ];
    const changes = first.length + open.length;
    this.send(first, 'head', () => {
      for (const [n, part] of owners) this.accounts.confirm(n, part);
      extra?.done();
      this.sendOpen(open, () => {
        // Complete: whatever the journal holds stands on no open page any more.
        this.from = this.tail.n;
        this.busy = false;
        const pause = Math.max(LEAST_PAUSE, Math.round((changes / this.changesPerS) * SECOND));
        this.due = began + pause;
        written();
      });
    });
  }

  /**
   * What stands on open pages after this flush: jobs that have not ended, and final amounts for which its journal
   * pages had no room. Those once stood nowhere until the next flush, and a crash took them off their owners.
   */
  private stillOpen(): ReadonlyMap<string, OpenJob> {
    const { books } = this;
    if (books.finals.length === 0) return books.jobs;
    const all = new Map(books.jobs);
    for (const f of books.finals) {
      const live = all.get(f.id);
      const job = new OpenJob(f.id, f.owner, f.cls, live?.service ?? false);
      for (const [month, c] of [...f.months, ...(live?.months ?? [])]) {
        const sum = job.months.get(month) ?? noCharge();
        addCharge(sum, c);
        job.months.set(month, sum);
      }
      for (const [index, a] of live?.attempts ?? []) job.attempts.set(index, a);
      job.commit = live?.commit ?? null;
      all.set(f.id, job);
    }
    return all;
  }

  private touch(touched: Set<number>, owner: string): void {
    const n = this.accounts.homeOf(owner);
    if (n > 0) touched.add(n);
  }

  /** Pages of owners that go with this head: those that must, and others as far as there is room. */
  private ownersToWrite(
    parts: ReadonlyMap<number, OwnersPart>,
    touched: ReadonlySet<number>,
    room: number,
  ): [number, OwnersPart][] {
    const changed = this.accounts.changed(parts);
    const must = changed.filter((n) => touched.has(n));
    const may = changed.filter((n) => !touched.has(n)).slice(0, Math.max(0, room - must.length));
    return [...must, ...may].map((n) => [n, parts.get(n)!]);
  }

  /**
   * Moves final amounts into the journal, as far as `ops` pages take them: the journal's, and those of the owners
   * whose sums they change, which are `touched` then.
   */
  private append(ops: number, touched: Set<number>): JournalPage[] {
    const { finals } = this.books;
    const pages: JournalPage[] = [];
    let rows: JournalRow[] = [...this.tail.rows];
    let size = bytesOf({ ...this.tail, rows });
    let changed = false;
    let bytes = 0;
    const seal = (): void => {
      this.tail = { ...this.tail, rows };
      pages.push(this.tail);
      bytes += size;
      changed = false;
    };
    while (finals.length > 0) {
      const job = finals[0]!;
      const row: JournalRow = [
        job.id,
        job.owner,
        job.cls,
        [...job.months].map(([m, c]) => monthRow(m, c)),
        job.over ? 1 : 0,
      ];
      const more = bytesOf(row) + 1;
      const home = this.accounts.homeOf(job.owner);
      // One page of the journal at least is under way once there is a row.
      const news = home > 0 && !touched.has(home) ? 1 : 0;
      if (pages.length + 1 + touched.size + news > ops) break;
      if (size + more > this.room && rows.length > 0) {
        if (changed) seal();
        if (pages.length + 1 + touched.size + news > ops || bytes + this.room > MAX_BYTES) break;
        this.tail = { v: 1, n: this.tail.n + 1, prev: digestOf(this.tail), rows: [] };
        rows = [];
        size = bytesOf(this.tail);
      }
      finals.shift();
      rows.push(row);
      size += more;
      changed = true;
      this.touch(touched, job.owner);
      this.accounts.post(job.owner, row[3]);
    }
    if (changed) seal();
    return pages;
  }

  private head(w: Micros, owners: OwnersPart): Head {
    const { books } = this;
    return {
      v: 1,
      f: this.flushNo,
      w,
      cost: books.cost,
      p: { ...books.platform },
      ...owners,
      j: { from: this.from, last: this.tail.n, prev: this.tail.prev },
    };
  }

  private sendOpen(pages: Packed[], then: () => void): void {
    const batch: Packed[] = [];
    let bytes = 0;
    while (pages.length > 0 && batch.length < this.term.context.settings.maxTransactionOperations) {
      const size = Buffer.byteLength(pages[0]!.text) + 256;
      if (batch.length > 0 && bytes + size > MAX_BYTES) break;
      bytes += size;
      batch.push(pages.shift()!);
    }
    if (batch.length === 0) {
      then();
      return;
    }
    this.send(
      batch.map(({ n, page }) => ({ kind: 'put', key: openKey(n), value: page })),
      'open',
      () => {
        for (const p of batch) this.packing.confirm(p);
        this.sendOpen(pages, then);
      },
    );
  }

  /** Tried with the same values until it is surely written: what comes after it rests on that. */
  private send(writes: readonly StoreWrite[], what: 'head' | 'open', then: () => void): void {
    const { context: ctx, lease: office, election: leadership } = this.term;
    const conditions: VersionCondition[] = [
      { key: LEADER_KEY, version: office.keyVersion },
      ...writes.map((x) => ({ key: x.key, version: this.versions.get(x.key) ?? 0 })),
    ];
    ctx.requestStore({ kind: 'txn', conditions, writes }, 2, (r) => {
      if (this.term.hasEnded) return;
      if (r.kind === 'ok') {
        for (const x of writes) this.versions.set(x.key, r.revision);
        then();
      } else if (r.kind === 'conflict' && r.failed.includes(LEADER_KEY)) leadership.stepDown('fenced');
      else if (r.kind === 'conflict') {
        // An earlier try was executed after all, or came late: nobody else writes these keys.
        this.reread([...writes.map((x) => x.key)], () => {
          this.send(writes, what, then);
        });
      } else if (r.kind === 'refused' && what === 'head') {
        // Within what the settings promise, and yet refused: an operator has to look at that.
        ctx.error('budgets.write_rejected', { keys: writes.map((x) => x.key), bytes: bytesOf(writes) });
        this.goBlind(HEAD, () => undefined);
      } else if (r.kind === 'refused') {
        // The service takes less than was announced: smaller pages from now on, and nothing more of this flush.
        ctx.error('budgets.write_rejected', { writes: writes.length, bytes: bytesOf(writes) });
        this.room = Math.max(512, Math.floor(this.room * 0.6));
        this.packing.forget();
        this.busy = false;
        this.due = ctx.now + 10 * SECOND;
      } else
        this.term.after(RETRY, () => {
          this.send(writes, what, then);
        });
    });
  }

  private reread(keys: string[], then: () => void): void {
    const key = keys.shift();
    if (key === undefined) {
      then();
      return;
    }
    this.get(key, (item) => {
      this.versions.set(key, item?.version ?? 0);
      this.reread(keys, then);
    });
  }
}
