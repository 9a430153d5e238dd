/** The order of waiting jobs: what can still be in time, given the room that this work can really have. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeContext } from '@shaleyoke/core/node/node-context';
import { QueueOrder } from '@shaleyoke/core/scheduling/queue-order';
import { ActiveJob, Machine } from '@shaleyoke/core/cluster/cluster-model';
import { Autoscaler, type AutoscalerHost } from '@shaleyoke/core/machines/autoscaler';
import { ClusterState } from '@shaleyoke/core/cluster/cluster-state';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { MachineType } from '@shaleyoke/core/domain/machine';
import { SECOND } from '@shaleyoke/core/domain/time';
import { specOf } from '@shaleyoke/emulator/specs';
import { settingsFor, TYPE } from '@shaleyoke/emulator/site';
import { runTask } from './cluster-fixtures.js';

const GPU: MachineType = { ...TYPE, name: 'gpu', cores: 32, gpus: 4, memoryGb: 256 };

const estateOf = (machines: number): ClusterState => {
  const settings = settingsFor('n0', ['n0'], '[[cluster.teams]]\nname = "t"\n');
  const objectives = [{ kind: 'deadline', class: 'scores', withinUs: null, share: 0.9, deadlineFactor: 1 }];
  const ctx = new NodeContext({ ...settings, objectives }, () => 0);
  ctx.types = new Map([['gpu', GPU]]);
  const estate = new ClusterState(ctx);
  for (let i = 0; i < machines; i++) {
    const m = new Machine(`m-${i}`, `m-${i}`, 'gpu', 'a', false, 0);
    m.up = true;
    m.recorded = 'yes';
    estate.machines.set(m.name, m);
  }
  return estate;
};

const add = (estate: ClusterState, id: string, more: Partial<JobSpec>): ActiveJob => {
  const job = new ActiveJob(specOf(id, { machineTypes: ['gpu'], ...more }), 1, 0, 0);
  estate.jobs.set(id, job);
  return job;
};

const SCORES: Partial<JobSpec> = {
  class: 'scores',
  priority: 0,
  cores: 6,
  gpus: 1,
  memoryGb: 8,
  estimatedRunUs: 100 * SECOND,
};

test('GPUs without cores beside them are no room: what can not be in time comes after what can', () => {
  // At fleet size gangs without GPUs filled the machines with GPUs; all of their GPUs were taken for room, every array for
  // in time, and by latest start nearly all of them came too late.
  const order = (gangsOn: number): string[] => {
    const estate = estateOf(10);
    const gang = add(estate, 'gang', {
      tasks: 2 * gangsOn,
      cores: 15,
      memoryGb: 26,
      shape: 'array',
      priority: 1,
    });
    let index = 0;
    for (const m of [...estate.machines.values()].slice(0, gangsOn)) {
      runTask(gang, index++, m);
      runTask(gang, index++, m);
    }
    add(estate, 'large', { ...SCORES, tasks: 30, deadlineUs: 180 * SECOND });
    for (let i = 0; i < 3; i++) add(estate, `small-${i}`, { ...SCORES, tasks: 2, deadlineUs: 200 * SECOND });
    return new QueueOrder(estate).inOrder().map((j) => j.id);
  };
  assert.equal(order(0)[0], 'large', 'with all GPUs there is room for all, the most urgent first');
  assert.equal(order(8)[3], 'large', 'on two machines the large one would only make all of them late');
});

test('what higher priorities hold is no room for lower ones', () => {
  const estate = estateOf(10);
  const high = add(estate, 'high', { ...SCORES, class: 'other', priority: 2, tasks: 32 });
  let index = 0;
  for (const m of [...estate.machines.values()].slice(0, 8))
    for (let i = 0; i < 4; i++) runTask(high, index++, m);
  add(estate, 'large', { ...SCORES, tasks: 30, deadlineUs: 180 * SECOND });
  add(estate, 'small', { ...SCORES, tasks: 2, deadlineUs: 200 * SECOND });
  assert.deepEqual(
    new QueueOrder(estate).inOrder().map((j) => j.id),
    ['small', 'large'],
  );
});

const URGENT = { kind: 'wait', class: 'urgent', withinUs: 1.6 * SECOND, share: 0.99, deadlineFactor: 1 };
const TEAMS = Array.from({ length: 20 }, (_, i) => `team-${i}`);

test('urgent work of any shape comes before the turns of many teams', () => {
  const teams = TEAMS.map((name) => `[[cluster.teams]]\nname = "${name}"\n`).join('');
  const ctx = new NodeContext({ ...settingsFor('n0', ['n0'], teams), objectives: [URGENT] }, () => 0);
  const estate = new ClusterState(ctx);
  for (const team of TEAMS) add(estate, `old-${team}`, { team });
  const urgent = { class: 'urgent', team: TEAMS[7]!, priority: 1 } as const;
  add(estate, 'urgent-array', urgent);
  add(estate, 'urgent-gang', { ...urgent, shape: 'gang' });
  const ordering = new QueueOrder(estate);
  ordering.inOrder();
  // A turn is due for each team now.
  ctx.now += 13 * SECOND;
  const order = ordering.inOrder();
  const turns = order.filter((job) => ordering.hasTurn(job));
  assert.equal(turns.length, TEAMS.length);
  assert.deepEqual(
    order
      .slice(0, 2)
      .map((job) => job.id)
      .sort(),
    ['urgent-array', 'urgent-gang'],
  );
});

test('room is kept for as much urgent work as comes within the time that it may wait', () => {
  const settings = settingsFor('n0', ['n0'], '');
  const ctx = new NodeContext({ ...settings, objectives: [URGENT] }, () => 0);
  const fleet = new Autoscaler(ctx, { thrifty: () => false } as AutoscalerHost);
  const spec = specOf('run-1', { class: 'urgent', tasks: 4 });
  fleet.noteArrival(spec);
  assert.equal(fleet.kept()[0]?.count, 4, 'one job: its own tasks');
  // Twenty jobs of four tasks a second.
  for (let i = 0; i < 60; i++) {
    ctx.now += 50_000;
    fleet.noteArrival(spec);
  }
  const kept = fleet.kept()[0]!.count;
  assert.ok(kept >= 125 && kept <= 140, `${kept} tasks of 128`);
  assert.equal(fleet.headroom().length, 0, 'and none of it twice');
});
