/**
 * The ledger's records: read at the beginning of a term, then written in flushes (docs/budgets.md). One transaction is
 * in flight at a time. Each is fenced by the version of the leader's key and conditional on the versions of the records
 * that it replaces.
 */
import { LEADER_KEY } from '@shaleyoke/core/codecs/keys';
import { jsonByteLength } from '@shaleyoke/core/codecs/value-size';
import type { StoredItem, StoreWrite, VersionCondition } from '@shaleyoke/core/domain/key-value-store';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import type { LeaderTerm } from '@shaleyoke/core/leadership/leader-term';
import { pageCapacity } from '@shaleyoke/core/storage/packed-pages';

import { OwnerAccounts, type OwnerMarks } from './accounts.js';
import { addCharge, type Ledger, OpenJob, zeroCharge } from './ledger.js';
import { attemptsOf, type ChangedPage, OpenJobPacking } from './packing.js';
import {
  chargeOf,
  digestOf,
  type Head,
  HEAD_KEY,
  JOURNAL_PREFIX,
  journalKey,
  type JournalPage,
  type JournalRow,
  LIMITS_PREFIX,
  type MonthRow,
  monthRow,
  OPEN_PREFIX,
  openKey,
  OWNERS_PREFIX,
  ownersKey,
  type OwnersPart,
  readHead,
  readJournal,
  readOpen,
  readOwners,
} from './records.js';

/** Items of one request to list. */
const LIST_LIMIT = 500;
const RETRY_DELAY: Micros = 500 * MILLISECOND;
const MIN_FLUSH_INTERVAL: Micros = 2 * SECOND;
const MAX_TRANSACTION_BYTES = 40 * 1024;
/** A head, a page of owners, a journal page and a closed month must fit into one transaction. */
const MIN_TRANSACTION_OPERATIONS = 4;

/** Size limit of a head without owners. */
const HEAD_OVERHEAD_BYTES = 512;

/** What reading the records found; the accounts themselves are restored into the ledger. */
export interface LoadedState {
  /** Everything up to this moment is accounted; null if there are no readable records. */
  readonly accountedUntil: Micros | null;
  /** The records of limits that operators set. */
  readonly limits: readonly StoredItem[];
}

/** Restores a ledger from its records and writes it to them. */
export class LedgerStore {
  /** By key: the version that the next write replaces. */
  private readonly versions = new Map<string, number>();
  private readonly packing = new OpenJobPacking();
  private readonly accounts: OwnerAccounts;
  /** The last page of the journal; rows are added to it until it is full. */
  private lastPage: JournalPage = { v: 1, n: 0, prev: '', rows: [] };
  private flushNumber = 0;
  /** The last journal page at the start of the first flush that is not known to be complete. */
  private incompleteFrom = 0;
  private flushing = false;
  private nextFlushAt: Micros = 0;
  /** Size limit of a page. */
  private pageBytes: number;
  /** The record or setting that stopped accounting, such as an unreadable record; nothing is written from then on. */
  stoppedBy: string | null = null;
  /** Records of closed months, each to be written in one transaction with a head. */
  private readonly extraWrites: { owner: string; write: StoreWrite; done: () => void }[] = [];

  constructor(
    private readonly term: LeaderTerm,
    private readonly ledger: Ledger,
    marks: OwnerMarks,
    private readonly changesPerS: number,
  ) {
    const { maxValueBytes: valueBytes } = term.context.settings;
    this.pageBytes = pageCapacity(valueBytes);
    this.accounts = new OwnerAccounts(ledger, marks, valueBytes, HEAD_OVERHEAD_BYTES);
  }

  // ---- reading -----------------------------------------------------------------------------------

