/**
 * Meetings of troubles: most rules that were ever broken broke where two troubles met. Each meeting by itself, and then
 * pairs of them, on the emulated world; that it took place is counted, not assumed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Core } from '@shaleyoke/core/core';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { FIRST_BOUNDS, BASIC_SCENARIOS, play } from '@shaleyoke/emulator/fault-scenarios';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { checkOutcome } from './scenario-assertions.js';

const NAMES = Object.keys(BASIC_SCENARIOS);
const TEAM = (cores: number): string => `[[cluster.teams]]\nname = "t"\ncpus_max = ${cores}.0\n`;

/** More by hand: `MEETING_SEEDS=1-100 node --import tsx --test packages/core/test/meetings.test.ts`. */
const [from, to] = (process.env['MEETING_SEEDS'] ?? '1-3').split('-').map(Number) as [number, number];

for (const name of NAMES)
  test(`${name}: no rule breaks, all work ends, nothing is forgotten`, () => {
    const sum = { orders: 0, late: 0, stale: 0, won: 0, cuts: 0, ends: 0, unreached: 0 };
    for (let seed = from; seed <= to; seed++) {
      const o = play(seed, [BASIC_SCENARIOS[name]!], 4, FIRST_BOUNDS);
      checkOutcome(o, `seed ${seed}`);
      sum.orders += o.w.lateOrders;
      sum.late += o.w.lateWritten.all;
      sum.stale += o.w.lateWritten.all - o.w.lateWritten.applied;
      sum.won += o.won;
      sum.cuts += o.counts.get('cuts') ?? 0;
      sum.ends += o.counts.get('ends') ?? 0;
      sum.unreached += o.counts.get('unreached with tasks') ?? 0;
    }
    // That it took place.
    if (name === 'commands held up') assert.ok(sum.orders > 10, `held up: ${sum.orders}`);
    if (name === 'late transactions')
      assert.ok(sum.late > 20 && sum.stale > 5, `late: ${sum.late}, of which too late: ${sum.stale}`);
    if (name === 'a leader cut from state and peers') assert.ok(sum.cuts > 6 && sum.won > 6);
    if (name === 'the leader ends') assert.ok(sum.ends > 6 && sum.won > 6);
    if (name === 'the leader ends while machines can not be reached')
      assert.ok(sum.unreached > 6, `unreached with tasks: ${sum.unreached}`);
    if (name === 'handed back and forth') assert.ok(sum.won > 6, `offices: ${sum.won}`);
  });

test('tasks that end far apart across changes of leader: done when all are, and none runs anew', () => {
  for (const changes of [1, 2, 3])
    for (let seed = 1; seed <= 6; seed++) {
      const r = new Random(seed * 131 + changes);
      // One core at a time: each task begins when the one before has ended.
      const w = new ClusterSimulation(r, 3, TEAM(1), 1, 4);
      w.stand(2);
      w.repeats = seed % 2 === 0 ? 0.3 : 0;
      w.runFor(3 * SECOND);
      const length = (6 + r.below(8)) * SECOND;
      const specs = [
        specOf('run-1', { tasks: 3, estimatedRunUs: length }),
        specOf('run-2', { tasks: 2, estimatedRunUs: length }),
      ];
      for (const spec of specs) w.submit(spec);
      for (let i = 0; i < changes; i++) {
        w.runFor(length + r.below(4_000) * MILLI);
        const leader = w.nodes.findIndex((n) => n.core?.leads() === true);
        if (leader >= 0) w.crash(leader, [60 * MILLI, 800 * MILLI, 20 * SECOND][r.below(3)]!);
      }
      const what = `${changes} changes, seed ${seed}`;
      // Whatever is told meanwhile: `not_done` is looked for at each answer.
      for (let t = 0; t < 220; t += 2) {
        for (const spec of specs) w.poll(spec.id);
        w.runFor(2 * SECOND);
      }
      assert.deepEqual([...new Set(w.broken)], [], what);
      for (const spec of specs) assert.equal(w.stageOf(spec.id), 'done', `${what}: ${spec.id}`);
      assert.equal(w.starts, 5, `${what}: tasks that were begun`);
    }
});

