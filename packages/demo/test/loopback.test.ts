/**
 * Real processes on loopback: five tenants, controllers and machines killed, the state service stalled. What is
 * compared is what must be the same each time: ends of jobs, books that balance, and nothing billed twice.
 */
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

import { balanceOf, verifyBooks } from '@shaleyoke/budgets/reader';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { booksOf, BOX, budgetsFile, jobOf, until } from '@shaleyoke/demo/demo';
import { Loopback } from '@shaleyoke/emulator/loopback';
import { Random } from '@shaleyoke/emulator/random';
import { toolOf } from '@shaleyoke/emulator/tool';

const MAIN = new URL('../../cli/src/main.ts', import.meta.url).pathname;
const PROGRAM = [process.execPath, '--import', 'tsx', MAIN];
const TENANTS = ['a', 'b', 'c', 'd', 'e'];
/** In full, by hand: several hundred jobs and a kill every few seconds (docs/results.md has the figures). */
const LONG = process.env['SHALEYOKE_LONG'] === '1';
const JOBS = LONG ? 300 : 40;
const KILLS = LONG ? 14 : 3;
/** An end is seen a report late at most, and what lies beyond the usual time between two is not charged. */
const SEEN_LATE = 8 * SECOND;

const tool = toolOf(PROGRAM);

test('books agree with themselves, and with the machines, after kills and a stalled state service', async (t) => {
  const r = new Random(20_261_201);
  const l = new Loopback({
    program: PROGRAM,
    nodes: 3,
    teams: TENANTS,
    types: [BOX],
    perZone: 5,
    budgets: budgetsFile({ e: '0' }),
    log: null,
  });
  const draft = join(tmpdir(), `shaleyoke-statement-${process.pid}.json`);
  try {
    await l.start();
    assert.ok(await until(() => l.leader() !== null, 60), 'somebody leads');
    const jobs: JobSpec[] = [];
    for (let k = 0; k < JOBS; k++)
      jobs.push(
        jobOf(`run-${k}`, TENANTS[k % 4]!, {
          tasks: 1 + r.below(3),
          estimatedRunUs: (2 + r.below(3)) * SECOND,
          ...(k % 5 === 0 ? { shape: 'gang', sameZone: true } : {}),
        }),
      );
    const waits = jobOf('run-900', 'e');
    const accepted = Promise.all([...jobs, waits].map((j) => l.submit(j)));
    for (let k = 0; k < KILLS; k++) {
      await until(() => [...l.workers.values()].some((w) => w.running > 0), 20);
      await new Promise((done) => setTimeout(done, 500 + r.below(2_500)));
      const leader = l.leader();
      l.crash(r.chance(0.6) && leader !== null ? leader : r.below(3), 500 + r.below(1_500));
      if (k % 3 === 1) l.state.outage(3 * SECOND);
      const up = [...l.workers.values()].filter((w) => w.alive && w.running > 0);
      if (up.length > 0) l.killWorker(up[r.below(up.length)]!.name);
    }
    assert.ok(
      (await accepted).every((s) => s === 201 || s === 200),
      'all accepted',
    );
    const stages = async (): Promise<(string | null)[]> => Promise.all(jobs.map((j) => l.stageOf(j.id)));
    assert.ok(
      await until(async () => (await stages()).every((s) => s === 'done'), LONG ? 600 : 150),
      'all done',
    );
    assert.equal(await l.stageOf('run-900'), 'queued');
    const settled = (): boolean => {
      const v = booksOf(l);
      return verifyBooks(v).length === 0 && v.open.every((o) => o.running === 0);
    };
    assert.ok(await until(settled, 60), verifyBooks(booksOf(l)).join('\n'));

    const view = booksOf(l);
    for (const j of jobs) {
      const charged = view.lines.filter((x) => x.job === j.id).reduce((sum, x) => sum + x.charge.us, 0);
      let once = 0;
      for (let i = 0; i < j.tasks; i++)
        once += Math.max(0, ...l.ran.filter((x) => x.job === j.id && x.index === i).map((x) => x.us));
      assert.ok(charged <= once + j.tasks * SEEN_LATE, `${j.id}: charged ${charged}, ran ${once} once`);
    }
    const b = balanceOf(view);
    const bill = l.bills.reduce(
      (sum, x) => sum + (((x.to ?? l.now()) - x.from) / 3.6e9) * BOX.price * 1e6,
      0,
    );
    const ran = l.ran.filter((x) => x.done).reduce((sum, x) => sum + x.us, 0);
    const charged = view.lines.reduce((sum, x) => sum + x.charge.us, 0);
    t.diagnostic(
      `books: cost ${b.cost}, charged ${b.charged}; cloud's bill ${Math.round(bill)}; ` +
        `task time charged ${charged} us, done by the machines ${ran} us in ${l.ran.length} attempts`,
    );

    // The operators' commands, while the controllers go on.
    const files = ['--config', l.nodes[0]!.config, '--budgets', l.budgetsFile];
    const list = await tool('budget', 'list', ...files);
    assert.equal(list.code, 0);
    assert.match(list.out, /^e +\d{4}-\d\d +0\.000000.*LIMIT REACHED$/m);
    assert.match(
      (await tool('budget', 'explain', 'run-900', ...files)).out,
      /run-900: held back: budget of e/,
    );
    const verified = await tool('statement', 'verify', ...files);
    assert.equal(verified.code, 0, verified.out);
    assert.match(verified.out, /The books agree/);
    const statement = await tool('statement', '--owner', 'a', '--format', 'json', ...files);
    writeFileSync(draft, statement.out);
    assert.match((await tool('statement', 'verify', draft)).out, /holds/);
    writeFileSync(draft, readFileSync(draft, 'utf8').replace('"owner": "a"', '"owner": "b"'));
    assert.equal((await tool('statement', 'verify', draft)).code, 1);
    const wrong = await tool(
      'budget',
      'set',
      '--owner',
      'x',
      '--hard',
      '1',
      '--by',
      'kz',
      '--why',
      'w',
      ...files,
    );
    assert.equal(wrong.code, 2);
    assert.match(wrong.out, /--owner: x is no team/);
    const set = await tool(
      'budget',
      'set',
      '--owner',
      'e',
      '--hard',
      '5',
      '--by',
      'kz',
      '--why',
      'begins',
      ...files,
    );
    assert.match(set.out, /CHANGED the limit of e[^]*hard: 0\.000000 -> 5\.000000/);
    assert.ok(
      await until(async () => (await l.stageOf('run-900')) === 'done', 90),
      'goes on with a higher limit',
    );
    assert.match(
      (await tool('budget', 'show', '--owner', 'e', ...files)).out,
      /kz: .*hard 0\.000000 -> 5\.000000 \(begins\)/,
    );
  } finally {
    l.stop();
  }
});