  /** Reads all records and restores the ledger; retries until the state service answers. */
  load(then: (loaded: LoadedState) => void): void {
    if (this.term.context.settings.maxTransactionOperations < MIN_TRANSACTION_OPERATIONS) {
      this.term.context.error('budgets.transaction_too_small', {
        txnOps: this.term.context.settings.maxTransactionOperations,
        least: MIN_TRANSACTION_OPERATIONS,
      });
      this.stoppedBy = 'cluster.state.txn_ops';
      then({ accountedUntil: null, limits: [] });
      return;
    }
    this.get(HEAD_KEY, (item) => {
      const head = item === null ? null : readHead(item.value);
      if (item !== null && head === null) {
        this.stop(HEAD_KEY, then);
        return;
      }
      if (item !== null) this.versions.set(HEAD_KEY, item.version);
      this.list(OPEN_PREFIX, '', (open) => {
        const after = head === null || head.j.from === 0 ? '' : journalKey(head.j.from - 1);
        this.list(JOURNAL_PREFIX, after, (journal) => {
          this.list(LIMITS_PREFIX, '', (limits) => {
            this.list(OWNERS_PREFIX, '', (owners) => {
              if (head === null) then({ accountedUntil: null, limits });
              else if (this.restoreOwners(head, owners, then))
                this.restore(head, open, journal, limits, then);
            });
          });
        });
      });
    });
  }

  /** Stops reading and writing because of a record, so that it isn't overwritten. */
  private stop(key: string, then: (found: LoadedState) => void): void {
    this.stoppedBy = key;
    this.term.context.error('budgets.unreadable', { key });
    then({ accountedUntil: null, limits: [] });
  }

  /** Restores the accounts of the head and of owners' pages; false if a page can't be read. */
  private restoreOwners(
    head: Head,
    owners: readonly StoredItem[],
    then: (found: LoadedState) => void,
  ): boolean {
    this.accounts.restorePage(0, head.f, { m: head.m, z: head.z, c: head.c, t: head.t });
    for (const item of owners) {
      const page = readOwners(item.value);
      if (page === null) {
        this.stop(item.key, then);
        return false;
      }
      this.versions.set(item.key, item.version);
      const { m, z, c, t } = page;
      this.accounts.restorePage(Number(item.key.slice(OWNERS_PREFIX.length)), page.f, { m, z, c, t });
    }
    return true;
  }

  /** Restores journal, open jobs and totals. */
  private restore(
    head: Head,
    open: readonly StoredItem[],
    journal: readonly StoredItem[],
    limits: readonly StoredItem[],
    then: (found: LoadedState) => void,
  ): void {
    const { ledger } = this;
    const inJournal = new Map<string, { over: boolean; months: Set<string> }>();
    for (const item of journal) {
      const page = readJournal(item.value);
      if (page === null) {
        this.stop(item.key, then);
        return;
      }
      this.versions.set(item.key, item.version);
      for (const [id, , , months, over] of page.rows) {
        const journaled = inJournal.get(id) ?? { over: false, months: new Set<string>() };
        inJournal.set(id, journaled);
        journaled.over ||= over === 1;
        for (const monthlyRow of months) journaled.months.add(monthlyRow[0]);
      }
      if (page.n === head.j.last) this.lastPage = page;
    }
    if (this.lastPage.n !== head.j.last) {
      this.stop(journalKey(head.j.last), then);
      return;
    }
    const pages = open.map((it) => ({ it, page: readOpen(it.value) }));
    const unreadable = pages.find((p) => p.page === null);
    if (unreadable !== undefined) {
      this.stop(unreadable.it.key, then);
      return;
    }
    for (const [owner, row] of this.accounts.monthRows())
      ledger.restoreCharge(owner, row[0], chargeOf(row), null);
    for (const { it: item, page } of pages) {
      const pageNumber = Number(item.key.slice(OPEN_PREFIX.length));
      this.versions.set(item.key, item.version);
      const rows = Object.entries(page?.jobs ?? {});
      // After a crash during a flush a job may be on two pages, or on a page and in the journal. Both pages have the
      // same charges, since a job moves to another page in the flush that changes it.
      const restored = rows.filter(([id]) => inJournal.get(id)?.over !== true && !ledger.jobs.has(id));
      this.packing.restorePage(
        pageNumber,
        restored.map(([id]) => id),
      );
      for (const [id, row] of restored) {
        const job = ledger.openJob(id, row[0], row[1], row[2] === 1);
        job.commitment = row[3];
        for (const monthlyRow of row[4])
          if (inJournal.get(id)?.months.has(monthlyRow[0]) !== true)
            ledger.restoreCharge(job.owner, monthlyRow[0], chargeOf(monthlyRow), job);
        for (const attempt of attemptsOf(row))
          ledger.restoreAttempt(job, attempt.index, attempt.number, {
            month: attempt.month,
            money: attempt.money,
            runUs: attempt.runUs,
          });
      }
    }
    this.flushNumber = head.f;
    this.incompleteFrom = head.j.from;
    ledger.restoreTotals({ cost: head.cost, platform: head.p });
    then({ accountedUntil: head.w, limits });
  }

