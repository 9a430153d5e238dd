/** Limits: which jobs are held back, which go on regardless of cost, and by how much a limit can be exceeded. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { totalsOf, verifyLedger } from '@shaleyoke/budgets/reader';
import { readHead } from '@shaleyoke/budgets/records';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { type ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { recordedView, simulateBudgets } from './budget-simulation.js';

const stages = (simulation: ClusterSimulation, ids: readonly string[]): (string | undefined)[] => {
  for (const id of ids) simulation.poll(id);
  simulation.runFor(2 * SECOND);
  return ids.map((id) => simulation.stageOf(id));
};
/** Two tasks of 60 s, each a quarter of a machine at 1.00 an hour: 0.0083; the commitment is at most 2.2 times that. */
const job = (id: string, more: Partial<JobSpec> = {}): JobSpec =>
  makeJobSpec(id, { tasks: 2, estimatedRunUs: 60 * SECOND, ...more });

test('jobs that exceed a limit stay queued, other owners go on, and they begin when the limit is raised', () => {
  const { simulation } = simulateBudgets(new Random(2), 'owners:\n  t: { hard: 0.04 }\n');
  simulation.runFor(4 * SECOND);
  const ids = Array.from({ length: 6 }, (_, i) => `run-${i}`);
  for (const id of ids) simulation.submit(job(id));
  simulation.submit(job('run-9', { team: 'u' }));
  simulation.runFor(240 * SECOND);
  const done = stages(simulation, ids).filter((s) => s === 'done').length;
  assert.ok(done >= 2 && done <= 4, `${done} done`);
  assert.deepEqual(stages(simulation, ['run-9']), ['done']);
  assert.ok(stages(simulation, ids).every((s) => s === 'done' || s === 'queued'));
  const spent = totalsOf(recordedView(simulation).lines).get('t')!.get('2026-12')!.money;
  assert.ok(spent <= 40_000, `${spent}`);
  simulation.put('b/l/t', { v: 1, soft: null, hard: 1_000_000, changes: [] });
  simulation.runFor(200 * SECOND);
  assert.deepEqual(new Set(stages(simulation, ids)), new Set(['done']));
  assert.deepEqual(verifyLedger(recordedView(simulation)), []);
  assert.deepEqual(simulation.violations, []);
});

test('a limit of zero, or one lowered below what is spent, holds back only jobs that have not begun', () => {
  const { simulation } = simulateBudgets(new Random(3), 'owners:\n  u: { hard: 0 }\n');
  simulation.runFor(4 * SECOND);
  simulation.submit(job('run-1'));
  simulation.submit(job('run-2', { team: 'u' }));
  simulation.runFor(45 * SECOND);
  simulation.put('b/l/t', { v: 1, soft: null, hard: 1, changes: [] });
  simulation.runFor(25 * SECOND);
  simulation.submit(job('run-3'));
  simulation.runFor(150 * SECOND);
  assert.deepEqual(stages(simulation, ['run-1', 'run-2', 'run-3']), ['done', 'queued', 'queued']);
  assert.deepEqual(simulation.violations, []);
});

test('a chain of jobs begins as a whole or not at all, and neither crash nor limit interrupts it', () => {
  for (let seed = 1; seed <= 8; seed++) {
    const random = new Random(seed * 31);
    const { simulation } = simulateBudgets(random, 'owners:\n  t: { hard: 0.06 }\n');
    simulation.runFor(4 * SECOND);
    const chain = (name: string): string[] => {
      const ids = Array.from({ length: 3 }, (_, i) => `run-${name}${i}`);
      ids.forEach((id, i) => {
        simulation.submit(job(id, { estimatedRunUs: 20 * SECOND, dependsOn: i === 0 ? [] : [ids[i - 1]!] }));
        simulation.runFor(200_000);
      });
      return ids;
    };
    const chains = Array.from({ length: 6 }, (_, i) => chain(String(i + 1)));
    const first = chains[0]!;
    for (let step = 0; step < 12; step++) {
      if (random.chance(0.3)) simulation.crash(random.below(3), (1 + random.below(4)) * SECOND);
      // Lowers the limit after some chains have begun; these go on.
      if (step === 3) simulation.put('b/l/t', { v: 1, soft: null, hard: 1_000, changes: [] });
      // Adds a job to the end of a chain that has begun, when nothing is left of the limit.
      if (step === 5)
        simulation.submit(job('run-99', { dependsOn: [first[2]!], estimatedRunUs: 10 * SECOND }));
      simulation.runFor(12 * SECOND);
    }
    simulation.runFor(200 * SECOND);
    let begun = 0;
    for (const ids of chains) {
      const reached = new Set(stages(simulation, ids));
      assert.equal(reached.size, 1, `seed ${seed} ${ids.join()}: ${[...reached].join()}`);
      assert.ok(reached.has('done') || reached.has('queued'));
      if (reached.has('done')) begun++;
    }
    assert.ok(begun >= 1 && begun < chains.length, `seed ${seed}: ${begun}`);
    assert.deepEqual(stages(simulation, ['run-99']), [stages(simulation, [first[2]!])[0]]);
    assert.deepEqual([...new Set(simulation.violations)], [], `seed ${seed}`);
  }
});

