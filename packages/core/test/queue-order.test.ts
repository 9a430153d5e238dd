/** The queue order: which jobs can still meet their objectives, given the capacity that they can really use. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ActiveJob, Machine } from '@shaleyoke/core/cluster/cluster-model';
import { ClusterState } from '@shaleyoke/core/cluster/cluster-state';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Autoscaler, type AutoscalerHost } from '@shaleyoke/core/machines/autoscaler';
import { NodeContext } from '@shaleyoke/core/node/node-context';
import { QueueOrder } from '@shaleyoke/core/scheduling/queue-order';
import { MACHINE_TYPE, settingsFor } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { runTask } from './cluster-fixtures.js';

const GPU: MachineType = { ...MACHINE_TYPE, name: 'gpu', cores: 32, gpus: 4, memoryGb: 256 };

/** A cluster of GPU machines that are up and empty. */
const clusterOf = (machines: number): ClusterState => {
  const settings = settingsFor('n0', ['n0'], '[[cluster.teams]]\nname = "t"\n');
  const objectives = [{ kind: 'deadline', class: 'scores', withinUs: null, share: 0.9, deadlineFactor: 1 }];
  const context = new NodeContext({ ...settings, objectives }, () => 0);
  context.machineTypes = new Map([['gpu', GPU]]);
  const cluster = new ClusterState(context);
  for (let i = 0; i < machines; i++) {
    const machine = new Machine(`m-${i}`, `m-${i}`, 'gpu', 'a', false, 0);
    machine.up = true;
    machine.recorded = 'yes';
    cluster.machines.set(machine.name, machine);
  }
  return cluster;
};

/** Adds an active job for GPU machines, with the given fields overridden. */
const addJob = (cluster: ClusterState, id: string, overrides: Partial<JobSpec>): ActiveJob => {
  const job = new ActiveJob(makeJobSpec(id, { machineTypes: ['gpu'], ...overrides }), 1, 0, 0);
  cluster.jobs.set(id, job);
  return job;
};

/** Fields of a job of one-GPU tasks, in the class with the deadline objective. */
const SCORES: Partial<JobSpec> = {
  class: 'scores',
  priority: 0,
  cores: 6,
  gpus: 1,
  memoryGb: 8,
  estimatedRunUs: 100 * SECOND,
};

test('GPUs without free cores are no capacity: jobs that cannot meet their deadline come after those that can', () => {
  // In a large cluster, gangs without GPUs filled the cores of GPU machines. With all those GPUs counted as free, every
  // array seemed able to meet its deadline, and in the order of latest start nearly all of them missed it.
  const orderWith = (gangMachines: number): string[] => {
    const cluster = clusterOf(10);
    const gang = addJob(cluster, 'gang', {
      tasks: 2 * gangMachines,
      cores: 15,
      memoryGb: 26,
      shape: 'array',
      priority: 1,
    });
    let index = 0;
    for (const machine of [...cluster.machines.values()].slice(0, gangMachines)) {
      runTask(gang, index++, machine);
      runTask(gang, index++, machine);
    }
    addJob(cluster, 'large', { ...SCORES, tasks: 30, deadlineUs: 180 * SECOND });
    for (let i = 0; i < 3; i++)
      addJob(cluster, `small-${i}`, { ...SCORES, tasks: 2, deadlineUs: 200 * SECOND });
    return new QueueOrder(cluster).startableJobs().map((job) => job.id);
  };
  assert.equal(
    orderWith(0)[0],
    'large',
    'with all GPUs usable all jobs fit, and the most urgent comes first',
  );
  assert.equal(
    orderWith(8)[3],
    'large',
    'with two machines left, the large job would only make all jobs late',
  );
});

test('capacity in use by higher priorities does not count for lower ones', () => {
  const cluster = clusterOf(10);
  const high = addJob(cluster, 'high', { ...SCORES, class: 'other', priority: 2, tasks: 32 });
  let index = 0;
  for (const machine of [...cluster.machines.values()].slice(0, 8))
    for (let i = 0; i < 4; i++) runTask(high, index++, machine);
  addJob(cluster, 'large', { ...SCORES, tasks: 30, deadlineUs: 180 * SECOND });
  addJob(cluster, 'small', { ...SCORES, tasks: 2, deadlineUs: 200 * SECOND });
  assert.deepEqual(
    new QueueOrder(cluster).startableJobs().map((job) => job.id),
    ['small', 'large'],
  );
});

const URGENT = { kind: 'wait', class: 'urgent', withinUs: 1.6 * SECOND, share: 0.99, deadlineFactor: 1 };
const TEAMS = Array.from({ length: 20 }, (_, i) => `team-${i}`);

test('urgent jobs of any shape come before the fair-share turns of many teams', () => {
  const teams = TEAMS.map((name) => `[[cluster.teams]]\nname = "${name}"\n`).join('');
  const context = new NodeContext({ ...settingsFor('n0', ['n0'], teams), objectives: [URGENT] }, () => 0);
  const cluster = new ClusterState(context);
  for (const team of TEAMS) addJob(cluster, `old-${team}`, { team });
  const urgent = { class: 'urgent', team: TEAMS[7]!, priority: 1 } as const;
  addJob(cluster, 'urgent-array', urgent);
  addJob(cluster, 'urgent-gang', { ...urgent, shape: 'gang' });
  const queue = new QueueOrder(cluster);
  queue.startableJobs();
  // Each team is due a turn now.
  context.now += 13 * SECOND;
  const order = queue.startableJobs();
  const turns = order.filter((job) => queue.hasTurn(job));
  assert.equal(turns.length, TEAMS.length);
  assert.deepEqual(
    order
      .slice(0, 2)
      .map((job) => job.id)
      .sort(),
    ['urgent-array', 'urgent-gang'],
  );
});

test('capacity is reserved for the urgent tasks that arrive within the time they may wait', () => {
  const settings = settingsFor('n0', ['n0'], '');
  const context = new NodeContext({ ...settings, objectives: [URGENT] }, () => 0);
  const autoscaler = new Autoscaler(context, { isCostSensitive: () => false } as AutoscalerHost);
  const spec = makeJobSpec('run-1', { class: 'urgent', tasks: 4 });
  autoscaler.recordArrival(spec);
  assert.equal(
    autoscaler.reservedForUrgent()[0]?.count,
    4,
    'after one job, capacity for its tasks is reserved',
  );
  // Twenty jobs of four tasks a second.
  for (let i = 0; i < 60; i++) {
    context.now += 50_000;
    autoscaler.recordArrival(spec);
  }
  const reservedTasks = autoscaler.reservedForUrgent()[0]!.count;
  assert.ok(reservedTasks >= 125 && reservedTasks <= 140, `${reservedTasks} tasks of 128`);
  assert.equal(autoscaler.headroom().length, 0, 'reserved capacity is not counted as headroom as well');
});