  /** Reads a record; retries until the state service answers. */
  get(key: string, then: (item: StoredItem | null) => void): void {
    this.term.context.requestStore({ kind: 'get', key }, 1, (reply) => {
      if (this.term.hasEnded) return;
      if (reply.kind === 'item') then(reply.item);
      else if (reply.kind === 'missing') then(null);
      else
        this.term.after(RETRY_DELAY, () => {
          this.get(key, then);
        });
    });
  }

  /** Lists all items under a prefix, after a key; retries until the state service answers. */
  list(
    prefix: string,
    after: string,
    then: (items: readonly StoredItem[]) => void,
    found: StoredItem[] = [],
  ): void {
    const op = { kind: 'list', prefix, limit: LIST_LIMIT, ...(after === '' ? {} : { after }) } as const;
    this.term.context.requestStore(op, 1, (reply) => {
      if (this.term.hasEnded) return;
      if (reply.kind !== 'items') {
        this.term.after(RETRY_DELAY, () => {
          this.list(prefix, after, then, found);
        });
        return;
      }
      found.push(...reply.items);
      const last = reply.items.at(-1);
      if (reply.more && last !== undefined) this.list(prefix, last.key, then, found);
      else then(found);
    });
  }

  // ---- writing -----------------------------------------------------------------------------------

  /** The sum of an owner's month in the journal. */
  journaledRow(owner: string, month: string): MonthRow {
    return this.accounts.journaledRow(owner, month);
  }

  /** Number of the last page of the journal. */
  get lastJournalPage(): number {
    return this.lastPage.n;
  }

  /** Whether a flush may begin: none is in progress, and the permitted rate of changes allows it. */
  get ready(): boolean {
    return this.stoppedBy === null && !this.flushing && this.term.context.now >= this.nextFlushAt;
  }

  /** Writes a record of an owner in one transaction with a coming head; `done`: called once it is written. */
  writeWithHead(owner: string, write: StoreWrite, done: () => void): void {
    this.extraWrites.push({ owner, write, done });
  }

  /**
   * Writes the ledger as it is now. Everything must be accounted up to `accountedUntil`; `written`: called once all
   * records are written.
   */
  flush(accountedUntil: Micros, written: () => void): void {
    this.flushing = true;
    const began = this.term.context.now;
    this.flushNumber++;
    const extra = this.extraWrites.shift();
    // Pages of owners that must be in this transaction: a closed month is recorded together with its owner's mark.
    const requiredPages = new Set<number>();
    if (extra !== undefined) this.requirePage(requiredPages, extra.owner);
    const remainingOperations =
      this.term.context.settings.maxTransactionOperations - 1 - (extra === undefined ? 0 : 1);
    const journal = this.appendToJournal(remainingOperations, requiredPages);
    const open = this.packing.pack(this.openJobs(), this.pageBytes);
    const parts = this.accounts.partsByPage();
    const owners = this.ownersToWrite(parts, requiredPages, remainingOperations - journal.length);
    const head = this.headRecord(accountedUntil, parts.get(0)!);
    if (jsonByteLength(head) > this.term.context.settings.maxValueBytes - 128) {
      this.stop(HEAD_KEY, () => undefined);
      this.term.context.error('budgets.too_many_owners', { bytes: jsonByteLength(head) });
      return;
    }
    const first: StoreWrite[] = [
      { kind: 'put', key: HEAD_KEY, value: head },
      ...journal.map((p): StoreWrite => ({ kind: 'put', key: journalKey(p.n), value: p })),
      ...owners.map(([pageNumber, part]): StoreWrite => {
        return { kind: 'put', key: ownersKey(pageNumber), value: { v: 1, f: this.flushNumber, ...part } };
      }),
      ...(extra === undefined ? [] : [extra.write]),
    ];
    const changes = first.length + open.length;
    this.writeUntilConfirmed(first, 'head', () => {
      for (const [pageNumber, part] of owners) this.accounts.confirmWritten(pageNumber, part);
      extra?.done();
      this.writeOpenPages(open, () => {
        // The flush is complete: no row of the journal is also on an open page.
        this.incompleteFrom = this.lastPage.n;
        this.flushing = false;
        const pause = Math.max(MIN_FLUSH_INTERVAL, Math.round((changes / this.changesPerS) * SECOND));
        this.nextFlushAt = began + pause;
        written();
      });
    });
  }

