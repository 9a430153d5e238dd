/** A leader that has become too slow resigns; one that paused once does not, nor do slow nodes resign in turn for ever. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { LeaderHealth } from '@shaleyoke/core/leader/leader-health';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

test('three late timers within twenty seconds mean overload, a single long delay does not', () => {
  const health = new LeaderHealth();
  health.recordTimer(30 * SECOND, 10 * SECOND);
  assert.equal(health.isOverloaded, false);
  for (let second = 31; second < 61; second++)
    health.recordTimer(second * SECOND, second * SECOND - 900 * MILLISECOND);
  assert.equal(health.isOverloaded, false);
  health.recordTimer(62 * SECOND, 60 * SECOND);
  health.recordTimer(64 * SECOND, 62 * SECOND);
  assert.equal(health.isOverloaded, false);
  health.recordTimer(66 * SECOND, 64 * SECOND);
  assert.equal(health.isOverloaded, true);
  assert.equal(health.isLagging, true);
  health.recordTimer(81 * SECOND, 81 * SECOND);
  assert.equal(health.isLagging, false);
  assert.equal(health.isOverloaded, true);
  health.recordTimer(83 * SECOND, 83 * SECOND);
  assert.equal(health.isOverloaded, false);
  for (let second = 90; second < 100; second += 2)
    health.recordTimer(second * SECOND, (second - 2) * SECOND, false);
  assert.equal(health.isOverloaded, false);
  assert.equal(health.isLagging, true);
});

test('long gaps between answers to lease renewals count as well', () => {
  const health = new LeaderHealth();
  for (let second = 1; second < 30; second += 1.2) health.recordRenewal(second * SECOND);
  for (const second of [33, 36]) health.recordRenewal(second * SECOND);
  assert.equal(health.isOverloaded, false);
  health.recordRenewal(40 * SECOND, false);
  assert.equal(health.isOverloaded, false);
  health.recordRenewal(44 * SECOND);
  assert.equal(health.isOverloaded, true);
});

/** A cluster with running tasks, its present leader and the log of its nodes. */
const startCluster = (
  seed: number,
  nodes: number,
): { simulation: ClusterSimulation; leader: () => string; log: string[] } => {
  const simulation = new ClusterSimulation(
    new Random(seed),
    nodes,
    '[[cluster.teams]]\nname = "t"\n',
    1e9,
    20,
  );
  simulation.runFor(3 * SECOND);
  for (let i = 0; i < 8; i++)
    simulation.submit(makeJobSpec(`run-${i}`, { tasks: 8, estimatedRunUs: 200 * SECOND }));
  simulation.runFor(40 * SECOND);
  const log: string[] = [];
  simulation.onLog = (node, event) => log.push(`${node} ${event}`);
  return {
    simulation,
    leader: () => simulation.nodes.find((n) => n.core?.canActAsLeader())?.name ?? 'nobody',
    log,
  };
};

test('an overloaded leader hands over the leader lease once, and no worker lease expires', () => {
  for (let seed = 1; seed <= 4; seed++) {
    const { simulation, leader, log } = startCluster(seed, seed % 2 === 0 ? 3 : 5);
    const slow = leader();
    simulation.processingIntervals.set(slow, 2_500 * MILLISECOND);
    simulation.runFor(12 * SECOND);
    assert.notEqual(leader(), slow);
    simulation.runFor(60 * SECOND);
    assert.equal(log.filter((l) => l.endsWith('leader.elected')).length, 1, log.join('; '));
    assert.equal(log.filter((l) => l.endsWith('machine.epoch_changed')).length, 0);
    assert.deepEqual([...new Set(simulation.violations)], [], `seed ${seed}`);
  }
});

test('where all nodes are slow, leadership does not keep changing', () => {
  const { simulation, log } = startCluster(9, 3);
  for (const node of simulation.nodes) simulation.processingIntervals.set(node.name, 2_500 * MILLISECOND);
  simulation.runFor(100 * SECOND);
  // Each node may resign once in four worker leases, which last 20 s here.
  assert.ok(log.filter((l) => l.endsWith('leader.resigned')).length <= 4, log.join('; '));
  assert.deepEqual([...new Set(simulation.violations)], []);
});
