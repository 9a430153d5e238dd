/** Settings, statements and explanations: clear errors, nothing of other owners, and changed content is detected. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { explainJob } from '@shaleyoke/budgets/explain';
import { buildLedgerView, verifyLedger } from '@shaleyoke/budgets/reader';
import { digestOf, readHead, readJournal, readOpen } from '@shaleyoke/budgets/records';
import { BudgetSettingsError, parseBudgets } from '@shaleyoke/budgets/settings';
import { type Statement, statementCsv, statementOf, statementText } from '@shaleyoke/budgets/statement';
import { verifyStatement } from '@shaleyoke/budgets/verify';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';
import fc from 'fast-check';

import { budgetSettings, recordedView, simulateBudgets, TEAMS } from './budget-simulation.js';

const TERMS = { zone: 'Europe/Warsaw', currency: 'EUR', limit: { soft: null, hard: 5_000_000 } };

const simulateJobs = (): ReturnType<typeof simulateBudgets>['simulation'] => {
  const { simulation } = simulateBudgets(new Random(12), 'owners:\n  u: { hard: 0.02 }\n');
  simulation.runFor(4 * SECOND);
  for (let i = 0; i < 4; i++)
    simulation.submit(
      makeJobSpec(`run-${i}`, {
        team: i % 2 === 0 ? 't' : 'u',
        class: i % 2 === 0 ? 'geheim-t' : 'geheim-u',
      }),
    );
  simulation.submit(makeJobSpec('run-8', { team: 'u', tasks: 9, estimatedRunUs: 100 * SECOND }));
  simulation.runFor(120 * SECOND);
  return simulation;
};

test('a statement holds nothing of other owners, adds up, and fails verification once it is changed', () => {
  const view = recordedView(simulateJobs());
  for (const [owner, other] of [
    ['t', 'u'],
    ['u', 't'],
  ] as const) {
    const statement = statementOf(view, owner, '2026-12', TERMS);
    assert.equal(statement.lines.length, 2);
    for (const text of [JSON.stringify(statement), statementCsv(statement), statementText(statement)]) {
      assert.ok(text.includes(`geheim-${owner}`) || text.includes(statement.totals.charged));
      assert.ok(!text.includes(`geheim-${other}`));
      for (const charge of view.lines)
        if (charge.owner === other) assert.ok(!text.includes(charge.job), charge.job);
    }
    const json = JSON.stringify(statement, null, 2);
    assert.deepEqual(verifyStatement(json), []);
    const line = { ...statement.lines[0]!, charged: '0.000001' };
    const changed: Statement = { ...statement, lines: [line, ...statement.lines.slice(1)] };
    assert.ok(verifyStatement(JSON.stringify(changed)).some((p) => p.startsWith('digest')));
    const { digest: _, ...body } = changed;
    const redigested = JSON.stringify({ ...changed, digest: digestOf(body) });
    assert.ok(verifyStatement(redigested).some((p) => p.startsWith('totals.charged')));
    assert.ok(verifyStatement(JSON.stringify({ ...statement, owner: 7 })).some((p) => p.startsWith('owner')));
  }
  assert.ok(verifyStatement('{').length === 1);
});

test('the records alone explain why a job is held back by a limit', () => {
  const simulation = simulateJobs();
  const facts = {
    active: simulation
      .keys('j/')
      .map((key) => ({ key, value: simulation.value(key), version: 1, lease: null })),
    ended: null,
    types: { key: 'types', value: simulation.value('types'), version: 1, lease: null },
    timings: null,
  };
  const lines = explainJob(
    'run-8',
    facts,
    recordedView(simulation),
    budgetSettings('owners:\n  u: { hard: 0.02 }\n'),
    simulation.wallClock,
  );
  assert.match(
    lines[0]!,
    /run-8: held back: budget of u: 0\.0\d+ of 0\.020000 EUR left in 2026-12, about 0\.\d+ needed/,
  );
  assert.match(
    explainJob('run-77', facts, recordedView(simulation), budgetSettings(), simulation.wallClock)[0]!,
    /no such job/,
  );
});

test('verification names the place where records were changed', () => {
  const simulation = simulateJobs();
  const items = simulation
    .keys('b/')
    .map((key) => ({ key, value: structuredClone(simulation.value(key)), version: 1, lease: null }));
  assert.deepEqual(verifyLedger(buildLedgerView(items)), []);
  const head = readHead(simulation.value('b/head'))!;
  const differencesWith = (key: string, value: unknown): string[] =>
    verifyLedger(buildLedgerView(items.map((it) => (it.key === key ? { ...it, value } : it))));
  assert.match(differencesWith('b/head', { ...head, cost: head.cost + 1 }).join(), /pending/);
  const [, ...rows] = head.m['t']!;
  assert.match(
    differencesWith('b/head', { ...head, m: { ...head.m, t: [['2026-12', 1, 1, 0, 0, 0], ...rows] } }).join(),
    /the head says 1/,
  );
  assert.match(differencesWith('b/head', { v: 2 }).join(), /b\/head: can't be read/);
});

test('each wrong setting is reported with what to do', () => {
  const messageFor = (yaml: string): string => {
    try {
      parseBudgets(yaml, TEAMS, 'budgets.yaml');
    } catch (error) {
      assert.ok(error instanceof BudgetSettingsError);
      return error.message;
    }
    return 'accepted';
  };
  const good = 'version: 1\ncurrency: EUR\nzone: Europe/Warsaw\n';
  assert.equal(messageFor(good), 'accepted');
  assert.match(messageFor(`${good}owners:\n  x: { hard: 1 }\n`), /owners\.x: no team .* t, u/);
  assert.match(messageFor(`${good}owners:\n  t: { hard: -1 }\n`), /owners\.t\.hard: .*expected an amount/);
  assert.match(messageFor(`${good}owners:\n  t: { hard: 1, soft: 2 }\n`), /owners\.t\.soft: is above hard/);
  assert.match(
    messageFor(`${good}owners:\n  t: { zone: Warschau }\n`),
    /owners\.t\.zone: expected a time zone/,
  );
  assert.match(messageFor('version: 1\ncurrency: euro\nzone: UTC\n'), /currency: expected three capitals/);
  assert.match(messageFor(`${good}qantile: 0.9\n`), /qantile/);
  assert.match(messageFor('a: ['), /budgets\.yaml/);
  assert.equal(
    messageFor(readFileSync(new URL('../../../deploy/budgets.yaml', import.meta.url), 'utf8')),
    'accepted',
  );
});

test('a record is read completely or not at all', () => {
  const anyValue = fc.anything({ maxDepth: 4, withBigInt: true });
  fc.assert(
    fc.property(anyValue, fc.constantFrom(readHead, readOpen, readJournal), (value, read) => {
      const record = read(value);
      if (record !== null) assert.deepEqual(Object.keys(record).includes('v'), true);
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
