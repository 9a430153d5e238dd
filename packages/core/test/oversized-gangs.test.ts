/** Gangs that the cloud can never hold, on simulated clusters: they stay known and cost nothing, and other jobs are served. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { type JobSpec, MAX_TASKS_PER_JOB } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { MACHINE_TYPE } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { unfinishedJobs, violationsOf } from './scenario-fixtures.js';

const MACHINES_PER_ZONE = 4;

/** A cluster without machines, whose team has no quota. */
const emptyCluster = (seed: number): ClusterSimulation =>
  new ClusterSimulation(new Random(seed), 3, '[[cluster.teams]]\nname = "t"\n', Infinity, MACHINES_PER_ZONE);

const oversizedGang = (id: string, overrides: Partial<JobSpec> = {}): JobSpec =>
  makeJobSpec(id, { shape: 'gang', tasks: MAX_TASKS_PER_JOB, ...overrides });

test('a gang that never fits stays queued, rents nothing, and can be cancelled after a change of leader', () => {
  // Guards against machines, quota and turns spent on a gang that can never run.
  for (const [seed, overrides] of [{}, { priority: 3 }, { sameZone: true }, { spot: true }].entries()) {
    const description = JSON.stringify(overrides);
    const simulation = emptyCluster(seed + 1);
    simulation.runFor(4 * SECOND);
    simulation.submit(oversizedGang('run-1', overrides as Partial<JobSpec>));
    simulation.runFor(30 * SECOND);
    assert.equal(simulation.workers.size, 0, `${description}: no machine is rented for it`);
    const small = Array.from({ length: 6 }, (_, i) => `run-${10 + i}`);
    for (const id of small) simulation.submit(makeJobSpec(id, { tasks: 2, estimatedRunUs: 3 * SECOND }));
    simulation.crash(simulation.leaderIndex(), 5 * SECOND);
    for (let round = 0; round < 12; round++) {
      simulation.runFor(5 * SECOND);
      for (const id of ['run-1', ...small]) simulation.poll(id);
    }
    assert.deepEqual(unfinishedJobs(simulation, small), [], `${description}: small jobs beside it are done`);
    assert.equal(simulation.stageOf('run-1'), 'queued', `${description}: it waits`);
    simulation.cancel('run-1');
    simulation.runFor(5 * SECOND);
    simulation.poll('run-1');
    simulation.runFor(SECOND);
    assert.equal(simulation.stageOf('run-1'), 'cancelled', `${description}: it is cancelled`);
    assert.deepEqual(violationsOf(simulation), [], description);
  }
});

test('a gang that never fits costs no machine while it waits for its dependency, nor afterwards', () => {
  // Guards against machines rented in advance for an upcoming stage that can never run.
  const rentedWith = (gangTasks: number | null): number => {
    const simulation = emptyCluster(7);
    simulation.runFor(4 * SECOND);
    simulation.submit(makeJobSpec('run-1', { tasks: 1, estimatedRunUs: 15 * SECOND }));
    simulation.runFor(2 * SECOND);
    if (gangTasks !== null)
      simulation.submit(oversizedGang('run-2', { tasks: gangTasks, dependsOn: ['run-1'] }));
    simulation.runFor(60 * SECOND);
    return simulation.workers.size;
  };
  assert.ok(rentedWith(24) > rentedWith(null), 'machines are rented for a gang that fits');
  assert.equal(rentedWith(MAX_TASKS_PER_JOB), rentedWith(null));
});

test('a gang is not called too large while the request for its machines is unanswered', () => {
  // Guards against a gang that loses its turn, and is reported as exceeding the capacity, because the cloud is slow to answer.
  const simulation = emptyCluster(8);
  const reported: unknown[] = [];
  simulation.onLog = (_node, event, { job }) => {
    if (event === 'job.exceeds_capacity') reported.push(job);
  };
  simulation.runFor(4 * SECOND);
  simulation.cloud.downUntil = simulation.now + 8 * SECOND;
  simulation.submit(makeJobSpec('run-1', { shape: 'gang', tasks: 6, estimatedRunUs: 5 * SECOND }));
  simulation.submit(oversizedGang('run-2'));
  for (let round = 0; round < 12; round++) {
    simulation.runFor(5 * SECOND);
    simulation.poll('run-1');
  }
  assert.deepEqual(unfinishedJobs(simulation, ['run-1']), []);
  assert.deepEqual(reported, ['run-2'], 'only the gang that never fits is reported');
});

test('machines are not rented again and again for a gang that the cloud can not hold', () => {
  // Guards against machines rented in vain: what the cloud holds is known only once it refuses, and must not be forgotten at once.
  const simulation = emptyCluster(9);
  simulation.runFor(4 * SECOND);
  const tasks = 2 * MACHINE_TYPE.cores * MACHINE_TYPE.zones.length * MACHINES_PER_ZONE;
  simulation.submit(makeJobSpec('run-1', { shape: 'gang', tasks, cores: 1 }));
  simulation.runFor(900 * SECOND);
  const rented = [...simulation.cloud.bills.values()];
  const machineSeconds = rented.reduce(
    (sum, { from, to }) => sum + ((to ?? simulation.now) - from) / SECOND,
    0,
  );
  const wholeCloud = MACHINE_TYPE.zones.length * MACHINES_PER_ZONE * 900;
  assert.ok(
    machineSeconds < wholeCloud / 4,
    `${Math.round(machineSeconds)} machine-seconds of ${wholeCloud}`,
  );
  simulation.submit(makeJobSpec('run-2', { tasks: 40, estimatedRunUs: 5 * SECOND }));
  simulation.runFor(90 * SECOND);
  simulation.poll('run-2');
  simulation.runFor(SECOND);
  assert.equal(simulation.stageOf('run-2'), 'done', 'an array gets machines all the same');
  // The cloud has room for it now.
  simulation.cloud.machinesPerZone = 3 * MACHINES_PER_ZONE;
  simulation.runFor(1_000 * SECOND);
  simulation.poll('run-1');
  simulation.runFor(SECOND);
  assert.equal(simulation.stageOf('run-1'), 'done', 'it runs once the cloud has room');
});
