/**
 * Old reports that reach a new leader before newer ones. A report with an older leader's token may be a late copy: it can add
 * places to wait for, but does not decide which of two attempts is the true one, nor what a machine holds now.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Heartbeat } from '@shaleyoke/core/domain/heartbeat';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import type { Worker } from '@shaleyoke/emulator/workers-model';

const TEAM = (cores: number): string => `[[cluster.teams]]\nname = "t"\ncpus_max = ${cores}.0\n`;
const TWO_TEAMS = `[[cluster.teams]]\nname = "t"\ncpus_max = 8.0\n\n[[cluster.teams]]\nname = "u"\ncpus_max = 8.0\n`;

const running = (x: Worker): string[] =>
  x.tasks.filter((t) => t.state === 'running').map((t) => `${t.job}/${t.index}`);
const holders = (w: ClusterSimulation, task: string): Worker[] =>
  [...w.workers.values()].filter((x) => x.alive && running(x).includes(task));

/**
 * A leader ends; the next one has just read the records, and no worker has come to it but the copies given by `old`. Reports
 * of workers are held back meanwhile.
 */
const nextLeader = (w: ClusterSimulation, old: readonly Heartbeat[]): void => {
  const won = w.nodes.map(() => false);
  w.onLog = (n, event) => {
    if (event === 'leader.state_restored') won[w.nodes.findIndex((x) => x.name === n)] = true;
  };
  for (const x of w.workers.values()) x.muteUntil = w.now + 60 * SECOND;
  w.crash(w.leader(), 30 * SECOND);
  for (let i = 0; i < 1_000 && !won.includes(true); i++) w.runFor(25 * MILLI);
  assert.ok(won.includes(true), 'a new leader is ready');
  const { scheduler } = w.nodes[w.leader()]!.core!;
  for (const r of old) assert.equal(scheduler!.respondToHeartbeat(r).kind, 'accepted');
  for (const x of w.workers.values()) {
    x.muteUntil = 0;
    x.node = w.leader();
    // From here on in an order that the test chooses.
    x.nextReport = w.now + 3600 * SECOND;
  }
};

/** Long tasks on several machines. One of them fails on its machine, and begins anew elsewhere. */
const moved = (
  seed: number,
  shape: 'array' | 'gang',
): { w: ClusterSimulation; old: Heartbeat; from: Worker; task: string } => {
  const w = new ClusterSimulation(new Random(seed * 37 + 5), 3, TEAM(40), 40, 5);
  w.stand(8);
  w.runFor(3 * SECOND);
  for (let i = 0; i < 5; i++)
    w.submit(specOf(`run-${seed}${i}`, { shape, tasks: 3, estimatedRunUs: 900 * SECOND }));
  w.runFor(20 * SECOND);
  const from = [...w.workers.values()].find((x) => x.alive && running(x).length > 0)!;
  const old = w.machines.reportOf(from);
  const t = from.tasks.find((x) => x.state === 'running')!;
  const task = `${t.job}/${t.index}`;
  t.state = 'exited';
  t.cause = 'error';
  from.nextReport = w.now;
  w.runFor(25 * SECOND);
  const now = holders(w, task);
  assert.ok(now.length === 1 && now[0] !== from, `seed ${seed}: ${task} has moved`);
  return { w, old, from, task };
};

test('healthy work is not stopped since a late copy tells of it elsewhere', () => {
  for (const shape of ['array', 'gang'] as const)
    for (let seed = 1; seed <= 5; seed++) {
      const { w, old, from, task } = moved(seed, shape);
      const before = w.machines.stoppedRunning.length;
      const now = holders(w, task).map((x) => x.name);
      nextLeader(w, [old]);
      for (const x of w.workers.values()) x.nextReport = w.now + (x === from ? 2 * SECOND : 0);
      w.runFor(40 * SECOND);
      const what = `${shape}, seed ${seed}`;
      assert.deepEqual(w.machines.stoppedRunning.slice(before), [], `${what}: stopped without need`);
      const after = holders(w, task).map((x) => x.name);
      assert.deepEqual(after, now, `${what}: ${task}`);
      assert.deepEqual([...new Set(w.broken)], [], what);
    }
});

test('a task does not begin a third time while the order to stop has not reached its true place', () => {
  // The true place comes with the new token, and its answers are lost from then on; then the place that the copy had named
  // tells that it has nothing of the kind. A leader that took the copy for the truth began the task anew (ran_twice).
  for (let seed = 1; seed <= 5; seed++) {
    const { w, old, from, task } = moved(seed, 'array');
    const [place] = holders(w, task) as [Worker];
    nextLeader(w, [old]);
    const { scheduler } = w.nodes[w.leader()]!.core!;
    // It has heard of the new leader: by an order, or an answer before the records were read.
    w.machines.orders(place.name, scheduler!.term.firstFencingToken, place.session, []);
    assert.equal(scheduler!.respondToHeartbeat(w.machines.reportOf(place)).kind, 'accepted');
    place.deafUntil = w.now + 12 * SECOND;
    for (const x of w.workers.values()) if (x !== place) x.nextReport = w.now;
    from.nextReport = w.now;
    w.runFor(40 * SECOND);
    assert.deepEqual([...new Set(w.broken)], [], `seed ${seed}`);
  }
});

test("a late copy of one team's tasks does not hide another team's from its limit", () => {
  for (let seed = 1; seed <= 4; seed++) {
    const w = new ClusterSimulation(new Random(seed * 41 + 3), 3, TWO_TEAMS, 8, 1);
    w.stand(2);
    w.runFor(3 * SECOND);
    w.submit(
      specOf('run-1', { tasks: 8, team: 't', estimatedRunUs: 900 * SECOND, checkpointIntervalUs: SECOND }),
    );
    w.runFor(15 * SECOND);
    const old = Array.from({ length: 8 }, () => [...w.workers.values()].map((x) => w.machines.reportOf(x)));
    // Team u takes the place of team t, and has more waiting than its limit allows.
    w.submit(specOf('run-2', { tasks: 8, team: 'u', priority: 2, estimatedRunUs: 900 * SECOND }));
    w.submit(specOf('run-3', { tasks: 8, team: 'u', priority: 2, estimatedRunUs: 900 * SECOND }));
    w.runFor(30 * SECOND);
    const of = (id: string): number =>
      [...w.workers.values()].reduce(
        (n, x) => n + running(x).filter((t) => t.startsWith(`${id}/`)).length,
        0,
      );
    assert.equal(of('run-2') + of('run-3'), 8, `seed ${seed}: team u is at its limit`);
    // From here on there are more machines, and they are up within a second.
    w.cloud.perZone = 4;
    w.cloud.bootUs = () => 800 * MILLI;
    nextLeader(w, []);
    const { scheduler } = w.nodes[w.leader()]!.core!;
    for (const copies of old) {
      for (const r of copies) scheduler!.respondToHeartbeat(r);
      w.runFor(2 * SECOND);
    }
    assert.deepEqual([...new Set(w.broken)], [], `seed ${seed}`);
  }
});
