/**
 * Polls and repeated submissions that follow each other closely, also after an outage or a change of settings. The simulated
 * clients remember the newest job state that any node has answered, and check that no request sent later gets an older one.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

test('a repeated submission of a job that the node knows takes no store write', () => {
  const simulation = new ClusterSimulation(new Random(5), 3, undefined, undefined, 4);
  simulation.runFor(3 * SECOND);
  const spec = makeJobSpec('run-1', { estimatedRunUs: 300 * SECOND });
  simulation.submit(spec);
  simulation.runFor(2 * SECOND);
  const failedBefore = simulation.state.conflictingWrites;
  const answered = (): number | undefined => simulation.users.answeredAt.get('run-1');
  // Each node may learn of the job by one failed transaction.
  for (let i = 0; i < 200; i++) {
    simulation.submit(spec);
    simulation.runFor(20 * MILLISECOND);
  }
  simulation.runFor(SECOND);
  assert.ok(answered()! > simulation.now - 1_500 * MILLISECOND);
  assert.ok(
    simulation.state.conflictingWrites - failedBefore <= 3,
    `failed writes: ${simulation.state.conflictingWrites - failedBefore}`,
  );
  assert.deepEqual([...new Set(simulation.violations)], []);
});

test('a record that cannot be read does not delay other polls', () => {
  const simulation = new ClusterSimulation(
    new Random(11),
    1,
    '[[cluster.teams]]\nname = "t"\ncpus_max = 4.0\n',
    4,
    2,
  );
  simulation.runFor(3 * SECOND);
  const ids = Array.from({ length: 40 }, (_, i) => `run-${100 + i}`);
  for (const id of ids) simulation.submit(makeJobSpec(id, { tasks: 1, estimatedRunUs: 600 * SECOND }));
  simulation.runFor(10 * SECOND);
  const unreadable = ids[17]!;
  simulation.state.silentKeys.add(`j/${unreadable}`);
  // All clients poll the same node at the same moments, so that the same polls form a batch each time.
  const pollingSince = simulation.now;
  const answered = new Map<string, number>();
  for (let elapsedS = 0; elapsedS < 60; elapsedS += 5) {
    for (const id of ids) simulation.poll(id);
    simulation.runFor(5 * SECOND);
    for (const id of ids)
      if (!answered.has(id) && simulation.users.answeredAt.get(id)! >= pollingSince)
        answered.set(id, elapsedS);
  }
  const late = ids.filter((id) => id !== unreadable && (answered.get(id) ?? Infinity) > 30);
  assert.deepEqual(late, []);
  // Polls of the last rounds are all answered.
  for (const id of ids)
    if (id !== unreadable) assert.ok(simulation.users.answeredAt.get(id)! > simulation.now - 11 * SECOND, id);
  simulation.state.silentKeys.clear();
  simulation.poll(unreadable);
  simulation.runFor(3 * SECOND);
  assert.ok(simulation.users.answeredAt.get(unreadable)! > simulation.now - 3 * SECOND);
});

test('thousands of polls after an outage are all answered within seconds', () => {
  const simulation = new ClusterSimulation(
    new Random(13),
    3,
    '[[cluster.teams]]\nname = "t"\ncpus_max = 4.0\n',
    4,
    2,
  );
  simulation.runFor(3 * SECOND);
  const ids = Array.from({ length: 1_500 }, (_, i) => `run-${10_000 + i}`);
  for (const id of ids) {
    simulation.submit(makeJobSpec(id, { tasks: 1, estimatedRunUs: 600 * SECOND }));
    simulation.runFor(25 * MILLISECOND);
  }
  simulation.stateOutage(20 * SECOND);
  simulation.runFor(20 * SECOND);
  const outageEnd = simulation.now;
  for (let round = 0; round < 2; round++) {
    for (const id of ids) simulation.poll(id);
    simulation.runFor(5 * SECOND);
  }
  assert.deepEqual(
    ids.filter((id) => simulation.users.answeredAt.get(id)! < outageEnd),
    [],
  );
  assert.deepEqual([...new Set(simulation.violations)], []);
});

test('a known job is never refused, whatever the current limits, the machine types or the request body', () => {
  let refused = 0;
  for (let seed = 1; seed <= 4; seed++) {
    const simulation = new ClusterSimulation(
      new Random(seed * 17),
      3,
      '[[cluster.teams]]\nname = "t"\ncpus_max = 8.0\n',
      8,
      2,
    );
    simulation.runFor(3 * SECOND);
    const ids = Array.from({ length: 4 }, (_, i) => `run-${seed}${i}`);
    const specs = ids.map((id, i) =>
      makeJobSpec(id, { shape: 'gang', tasks: 2, cores: 3, estimatedRunUs: [2, 2, 400, 400][i]! * SECOND }),
    );
    for (const spec of specs) simulation.submit(spec);
    simulation.runFor(25 * SECOND);
    simulation.cancel(ids[3]!);
    simulation.runFor(2 * SECOND);
    // All processes restart with a quota under which none of these jobs could be accepted.
    simulation.teams = '[[cluster.teams]]\nname = "t"\ncpus_max = 2.0\n';
    simulation.nodes.forEach((_, i) => {
      simulation.crash(i, 300 * MILLISECOND);
    });
    simulation.runFor(12 * SECOND);
    const resubmittedAt = simulation.now;
    for (const spec of specs)
      for (const body of [
        spec,
        { ...spec, team: 'nobody' },
        { ...spec, cores: 1_000 },
        { ...spec, machineTypes: ['none'] },
      ])
        for (let node = 0; node < 3; node++) simulation.users.submit(body);
    simulation.runFor(4 * SECOND);
    for (const id of ids) assert.ok(simulation.users.answeredAt.get(id)! > resubmittedAt, id);
    // The same submission of an unknown job is refused.
    simulation.users.submit(makeJobSpec(`run-${seed}9`, { shape: 'gang', tasks: 2, cores: 3 }), 1_000);
    simulation.runFor(2 * SECOND);
    if (!simulation.users.knownStages.has(`run-${seed}9`)) refused++;
    assert.deepEqual([...new Set(simulation.violations)], [], `seed ${seed}`);
  }
  assert.equal(refused, 4);
});
