/**
 * Measures the ledger on generated records of a large cluster: a statement of a month with 1,000,000 attempts, and
 * restoring a ledger with 10,000 running attempts. Run by hand: `node --import tsx packages/budgets/tools/scale.ts`.
 */
import { performance } from 'node:perf_hooks';

import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';

import { Calendar } from '../src/calendar.js';
import { Ledger, zeroPlatformCosts } from '../src/ledger.js';
import { attemptsOf, OpenJobPacking } from '../src/packing.js';
import { buildLedgerView, verifyLedger } from '../src/reader.js';
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

const PAGE_BYTES = 15_000;
const OWNERS = ['a', 'b', 'c', 'd', 'e'];
/** Attempts of a job, about as many as at the operators' sites. */
const ATTEMPTS_PER_JOB = 15;

const measure = <A>(what: string, run: () => A): A => {
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

const generateMonth = (attempts: number): StoredItem[] => {
  const items: StoredItem[] = [];
  const totals = new Map<string, [string, number, number, number, number, number]>();
  let page: JournalPage = { v: 1, n: 0, prev: '', rows: [] };
  let rows: JournalRow[] = [];
  let size = 40;
  let cost = 0;
  const completePage = (): void => {
    page = { ...page, rows };
    items.push({ key: journalKey(page.n), value: page, version: page.n + 1, lease: null });
  };
  for (let run = 0; run < attempts / ATTEMPTS_PER_JOB; run++) {
    const owner = OWNERS[run % OWNERS.length]!;
    const money = 40_000 + ((run * 7919) % 900_000);
    const row: JournalRow = [
      `run-${run}`,
      owner,
      'risico-scoren',
      [['2026-12', money, ATTEMPTS_PER_JOB * 90_000_000, 0, 0, 0]],
      1,
    ];
    const bytes = JSON.stringify(row).length + 1;
    if (size + bytes > PAGE_BYTES) {
      completePage();
      page = { v: 1, n: page.n + 1, prev: digestOf(page), rows: [] };
      rows = [];
      size = 120;
    }
    rows.push(row);
    size += bytes;
    cost += money;
    const total = totals.get(owner) ?? ['2026-12', 0, 0, 0, 0, 0];
    total[1] += money;
    total[2] += ATTEMPTS_PER_JOB * 90_000_000;
    totals.set(owner, total);
  }
  completePage();
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

const items = generateMonth(1_000_000);
const bytes = items.reduce((sum, it) => sum + JSON.stringify(it.value).length, 0);
console.log(`a month of 1,000,000 attempts: ${items.length} values, ${(bytes / 1e6).toFixed(1)} MB`);
const view = measure('read and check the chain', () => buildLedgerView(items));
const statement = measure('one statement', () =>
  statementOf(view, 'a', '2026-12', {
    zone: 'Europe/Warsaw',
    currency: 'EUR',
    limit: { soft: null, hard: null },
  }),
);
console.log(`  ${statement.lines.length} lines, ${statement.totals.charged} ${statement.currency}`);
console.log(`  differences: ${measure('verify the ledger', () => verifyLedger(view)).length}`);

const calendars = new Map(OWNERS.map((o) => [o, new Calendar('Europe/Warsaw')]));
const now = Date.UTC(2026, 11, 1, 12) * 1000;
const ledger = new Ledger(calendars);
ledger.setTime(now);
for (let number = 0; number < 1_000; number++) ledger.addMachine(`m-${number}`, 1_920_000, now, false);
for (let number = 0; number < 1_000; number++) ledger.updateMachine(`m-${number}`, 1_920_000, true);
for (let task = 0; task < 10_000; task++) {
  const jobNumber = Math.floor(task / ATTEMPTS_PER_JOB);
  const job = ledger.openJob(`run-${jobNumber}`, OWNERS[jobNumber % OWNERS.length]!, 'risico-scoren', false);
  ledger.startAttempt(`m-${task % 1_000}`, job, task % ATTEMPTS_PER_JOB, 1 + task, 90_000_000);
}
ledger.setTime(now + 60_000_000);
measure('account for 10,000 running attempts on 1,000 machines', () => {
  ledger.accrueAll();
});
const packing = new OpenJobPacking();
const pages = measure('pack them', () => packing.pack(ledger.jobs, PAGE_BYTES));
console.log(`  ${pages.length} pages, ${(JSON.stringify(pages).length / 1e3).toFixed(0)} kB`);
const values = pages.map((p) => JSON.stringify(p.page));
measure('restore a ledger from them', () => {
  const restored = new Ledger(calendars);
  restored.setTime(now + 61_000_000);
  values.forEach((text) => {
    const page = readOpen(JSON.parse(text))!;
    for (const [id, row] of Object.entries(page.jobs)) {
      const job = restored.openJob(id, row[0], row[1], false);
      for (const monthlyRow of row[4])
        restored.restoreCharge(job.owner, monthlyRow[0], chargeOf(monthlyRow), job);
      for (const attempt of attemptsOf(row))
        restored.restoreAttempt(job, attempt.index, attempt.number, {
          month: attempt.month,
          money: attempt.money,
          runUs: attempt.runUs,
        });
    }
  });
  restored.restoreTotals({ cost: ledger.cost, platform: ledger.platform });
  if (restored.imbalance() !== 0 || restored.totalPending() !== ledger.totalPending())
    throw new Error('the restored ledger differs from the original');
});
