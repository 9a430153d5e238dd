/**
 * Measures the books at size, on generated records: a statement of a month of a million attempts, and a takeover
 * with ten thousand open charges. Not a test: run by hand, `node --import tsx packages/budgets/tools/scale.ts`.
 */
import { performance } from 'node:perf_hooks';

import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';

import { Ledger, zeroPlatformCosts } from '../src/books.js';
import { Calendar } from '../src/calendar.js';
import { attemptsOf, OpenJobPacking } from '../src/packing.js';
import { verifyBooks, viewBooks } from '../src/reader.js';
import {
  chargeOf,
  digestOf,
  type Head,
  HEAD_KEY,
  journalKey,
  type JournalPage,
  type JournalRow,
  readOpen,
} from '../src/records.js';
import { statementOf } from '../src/statement.js';

const ROOM = 15_000;
const OWNERS = ['a', 'b', 'c', 'd', 'e'];
/** Attempts of a job, about as at the operators' sites. */
const TASKS = 15;

const time = <A>(what: string, run: () => A): A => {
  const cpu = process.cpuUsage();
  const began = performance.now();
  const result = run();
  const used = process.cpuUsage(cpu);
  const elapsedMs = (performance.now() - began).toFixed(0);
  console.log(
    `${what}: ${elapsedMs} ms, ${((used.user + used.system) / 1000).toFixed(0)} ms of processor time`,
  );
  return result;
};

const month = (attempts: number): StoredItem[] => {
  const items: StoredItem[] = [];
  const totals = new Map<string, [string, number, number, number, number, number]>();
  let page: JournalPage = { v: 1, n: 0, prev: '', rows: [] };
  let rows: JournalRow[] = [];
  let size = 40;
  let cost = 0;
  const seal = (): void => {
    page = { ...page, rows };
    items.push({ key: journalKey(page.n), value: page, version: page.n + 1, lease: null });
  };
  for (let run = 0; run < attempts / TASKS; run++) {
    const owner = OWNERS[run % OWNERS.length]!;
    const money = 40_000 + ((run * 7919) % 900_000);
    const row: JournalRow = [
      `run-${run}`,
      owner,
      'risico-scoren',
      [['2026-12', money, TASKS * 90_000_000, 0, 0, 0]],
      1,
    ];
    const bytes = JSON.stringify(row).length + 1;
    if (size + bytes > ROOM) {
      seal();
      page = { v: 1, n: page.n + 1, prev: digestOf(page), rows: [] };
      rows = [];
      size = 120;
    }
    rows.push(row);
    size += bytes;
    cost += money;
    const total = totals.get(owner) ?? ['2026-12', 0, 0, 0, 0, 0];
    total[1] += money;
    total[2] += TASKS * 90_000_000;
    totals.set(owner, total);
  }
  seal();
  const head: Head = {
    v: 1,
    f: 1,
    w: Date.UTC(2026, 11, 31) * 1000,
    cost,
    p: zeroPlatformCosts(),
    m: Object.fromEntries([...totals].map(([o, t]) => [o, [t]])),
    z: {},
    c: {},
    t: {},
    j: { from: page.n, last: page.n, prev: page.prev },
  };
  items.push({ key: HEAD_KEY, value: head, version: 1, lease: null });
  return items;
};

const items = month(1_000_000);
const bytes = items.reduce((sum, it) => sum + JSON.stringify(it.value).length, 0);
console.log(`a month of 1,000,000 attempts: ${items.length} values, ${(bytes / 1e6).toFixed(1)} MB`);
const view = time('read and check the chain', () => viewBooks(items));
const statement = time('one statement', () =>
  statementOf(view, 'a', '2026-12', {
    zone: 'Europe/Warsaw',
    currency: 'EUR',
    limit: { soft: null, hard: null },
  }),
);
console.log(`  ${statement.lines.length} lines, ${statement.totals.charged} ${statement.currency}`);
console.log(`  differences: ${time('verify all books', () => verifyBooks(view)).length}`);

const calendars = new Map(OWNERS.map((o) => [o, new Calendar('Europe/Warsaw')]));
const now = Date.UTC(2026, 11, 1, 12) * 1000;
const open = new Ledger(calendars);
open.setTime(now);
for (let number = 0; number < 1_000; number++) open.addMachine(`m-${number}`, 1_920_000, now, false);
for (let number = 0; number < 1_000; number++) open.updateMachine(`m-${number}`, 1_920_000, true);
for (let task = 0; task < 10_000; task++) {
  const jobNumber = Math.floor(task / TASKS);
  const job = open.openJob(`run-${jobNumber}`, OWNERS[jobNumber % OWNERS.length]!, 'risico-scoren', false);
  open.startAttempt(`m-${task % 1_000}`, job, task % TASKS, 1 + task, 90_000_000);
}
open.setTime(now + 60_000_000);
time('account for 10,000 running attempts on 1,000 machines', () => {
  open.accrueAll();
});
const packing = new OpenJobPacking();
const pages = time('pack them', () => packing.pack(open.jobs, ROOM));
console.log(`  ${pages.length} pages, ${(JSON.stringify(pages).length / 1e3).toFixed(0)} kB`);
const values = pages.map((p) => JSON.stringify(p.page));
time('take them over', () => {
  const next = new Ledger(calendars);
  next.setTime(now + 61_000_000);
  values.forEach((text) => {
    const page = readOpen(JSON.parse(text))!;
    for (const [id, row] of Object.entries(page.jobs)) {
      const job = next.openJob(id, row[0], row[1], false);
      for (const monthlyRow of row[4])
        next.restoreCharge(job.owner, monthlyRow[0], chargeOf(monthlyRow), job);
      for (const attempt of attemptsOf(row))
        next.restoreAttempt(job, attempt.index, attempt.number, {
          month: attempt.month,
          money: attempt.money,
          runUs: attempt.runUs,
        });
    }
  });
  next.restoreTotals({ cost: open.cost, platform: open.platform });
  if (next.imbalance() !== 0 || next.totalPending() !== open.totalPending())
    throw new Error('lost something');
});
