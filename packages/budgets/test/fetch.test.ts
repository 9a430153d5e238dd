/** What tools read of the records: all that a statement needs, without the whole journal. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Calendar } from '@shaleyoke/budgets/calendar';
import { readLedger, readLedgerOfMonth, type StoreAccess } from '@shaleyoke/budgets/fetch';
import {
  closedKey,
  digestOf,
  HEAD_KEY,
  JOURNAL_PREFIX,
  journalKey,
  type JournalPage,
  OPEN_PREFIX,
} from '@shaleyoke/budgets/records';
import { statementOf } from '@shaleyoke/budgets/statement';
import type { StoredItem } from '@shaleyoke/core/domain/key-value-store';
import fc from 'fast-check';

const MONTHS = ['2026-09', '2026-10', '2026-11', '2026-12', '2027-01', '2027-02'];
const calendar = new Calendar('Europe/Warsaw');
const TERMS = { zone: 'Europe/Warsaw', currency: 'EUR', limit: { soft: null, hard: null } };

/** A state service that holds `records` and counts the journal pages that are read. */
const serviceOf = (records: ReadonlyMap<string, unknown>): { service: StoreAccess; pages: () => number } => {
  let pages = 0;
  const item = (key: string): StoredItem => ({ key, value: records.get(key), version: 1, lease: null });
  return {
    pages: () => pages,
    service: {
      list: (prefix, after = '', until = '\uffff') => {
        const keys = [...records.keys()]
          .filter((k) => k.startsWith(prefix) && k > after && k <= until)
          .sort();
        if (prefix === JOURNAL_PREFIX) pages += keys.length;
        return Promise.resolve(keys.map(item));
      },
      get: (key) => Promise.resolve(records.has(key) ? item(key) : null),
      put: () => Promise.reject(new Error('tools only read here')),
    },
  };
};

/** Records as leaders write them: in each step a month may pass, jobs end and a month may be closed, perhaps late. */
const generatedRecords = (
  steps: readonly { passes: boolean; rows: number; late: boolean; closes: boolean }[],
) => {
  const records = new Map<string, unknown>();
  let page: JournalPage = { v: 1, n: 0, prev: '', rows: [] };
  let month = 0;
  let closed = -1;
  let job = 0;
  for (const step of steps) {
    if (step.passes && month < MONTHS.length - 1 && closed >= month - 1) month++;
    const now = calendar.month(MONTHS[month]!).from + 3_600e6;
    if (page.rows.length > 3) page = { v: 1, n: page.n + 1, prev: digestOf(page), rows: [] };
    const rows = [...page.rows];
    for (let row = 0; row < step.rows; row++) {
      const at = step.late && closed < month - 1 ? month - 1 : month;
      rows.push([`run-${job}`, job++ % 3 === 0 ? 'u' : 't', 'c', [[MONTHS[at]!, 10 + job, 5, 0, 0, 0]], 1]);
    }
    page = { ...page, rows };
    records.set(journalKey(page.n), page);
    if (step.closes && closed < month - 1) {
      closed++;
      const closedMonth = MONTHS[closed]!;
      const { from, to } = calendar.month(closedMonth);
      for (const owner of ['t', 'u']) {
        let sum = 0;
        for (const [key, record] of records)
          if (key.startsWith(JOURNAL_PREFIX))
            for (const row of (record as JournalPage).rows)
              if (row[1] === owner)
                for (const monthlyRow of row[3]) if (monthlyRow[0] === closedMonth) sum += monthlyRow[1];
        const limit = { soft: null, hard: null };
        const common = {
          v: 1,
          owner,
          month: closedMonth,
          zone: 'Europe/Warsaw',
          currency: 'EUR',
          from,
          to,
          limit,
        };
        records.set(closedKey(owner, closedMonth), {
          ...common,
          at: now,
          row: [closedMonth, sum, 0, 0, 0, 0],
          carried: 0,
          last: page.n,
        });
      }
    }
  }
  return { records, pages: page.n + 1 };
};

test('a statement made from the needed part of the journal equals that made from all of it', async () => {
  const step = fc.record({
    passes: fc.boolean(),
    rows: fc.integer({ min: 0, max: 4 }),
    late: fc.boolean(),
    closes: fc.boolean(),
  });
  let pagesSkipped = 0;
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 60 }), async (steps) => {
      const { records, pages } = generatedRecords(steps);
      for (const month of MONTHS)
        for (const owner of ['t', 'u']) {
          const { service, pages: read } = serviceOf(records);
          const part = await readLedgerOfMonth(service, owner, month, calendar.month(month).from);
          pagesSkipped += pages - read();
          const whole = await readLedger(service);
          assert.deepEqual(part.problems, []);
          assert.deepEqual(whole.problems, []);
          assert.deepEqual(statementOf(part, owner, month, TERMS), statementOf(whole, owner, month, TERMS));
        }
    }),
    { seed: 11, numRuns: 150 },
  );
  assert.ok(pagesSkipped > 3_000, `${pagesSkipped}`);
});

test('a closed month whose journal rows were changed is reported when its statement is read', async () => {
  const { records } = generatedRecords([
    { passes: false, rows: 3, late: false, closes: false },
    { passes: true, rows: 1, late: false, closes: true },
  ]);
  const page = records.get(journalKey(0)) as JournalPage;
  records.set(journalKey(0), { ...page, rows: page.rows.slice(1) });
  const { service } = serviceOf(records);
  const view = await readLedgerOfMonth(service, 'u', '2026-09', calendar.month('2026-09').from);
  assert.match(view.problems.join(), /u 2026-09: closed at 11, its jobs say 0/);
});

test('a job that moves from an open page to the journal during a read is found exactly once', async () => {
  const { records } = generatedRecords([{ passes: false, rows: 2, late: false, closes: false }]);
  const row = ['t', 'c', 0, 77, [['2026-09', 5, 5, 0, 0, 0]], []];
  records.set(OPEN_PREFIX + '0', { v: 1, jobs: { 'run-99': row } });
  const page = records.get(journalKey(0)) as JournalPage;
  const moved = new Map(records);
  moved.set(journalKey(0), { ...page, rows: [...page.rows, ['run-99', 't', 'c', row[4] as never, 1]] });
  moved.set(OPEN_PREFIX + '0', { v: 1, jobs: {} });
  // The flush happens after each of the reads in turn.
  for (let readsBefore = 0; readsBefore < 6; readsBefore++) {
    let reads = 0;
    const currentService = (): StoreAccess => serviceOf(reads++ < readsBefore ? records : moved).service;
    const service: StoreAccess = {
      list: (...a) => currentService().list(...a),
      get: (key) => (key === HEAD_KEY ? currentService().get(key) : Promise.resolve(null)),
      put: () => Promise.resolve(false),
    };
    const view = await readLedger(service);
    assert.equal(view.lines.filter((l) => l.job === 'run-99').length, 1, `after ${readsBefore} reads`);
  }
});
