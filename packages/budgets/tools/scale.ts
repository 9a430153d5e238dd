/**
 * Measures the books at size, on generated records: a statement of a month of a million attempts, and a takeover
 * with ten thousand open charges. Not a test: run by hand, `node --import tsx packages/budgets/tools/scale.ts`.
 */
import { performance } from 'node:perf_hooks';

import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';

import { Books, noReasons } from '../src/books.js';
import { Calendar } from '../src/calendar.js';
import { attemptsOf, Packing } from '../src/packing.js';
import { verifyBooks, viewBooks } from '../src/reader.js';
import {
  chargeOf,
  digestOf,
  HEAD,
  type Head,
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
  const a = run();
  const used = process.cpuUsage(cpu);
  const ms = (performance.now() - began).toFixed(0);
  console.log(`${what}: ${ms} ms, ${((used.user + used.system) / 1000).toFixed(0)} ms of processor time`);
  return a;
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
  for (let k = 0; k < attempts / TASKS; k++) {
    const owner = OWNERS[k % OWNERS.length]!;
    const money = 40_000 + ((k * 7919) % 900_000);
    const row: JournalRow = [
      `run-${k}`,
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
    const t = totals.get(owner) ?? ['2026-12', 0, 0, 0, 0, 0];
    t[1] += money;
    t[2] += TASKS * 90_000_000;
    totals.set(owner, t);
  }
  seal();
  const head: Head = {
    v: 1,
    f: 1,
    w: Date.UTC(2026, 11, 31) * 1000,
    cost,
    p: noReasons(),
    m: Object.fromEntries([...totals].map(([o, t]) => [o, [t]])),
    z: {},
    c: {},
    t: {},
    j: { from: page.n, last: page.n, prev: page.prev },
  };
  items.push({ key: HEAD, value: head, version: 1, lease: null });
  return items;
};

const items = month(1_000_000);
const bytes = items.reduce((sum, it) => sum + JSON.stringify(it.value).length, 0);
console.log(`a month of 1,000,000 attempts: ${items.length} values, ${(bytes / 1e6).toFixed(1)} MB`);
const view = time('read and check the chain', () => viewBooks(items));
const s = time('one statement', () =>
  statementOf(view, 'a', '2026-12', {
    zone: 'Europe/Warsaw',
    currency: 'EUR',
    limit: { soft: null, hard: null },
  }),
);
console.log(`  ${s.lines.length} lines, ${s.totals.charged} ${s.currency}`);
console.log(`  differences: ${time('verify all books', () => verifyBooks(view)).length}`);

const calendars = new Map(OWNERS.map((o) => [o, new Calendar('Europe/Warsaw')]));
const now = Date.UTC(2026, 11, 1, 12) * 1000;
const open = new Books(calendars);
open.at(now);
for (let k = 0; k < 1_000; k++) open.machine(`m-${k}`, 1_920_000, now, false);
for (let k = 0; k < 1_000; k++) open.update(`m-${k}`, 1_920_000, true);
for (let k = 0; k < 10_000; k++) {
  const j = Math.floor(k / TASKS);
  const job = open.job(`run-${j}`, OWNERS[j % OWNERS.length]!, 'risico-scoren', false);
  open.run(`m-${k % 1_000}`, job, k % TASKS, 1 + k, 90_000_000);
}
open.at(now + 60_000_000);
time('account for 10,000 running attempts on 1,000 machines', () => {
  open.advance();
});
const packing = new Packing();
const pages = time('pack them', () => packing.pack(open.jobs, ROOM));
console.log(`  ${pages.length} pages, ${(JSON.stringify(pages).length / 1e3).toFixed(0)} kB`);
const values = pages.map((p) => JSON.stringify(p.page));
time('take them over', () => {
  const next = new Books(calendars);
  next.at(now + 61_000_000);
  values.forEach((text) => {
    const page = readOpen(JSON.parse(text))!;
    for (const [id, row] of Object.entries(page.jobs)) {
      const job = next.job(id, row[0], row[1], false);
      for (const m of row[4]) next.restore(job.owner, m[0], chargeOf(m), job);
      for (const a of attemptsOf(row))
        next.recorded(job, a.index, a.no, { month: a.month, money: a.money, us: a.us });
    }
  });
  next.takeOver({ cost: open.cost, platform: open.platform });
  if (next.difference() !== 0 || next.pendingInAll() !== open.pendingInAll())
    throw new Error('lost something');
});
