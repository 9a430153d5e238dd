/**
 * Old heartbeats that reach a new leader before newer ones. A heartbeat with the fencing token of an earlier leader may be a
 * late copy. It may add machines that the leader has to wait for, but must not decide which of two attempts of a task is the
 * valid one, nor which tasks a machine runs now.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Heartbeat } from '@shaleyoke/core/domain/heartbeat';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';
import type { Worker } from '@shaleyoke/emulator/workers-model';

import { teamQuota, violationsOf } from './scenario-fixtures.js';

const TWO_TEAMS = `${teamQuota(8, 't')}\n${teamQuota(8, 'u')}`;

const runningTasks = (worker: Worker): string[] =>
  worker.tasks.filter((task) => task.state === 'running').map((task) => `${task.job}/${task.index}`);

const holdersOf = (simulation: ClusterSimulation, task: string): Worker[] =>
  [...simulation.workers.values()].filter((worker) => worker.alive && runningTasks(worker).includes(task));

/**
 * Crashes the leader and runs until the next one has read the records, having received no heartbeats but these old copies.
 * The workers' own heartbeats are held back, and stay so until the test lets a worker report.
 */
const failOver = (simulation: ClusterSimulation, oldHeartbeats: readonly Heartbeat[]): void => {
  const isReady = simulation.nodes.map(() => false);
  simulation.onLog = (nodeName, event) => {
    if (event === 'leader.state_restored')
      isReady[simulation.nodes.findIndex((node) => node.name === nodeName)] = true;
  };
  for (const worker of simulation.workers.values()) worker.sendsNothingUntil = simulation.now + 60 * SECOND;
  simulation.crash(simulation.leaderIndex(), 30 * SECOND);
  for (let i = 0; i < 1_000 && !isReady.includes(true); i++) simulation.runFor(25 * MILLISECOND);
  assert.ok(isReady.includes(true), 'a new leader is ready');
  const { scheduler } = simulation.nodes[simulation.leaderIndex()]!.core!;
  for (const heartbeat of oldHeartbeats)
    assert.equal(scheduler!.respondToHeartbeat(heartbeat).kind, 'accepted');
  for (const worker of simulation.workers.values()) {
    worker.sendsNothingUntil = 0;
    worker.node = simulation.leaderIndex();
    // The test chooses when each worker reports from here on.
    worker.nextHeartbeatAt = simulation.now + 3600 * SECOND;
  }
};

/** A task that failed on `origin` and now runs elsewhere; `oldHeartbeat` is a heartbeat of `origin` that lists it. */
interface MovedTask {
  readonly simulation: ClusterSimulation;
  readonly oldHeartbeat: Heartbeat;
  readonly origin: Worker;
  readonly task: string;
}

/** Starts long tasks on several machines, and fails one of them so that it is started again elsewhere. */
const moveTask = (seed: number, shape: 'array' | 'gang'): MovedTask => {
  const simulation = new ClusterSimulation(new Random(seed * 37 + 5), 3, teamQuota(40), 40, 5);
  simulation.addMachines(8);
  simulation.runFor(3 * SECOND);
  for (let i = 0; i < 5; i++)
    simulation.submit(makeJobSpec(`run-${seed}${i}`, { shape, tasks: 3, estimatedRunUs: 900 * SECOND }));
  simulation.runFor(20 * SECOND);
  const origin = [...simulation.workers.values()].find(
    (worker) => worker.alive && runningTasks(worker).length > 0,
  )!;
  const oldHeartbeat = simulation.machines.heartbeatOf(origin);
  const failing = origin.tasks.find((task) => task.state === 'running')!;
  const task = `${failing.job}/${failing.index}`;
  failing.state = 'exited';
  failing.cause = 'error';
  origin.nextHeartbeatAt = simulation.now;
  simulation.runFor(25 * SECOND);
  const holders = holdersOf(simulation, task);
  assert.ok(holders.length === 1 && holders[0] !== origin, `seed ${seed}: ${task} has moved`);
  return { simulation, oldHeartbeat, origin, task };
};