  /**
   * What this flush writes to open pages: jobs that have not ended, and final amounts for which its journal pages
   * had no room. When the latter were written nowhere until the next flush, a crash lost these charges.
   */
  private openJobs(): ReadonlyMap<string, OpenJob> {
    const { ledger } = this;
    if (ledger.finalAmounts.length === 0) return ledger.jobs;
    const all = new Map(ledger.jobs);
    for (const final of ledger.finalAmounts) {
      const openJob = all.get(final.id);
      const job = new OpenJob(final.id, final.owner, final.jobClass, openJob?.service ?? false);
      for (const [month, charge] of [...final.months, ...(openJob?.months ?? [])]) {
        const sum = job.months.get(month) ?? zeroCharge();
        addCharge(sum, charge);
        job.months.set(month, sum);
      }
      for (const [index, attempt] of openJob?.attempts ?? []) job.attempts.set(index, attempt);
      job.commitment = openJob?.commitment ?? null;
      all.set(final.id, job);
    }
    return all;
  }

  /** Adds the owner's page to the required ones, unless the owner is in the head. */
  private requirePage(requiredPages: Set<number>, owner: string): void {
    const pageNumber = this.accounts.pageOf(owner);
    if (pageNumber > 0) requiredPages.add(pageNumber);
  }

  /** Changed pages of owners to write with this head: the required ones, then others up to `room` pages in all. */
  private ownersToWrite(
    parts: ReadonlyMap<number, OwnersPart>,
    requiredPages: ReadonlySet<number>,
    room: number,
  ): [number, OwnersPart][] {
    const changed = this.accounts.changedPages(parts);
    const required = changed.filter((n) => requiredPages.has(n));
    const optional = changed
      .filter((n) => !requiredPages.has(n))
      .slice(0, Math.max(0, room - required.length));
    return [...required, ...optional].map((n) => [n, parts.get(n)!]);
  }

  /**
   * Moves final amounts into the journal as long as `maxPages` suffice for both the journal's pages and the pages of
   * the owners whose sums change, which are added to `requiredPages`.
   */
  private appendToJournal(maxPages: number, requiredPages: Set<number>): JournalPage[] {
    const { finalAmounts } = this.ledger;
    const pages: JournalPage[] = [];
    let rows: JournalRow[] = [...this.lastPage.rows];
    let size = jsonByteLength({ ...this.lastPage, rows });
    let changed = false;
    let bytes = 0;
    const completePage = (): void => {
      this.lastPage = { ...this.lastPage, rows };
      pages.push(this.lastPage);
      bytes += size;
      changed = false;
    };
    while (finalAmounts.length > 0) {
      const job = finalAmounts[0]!;
      const row: JournalRow = [
        job.id,
        job.owner,
        job.jobClass,
        [...job.months].map(([m, c]) => monthRow(m, c)),
        job.jobComplete ? 1 : 0,
      ];
      const rowBytes = jsonByteLength(row) + 1;
      const ownerPage = this.accounts.pageOf(job.owner);
      // The row needs a journal page that isn't in `pages` yet, and possibly the page of its owner.
      const addedPages = ownerPage > 0 && !requiredPages.has(ownerPage) ? 1 : 0;
      if (pages.length + 1 + requiredPages.size + addedPages > maxPages) break;
      if (size + rowBytes > this.pageBytes && rows.length > 0) {
        if (changed) completePage();
        if (
          pages.length + 1 + requiredPages.size + addedPages > maxPages ||
          bytes + this.pageBytes > MAX_TRANSACTION_BYTES
        )
          break;
        this.lastPage = { v: 1, n: this.lastPage.n + 1, prev: digestOf(this.lastPage), rows: [] };
        rows = [];
        size = jsonByteLength(this.lastPage);
      }
      finalAmounts.shift();
      rows.push(row);
      size += rowBytes;
      changed = true;
      this.requirePage(requiredPages, job.owner);
      this.accounts.addJournaled(job.owner, row[3]);
    }
    if (changed) completePage();
    return pages;
  }

