/** Whole deployments with budgets, in simulated time: nothing is charged twice and the ledger balances exactly. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { balanceOf, totalsOf, verifyLedger } from '@shaleyoke/budgets/reader';
import { readClosed } from '@shaleyoke/budgets/records';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { MACHINE_TYPE } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import {
  chargedMoney,
  chargedUs,
  MAX_REPORT_DELAY,
  recordedView,
  simulateBudgets,
  teamsNamed,
} from './budget-simulation.js';

test('without faults, run time is charged as it was and the records are consistent', () => {
  const { simulation } = simulateBudgets(new Random(1));
  simulation.runFor(3 * SECOND);
  simulation.submit(makeJobSpec('run-1', { tasks: 5 }));
  simulation.submit(makeJobSpec('run-2', { shape: 'gang', tasks: 3, sameZone: true, team: 'u' }));
  simulation.submit(
    makeJobSpec('run-3', { shape: 'service', tasks: 1, team: 'u', estimatedRunUs: 1000 * SECOND }),
  );
  simulation.runFor(180 * SECOND);
  const view = recordedView(simulation);
  assert.deepEqual(verifyLedger(view), []);
  assert.equal(simulation.stageOf('run-1') !== undefined, true);
  // Five tasks of ten seconds, each a quarter of a machine at 1.00 an hour.
  const runUs = chargedUs(view, 'run-1');
  assert.ok(Math.abs(runUs - 50 * SECOND) < 5 * MAX_REPORT_DELAY, `${runUs}`);
  assert.ok(Math.abs(chargedMoney(view, 'run-1') - runUs / 3600 / 4) < 50, `${chargedMoney(view, 'run-1')}`);
  assert.ok(
    chargedUs(view, 'run-2') >= 3 * (10 * SECOND - MAX_REPORT_DELAY),
    `gang ${chargedUs(view, 'run-2')}`,
  );
  assert.ok(chargedUs(view, 'run-3') > 100 * SECOND, `service ${chargedUs(view, 'run-3')}`);
  const balance = balanceOf(view);
  assert.equal(
    balance.cost,
    balance.charged + balance.pending + Object.values(balance.platform).reduce((x, y) => x + y, 0),
  );
  let bill = 0;
  const head = view.head!;
  for (const rented of simulation.cloud.bills.values())
    bill += (((rented.to ?? head.w - simulation.wallStart) - rented.from) / 3.6e9) * MACHINE_TYPE.price * 1e6;
  assert.ok(
    Math.abs(bill - balance.cost) < simulation.cloud.bills.size * 2500,
    `cloud ${bill}, ledger ${balance.cost}`,
  );
});

test('nothing is charged twice and the ledger balances under crashes, partitions, loss and delay', () => {
  let charged = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const random = new Random(seed * 6_700_417);
    const next = seed % 3 === 0 ? 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0' : '';
    const { simulation, currentLedger } = simulateBudgets(random, '', 4, next);
    simulation.runFor(2 * SECOND);
    const specs: JobSpec[] = [];
    for (let step = 0; step < 30; step++) {
      simulation.messageLoss = random.chance(0.3) ? 0.2 : 0.02;
      if (random.chance(0.6) && specs.length < 12) {
        const id = `run-${seed}${String(step).padStart(3, '0')}`;
        const team = random.chance(0.5) ? 't' : 'u';
        const spec = random.chance(0.3)
          ? makeJobSpec(id, {
              team,
              shape: 'gang',
              tasks: 1 + random.below(3),
              sameZone: true,
              estimatedRunUs: 12 * SECOND,
            })
          : makeJobSpec(id, {
              team,
              tasks: 1 + random.below(6),
              estimatedRunUs: (4 + random.below(30)) * SECOND,
            });
        specs.push(spec);
        simulation.submit(spec);
      }
      if (next !== '' && step === 12) simulation.limits = { valueBytes: 2_048, ops: 5 };
      if (random.chance(0.2)) simulation.crash(random.below(3), (2 + random.below(6)) * SECOND);
      if (random.chance(0.06)) for (const i of [0, 1, 2]) simulation.crash(i, (2 + random.below(4)) * SECOND);
      if (random.chance(0.08)) simulation.stateOutage((2 + random.below(14)) * SECOND);
      const worker = simulation.anyWorker();
      if (worker !== undefined && random.chance(0.15))
        worker.unreachableUntil = simulation.now + (4 + random.below(30)) * SECOND;
      if (worker !== undefined && random.chance(0.1)) simulation.killWorker(worker);
      const anySpec = specs[random.below(Math.max(1, specs.length))];
      if (anySpec !== undefined && random.chance(0.08)) simulation.cancel(anySpec.id);
      if (anySpec !== undefined && random.chance(0.2)) simulation.submit(anySpec);
      simulation.runFor((1 + random.below(6)) * SECOND);
      assert.equal(currentLedger()?.imbalance() ?? 0, 0, `seed ${seed} step ${step}`);
      // At each step the records are consistent, as a new leader would find them, and no job is in the journal twice.
      const view = recordedView(simulation);
      assert.deepEqual(view.problems, [], `seed ${seed} step ${step}`);
      for (const spec of specs) {
        // A task that hangs runs for longer than estimated; the workers record the longest run of each task.
        let limit = spec.tasks * 2 * MAX_REPORT_DELAY;
        for (let i = 0; i < spec.tasks; i++) limit += simulation.work.longestUs.get(`${spec.id}/${i}`) ?? 0;
        if (!simulation.users.cancelRequested.has(spec.id))
          assert.ok(
            chargedUs(view, spec.id) <= limit,
            `seed ${seed} ${spec.id}: ${chargedUs(view, spec.id)} > ${limit}`,
          );
      }
    }
    simulation.messageLoss = 0;
    simulation.runFor(300 * SECOND);
    for (const spec of specs) simulation.poll(spec.id);
    simulation.runFor(2 * SECOND);
    const view = recordedView(simulation);
    assert.deepEqual([...new Set(simulation.violations)].slice(0, 5), [], `seed ${seed}`);
    assert.deepEqual(verifyLedger(view), [], `seed ${seed}`);
    assert.equal(simulation.oversizedTransactions, 0);
    for (const spec of specs) {
      const runUs = chargedUs(view, spec.id);
      const attempts = spec.tasks * 40;
      assert.ok(
        runUs <= (simulation.work.totalRunUs.get(spec.id) ?? 0) + attempts * MAX_REPORT_DELAY,
        `seed ${seed} ${spec.id}`,
      );
      charged += runUs;
    }
    const balance = balanceOf(view);
    assert.ok(balance.charged >= 0 && balance.platform.lost >= 0 && balance.platform.boot >= 0);
  }
  assert.ok(charged > 1_000 * SECOND, `${charged}`);
});

test('a change of leader costs owners nothing, and attempts that keep running are charged without a gap', () => {
  const { simulation } = simulateBudgets(new Random(4));
  simulation.runFor(3 * SECOND);
  simulation.submit(makeJobSpec('run-1', { tasks: 4, estimatedRunUs: 150 * SECOND }));
  simulation.runFor(60 * SECOND);
  const leader = simulation.nodes.findIndex((n) => n.core?.canActAsLeader() === true);
  simulation.crash(leader, 3 * SECOND);
  simulation.runFor(200 * SECOND);
  const view = recordedView(simulation);
  assert.deepEqual(verifyLedger(view), []);
  const runUs = chargedUs(view, 'run-1');
  // All four were on record as running and still ran, so none of their time is missing.
  assert.ok(
    runUs > 4 * (150 * SECOND - MAX_REPORT_DELAY) && runUs < 4 * (150 * SECOND + MAX_REPORT_DELAY),
    `${runUs / SECOND}`,
  );
});

test('a task that was done just before its leader crashed is charged, since its worker keeps the result', () => {
  for (let delay = 0; delay < 6; delay++) {
    // Flushes are rare, as in a deployment where many pages change at each flush.
    const { simulation } = simulateBudgets(new Random(20 + delay), 'changes_per_s: 0.05');
    simulation.runFor(3 * SECOND);
    simulation.submit(makeJobSpec('run-1', { tasks: 4, estimatedRunUs: 120 * SECOND }));
    const tasks = (): { state: string }[] => [...simulation.workers.values()].flatMap((x) => x.tasks);
    for (let quarter = 0; quarter < 1200 && !tasks().some((t) => t.state === 'exited'); quarter++)
      simulation.runFor(SECOND / 4);
    // After the core has recorded the end and before the ledger has, which is written every few seconds.
    simulation.runFor((delay + 1) * 4 * SECOND);
    const leader = simulation.nodes.findIndex((n) => n.core?.canActAsLeader() === true);
    simulation.crash(leader, 3 * SECOND);
    simulation.runFor(60 * SECOND);
    const view = recordedView(simulation);
    assert.deepEqual(verifyLedger(view), []);
    const runUs = chargedUs(view, 'run-1');
    assert.ok(runUs > 4 * 50 * SECOND, `${delay}: ${runUs / SECOND}`);
    assert.ok(runUs < 4 * (120 * SECOND + MAX_REPORT_DELAY), `${delay}: ${runUs / SECOND}`);
    assert.ok(!tasks().some((t) => t.state === 'exited'), 'in the end its worker may drop the result');
  }
});

test('owners that exceed one record are kept on pages, through crashes, lower limits and the end of a month', () => {
  const names = Array.from({ length: 40 }, (_, k) => `agency-${String(k).padStart(2, '0')}`);
  const next = 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 60.0';
  // Starts four minutes before December begins in Warsaw.
  const { simulation } = simulateBudgets(
    new Random(41),
    'changes_per_s: 3',
    30,
    next,
    Date.UTC(2026, 10, 30, 22, 56, 0) * 1000,
    teamsNamed(names),
  );
  simulation.limits = { valueBytes: 2_048, ops: 5 };
  simulation.runFor(3 * SECOND);
  names.forEach((team, number) => {
    simulation.submit(makeJobSpec(`run-${1000 + number}`, { team, tasks: 2, estimatedRunUs: 40 * SECOND }));
  });
  const before = new Map<string, number>();
  for (let second = 0; second < 480; second++) {
    simulation.runFor(SECOND);
    if (second < 320 && second % 70 === 45)
      simulation.crash(simulation.nodes.findIndex((n) => n.core?.canActAsLeader() === true) % 3, 3 * SECOND);
    if (second === 250)
      names.forEach((team, number) => {
        simulation.submit(
          makeJobSpec(`run-${2000 + number}`, { team, tasks: 1, estimatedRunUs: 20 * SECOND }),
        );
      });
    const view = recordedView(simulation);
    assert.deepEqual(view.problems, [], `second ${second}`);
    for (const [owner, rows] of Object.entries(view.head?.m ?? {})) {
      const sum = rows.reduce((n, row) => n + row[1], 0);
      assert.ok(sum >= (before.get(owner) ?? 0), `second ${second}: ${owner}`);
      before.set(owner, sum);
    }
  }
  const view = recordedView(simulation);
  assert.deepEqual(verifyLedger(view), []);
  assert.equal(simulation.oversizedTransactions, 0);
  assert.ok(simulation.keys('b/a/').length >= 8, `${simulation.keys('b/a/').length} pages`);
  const closed = view.closed.filter((c) => c.month === '2026-11' && c.row[1] > 0);
  assert.equal(closed.length, 40);
  assert.equal(Object.keys(view.head!.z).length, 40);
});

test('recorded charges never decrease when many jobs end at once', () => {
  const next = 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 60.0';
  const { simulation } = simulateBudgets(new Random(31), 'changes_per_s: 2', 30, next);
  simulation.limits = { valueBytes: 2_048, ops: 5 };
  simulation.runFor(3 * SECOND);
  // More services than the journal pages of one transaction hold; they are charged as they run, then all cancelled.
  const ids = Array.from({ length: 240 }, (_, k) => `run-${String(k).padStart(6, '0')}`);
  for (const id of ids)
    simulation.submit(
      makeJobSpec(id, { shape: 'service', tasks: 1, cores: 1, estimatedRunUs: 1000 * SECOND }),
    );
  const before = new Map<string, number>();
  for (let second = 0; second < 220; second++) {
    simulation.runFor(SECOND);
    if (second === 150) for (const id of ids) simulation.cancel(id);
    const view = recordedView(simulation);
    const now = new Map<string, number>();
    for (const charge of view.lines) now.set(charge.job, (now.get(charge.job) ?? 0) + charge.charge.runUs);
    for (const [id, runUs] of before)
      assert.ok((now.get(id) ?? 0) >= runUs, `second ${second}: ${id} lost ${runUs}`);
    for (const [id, runUs] of now) before.set(id, runUs);
  }
  assert.ok(before.size > 150, `${before.size}`);
  const view = recordedView(simulation);
  assert.deepEqual(verifyLedger(view), []);
  assert.deepEqual(view.open, []);
});

test('the platform pays for lost work: a job whose machines die is charged for one run', () => {
  const { simulation } = simulateBudgets(new Random(9));
  simulation.runFor(3 * SECOND);
  simulation.submit(makeJobSpec('run-1', { tasks: 3, estimatedRunUs: 60 * SECOND }));
  for (let death = 0; death < 3; death++) {
    simulation.runFor(45 * SECOND);
    for (const worker of [...simulation.workers.values()])
      if (worker.alive && worker.tasks.length > 0) simulation.killWorker(worker);
  }
  simulation.runFor(260 * SECOND);
  const view = recordedView(simulation);
  assert.deepEqual(verifyLedger(view), []);
  simulation.poll('run-1');
  simulation.runFor(SECOND);
  assert.equal(simulation.stageOf('run-1'), 'done');
  const runUs = chargedUs(view, 'run-1');
  assert.ok(runUs > 3 * 56 * SECOND && runUs < 3 * (60 * SECOND + MAX_REPORT_DELAY), `${runUs / SECOND}`);
  assert.ok(simulation.work.totalRunUs.get('run-1')! > 4 * 60 * SECOND, 'it did run more than once');
  assert.ok(balanceOf(view).platform.lost > 0);
});

test('costs are split at the end of the month in the owner’s time zone, and a closed month never changes', () => {
  // Starts ninety seconds before December begins in Warsaw.
  const { simulation } = simulateBudgets(new Random(6), '', 4, '', Date.UTC(2026, 10, 30, 22, 58, 30) * 1000);
  simulation.runFor(3 * SECOND);
  simulation.submit(makeJobSpec('run-1', { tasks: 2, estimatedRunUs: 120 * SECOND }));
  simulation.submit(
    makeJobSpec('run-2', { shape: 'service', tasks: 1, team: 'u', estimatedRunUs: 1000 * SECOND }),
  );
  simulation.runFor(200 * SECOND);
  simulation.submit(makeJobSpec('run-3', { tasks: 2, estimatedRunUs: 20 * SECOND }));
  simulation.runFor(150 * SECOND);
  const view = recordedView(simulation);
  assert.deepEqual(verifyLedger(view), []);
  const months = totalsOf(view.lines);
  assert.deepEqual([...months.get('t')!.keys()].sort(), ['2026-11', '2026-12']);
  const november = view.closed.find((c) => c.owner === 't');
  assert.equal(november?.month, '2026-11');
  const both = view.lines.filter((l) => l.job === 'run-1');
  assert.equal(both.length, 2);
  const sum = both.reduce((s, l) => s + l.charge.runUs, 0);
  assert.ok(Math.abs(sum - 240 * SECOND) < 2 * MAX_REPORT_DELAY, `${sum / SECOND}`);
  // The other owner's service goes on, but its cost in November is in the journal.
  assert.ok(view.closed.some((c) => c.owner === 'u' && c.row[1] > 0));
  const kept = JSON.stringify(simulation.value('b/s/t/2026-11'));
  for (const node of [0, 1, 2]) simulation.crash(node, (1 + node) * SECOND);
  simulation.runFor(120 * SECOND);
  assert.equal(JSON.stringify(simulation.value('b/s/t/2026-11')), kept);
  assert.notEqual(readClosed(simulation.value('b/s/t/2026-11')), null);
  assert.deepEqual(verifyLedger(recordedView(simulation)), []);
});
