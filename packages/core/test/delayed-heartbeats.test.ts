/**
 * Old heartbeats that reach a new leader before newer ones. A heartbeat with an older leader's token may be a late copy: it can
 * add places to wait for, but does not decide which of two attempts is the true one, nor what a machine holds now.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Heartbeat } from '@shaleyoke/core/domain/heartbeat';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import type { Worker } from '@shaleyoke/emulator/workers-model';

import { teamQuota, violationsOf } from './scenario-fixtures.js';

const TWO_TEAMS = `${teamQuota(8, 't')}\n${teamQuota(8, 'u')}`;

const runningTasks = (worker: Worker): string[] =>
  worker.tasks.filter((task) => task.state === 'running').map((task) => `${task.job}/${task.index}`);

const holdersOf = (simulation: ClusterSimulation, task: string): Worker[] =>
  [...simulation.workers.values()].filter((worker) => worker.alive && runningTasks(worker).includes(task));

/**
 * A leader ends; the next one has just read the records, and has received no heartbeats but the `old` copies. The workers' own
 * heartbeats are held back meanwhile.
 */
const failOver = (simulation: ClusterSimulation, old: readonly Heartbeat[]): void => {
  const isReady = simulation.nodes.map(() => false);
  simulation.onLog = (nodeName, event) => {
    if (event === 'leader.state_restored')
      isReady[simulation.nodes.findIndex((node) => node.name === nodeName)] = true;
  };
  for (const worker of simulation.workers.values()) worker.muteUntil = simulation.now + 60 * SECOND;
  simulation.crash(simulation.leader(), 30 * SECOND);
  for (let i = 0; i < 1_000 && !isReady.includes(true); i++) simulation.runFor(25 * MILLI);
  assert.ok(isReady.includes(true), 'a new leader is ready');
  const { scheduler } = simulation.nodes[simulation.leader()]!.core!;
  for (const heartbeat of old) assert.equal(scheduler!.respondToHeartbeat(heartbeat).kind, 'accepted');
  for (const worker of simulation.workers.values()) {
    worker.muteUntil = 0;
    worker.node = simulation.leader();
    // From here on in an order that the test chooses.
    worker.nextReport = simulation.now + 3600 * SECOND;
  }
};

/** A task that failed on the machine `origin` and runs elsewhere now; `old` is a heartbeat of `origin` that lists it. */
interface MovedTask {
  readonly simulation: ClusterSimulation;
  readonly old: Heartbeat;
  readonly origin: Worker;
  readonly task: string;
}

/** Long tasks on several machines. One of them fails on its machine, and begins anew elsewhere. */
const moveTask = (seed: number, shape: 'array' | 'gang'): MovedTask => {
  const simulation = new ClusterSimulation(new Random(seed * 37 + 5), 3, teamQuota(40), 40, 5);
  simulation.stand(8);
  simulation.runFor(3 * SECOND);
  for (let i = 0; i < 5; i++)
    simulation.submit(specOf(`run-${seed}${i}`, { shape, tasks: 3, estimatedRunUs: 900 * SECOND }));
  simulation.runFor(20 * SECOND);
  const origin = [...simulation.workers.values()].find(
    (worker) => worker.alive && runningTasks(worker).length > 0,
  )!;
  const old = simulation.machines.reportOf(origin);
  const failing = origin.tasks.find((task) => task.state === 'running')!;
  const task = `${failing.job}/${failing.index}`;
  failing.state = 'exited';
  failing.cause = 'error';
  origin.nextReport = simulation.now;
  simulation.runFor(25 * SECOND);
  const holders = holdersOf(simulation, task);
  assert.ok(holders.length === 1 && holders[0] !== origin, `seed ${seed}: ${task} has moved`);
  return { simulation, old, origin, task };
};

