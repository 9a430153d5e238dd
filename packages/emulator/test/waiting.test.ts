/** The check for jobs left waiting beside free room finds one, and takes none that waits for a reason. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { SECOND } from '@shaleyoke/core/domain/time';

import { ClusterSimulation } from '../src/cluster-simulation.js';
import { Random } from '../src/random.js';
import { specOf } from '../src/specs.js';
import { StarvationMonitor } from '../src/waiting.js';

const longest = (coresMax: number, before: (w: ClusterSimulation) => void): number => {
  const w = new ClusterSimulation(
    new Random(3),
    3,
    `[[cluster.teams]]\nname = "t"\ncpus_max = ${coresMax}.0\n`,
    coresMax,
    1,
  );
  w.stand(2);
  w.runFor(3 * SECOND);
  for (let i = 0; i < 5; i++) w.submit(specOf(`run-${i}`, { tasks: 2, estimatedRunUs: 400 * SECOND }));
  w.runFor(20 * SECOND);
  before(w);
  const waiting = new StarvationMonitor(w, coresMax);
  for (let t = 0; t < 150; t += 5) {
    w.runFor(5 * SECOND);
    waiting.observe(['run-0', 'run-1', 'run-2', 'run-3', 'run-4']);
  }
  return Math.max(0, ...waiting.longestWaits.values()) / SECOND;
};

test('work that nobody places beside free machines is found', () => {
  // All controllers are away: the machines' leases run out, and they stand empty.
  const away = longest(40, (w) => {
    for (let i = 0; i < 3; i++) w.crash(i, 3_600 * SECOND);
  });
  assert.ok(away > 90, `${away} s`);
});

test('work that waits for room, for its team, or while machines hang is not', () => {
  assert.ok(longest(40, () => undefined) < 20);
  assert.ok(longest(4, () => undefined) < 20);
  const hung = longest(40, (w) => {
    for (let i = 0; i < 3; i++) w.crash(i, 3_600 * SECOND);
    for (const x of w.workers.values()) x.cutUntil = w.now + 3_600 * SECOND;
  });
  assert.ok(hung < 20, `${hung} s`);
});
