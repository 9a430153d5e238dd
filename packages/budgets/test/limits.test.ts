/** Limits: what is held back, what goes on whatever it costs, and how far over a limit an owner can come. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { totalsOf, verifyBooks } from '@shaleyoke/budgets/reader';
import { readHead } from '@shaleyoke/budgets/records';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { type ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';

import { play, view } from './played.js';

const stages = (w: ClusterSimulation, ids: readonly string[]): (string | undefined)[] => {
  for (const id of ids) w.poll(id);
  w.runFor(2 * SECOND);
  return ids.map((id) => w.stageOf(id));
};
/** Two tasks of 60 s, each a quarter of a machine at 1.00 an hour: 0.0083; committed with 2.2 times that at most. */
const job = (id: string, more: Partial<JobSpec> = {}): JobSpec =>
  specOf(id, { tasks: 2, estimatedRunUs: 60 * SECOND, ...more });

test('what does not fit stays queued, others go on, and it begins when the limit is raised', () => {
  const { w } = play(new Random(2), 'owners:\n  t: { hard: 0.04 }\n');
  w.runFor(4 * SECOND);
  const ids = Array.from({ length: 6 }, (_, i) => `run-${i}`);
  for (const id of ids) w.submit(job(id));
  w.submit(job('run-9', { team: 'u' }));
  w.runFor(240 * SECOND);
  const done = stages(w, ids).filter((s) => s === 'done').length;
  assert.ok(done >= 2 && done <= 4, `${done} done`);
  assert.deepEqual(stages(w, ['run-9']), ['done']);
  assert.ok(stages(w, ids).every((s) => s === 'done' || s === 'queued'));
  const spent = totalsOf(view(w).lines).get('t')!.get('2026-12')!.money;
  assert.ok(spent <= 40_000, `${spent}`);
  w.put('b/l/t', { v: 1, soft: null, hard: 1_000_000, changes: [] });
  w.runFor(200 * SECOND);
  assert.deepEqual(new Set(stages(w, ids)), new Set(['done']));
  assert.deepEqual(verifyBooks(view(w)), []);
  assert.deepEqual(w.broken, []);
});

test('a limit of zero, or one lowered below what is spent, holds new jobs only; what has begun ends', () => {
  const { w } = play(new Random(3), 'owners:\n  u: { hard: 0 }\n');
  w.runFor(4 * SECOND);
  w.submit(job('run-1'));
  w.submit(job('run-2', { team: 'u' }));
  w.runFor(45 * SECOND);
  w.put('b/l/t', { v: 1, soft: null, hard: 1, changes: [] });
  w.runFor(25 * SECOND);
  w.submit(job('run-3'));
  w.runFor(150 * SECOND);
  assert.deepEqual(stages(w, ['run-1', 'run-2', 'run-3']), ['done', 'queued', 'queued']);
  assert.deepEqual(w.broken, []);
});

test('a chain begins whole or not at all, and no crash or limit cuts it in the middle', () => {
  for (let seed = 1; seed <= 8; seed++) {
    const r = new Random(seed * 31);
    const { w } = play(r, 'owners:\n  t: { hard: 0.06 }\n');
    w.runFor(4 * SECOND);
    const chain = (name: string): string[] => {
      const ids = Array.from({ length: 3 }, (_, i) => `run-${name}${i}`);
      ids.forEach((id, i) => {
        w.submit(job(id, { estimatedRunUs: 20 * SECOND, dependsOn: i === 0 ? [] : [ids[i - 1]!] }));
        w.runFor(200_000);
      });
      return ids;
    };
    const chains = Array.from({ length: 6 }, (_, i) => chain(String(i + 1)));
    const first = chains[0]!;
    for (let k = 0; k < 12; k++) {
      if (r.chance(0.3)) w.crash(r.below(3), (1 + r.below(4)) * SECOND);
      // Lowered in the middle: what has begun goes on.
      if (k === 3) w.put('b/l/t', { v: 1, soft: null, hard: 1_000, changes: [] });
      // Joins the end of a chain that has begun, when there is no money left at all.
      if (k === 5) w.submit(job('run-99', { dependsOn: [first[2]!], estimatedRunUs: 10 * SECOND }));
      w.runFor(12 * SECOND);
    }
    w.runFor(200 * SECOND);
    let begun = 0;
    for (const ids of chains) {
      const s = new Set(stages(w, ids));
      assert.equal(s.size, 1, `seed ${seed} ${ids.join()}: ${[...s].join()}`);
      assert.ok(s.has('done') || s.has('queued'));
      if (s.has('done')) begun++;
    }
    assert.ok(begun >= 1 && begun < chains.length, `seed ${seed}: ${begun}`);
    assert.deepEqual(stages(w, ['run-99']), [stages(w, [first[2]!])[0]]);
    assert.deepEqual([...new Set(w.broken)], [], `seed ${seed}`);
  }
});

