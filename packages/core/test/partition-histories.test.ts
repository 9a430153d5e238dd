/** Generated histories of cuts that leave some links up, with crashes and outages in them: the rules hold, and all work ends. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';

const shapes = (r: Random, id: string): JobSpec => {
  const pick = r.below(4);
  if (pick === 0)
    return specOf(id, { shape: 'gang', tasks: 1 + r.below(4), sameZone: true, estimatedRunUs: 15 * SECOND });
  if (pick === 1) return specOf(id, { tasks: 4, spreadAcrossZones: true, estimatedRunUs: 20 * SECOND });
  return specOf(id, { tasks: 1 + r.below(6), estimatedRunUs: (5 + r.below(40)) * SECOND });
};

/** One cut: of what from what, for how long, in one direction or both. */
const cut = (w: ClusterSimulation, r: Random): void => {
  const names = w.nodes.map((n) => n.name);
  const node = names[r.below(names.length)]!;
  const length = [2, 9, 20, 45][r.below(4)]! * SECOND;
  const sides = (a: string, b: string): void => {
    const way = r.below(4);
    if (way === 0) w.network.cutOneWay(a, b, length);
    else if (way === 1) w.network.cutOneWay(b, a, length);
    else w.network.cut(a, b, length);
  };
  const what = r.below(7);
  if (what <= 1) sides(node, 'state');
  else if (what === 2) for (const other of names.filter((n) => n !== node)) sides(node, other);
  else if (what === 3) sides(node, 'cloud');
  else if (what === 4) for (const x of w.workers.values()) sides(node, x.name);
  else if (what === 5) {
    for (const x of w.workers.values()) if (r.chance(0.5)) sides(node, x.name);
  } else {
    // All but one node lose the state service.
    for (const other of names.filter((n) => n !== node)) w.network.cut(other, 'state', length);
  }
};

/** Plays one history; what was broken in it, and which jobs did not end. */
const play = (seed: number, nodes: number): { broken: string[]; open: string[]; won: number } => {
  const r = new Random(seed * 104_729);
  const w = new ClusterSimulation(r, nodes, '[[cluster.teams]]\nname = "t"\ncpus_max = 16.0\n', 16, 6);
  if (seed % 3 !== 0) w.membership = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };
  let won = 0;
  w.onLog = (_node, event) => {
    if (event === 'leader.elected') won++;
  };
  w.runFor(2 * SECOND);
  const ids: string[] = [];
  for (let step = 0; step < 26; step++) {
    w.loss = r.chance(0.2) ? 0.2 : 0.02;
    if (r.chance(0.6) && ids.length < 14) {
      const id = `run-${seed}${String(step).padStart(3, '0')}`;
      ids.push(id);
      w.submit(shapes(r, id));
    }
    if (r.chance(0.45)) cut(w, r);
    if (r.chance(0.1)) w.crash(r.below(nodes), (1 + r.below(6)) * SECOND);
    if (r.chance(0.04)) w.stateOutage((2 + r.below(14)) * SECOND);
    const worker = w.anyWorker();
    if (worker !== undefined && r.chance(0.06)) w.killWorker(worker);
    const some = ids[r.below(Math.max(1, ids.length))];
    if (some !== undefined && r.chance(0.1)) w.cancel(some);
    for (const id of ids) if (r.chance(0.3)) w.poll(id);
    w.runFor((1 + r.below(7)) * SECOND);
  }
  w.loss = 0;
  w.runFor(300 * SECOND);
  for (const id of ids) w.poll(id);
  w.runFor(3 * SECOND);
  return {
    broken: [...new Set(w.broken)],
    open: ids.filter((id) => !['done', 'cancelled'].includes(w.stageOf(id) ?? '')),
    won,
  };
};

/** More by hand: `CUT_SEEDS=1-400 node --import tsx --test packages/core/test/cut-histories.test.ts`. */
const [from, to] = (process.env['CUT_SEEDS'] ?? '1-12').split('-').map(Number) as [number, number];

test('no rule breaks under cuts of any link, in one direction or both, and all work ends', () => {
  let won = 0;
  for (let seed = from; seed <= to; seed++) {
    const h = play(seed, seed % 4 === 0 ? 5 : 3);
    assert.deepEqual(h.broken.slice(0, 5), [], `seed ${seed}`);
    assert.deepEqual(h.open, [], `seed ${seed}: work that did not end`);
    won += h.won;
  }
  assert.ok(won > 2 * (to - from + 1), 'the office changed hands');
});