test('healthy work is not stopped because a late copy of a heartbeat lists it elsewhere', () => {
  for (const shape of ['array', 'gang'] as const)
    for (let seed = 1; seed <= 5; seed++) {
      const { simulation, old, origin, task } = moveTask(seed, shape);
      const stoppedBefore = simulation.machines.stoppedRunning.length;
      const holdersBefore = holdersOf(simulation, task).map((worker) => worker.name);
      failOver(simulation, [old]);
      for (const worker of simulation.workers.values())
        worker.nextReport = simulation.now + (worker === origin ? 2 * SECOND : 0);
      simulation.runFor(40 * SECOND);
      const description = `${shape}, seed ${seed}`;
      assert.deepEqual(
        simulation.machines.stoppedRunning.slice(stoppedBefore),
        [],
        `${description}: stopped without need`,
      );
      const holdersAfter = holdersOf(simulation, task).map((worker) => worker.name);
      assert.deepEqual(holdersAfter, holdersBefore, `${description}: ${task}`);
      assert.deepEqual(violationsOf(simulation), [], description);
    }
});

test('a task does not begin a third time while the stop command has not reached its true place', () => {
  // The true place sends the new token, and the answers to it are lost from then on; then the place that the copy had named
  // reports that it has no such task. A leader that took the copy for the truth began the task anew (ran_twice).
  for (let seed = 1; seed <= 5; seed++) {
    const { simulation, old, origin, task } = moveTask(seed, 'array');
    const [holder] = holdersOf(simulation, task) as [Worker];
    failOver(simulation, [old]);
    const { scheduler } = simulation.nodes[simulation.leader()]!.core!;
    // It has the new leader's token: by a command, or an answer before the records were read.
    simulation.machines.orders(holder.name, scheduler!.term.firstFencingToken, holder.session, []);
    assert.equal(scheduler!.respondToHeartbeat(simulation.machines.reportOf(holder)).kind, 'accepted');
    holder.deafUntil = simulation.now + 12 * SECOND;
    for (const worker of simulation.workers.values())
      if (worker !== holder) worker.nextReport = simulation.now;
    origin.nextReport = simulation.now;
    simulation.runFor(40 * SECOND);
    assert.deepEqual(violationsOf(simulation), [], `seed ${seed}`);
  }
});

test("a late copy that lists one team's tasks does not hide another team's from its quota", () => {
  for (let seed = 1; seed <= 4; seed++) {
    const simulation = new ClusterSimulation(new Random(seed * 41 + 3), 3, TWO_TEAMS, 8, 1);
    simulation.stand(2);
    simulation.runFor(3 * SECOND);
    simulation.submit(
      specOf('run-1', { tasks: 8, team: 't', estimatedRunUs: 900 * SECOND, checkpointIntervalUs: SECOND }),
    );
    simulation.runFor(15 * SECOND);
    const oldRounds = Array.from({ length: 8 }, () =>
      [...simulation.workers.values()].map((worker) => simulation.machines.reportOf(worker)),
    );
    // Team u takes the place of team t, and has more waiting than its quota allows.
    simulation.submit(specOf('run-2', { tasks: 8, team: 'u', priority: 2, estimatedRunUs: 900 * SECOND }));
    simulation.submit(specOf('run-3', { tasks: 8, team: 'u', priority: 2, estimatedRunUs: 900 * SECOND }));
    simulation.runFor(30 * SECOND);
    const runningOf = (job: string): number =>
      [...simulation.workers.values()].flatMap(runningTasks).filter((task) => task.startsWith(`${job}/`))
        .length;
    assert.equal(runningOf('run-2') + runningOf('run-3'), 8, `seed ${seed}: team u is at its quota`);
    // From here on there are more machines, and they are up within a second.
    simulation.cloud.perZone = 4;
    simulation.cloud.bootUs = () => 800 * MILLI;
    failOver(simulation, []);
    const { scheduler } = simulation.nodes[simulation.leader()]!.core!;
    for (const heartbeats of oldRounds) {
      for (const heartbeat of heartbeats) scheduler!.respondToHeartbeat(heartbeat);
      simulation.runFor(2 * SECOND);
    }
    assert.deepEqual(violationsOf(simulation), [], `seed ${seed}`);
  }
});
