/** Literal records of the ledger as they are in the key-value store: none of their names may ever change. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  closedKey,
  HEAD_KEY,
  journalKey,
  limitKey,
  openKey,
  ownersKey,
  readClosed,
  readHead,
  readJournal,
  readLimit,
  readOpen,
  readOwners,
} from '@shaleyoke/budgets/records';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { simulateBudgets } from './budget-simulation.js';

const owners = {
  m: { t: [['2026-12', 500, 60_000_000, 0, 1, 0]] },
  z: { t: '2026-11' },
  c: { t: ['2026-12', 40] },
  t: { t: '2026-12' },
};
const platform = { boot: 1, unused: 2, lost: 3, stopped: 4, unseen: 5, takeover: 6 };
const HEAD_RECORD = {
  v: 1,
  f: 8,
  w: 1_796_126_400_000_000,
  cost: 900,
  p: platform,
  ...owners,
  j: { from: 1, last: 2, prev: 'ab' },
};
const OPEN_RECORD = {
  v: 1,
  jobs: { 'run-1': ['t', 'c', 0, 700, [['2026-12', 1, 2, 0, 0, 0]], [['2026-12', 50, 1, 0, 10, 20]]] },
};
const JOURNAL_RECORD = {
  v: 1,
  n: 2,
  prev: 'ab',
  rows: [['run-1', 't', 'c', [['2026-12', 1, 2, 0, 0, 0]], 1]],
};
const LIMIT_RECORD = {
  v: 1,
  soft: null,
  hard: 5_000,
  changes: [{ at: 1, by: 'x', why: 'y', before: null, after: { soft: null, hard: 5_000 } }],
};
const CLOSED_RECORD = {
  v: 1,
  owner: 't',
  month: '2026-11',
  zone: 'Europe/Warsaw',
  currency: 'EUR',
  from: 1,
  to: 2,
  at: 3,
  row: ['2026-11', 1, 2, 0, 0, 0],
  limit: { soft: null, hard: 5_000 },
  carried: 0,
  last: 4,
};

test('each record is read unchanged', () => {
  assert.deepEqual(readHead(HEAD_RECORD), HEAD_RECORD);
  assert.deepEqual(readOwners({ v: 1, f: 8, ...owners }), { v: 1, f: 8, ...owners });
  assert.deepEqual(readOpen(OPEN_RECORD), OPEN_RECORD);
  assert.deepEqual(readJournal(JOURNAL_RECORD), JOURNAL_RECORD);
  assert.deepEqual(readLimit(LIMIT_RECORD), LIMIT_RECORD);
  assert.deepEqual(readClosed(CLOSED_RECORD), CLOSED_RECORD);
  const readers = [
    [readHead, HEAD_RECORD],
    [readOpen, OPEN_RECORD],
    [readJournal, JOURNAL_RECORD],
    [readLimit, LIMIT_RECORD],
    [readClosed, CLOSED_RECORD],
  ] as const;
  for (const [read, record] of readers)
    for (const name of Object.keys(record))
      assert.equal(
        read(Object.fromEntries(Object.entries(record).filter(([key]) => key !== name))),
        null,
        name,
      );
});

test('keys of the records have a fixed form', () => {
  assert.deepEqual(
    [HEAD_KEY, openKey(1), ownersKey(1), journalKey(1), limitKey('t'), closedKey('t', '2026-11')],
    ['b/head', 'b/o/1', 'b/a/1', 'b/j/000000001', 'b/l/t', 'b/s/t/2026-11'],
  );
});

test('the records that a leader writes have these fields and no others', () => {
  const { simulation: world } = simulateBudgets(new Random(1));
  world.runFor(3 * SECOND);
  world.submit(makeJobSpec('run-1', { tasks: 2, estimatedRunUs: 20 * SECOND }));
  world.submit(makeJobSpec('run-2', { tasks: 2, estimatedRunUs: 900 * SECOND }));
  world.runFor(120 * SECOND);
  const fieldsOf = (value: unknown): string[] => Object.keys(value as object).sort();
  assert.deepEqual(fieldsOf(world.value('b/head')), fieldsOf(HEAD_RECORD));
  assert.deepEqual(fieldsOf((world.value('b/head') as typeof HEAD_RECORD).p), fieldsOf(platform));
  assert.deepEqual(fieldsOf((world.value('b/head') as typeof HEAD_RECORD).j), ['from', 'last', 'prev']);
  const [journal] = world.keys('b/j/');
  assert.deepEqual(fieldsOf(world.value(journal!)), fieldsOf(JOURNAL_RECORD));
  const open = world.keys('b/o/').map((key) => world.value(key) as typeof OPEN_RECORD);
  assert.ok(open.some((page) => Object.hasOwn(page.jobs, 'run-2')));
  for (const page of open) assert.deepEqual(fieldsOf(page), ['jobs', 'v']);
});