test('late copies of reports do not make a machine seem well that hangs', () => {
  for (let seed = 1; seed <= 4; seed++) {
    const w = new ClusterSimulation(new Random(seed * 77), 3, TEAM(16), 16, 4);
    const missed = new Map<string, number>();
    w.onLog = (_n, event, f) => {
      if (event === 'machine.retired' && f['reason'] === 'silent') missed.set(String(f['machine']), w.now);
    };
    w.runFor(2 * SECOND);
    for (let i = 0; i < 4; i++)
      w.submit(specOf(`run-${seed}${i}`, { tasks: 4, estimatedRunUs: 300 * SECOND }));
    w.runFor(30 * SECOND);
    const x = [...w.workers.values()].find((y) => y.alive && y.tasks.length > 0)!;
    // What it has sent so far comes again, one after the other, for longer than its lease.
    const sent = Array.from({ length: 12 }, () => w.machines.reportOf(x));
    const lead = (): Core => w.nodes.find((n) => n.core?.leads() === true)!.core!;
    for (const r of sent) lead().scheduler!.respondToHeartbeat(r);
    x.cutUntil = w.now + 1_000 * SECOND;
    const from = w.now;
    for (const r of sent) {
      w.runFor(4 * SECOND);
      lead().scheduler!.respondToHeartbeat(r);
    }
    const at = missed.get(x.name);
    assert.ok(at !== undefined, `seed ${seed}: ${x.name} is never missed`);
    assert.ok(at - from < 14 * SECOND, `seed ${seed}: missed after ${(at - from) / SECOND} s`);
    assert.deepEqual([...new Set(w.broken)], []);
  }
});

test('a late report of a machine that an earlier leader saw end brings nothing back', () => {
  let ghosts = 0;
  for (let seed = 1; seed <= 4; seed++) {
    const w = new ClusterSimulation(new Random(seed * 91), 3, TEAM(16), 16, 4);
    w.runFor(2 * SECOND);
    for (let i = 0; i < 4; i++)
      w.submit(specOf(`run-${seed}${i}`, { tasks: 4, estimatedRunUs: 300 * SECOND }));
    w.runFor(30 * SECOND);
    const x = [...w.workers.values()].find((y) => y.alive && y.tasks.some((t) => t.state === 'running'))!;
    const old = w.machines.reportOf(x);
    const tasks = x.tasks.map((t) => `${t.job}/${t.index}`);
    w.killWorker(x);
    w.runFor(40 * SECOND);
    // Its tasks run elsewhere by now. The next leader has never heard of it, and reads its records for a while.
    w.listDelay = 800 * MILLI;
    w.crash(
      w.nodes.findIndex((n) => n.core?.leads() === true),
      SECOND,
    );
    const reading = (): Core | undefined =>
      w.nodes.map((n) => n.core).find((c) => (c?.scheduler ?? null) !== null) ?? undefined;
    for (let i = 0; i < 40 && reading() === undefined; i++) w.runFor(250 * MILLI);
    const scheduler = reading()!.scheduler!;
    assert.equal(scheduler.term.ready, false);
    scheduler.respondToHeartbeat(old);
    assert.ok(scheduler.term.cluster.machines.has(x.name), 'taken for one that may be there');
    w.runFor(6 * SECOND);
    assert.equal(scheduler.term.ready, true);
    assert.ok(!scheduler.term.cluster.machines.has(x.name), 'let go once the records were read');
    assert.equal(scheduler.respondToHeartbeat(old).kind, 'unavailable', `seed ${seed}`);
    ghosts += tasks.length;
    w.runFor(30 * SECOND);
    assert.deepEqual([...new Set(w.broken)], []);
    // Nothing waits for it.
    const ghost = [...w.workers.values()].filter((y) => y.alive && y.name === x.name);
    assert.equal(ghost.length, 0);
  }
  assert.ok(ghosts > 4);
});

test('pairs of meetings: no rule breaks, all work ends, nothing is forgotten', () => {
  let won = 0;
  for (let seed = from; seed <= to * 4; seed++) {
    const r = new Random(seed * 811);
    const a = NAMES[r.below(NAMES.length)]!;
    const b = NAMES[r.below(NAMES.length)]!;
    const o = play(1_000 + seed, [BASIC_SCENARIOS[a]!, BASIC_SCENARIOS[b]!], 3, FIRST_BOUNDS);
    checkOutcome(o, `seed ${seed}: ${a}; ${b}`);
    won += o.won;
  }
  assert.ok(won > 2 * to * 4, `offices: ${won}`);
});