test('spend never passes the limit by more than commitments were wrong, through crashes and months', () => {
  for (let seed = 1; seed <= 16; seed++) {
    const r = new Random(seed * 977);
    const limit = 30_000 + r.below(60_000);
    const { w, books } = play(
      r,
      `owners:\n  t: { hard: 0.${String(limit).padStart(6, '0')} }\n`,
      4,
      '',
      Date.UTC(2026, 10, 30, 22, 56, 0) * 1000,
    );
    w.runFor(4 * SECOND);
    const specs: JobSpec[] = [];
    let most = 0;
    for (let step = 0; step < 40; step++) {
      w.loss = r.chance(0.2) ? 0.15 : 0.02;
      if (r.chance(0.6)) {
        const gang = r.chance(0.3);
        const spec = job(`run-${String(step).padStart(3, '0')}`, {
          shape: gang ? 'gang' : 'array',
          sameZone: gang,
          tasks: 1 + r.below(3),
          estimatedRunUs: (10 + r.below(50)) * SECOND,
        });
        specs.push(spec);
        w.submit(spec);
      }
      if (r.chance(0.15)) w.crash(r.below(3), (2 + r.below(6)) * SECOND);
      if (r.chance(0.05)) w.stateOutage((2 + r.below(10)) * SECOND);
      w.runFor((2 + r.below(8)) * SECOND);
      assert.equal(books()?.imbalance() ?? 0, 0);
      for (const c of books()?.accounts.get('t')?.values() ?? []) most = Math.max(most, c.money);
    }
    w.loss = 0;
    w.runFor(200 * SECOND);
    const v = view(w);
    assert.deepEqual(verifyBooks(v), [], `seed ${seed}`);
    // A commitment is the 0.9 quantile, at most 2.2 times what the run will be; the time of a report is more.
    const longest = Math.max(...specs.map((s) => s.tasks * (s.estimatedRunUs + 9 * SECOND)));
    const error = (longest / 3600 / 4) * 2;
    for (const [, c] of totalsOf(v.lines).get('t') ?? []) most = Math.max(most, c.money);
    assert.ok(most <= limit + error, `seed ${seed}: ${most} of ${limit}`);
    for (const s of specs) w.poll(s.id);
    w.runFor(2 * SECOND);
    // Nothing is stopped part-way for money: whatever began is done.
    for (const s of specs)
      if ((w.work.ranUs.get(s.id) ?? 0) > 0)
        assert.equal(w.stageOf(s.id), 'done', `seed ${seed} ${s.id}: ${w.stageOf(s.id)}`);
    assert.deepEqual([...new Set(w.broken)].slice(0, 4), [], `seed ${seed}`);
  }
});

test('the soft limit is told once a month, whoever leads, and an overrun comes off the next month', () => {
  // A limit lowered while a job runs leaves an overrun; ninety seconds later December begins in Warsaw.
  const { w, books } = play(
    new Random(8),
    'owners:\n  t: { soft: 0.002, hard: 1 }\n',
    4,
    '',
    Date.UTC(2026, 10, 30, 22, 57, 30) * 1000,
  );
  w.runFor(4 * SECOND);
  w.submit(job('run-1'));
  w.runFor(90 * SECOND);
  assert.equal(readHead(w.value('b/head'))?.t['t'], '2026-11');
  w.put('b/l/t', { v: 1, soft: null, hard: 5_000, changes: [] });
  w.runFor(30 * SECOND);
  for (const k of [0, 1, 2]) w.crash(k, (1 + k) * SECOND);
  w.runFor(110 * SECOND);
  const november = totalsOf(view(w).lines).get('t')!.get('2026-11')!.money;
  assert.ok(november > 5_000);
  assert.deepEqual(readHead(w.value('b/head'))?.c['t'], ['2026-12', november - 5_000]);
  assert.ok(books() !== undefined);
});

test('damaged books hold nothing back and are not written over', () => {
  const { w } = play(new Random(5), 'owners:\n  t: { hard: 0 }\n');
  w.runFor(40 * SECOND);
  w.put('b/head', { v: 1, damaged: true });
  for (const k of [0, 1, 2]) w.crash(k, (1 + k) * SECOND);
  w.runFor(10 * SECOND);
  w.submit(job('run-1'));
  w.runFor(120 * SECOND);
  assert.deepEqual(stages(w, ['run-1']), ['done']);
  assert.deepEqual(w.value('b/head'), { v: 1, damaged: true });
  assert.ok(w.broken.some((b) => b.includes('budgets.unreadable')));
  assert.ok(w.broken.some((b) => b.includes('budgets.stopped')));
});
