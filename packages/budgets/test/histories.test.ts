/** Whole services with budgets on, in simulated time: nothing billed twice, books that balance to the unit. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { balanceOf, totalsOf, verifyBooks } from '@shaleyoke/budgets/reader';
import { readClosed } from '@shaleyoke/budgets/records';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { TYPE } from '@shaleyoke/emulator/site';
import { specOf } from '@shaleyoke/emulator/specs';

import { chargedMoney, chargedUs, play, REPORT, teams, view } from './played.js';

test('a quiet day is charged as it ran, and the records say so by themselves', () => {
  const { w } = play(new Random(1));
  w.runFor(3 * SECOND);
  w.submit(specOf('run-1', { tasks: 5 }));
  w.submit(specOf('run-2', { shape: 'gang', tasks: 3, sameZone: true, team: 'u' }));
  w.submit(specOf('run-3', { shape: 'service', tasks: 1, team: 'u', estimatedRunUs: 1000 * SECOND }));
  w.runFor(180 * SECOND);
  const v = view(w);
  assert.deepEqual(verifyBooks(v), []);
  assert.equal(w.stageOf('run-1') !== undefined, true);
  // Five tasks of ten seconds, each a quarter of a machine at 1.00 an hour.
  const us = chargedUs(v, 'run-1');
  assert.ok(Math.abs(us - 50 * SECOND) < 5 * REPORT, `${us}`);
  assert.ok(Math.abs(chargedMoney(v, 'run-1') - us / 3600 / 4) < 50, `${chargedMoney(v, 'run-1')}`);
  assert.ok(chargedUs(v, 'run-2') >= 3 * (10 * SECOND - REPORT), `gang ${chargedUs(v, 'run-2')}`);
  assert.ok(chargedUs(v, 'run-3') > 100 * SECOND, `service ${chargedUs(v, 'run-3')}`);
  const b = balanceOf(v);
  assert.equal(b.cost, b.charged + b.pending + Object.values(b.platform).reduce((x, y) => x + y, 0));
  let bill = 0;
  const head = v.head!;
  for (const m of w.cloud.bills.values())
    bill += (((m.to ?? head.w - w.wallStart) - m.from) / 3.6e9) * TYPE.price * 1e6;
  assert.ok(Math.abs(bill - b.cost) < w.cloud.bills.size * 2500, `cloud ${bill}, books ${b.cost}`);
});

test('nothing is billed twice and the books balance, whatever crashes, is cut off, lost or late', () => {
  let charged = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const r = new Random(seed * 6_700_417);
    const next = seed % 3 === 0 ? 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0' : '';
    const { w, books } = play(r, '', 4, next);
    w.runFor(2 * SECOND);
    const specs: JobSpec[] = [];
    for (let step = 0; step < 30; step++) {
      w.loss = r.chance(0.3) ? 0.2 : 0.02;
      if (r.chance(0.6) && specs.length < 12) {
        const id = `run-${seed}${String(step).padStart(3, '0')}`;
        const team = r.chance(0.5) ? 't' : 'u';
        const spec = r.chance(0.3)
          ? specOf(id, {
              team,
              shape: 'gang',
              tasks: 1 + r.below(3),
              sameZone: true,
              estimatedRunUs: 12 * SECOND,
            })
          : specOf(id, { team, tasks: 1 + r.below(6), estimatedRunUs: (4 + r.below(30)) * SECOND });
        specs.push(spec);
        w.submit(spec);
      }
      if (next !== '' && step === 12) w.limits = { valueBytes: 2_048, ops: 5 };
      if (r.chance(0.2)) w.crash(r.below(3), (2 + r.below(6)) * SECOND);
      if (r.chance(0.06)) for (const i of [0, 1, 2]) w.crash(i, (2 + r.below(4)) * SECOND);
      if (r.chance(0.08)) w.stateOutage((2 + r.below(14)) * SECOND);
      const worker = w.anyWorker();
      if (worker !== undefined && r.chance(0.15)) worker.cutUntil = w.now + (4 + r.below(30)) * SECOND;
      if (worker !== undefined && r.chance(0.1)) w.killWorker(worker);
      const some = specs[r.below(Math.max(1, specs.length))];
      if (some !== undefined && r.chance(0.08)) w.cancel(some.id);
      if (some !== undefined && r.chance(0.2)) w.submit(some);
      w.runFor((1 + r.below(6)) * SECOND);
      assert.equal(books()?.imbalance() ?? 0, 0, `seed ${seed} step ${step}`);
      // Whatever moment a crash would come at, no record contradicts another, and no job is in the journal twice.
      const v = view(w);
      assert.deepEqual(v.problems, [], `seed ${seed} step ${step}`);
      for (const s of specs) {
        // A task that hangs runs for longer; how long its longest run was, its workers know.
        let limit = s.tasks * 2 * REPORT;
        for (let i = 0; i < s.tasks; i++) limit += w.work.longestUs.get(`${s.id}/${i}`) ?? 0;
        if (!w.users.asked.has(s.id))
          assert.ok(chargedUs(v, s.id) <= limit, `seed ${seed} ${s.id}: ${chargedUs(v, s.id)} > ${limit}`);
      }
    }
    w.loss = 0;
    w.runFor(300 * SECOND);
    for (const s of specs) w.poll(s.id);
    w.runFor(2 * SECOND);
    const v = view(w);
    assert.deepEqual([...new Set(w.broken)].slice(0, 5), [], `seed ${seed}`);
    assert.deepEqual(verifyBooks(v), [], `seed ${seed}`);
    assert.equal(w.refusals, 0);
    for (const s of specs) {
      const us = chargedUs(v, s.id);
      const attempts = s.tasks * 40;
      assert.ok(us <= (w.work.ranUs.get(s.id) ?? 0) + attempts * REPORT, `seed ${seed} ${s.id}`);
      charged += us;
    }
    const b = balanceOf(v);
    assert.ok(b.charged >= 0 && b.platform.lost >= 0 && b.platform.boot >= 0);
  }
  assert.ok(charged > 1_000 * SECOND, `${charged}`);
});

test('a leader that dies costs its owners nothing, and what ran all the time is charged through', () => {
  const { w } = play(new Random(4));
  w.runFor(3 * SECOND);
  w.submit(specOf('run-1', { tasks: 4, estimatedRunUs: 150 * SECOND }));
  w.runFor(60 * SECOND);
  const leader = w.nodes.findIndex((n) => n.core?.leads() === true);
  w.crash(leader, 3 * SECOND);
  w.runFor(200 * SECOND);
  const v = view(w);
  assert.deepEqual(verifyBooks(v), []);
  const us = chargedUs(v, 'run-1');
  // All four ran when the old leader wrote last, and were still there: nothing of their time is missing.
  assert.ok(us > 4 * (150 * SECOND - REPORT) && us < 4 * (150 * SECOND + REPORT), `${us / SECOND}`);
});

test('a task that was done just before its leader died is charged, by the word of its worker', () => {
  for (let k = 0; k < 6; k++) {
    // Books are written rarely, as they are where many pages change at each flush.
    const { w } = play(new Random(20 + k), 'changes_per_s: 0.05');
    w.runFor(3 * SECOND);
    w.submit(specOf('run-1', { tasks: 4, estimatedRunUs: 120 * SECOND }));
    const tasks = (): { state: string }[] => [...w.workers.values()].flatMap((x) => x.tasks);
    for (let s = 0; s < 1200 && !tasks().some((t) => t.state === 'exited'); s++) w.runFor(SECOND / 4);
    // Between the core's record of the end and that of the books, which is written every few seconds.
    w.runFor((k + 1) * 4 * SECOND);
    const leader = w.nodes.findIndex((n) => n.core?.leads() === true);
    w.crash(leader, 3 * SECOND);
    w.runFor(60 * SECOND);
    const v = view(w);
    assert.deepEqual(verifyBooks(v), []);
    const us = chargedUs(v, 'run-1');
    assert.ok(us > 4 * 50 * SECOND, `${k}: ${us / SECOND}`);
    assert.ok(us < 4 * (120 * SECOND + REPORT), `${k}: ${us / SECOND}`);
    assert.ok(!tasks().some((t) => t.state === 'exited'), 'in the end its worker may forget it');
  }
});

test('more owners than a record holds are kept on pages, through crashes, lower limits and the end of a month', () => {
  const names = Array.from({ length: 40 }, (_, k) => `agency-${String(k).padStart(2, '0')}`);
  const next = 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 60.0';
  // Four minutes before December begins in Warsaw.
  const { w } = play(
    new Random(41),
    'changes_per_s: 3',
    30,
    next,
    Date.UTC(2026, 10, 30, 22, 56, 0) * 1000,
    teams(names),
  );
  w.limits = { valueBytes: 2_048, ops: 5 };
  w.runFor(3 * SECOND);
  names.forEach((team, k) => {
    w.submit(specOf(`run-${1000 + k}`, { team, tasks: 2, estimatedRunUs: 40 * SECOND }));
  });
  const before = new Map<string, number>();
  for (let s = 0; s < 480; s++) {
    w.runFor(SECOND);
    if (s < 320 && s % 70 === 45) w.crash(w.nodes.findIndex((n) => n.core?.leads() === true) % 3, 3 * SECOND);
    if (s === 250)
      names.forEach((team, k) => {
        w.submit(specOf(`run-${2000 + k}`, { team, tasks: 1, estimatedRunUs: 20 * SECOND }));
      });
    const v = view(w);
    assert.deepEqual(v.problems, [], `second ${s}`);
    for (const [owner, rows] of Object.entries(v.head?.m ?? {})) {
      const sum = rows.reduce((n, row) => n + row[1], 0);
      assert.ok(sum >= (before.get(owner) ?? 0), `second ${s}: ${owner}`);
      before.set(owner, sum);
    }
  }
  const v = view(w);
  assert.deepEqual(verifyBooks(v), []);
  assert.equal(w.refusals, 0);
  assert.ok(w.keys('b/a/').length >= 8, `${w.keys('b/a/').length} pages`);
  const closed = v.closed.filter((c) => c.month === '2026-11' && c.row[1] > 0);
  assert.equal(closed.length, 40);
  assert.equal(Object.keys(v.head!.z).length, 40);
});

test('what was charged stays on record at every moment, though many jobs end at once', () => {
  const next = 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 60.0';
  const { w } = play(new Random(31), 'changes_per_s: 2', 30, next);
  w.limits = { valueBytes: 2_048, ops: 5 };
  w.runFor(3 * SECOND);
  // More services than the journal pages of one transaction hold; charged as they run, then all withdrawn.
  const ids = Array.from({ length: 240 }, (_, k) => `run-${String(k).padStart(6, '0')}`);
  for (const id of ids)
    w.submit(specOf(id, { shape: 'service', tasks: 1, cores: 1, estimatedRunUs: 1000 * SECOND }));
  const before = new Map<string, number>();
  for (let s = 0; s < 220; s++) {
    w.runFor(SECOND);
    if (s === 150) for (const id of ids) w.cancel(id);
    const v = view(w);
    const now = new Map<string, number>();
    for (const l of v.lines) now.set(l.job, (now.get(l.job) ?? 0) + l.charge.us);
    for (const [id, us] of before) assert.ok((now.get(id) ?? 0) >= us, `second ${s}: ${id} lost ${us}`);
    for (const [id, us] of now) before.set(id, us);
  }
  assert.ok(before.size > 150, `${before.size}`);
  const v = view(w);
  assert.deepEqual(verifyBooks(v), []);
  assert.deepEqual(v.open, []);
});

test('lost work is the platform account: a job whose machines die is billed for one run', () => {
  const { w } = play(new Random(9));
  w.runFor(3 * SECOND);
  w.submit(specOf('run-1', { tasks: 3, estimatedRunUs: 60 * SECOND }));
  for (let k = 0; k < 3; k++) {
    w.runFor(45 * SECOND);
    for (const x of [...w.workers.values()]) if (x.alive && x.tasks.length > 0) w.killWorker(x);
  }
  w.runFor(260 * SECOND);
  const v = view(w);
  assert.deepEqual(verifyBooks(v), []);
  w.poll('run-1');
  w.runFor(SECOND);
  assert.equal(w.stageOf('run-1'), 'done');
  const us = chargedUs(v, 'run-1');
  assert.ok(us > 3 * 56 * SECOND && us < 3 * (60 * SECOND + REPORT), `${us / SECOND}`);
  assert.ok(w.work.ranUs.get('run-1')! > 4 * 60 * SECOND, 'it did run more than once');
  assert.ok(balanceOf(v).platform.lost > 0);
});

test('a month that ends is split at midnight of its owner, closed, and never changes', () => {
  // Ninety seconds before December begins in Warsaw.
  const { w } = play(new Random(6), '', 4, '', Date.UTC(2026, 10, 30, 22, 58, 30) * 1000);
  w.runFor(3 * SECOND);
  w.submit(specOf('run-1', { tasks: 2, estimatedRunUs: 120 * SECOND }));
  w.submit(specOf('run-2', { shape: 'service', tasks: 1, team: 'u', estimatedRunUs: 1000 * SECOND }));
  w.runFor(200 * SECOND);
  w.submit(specOf('run-3', { tasks: 2, estimatedRunUs: 20 * SECOND }));
  w.runFor(150 * SECOND);
  const v = view(w);
  assert.deepEqual(verifyBooks(v), []);
  const months = totalsOf(v.lines);
  assert.deepEqual([...months.get('t')!.keys()].sort(), ['2026-11', '2026-12']);
  const november = v.closed.find((c) => c.owner === 't');
  assert.equal(november?.month, '2026-11');
  const both = v.lines.filter((l) => l.job === 'run-1');
  assert.equal(both.length, 2);
  const sum = both.reduce((s, l) => s + l.charge.us, 0);
  assert.ok(Math.abs(sum - 240 * SECOND) < 2 * REPORT, `${sum / SECOND}`);
  // The service of the other owner goes on: what it cost in November is in the journal all the same.
  assert.ok(v.closed.some((c) => c.owner === 'u' && c.row[1] > 0));
  const kept = JSON.stringify(w.value('b/s/t/2026-11'));
  for (const k of [0, 1, 2]) w.crash(k, (1 + k) * SECOND);
  w.runFor(120 * SECOND);
  assert.equal(JSON.stringify(w.value('b/s/t/2026-11')), kept);
  assert.notEqual(readClosed(w.value('b/s/t/2026-11')), null);
  assert.deepEqual(verifyBooks(view(w)), []);
});
