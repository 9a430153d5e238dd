/** Whole services in simulated time: seeded troubles, with the protocol's rules as invariants. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';

const shapes = (r: Random, id: string): JobSpec => {
  const pick = r.below(5);
  if (pick === 0)
    return specOf(id, { shape: 'gang', tasks: 1 + r.below(3), sameZone: true, estimatedRunUs: 8 * SECOND });
  if (pick === 1) return specOf(id, { tasks: 4, spreadAcrossZones: true });
  if (pick === 2) return specOf(id, { tasks: 3, sameZone: true, cores: 2 });
  if (pick === 3) return specOf(id, { tasks: 2, zone: 'b', spot: true, priority: 0 });
  return specOf(id, { tasks: 1 + r.below(6), estimatedRunUs: (4 + r.below(20)) * SECOND });
};

test('a quiet service does what it is asked to', () => {
  const w = new ClusterSimulation(new Random(1));
  w.runFor(3 * SECOND);
  w.submit(specOf('run-1', { tasks: 5 }));
  w.submit(specOf('run-2', { shape: 'gang', tasks: 3, sameZone: true }));
  w.submit(specOf('run-3', { shape: 'service', tasks: 2 }));
  w.runFor(80 * SECOND);
  w.cancel('run-3');
  w.runFor(45 * SECOND);
  for (const id of ['run-1', 'run-2', 'run-3']) w.poll(id);
  w.runFor(SECOND);
  assert.deepEqual(w.broken, []);
  assert.equal(w.stageOf('run-1'), 'done');
  assert.equal(w.stageOf('run-2'), 'done');
  assert.equal(w.stageOf('run-3'), 'cancelled');
});

test('no rule breaks under crashes, outages, cuts and lost or late messages, and all work ends', () => {
  for (let seed = 1; seed <= 14; seed++) {
    const r = new Random(seed * 7919);
    const w = new ClusterSimulation(r);
    w.runFor(2 * SECOND);
    const ids: string[] = [];
    for (let step = 0; step < 30; step++) {
      w.loss = r.chance(0.3) ? 0.25 : 0.03;
      if (r.chance(0.6) && ids.length < 14) {
        const id = `run-${seed}${String(step).padStart(3, '0')}`;
        ids.push(id);
        w.submit(shapes(r, id));
      }
      if (r.chance(0.2)) w.crash(r.below(3), (2 + r.below(6)) * SECOND);
      if (r.chance(0.05)) for (const i of [0, 1, 2]) w.crash(i, (2 + r.below(4)) * SECOND);
      if (r.chance(0.08)) w.stateOutage((2 + r.below(14)) * SECOND);
      const worker = w.anyWorker();
      if (worker !== undefined && r.chance(0.15)) worker.cutUntil = w.now + (4 + r.below(30)) * SECOND;
      if (worker !== undefined && r.chance(0.08)) w.killWorker(worker);
      const some = ids[r.below(Math.max(1, ids.length))];
      if (some !== undefined && r.chance(0.12)) w.cancel(some);
      for (const id of ids) if (r.chance(0.4)) w.poll(id);
      w.runFor((1 + r.below(6)) * SECOND);
    }
    w.loss = 0;
    w.runFor(240 * SECOND);
    for (const id of ids) w.poll(id);
    w.runFor(2 * SECOND);
    assert.deepEqual([...new Set(w.broken)].slice(0, 5), [], `seed ${seed}`);
    assert.ok(w.starts > 0);
    for (const id of ids)
      assert.ok(
        ['done', 'cancelled'].includes(w.stageOf(id) ?? 'never accepted'),
        `seed ${seed} ${id}: ${w.stageOf(id)}`,
      );
  }
});

test('at hundreds of machines all controllers may crash, and a zone fall silent, without a broken rule', () => {
  const w = new ClusterSimulation(new Random(3), 3, '[[cluster.teams]]\nname = "t"\n', 1e9, 300);
  w.runFor(3 * SECOND);
  const ids: string[] = [];
  for (let i = 0; i < 24; i++) {
    const id = `run-${i}`;
    ids.push(id);
    w.submit(
      i % 3 === 0
        ? specOf(id, { shape: 'gang', tasks: 24, cores: 2, sameZone: true, estimatedRunUs: 60 * SECOND })
        : specOf(id, { tasks: 60, cores: 2, estimatedRunUs: 60 * SECOND }),
    );
  }
  for (let round = 0; round < 4; round++) {
    w.runFor(11 * SECOND);
    // Slow reads after the crash: workers report more than once before the records are there.
    w.loss = 0.3;
    for (const k of [0, 1, 2]) w.crash(k, (1 + k) * SECOND);
    if (round === 2) for (const x of w.workers.values()) if (x.zone === 'b') x.cutUntil = w.now + 14 * SECOND;
    w.runFor(6 * SECOND);
    w.loss = 0;
  }
  w.runFor(150 * SECOND);
  for (const id of ids) w.poll(id);
  w.runFor(2 * SECOND);
  assert.deepEqual([...new Set(w.broken)].slice(0, 5), []);
  assert.ok(w.workers.size > 300, `${w.workers.size} machines`);
  for (const id of ids) assert.equal(w.stageOf(id), 'done', id);
});

test('a machine that reported twice while a new leader was reading is not taken for empty', () => {
  // Seen on a grown krakow day: six tasks were started again elsewhere (ran_twice).
  for (let seed = 1; seed <= 3; seed++) {
    const w = new ClusterSimulation(new Random(seed), 3, '[[cluster.teams]]\nname = "t"\n', 1e9, 12);
    w.runFor(3 * SECOND);
    for (let i = 0; i < 6; i++)
      w.submit(specOf(`run-${i}`, { tasks: 12, cores: 2, estimatedRunUs: 60 * SECOND }));
    w.runFor(30 * SECOND);
    for (let round = 0; round < 4; round++) {
      w.listDelay = 2 * SECOND;
      for (const k of [0, 1, 2]) w.crash(k, (1 + k) * SECOND);
      w.runFor(16 * SECOND);
      w.listDelay = 0;
      w.runFor(5 * SECOND);
    }
    assert.deepEqual([...new Set(w.broken)].slice(0, 5), [], `seed ${seed}`);
  }
});

test('when all machines die at once, some leader stays until that is proven, and work goes on', () => {
  // Found by a generated world: each leader resigned after ten seconds of silence, before the leases ran out.
  const w = new ClusterSimulation(new Random(2));
  w.runFor(3 * SECOND);
  for (let i = 0; i < 4; i++) w.submit(specOf(`run-${i}`, { tasks: 4, estimatedRunUs: 60 * SECOND }));
  w.runFor(25 * SECOND);
  const before = [...w.workers.values()].filter((x) => x.alive);
  assert.ok(before.length >= 3);
  for (const x of before) w.killWorker(x);
  // The cloud can't tell either.
  w.cloud.downUntil = w.now + 100 * SECOND;
  w.runFor(90 * SECOND);
  const leader = w.nodes.find((n) => n.core?.leads() === true);
  w.runFor(8 * SECOND);
  assert.ok(leader?.core?.leads(), 'one leader stays');
  w.runFor(150 * SECOND);
  for (let i = 0; i < 4; i++) w.poll(`run-${i}`);
  w.runFor(2 * SECOND);
  assert.deepEqual([...new Set(w.broken)].slice(0, 5), []);
  for (let i = 0; i < 4; i++) assert.equal(w.stageOf(`run-${i}`), 'done');
});

test('a session that an order tells of is not ended by the count of the one before', () => {
  // Found by a generated history (ran_twice): the right comes back after the workers' leases ran out, an order that
  // waited is refused by a worker in its next session, work is started there, and the old count then "ends" it.
  for (let offset = 0; offset < 24; offset++) {
    const w = new ClusterSimulation(new Random(offset + 1), 3, '[[cluster.teams]]\nname = "t"\n', 1e9, 6);
    w.runFor(3 * SECOND);
    for (let i = 0; i < 4; i++) w.submit(specOf(`run-${i}`, { tasks: 6, estimatedRunUs: 90 * SECOND }));
    w.runFor(30 * SECOND);
    for (let i = 10; i < 14; i++) w.submit(specOf(`run-${i}`, { tasks: 4, estimatedRunUs: 40 * SECOND }));
    w.runFor((10 + offset * 4) * 1000);
    w.stateOutage(24 * SECOND);
    w.runFor(60 * SECOND);
    assert.deepEqual([...new Set(w.broken)].slice(0, 3), [], `offset ${offset}`);
  }
});