test('spending exceeds a limit by no more than the error of commitments, through crashes and months', () => {
  for (let seed = 1; seed <= 16; seed++) {
    const random = new Random(seed * 977);
    const limit = 30_000 + random.below(60_000);
    const { simulation, currentLedger } = simulateBudgets(
      random,
      `owners:\n  t: { hard: 0.${String(limit).padStart(6, '0')} }\n`,
      4,
      '',
      Date.UTC(2026, 10, 30, 22, 56, 0) * 1000,
    );
    simulation.runFor(4 * SECOND);
    const specs: JobSpec[] = [];
    let maxCharged = 0;
    for (let step = 0; step < 40; step++) {
      simulation.messageLoss = random.chance(0.2) ? 0.15 : 0.02;
      if (random.chance(0.6)) {
        const gang = random.chance(0.3);
        const spec = job(`run-${String(step).padStart(3, '0')}`, {
          shape: gang ? 'gang' : 'array',
          sameZone: gang,
          tasks: 1 + random.below(3),
          estimatedRunUs: (10 + random.below(50)) * SECOND,
        });
        specs.push(spec);
        simulation.submit(spec);
      }
      if (random.chance(0.15)) simulation.crash(random.below(3), (2 + random.below(6)) * SECOND);
      if (random.chance(0.05)) simulation.stateOutage((2 + random.below(10)) * SECOND);
      simulation.runFor((2 + random.below(8)) * SECOND);
      assert.equal(currentLedger()?.imbalance() ?? 0, 0);
      for (const charge of currentLedger()?.accounts.get('t')?.values() ?? [])
        maxCharged = Math.max(maxCharged, charge.money);
    }
    simulation.messageLoss = 0;
    simulation.runFor(200 * SECOND);
    const view = recordedView(simulation);
    assert.deepEqual(verifyLedger(view), [], `seed ${seed}`);
    // A commitment covers the 0.9 quantile, at most 2.2 times the run; the delay of reports comes on top.
    const longest = Math.max(...specs.map((s) => s.tasks * (s.estimatedRunUs + 9 * SECOND)));
    const maxError = (longest / 3600 / 4) * 2;
    for (const [, charge] of totalsOf(view.lines).get('t') ?? [])
      maxCharged = Math.max(maxCharged, charge.money);
    assert.ok(maxCharged <= limit + maxError, `seed ${seed}: ${maxCharged} of ${limit}`);
    for (const spec of specs) simulation.poll(spec.id);
    simulation.runFor(2 * SECOND);
    // Nothing is stopped for exceeding a limit: each job that has begun is done.
    for (const spec of specs)
      if ((simulation.work.totalRunUs.get(spec.id) ?? 0) > 0)
        assert.equal(
          simulation.stageOf(spec.id),
          'done',
          `seed ${seed} ${spec.id}: ${simulation.stageOf(spec.id)}`,
        );
    assert.deepEqual([...new Set(simulation.violations)].slice(0, 4), [], `seed ${seed}`);
  }
});

test('the soft limit is reported once a month across leaders, and an overrun counts against the next month', () => {
  // Lowering the limit while a job runs causes an overrun shortly before December begins in Warsaw.
  const { simulation, currentLedger } = simulateBudgets(
    new Random(8),
    'owners:\n  t: { soft: 0.002, hard: 1 }\n',
    4,
    '',
    Date.UTC(2026, 10, 30, 22, 57, 30) * 1000,
  );
  simulation.runFor(4 * SECOND);
  simulation.submit(job('run-1'));
  simulation.runFor(90 * SECOND);
  assert.equal(readHead(simulation.value('b/head'))?.t['t'], '2026-11');
  simulation.put('b/l/t', { v: 1, soft: null, hard: 5_000, changes: [] });
  simulation.runFor(30 * SECOND);
  for (const node of [0, 1, 2]) simulation.crash(node, (1 + node) * SECOND);
  simulation.runFor(110 * SECOND);
  const november = totalsOf(recordedView(simulation).lines).get('t')!.get('2026-11')!.money;
  assert.ok(november > 5_000);
  assert.deepEqual(readHead(simulation.value('b/head'))?.c['t'], ['2026-12', november - 5_000]);
  assert.ok(currentLedger() !== undefined);
});

test('damaged records hold no job back and are not overwritten', () => {
  const { simulation } = simulateBudgets(new Random(5), 'owners:\n  t: { hard: 0 }\n');
  simulation.runFor(40 * SECOND);
  simulation.put('b/head', { v: 1, damaged: true });
  for (const node of [0, 1, 2]) simulation.crash(node, (1 + node) * SECOND);
  simulation.runFor(10 * SECOND);
  simulation.submit(job('run-1'));
  simulation.runFor(120 * SECOND);
  assert.deepEqual(stages(simulation, ['run-1']), ['done']);
  assert.deepEqual(simulation.value('b/head'), { v: 1, damaged: true });
  assert.ok(simulation.violations.some((b) => b.includes('budgets.unreadable')));
  assert.ok(simulation.violations.some((b) => b.includes('budgets.stopped')));
});