test('a running task is not stopped because a late copy of a heartbeat lists it on another machine', () => {
  for (const shape of ['array', 'gang'] as const)
    for (let seed = 1; seed <= 5; seed++) {
      const { simulation, oldHeartbeat, origin, task } = moveTask(seed, shape);
      const stoppedBefore = simulation.machines.stoppedRunning.length;
      const holdersBefore = holdersOf(simulation, task).map((worker) => worker.name);
      failOver(simulation, [oldHeartbeat]);
      for (const worker of simulation.workers.values())
        worker.nextHeartbeatAt = simulation.now + (worker === origin ? 2 * SECOND : 0);
      simulation.runFor(40 * SECOND);
      const description = `${shape}, seed ${seed}`;
      assert.deepEqual(
        simulation.machines.stoppedRunning.slice(stoppedBefore),
        [],
        `${description}: stopped needlessly`,
      );
      const holdersAfter = holdersOf(simulation, task).map((worker) => worker.name);
      assert.deepEqual(holdersAfter, holdersBefore, `${description}: ${task}`);
      assert.deepEqual(violationsOf(simulation), [], description);
    }
});

test('a task is not started a third time while the machine that runs it receives no stop command', () => {
  // The machine that runs the task reports with the new token, and from then on the answers to it are lost. Then the machine
  // named by the late copy reports that it has no such task. A leader that trusted the copy started the task again
  // (ran_twice).
  for (let seed = 1; seed <= 5; seed++) {
    const { simulation, oldHeartbeat, origin, task } = moveTask(seed, 'array');
    const [holder] = holdersOf(simulation, task) as [Worker];
    failOver(simulation, [oldHeartbeat]);
    const { scheduler } = simulation.nodes[simulation.leaderIndex()]!.core!;
    // The machine has the new leader's token, as from a command or from an answer sent before the records were read.
    simulation.machines.executeCommands(
      holder.name,
      scheduler!.term.firstFencingToken,
      holder.agentEpoch,
      [],
    );
    assert.equal(scheduler!.respondToHeartbeat(simulation.machines.heartbeatOf(holder)).kind, 'accepted');
    holder.receivesNothingUntil = simulation.now + 12 * SECOND;
    for (const worker of simulation.workers.values())
      if (worker !== holder) worker.nextHeartbeatAt = simulation.now;
    origin.nextHeartbeatAt = simulation.now;
    simulation.runFor(40 * SECOND);
    assert.deepEqual(violationsOf(simulation), [], `seed ${seed}`);
  }
});

test("a late copy that lists one team's tasks does not keep another team's from counting towards its quota", () => {
  for (let seed = 1; seed <= 4; seed++) {
    const simulation = new ClusterSimulation(new Random(seed * 41 + 3), 3, TWO_TEAMS, 8, 1);
    simulation.addMachines(2);
    simulation.runFor(3 * SECOND);
    simulation.submit(
      makeJobSpec('run-1', {
        tasks: 8,
        team: 't',
        estimatedRunUs: 900 * SECOND,
        checkpointIntervalUs: SECOND,
      }),
    );
    simulation.runFor(15 * SECOND);
    const oldRounds = Array.from({ length: 8 }, () =>
      [...simulation.workers.values()].map((worker) => simulation.machines.heartbeatOf(worker)),
    );
    // Team u preempts team t, and has more tasks waiting than its quota allows.
    simulation.submit(
      makeJobSpec('run-2', { tasks: 8, team: 'u', priority: 2, estimatedRunUs: 900 * SECOND }),
    );
    simulation.submit(
      makeJobSpec('run-3', { tasks: 8, team: 'u', priority: 2, estimatedRunUs: 900 * SECOND }),
    );
    simulation.runFor(30 * SECOND);
    const runningOf = (job: string): number =>
      [...simulation.workers.values()].flatMap(runningTasks).filter((task) => task.startsWith(`${job}/`))
        .length;
    assert.equal(runningOf('run-2') + runningOf('run-3'), 8, `seed ${seed}: team u has reached its quota`);
    // From here on the cloud has more machines, which boot within a second.
    simulation.cloud.machinesPerZone = 4;
    simulation.cloud.bootUs = () => 800 * MILLISECOND;
    failOver(simulation, []);
    const { scheduler } = simulation.nodes[simulation.leaderIndex()]!.core!;
    for (const heartbeats of oldRounds) {
      for (const heartbeat of heartbeats) scheduler!.respondToHeartbeat(heartbeat);
      simulation.runFor(2 * SECOND);
    }
    assert.deepEqual(violationsOf(simulation), [], `seed ${seed}`);
  }
});