  private headRecord(accountedUntil: Micros, owners: OwnersPart): Head {
    const { ledger } = this;
    return {
      v: 1,
      f: this.flushNumber,
      w: accountedUntil,
      cost: ledger.cost,
      p: { ...ledger.platform },
      ...owners,
      j: { from: this.incompleteFrom, last: this.lastPage.n, prev: this.lastPage.prev },
    };
  }

  /** Writes open pages in transactions of limited size, one after another. */
  private writeOpenPages(pages: ChangedPage[], then: () => void): void {
    const batch: ChangedPage[] = [];
    let bytes = 0;
    while (pages.length > 0 && batch.length < this.term.context.settings.maxTransactionOperations) {
      const size = Buffer.byteLength(pages[0]!.text) + 256;
      if (batch.length > 0 && bytes + size > MAX_TRANSACTION_BYTES) break;
      bytes += size;
      batch.push(pages.shift()!);
    }
    if (batch.length === 0) {
      then();
      return;
    }
    this.writeUntilConfirmed(
      batch.map(({ pageNumber, page }) => ({ kind: 'put', key: openKey(pageNumber), value: page })),
      'open',
      () => {
        for (const changed of batch) this.packing.confirmWritten(changed);
        this.writeOpenPages(pages, then);
      },
    );
  }

  /**
   * Repeats a transaction with the same values until it is known to be written, since later writes depend on it.
   * Refused writes are not repeated.
   */
  private writeUntilConfirmed(
    writes: readonly StoreWrite[],
    target: 'head' | 'open',
    then: () => void,
  ): void {
    const { context, lease, election } = this.term;
    const conditions: VersionCondition[] = [
      { key: LEADER_KEY, version: lease.keyVersion },
      ...writes.map((x) => ({ key: x.key, version: this.versions.get(x.key) ?? 0 })),
    ];
    context.requestStore({ kind: 'txn', conditions, writes }, 2, (reply) => {
      if (this.term.hasEnded) return;
      if (reply.kind === 'ok') {
        for (const write of writes) this.versions.set(write.key, reply.revision);
        then();
      } else if (reply.kind === 'conflict' && reply.failed.includes(LEADER_KEY)) election.stepDown('fenced');
      else if (reply.kind === 'conflict') {
        // An earlier attempt was executed after all, perhaps late; no other writer uses these keys.
        this.rereadVersions([...writes.map((x) => x.key)], () => {
          this.writeUntilConfirmed(writes, target, then);
        });
      } else if (reply.kind === 'refused' && target === 'head') {
        // Refused although it is within the limits of the settings: this needs an operator.
        context.error('budgets.write_rejected', {
          keys: writes.map((x) => x.key),
          bytes: jsonByteLength(writes),
        });
        this.stop(HEAD_KEY, () => undefined);
      } else if (reply.kind === 'refused') {
        // The service accepts less than its settings say: end this flush and use smaller pages from now on.
        context.error('budgets.write_rejected', { writes: writes.length, bytes: jsonByteLength(writes) });
        this.pageBytes = Math.max(512, Math.floor(this.pageBytes * 0.6));
        this.packing.markAllChanged();
        this.flushing = false;
        this.nextFlushAt = context.now + 10 * SECOND;
      } else
        this.term.after(RETRY_DELAY, () => {
          this.writeUntilConfirmed(writes, target, then);
        });
    });
  }

  /** Reads the present versions of the keys, one after another. */
  private rereadVersions(keys: string[], then: () => void): void {
    const key = keys.shift();
    if (key === undefined) {
      then();
      return;
    }
    this.get(key, (item) => {
      this.versions.set(key, item?.version ?? 0);
      this.rereadVersions(keys, then);
    });
  }
}
