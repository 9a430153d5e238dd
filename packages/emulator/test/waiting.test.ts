/** Tests that the check for starved jobs reports jobs that wait despite free capacity, and no others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { SECOND } from '@shaleyoke/core/domain/time';

import { ClusterSimulation } from '../src/cluster-simulation.js';
import { Random } from '../src/random.js';
import { makeJobSpec } from '../src/specs.js';
import { StarvationMonitor } from '../src/starvation-monitor.js';

const longestWaitS = (coresMax: number, before: (world: ClusterSimulation) => void): number => {
  const world = new ClusterSimulation(
    new Random(3),
    3,
    `[[cluster.teams]]\nname = "t"\ncpus_max = ${coresMax}.0\n`,
    coresMax,
    1,
  );
  world.addMachines(2);
  world.runFor(3 * SECOND);
  for (let i = 0; i < 5; i++)
    world.submit(makeJobSpec(`run-${i}`, { tasks: 2, estimatedRunUs: 400 * SECOND }));
  world.runFor(20 * SECOND);
  before(world);
  const waiting = new StarvationMonitor(world, coresMax);
  for (let elapsedS = 0; elapsedS < 150; elapsedS += 5) {
    world.runFor(5 * SECOND);
    waiting.observe(['run-0', 'run-1', 'run-2', 'run-3', 'run-4']);
  }
  return Math.max(0, ...waiting.longestWaits.values()) / SECOND;
};

test('jobs that wait although machines are free are reported', () => {
  // All controllers are down: the machines' leases expire, which ends their tasks.
  const withoutControllersS = longestWaitS(40, (world) => {
    for (let i = 0; i < 3; i++) world.crash(i, 3_600 * SECOND);
  });
  assert.ok(withoutControllersS > 90, `${withoutControllersS} s`);
});

test('jobs that wait for capacity, for their team limit, or while machines are unreachable are not reported', () => {
  assert.ok(longestWaitS(40, () => undefined) < 20);
  assert.ok(longestWaitS(4, () => undefined) < 20);
  const unreachableS = longestWaitS(40, (world) => {
    for (let i = 0; i < 3; i++) world.crash(i, 3_600 * SECOND);
    for (const worker of world.workers.values()) worker.unreachableUntil = world.now + 3_600 * SECOND;
  });
  assert.ok(unreachableS < 20, `${unreachableS} s`);
});
