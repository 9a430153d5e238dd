/** Gangs that lose a machine at an unfortunate moment, on simulated clusters: they are started again. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { MACHINE_TYPE } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';
import type { Worker } from '@shaleyoke/emulator/workers-model';

import { teamQuota, unfinishedJobs, violationsOf } from './scenario-fixtures.js';

const GANG = 'run-1';
/** No job is left waiting for longer while there is room. */
const MAX_WAIT: Micros = 90 * SECOND;

/** A gang of two, one member to a machine, that runs for `estimatedRunUs`. */
const gangOfTwo = (estimatedRunUs: Micros, spot: boolean) =>
  makeJobSpec(GANG, { shape: 'gang', tasks: 2, cores: MACHINE_TYPE.cores, estimatedRunUs, spot });

const clusterWith = (seed: number): ClusterSimulation =>
  new ClusterSimulation(new Random(seed), 3, teamQuota(40), 40, 3);

const membersOn = (worker: Worker): number =>
  worker.tasks.filter((task) => task.job === GANG && task.state !== 'exited').length;

const holdersOfGang = (simulation: ClusterSimulation): Worker[] =>
  [...simulation.workers.values()].filter((worker) => worker.alive && membersOn(worker) > 0);

/** Runs until the condition holds, at most for `limit`; returns whether it does. */
const runUntil = (simulation: ClusterSimulation, limit: Micros, condition: () => boolean): boolean => {
  const end = simulation.now + limit;
  while (!condition() && simulation.now < end) simulation.runFor(100 * MILLISECOND);
  return condition();
};

test('a gang whose machine stops around its first heartbeat to a new leader is started again', () => {
  // Guards against a gang that counts as broken for the rest of the term, because its last attempt was discarded, not ended.
  const offsets = Array.from({ length: 14 }, (_, i) => (1_000 + i * 500) * MILLISECOND);
  for (const [seed, offset] of offsets.entries()) {
    const simulation = clusterWith(seed + 1);
    simulation.addMachines(4);
    simulation.runFor(5 * SECOND);
    simulation.submit(gangOfTwo(60 * SECOND, false));
    assert.ok(
      runUntil(simulation, 30 * SECOND, () => holdersOfGang(simulation).length === 2),
      'it starts',
    );
    simulation.runFor(8 * SECOND);
    simulation.crash(simulation.leaderIndex(), 3 * SECOND);
    assert.ok(runUntil(simulation, 60 * SECOND, () => simulation.leaderIndex() !== -1));
    simulation.runFor(offset);
    simulation.killWorker(holdersOfGang(simulation)[0]!);
    assert.ok(
      runUntil(simulation, 30 * SECOND, () => holdersOfGang(simulation).length < 1),
      'it is broken',
    );
    const startsAgain = runUntil(simulation, MAX_WAIT, () => holdersOfGang(simulation).length === 2);
    assert.ok(startsAgain, `${offset / SECOND} s after the election: the gang runs again`);
    assert.deepEqual(violationsOf(simulation), [], `${offset / SECOND} s`);
  }
});

test('a gang whose machine has a termination notice while its start is being recorded is started elsewhere', () => {
  // Guards against a gang that counts as broken although none of its starts was sent.
  for (let seed = 1; seed <= 4; seed++) {
    const simulation = clusterWith(seed);
    for (const zone of ['a', 'a', 'b', 'b']) simulation.machines.boot(zone, true, 0);
    simulation.runFor(8 * SECOND);
    simulation.storeReplyDelay = 800 * MILLISECOND;
    let noticed: Worker | undefined;
    simulation.onLog = (_node, event, { tasks }) => {
      if (event !== 'job.tasks_dispatched' || noticed !== undefined) return;
      const name = (tasks as readonly string[])[0]!.split('@')[1]!;
      noticed = simulation.workers.get(name)!;
      noticed.terminatesAt = simulation.now + 5 * SECOND;
      noticed.nextHeartbeatAt = simulation.now;
    };
    simulation.submit(gangOfTwo(10 * SECOND, true));
    assert.ok(
      runUntil(simulation, 30 * SECOND, () => noticed !== undefined),
      `seed ${seed}: it was placed`,
    );
    const isDone = runUntil(simulation, MAX_WAIT, () => {
      simulation.poll(GANG);
      simulation.runFor(SECOND);
      return unfinishedJobs(simulation, [GANG]).length === 0;
    });
    assert.ok(isDone, `seed ${seed}: the gang is done`);
    assert.deepEqual(violationsOf(simulation), [], `seed ${seed}`);
  }
});
