/**
 * Users who look closely: all nodes are asked within milliseconds after a job was accepted, done or cancelled, the submission is
 * repeated, some cancel at once. The users of the emulated world remember the newest word that any node has told them, and
 * judge each answer by the moment at which they asked.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';

test('a repeated submission of a job that the node knows costs no writes', () => {
  const w = new ClusterSimulation(new Random(5), 3, undefined, undefined, 4);
  w.runFor(3 * SECOND);
  const spec = specOf('run-1', { estimatedRunUs: 300 * SECOND });
  w.submit(spec);
  w.runFor(2 * SECOND);
  const before = w.state.wasted;
  const answered = (): number | undefined => w.users.answeredAt.get('run-1');
  // Each node may learn of the job by one transaction that fails.
  for (let i = 0; i < 200; i++) {
    w.submit(spec);
    w.runFor(20 * MILLI);
  }
  w.runFor(SECOND);
  assert.ok(answered()! > w.now - 1_500 * MILLI);
  assert.ok(w.state.wasted - before <= 3, `writes that failed: ${w.state.wasted - before}`);
  assert.deepEqual([...new Set(w.broken)], []);
});

test('a record that can not be read holds up nobody else', () => {
  const w = new ClusterSimulation(new Random(11), 1, '[[cluster.teams]]\nname = "t"\ncpus_max = 4.0\n', 4, 2);
  w.runFor(3 * SECOND);
  const ids = Array.from({ length: 40 }, (_, i) => `run-${100 + i}`);
  for (const id of ids) w.submit(specOf(id, { tasks: 1, estimatedRunUs: 600 * SECOND }));
  w.runFor(10 * SECOND);
  const bad = ids[17]!;
  w.state.mute.add(`j/${bad}`);
  // All users ask the same node at the same moments, so that the same questions meet again and again.
  const from = w.now;
  const answered = new Map<string, number>();
  for (let t = 0; t < 60; t += 5) {
    for (const id of ids) w.poll(id);
    w.runFor(5 * SECOND);
    for (const id of ids) if (!answered.has(id) && w.users.answeredAt.get(id)! >= from) answered.set(id, t);
  }
  const late = ids.filter((id) => id !== bad && (answered.get(id) ?? Infinity) > 30);
  assert.deepEqual(late, []);
  // Users in the last rounds are answered each time.
  for (const id of ids) if (id !== bad) assert.ok(w.users.answeredAt.get(id)! > w.now - 11 * SECOND, id);
  w.state.mute.clear();
  w.poll(bad);
  w.runFor(3 * SECOND);
  assert.ok(w.users.answeredAt.get(bad)! > w.now - 3 * SECOND);
});

test('polls by thousands after an outage are all answered within seconds', () => {
  const w = new ClusterSimulation(new Random(13), 3, '[[cluster.teams]]\nname = "t"\ncpus_max = 4.0\n', 4, 2);
  w.runFor(3 * SECOND);
  const ids = Array.from({ length: 1_500 }, (_, i) => `run-${10_000 + i}`);
  for (const id of ids) {
    w.submit(specOf(id, { tasks: 1, estimatedRunUs: 600 * SECOND }));
    w.runFor(25 * MILLI);
  }
  w.stateOutage(20 * SECOND);
  w.runFor(20 * SECOND);
  const over = w.now;
  for (let t = 0; t < 2; t++) {
    for (const id of ids) w.poll(id);
    w.runFor(5 * SECOND);
  }
  assert.deepEqual(
    ids.filter((id) => w.users.answeredAt.get(id)! < over),
    [],
  );
  assert.deepEqual([...new Set(w.broken)], []);
});

test('a known job is never refused, whatever limits and machine types have become, or the body says', () => {
  let refused = 0;
  for (let seed = 1; seed <= 4; seed++) {
    const w = new ClusterSimulation(
      new Random(seed * 17),
      3,
      '[[cluster.teams]]\nname = "t"\ncpus_max = 8.0\n',
      8,
      2,
    );
    w.runFor(3 * SECOND);
    const ids = Array.from({ length: 4 }, (_, i) => `run-${seed}${i}`);
    const specs = ids.map((id, i) =>
      specOf(id, { shape: 'gang', tasks: 2, cores: 3, estimatedRunUs: [2, 2, 400, 400][i]! * SECOND }),
    );
    for (const spec of specs) w.submit(spec);
    w.runFor(25 * SECOND);
    w.cancel(ids[3]!);
    w.runFor(2 * SECOND);
    // All processes come back with a limit under which none of these jobs could be accepted.
    w.teams = '[[cluster.teams]]\nname = "t"\ncpus_max = 2.0\n';
    w.nodes.forEach((_, i) => {
      w.crash(i, 300 * MILLI);
    });
    w.runFor(12 * SECOND);
    const asked = w.now;
    for (const spec of specs)
      for (const body of [
        spec,
        { ...spec, team: 'nobody' },
        { ...spec, cores: 1_000 },
        { ...spec, machineTypes: ['none'] },
      ])
        for (let node = 0; node < 3; node++) w.users.submit(body);
    w.runFor(4 * SECOND);
    for (const id of ids) assert.ok(w.users.answeredAt.get(id)! > asked, id);
    // The same from somebody whose job is not known.
    w.users.submit(specOf(`run-${seed}9`, { shape: 'gang', tasks: 2, cores: 3 }), 1_000);
    w.runFor(2 * SECOND);
    if (!w.users.told.has(`run-${seed}9`)) refused++;
    assert.deepEqual([...new Set(w.broken)], [], `seed ${seed}`);
  }
  assert.equal(refused, 4);
});
