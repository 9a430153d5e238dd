/** A leader that has become too slow gives the office up; one that stood still once does not, nor do all in turn. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { LeaderHealth } from '@shaleyoke/core/leader/leader-health';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';

test('late three times within twenty seconds is unfit, late once for long is not', () => {
  const f = new LeaderHealth();
  f.recordTimer(30 * SECOND, 10 * SECOND);
  assert.equal(f.isOverloaded, false);
  for (let t = 31; t < 61; t++) f.recordTimer(t * SECOND, t * SECOND - 900 * MILLI);
  assert.equal(f.isOverloaded, false);
  f.recordTimer(62 * SECOND, 60 * SECOND);
  f.recordTimer(64 * SECOND, 62 * SECOND);
  assert.equal(f.isOverloaded, false);
  f.recordTimer(66 * SECOND, 64 * SECOND);
  assert.equal(f.isOverloaded, true);
  assert.equal(f.isLagging, true);
  f.recordTimer(81 * SECOND, 81 * SECOND);
  assert.equal(f.isLagging, false);
  assert.equal(f.isOverloaded, true);
  f.recordTimer(83 * SECOND, 83 * SECOND);
  assert.equal(f.isOverloaded, false);
  for (let t = 90; t < 100; t += 2) f.recordTimer(t * SECOND, (t - 2) * SECOND, false);
  assert.equal(f.isOverloaded, false);
  assert.equal(f.isLagging, true);
});

test('answers to renewals far apart count as well', () => {
  const f = new LeaderHealth();
  for (let t = 1; t < 30; t += 1.2) f.recordRenewal(t * SECOND);
  for (const t of [33, 36]) f.recordRenewal(t * SECOND);
  assert.equal(f.isOverloaded, false);
  f.recordRenewal(40 * SECOND, false);
  assert.equal(f.isOverloaded, false);
  f.recordRenewal(44 * SECOND);
  assert.equal(f.isOverloaded, true);
});

const world = (
  seed: number,
  nodes: number,
): { w: ClusterSimulation; leader: () => string; log: string[] } => {
  const w = new ClusterSimulation(new Random(seed), nodes, '[[cluster.teams]]\nname = "t"\n', 1e9, 20);
  w.runFor(3 * SECOND);
  for (let i = 0; i < 8; i++) w.submit(specOf(`run-${i}`, { tasks: 8, estimatedRunUs: 200 * SECOND }));
  w.runFor(40 * SECOND);
  const log: string[] = [];
  w.onLog = (node, event) => log.push(`${node} ${event}`);
  return { w, leader: () => w.nodes.find((n) => n.core?.leads())?.name ?? 'nobody', log };
};

test('a leader that gets to its work too late hands the office over, once, and no lease runs out', () => {
  for (let seed = 1; seed <= 4; seed++) {
    const { w, leader, log } = world(seed, seed % 2 === 0 ? 3 : 5);
    const slow = leader();
    w.stutter.set(slow, 2_500 * MILLI);
    w.runFor(12 * SECOND);
    assert.notEqual(leader(), slow);
    w.runFor(60 * SECOND);
    assert.equal(log.filter((l) => l.endsWith('leader.elected')).length, 1, log.join('; '));
    assert.equal(log.filter((l) => l.endsWith('machine.epoch_changed')).length, 0);
    assert.deepEqual([...new Set(w.broken)], [], `seed ${seed}`);
  }
});

test('where all are slow the office comes to rest', () => {
  const { w, log } = world(9, 3);
  for (const n of w.nodes) w.stutter.set(n.name, 2_500 * MILLI);
  w.runFor(100 * SECOND);
  // Each of them may give it up once in four leases of the workers, which last 20 s here.
  assert.ok(log.filter((l) => l.endsWith('leader.resigned')).length <= 4, log.join('; '));
  assert.deepEqual([...new Set(w.broken)], []);
});
