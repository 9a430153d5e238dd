/** Settings, statements and commands: clear errors, nothing of another owner, and what was changed is found out. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { explainJob } from '@shaleyoke/budgets/explain';
import { verifyBooks, viewBooks } from '@shaleyoke/budgets/reader';
import { digestOf, readHead, readJournal, readOpen } from '@shaleyoke/budgets/records';
import { BudgetSettingsError, parseBudgets } from '@shaleyoke/budgets/settings';
import { type Statement, statementCsv, statementOf, textOf } from '@shaleyoke/budgets/statement';
import { verifyStatement } from '@shaleyoke/budgets/verify';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import fc from 'fast-check';

import { play, settings, TEAMS, view } from './played.js';

const TERMS = { zone: 'Europe/Warsaw', currency: 'EUR', limit: { soft: null, hard: 5_000_000 } };

const world = (): ReturnType<typeof play>['w'] => {
  const { w } = play(new Random(12), 'owners:\n  u: { hard: 0.02 }\n');
  w.runFor(4 * SECOND);
  for (let i = 0; i < 4; i++)
    w.submit(
      specOf(`run-${i}`, { team: i % 2 === 0 ? 't' : 'u', class: i % 2 === 0 ? 'geheim-t' : 'geheim-u' }),
    );
  w.submit(specOf('run-8', { team: 'u', tasks: 9, estimatedRunUs: 100 * SECOND }));
  w.runFor(120 * SECOND);
  return w;
};

test('a statement holds nothing of another owner, adds up, and whoever changes a byte is found out', () => {
  const v = view(world());
  for (const [owner, other] of [
    ['t', 'u'],
    ['u', 't'],
  ] as const) {
    const s = statementOf(v, owner, '2026-12', TERMS);
    assert.equal(s.lines.length, 2);
    for (const text of [JSON.stringify(s), statementCsv(s), textOf(s)]) {
      assert.ok(text.includes(`geheim-${owner}`) || text.includes(s.totals.charged));
      assert.ok(!text.includes(`geheim-${other}`));
      for (const l of v.lines) if (l.owner === other) assert.ok(!text.includes(l.job), l.job);
    }
    const json = JSON.stringify(s, null, 2);
    assert.deepEqual(verifyStatement(json), []);
    const line = { ...s.lines[0]!, charged: '0.000001' };
    const changed: Statement = { ...s, lines: [line, ...s.lines.slice(1)] };
    assert.ok(verifyStatement(JSON.stringify(changed)).some((p) => p.startsWith('digest')));
    const { digest: _, ...body } = changed;
    const cunning = JSON.stringify({ ...changed, digest: digestOf(body) });
    assert.ok(verifyStatement(cunning).some((p) => p.startsWith('totals.charged')));
    assert.ok(verifyStatement(JSON.stringify({ ...s, owner: 7 })).some((p) => p.startsWith('owner')));
  }
  assert.ok(verifyStatement('{').length === 1);
});

test('why a job waits for money is told from the records alone', () => {
  const w = world();
  const facts = {
    active: w.keys('j/').map((key) => ({ key, value: w.value(key), version: 1, lease: null })),
    ended: null,
    types: { key: 'types', value: w.value('types'), version: 1, lease: null },
    timings: null,
  };
  const lines = explainJob('run-8', facts, view(w), settings('owners:\n  u: { hard: 0.02 }\n'), w.wall);
  assert.match(
    lines[0]!,
    /run-8: held back: budget of u: 0\.0\d+ of 0\.020000 EUR left in 2026-12, about 0\.\d+ needed/,
  );
  assert.match(explainJob('run-77', facts, view(w), settings(), w.wall)[0]!, /no such job/);
});

test('books that were tampered with do not agree, and say where', () => {
  const w = world();
  const items = w
    .keys('b/')
    .map((key) => ({ key, value: structuredClone(w.value(key)), version: 1, lease: null }));
  assert.deepEqual(verifyBooks(viewBooks(items)), []);
  const head = readHead(w.value('b/head'))!;
  const with_ = (key: string, value: unknown): string[] =>
    verifyBooks(viewBooks(items.map((it) => (it.key === key ? { ...it, value } : it))));
  assert.match(with_('b/head', { ...head, cost: head.cost + 1 }).join(), /pending/);
  const [, ...rows] = head.m['t']!;
  assert.match(
    with_('b/head', { ...head, m: { ...head.m, t: [['2026-12', 1, 1, 0, 0, 0], ...rows] } }).join(),
    /the head says 1/,
  );
  assert.match(with_('b/head', { v: 2 }).join(), /b\/head: can't be read/);
});

test('wrong settings are named with what to do, each of them', () => {
  const wrong = (yaml: string): string => {
    try {
      parseBudgets(yaml, TEAMS, 'budgets.yaml');
    } catch (e) {
      assert.ok(e instanceof BudgetSettingsError);
      return e.message;
    }
    return 'accepted';
  };
  const good = 'version: 1\ncurrency: EUR\nzone: Europe/Warsaw\n';
  assert.equal(wrong(good), 'accepted');
  assert.match(wrong(`${good}owners:\n  x: { hard: 1 }\n`), /owners\.x: no team .* t, u/);
  assert.match(wrong(`${good}owners:\n  t: { hard: -1 }\n`), /owners\.t\.hard: .*expected an amount/);
  assert.match(wrong(`${good}owners:\n  t: { hard: 1, soft: 2 }\n`), /owners\.t\.soft: is above hard/);
  assert.match(wrong(`${good}owners:\n  t: { zone: Warschau }\n`), /owners\.t\.zone: expected a time zone/);
  assert.match(wrong('version: 1\ncurrency: euro\nzone: UTC\n'), /currency: expected three capitals/);
  assert.match(wrong(`${good}qantile: 0.9\n`), /qantile/);
  assert.match(wrong('a: ['), /budgets\.yaml/);
  assert.equal(
    wrong(readFileSync(new URL('../../../deploy/budgets.yaml', import.meta.url), 'utf8')),
    'accepted',
  );
});

test('whatever stands in a record is read whole or not at all', () => {
  const any = fc.anything({ maxDepth: 4, withBigInt: true });
  fc.assert(
    fc.property(any, fc.constantFrom(readHead, readOpen, readJournal), (value, read) => {
      const r = read(value);
      if (r !== null) assert.deepEqual(Object.keys(r).includes('v'), true);
    }),
    { seed: 5, numRuns: 400 },
  );
  const page = { v: 1, n: 0, prev: '', rows: [['run-1', 't', 'c', [['2026-12', 1, 2, 3, 4, 5]], 1]] };
  assert.deepEqual(readJournal(page), page);
  for (const bad of [-1, 1.5, '1', null])
    assert.equal(
      readJournal({ ...page, rows: [['run-1', 't', 'c', [['2026-12', bad, 2, 3, 4, 5]], 1]] }),
      null,
    );
});
