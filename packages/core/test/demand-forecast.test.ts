/** The forecast of demand, and what a plan holds for it, when jobs have as many tasks as the protocol allows. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { type JobSpec, MAX_TASKS_PER_JOB } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { Autoscaler, type AutoscalerHost } from '@shaleyoke/core/machines/autoscaler';
import { NodeContext } from '@shaleyoke/core/node/node-context';
import { search } from '@shaleyoke/core/scheduling/placement-search';
import type { TaskGroup } from '@shaleyoke/core/scheduling/plan-input';
import { MACHINE_TYPE, settingsFor } from '@shaleyoke/emulator/site';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { groupOf, SEARCH_LIMITS, slotOf, snapshotOf, stoppedClock, typeOf } from './cluster-fixtures.js';

const BOOT_S = 60;
const TYPE = { ...MACHINE_TYPE, cores: 4, bootUs: BOOT_S * SECOND };
const MAX_WAIT_S = 18;
/** Far above what the forecast ever needs on a cluster of a thousand machines, far below the tasks of a large job. */
const MAX_FORECAST_TASKS = 5_000;

/** An autoscaler without machines, with an objective on waiting for the class `large`. */
const autoscalerWithObjective = (withinS: number): Autoscaler => {
  const settings = settingsFor('n0', ['n0'], '');
  const objective = {
    kind: 'wait',
    class: 'large',
    withinUs: withinS * SECOND,
    share: 0.9,
    deadlineFactor: 1,
  } as const;
  const context = new NodeContext({ ...settings, objectives: [objective] }, () => 0);
  context.machineTypes = new Map([[TYPE.name, TYPE]]);
  return new Autoscaler(context, {
    isCostSensitive: () => false,
    machines: () => [],
  } as unknown as AutoscalerHost);
};

const large = (overrides: Partial<JobSpec> = {}): JobSpec =>
  makeJobSpec('run-1', { class: 'large', tasks: MAX_TASKS_PER_JOB, cores: 1, ...overrides });

test('a few arrays with the most tasks do not make the forecast keep capacity for hundreds of thousands', () => {
  // Guards against a forecast of the mean number of tasks times the arrivals, which a plan placed task after task.
  const waiting = autoscalerWithObjective(MAX_WAIT_S);
  const urgent = autoscalerWithObjective(1);
  for (let i = 0; i < 6; i++) {
    waiting.recordArrival(large());
    urgent.recordArrival(large());
  }
  const headroom = waiting.headroom()[0]?.count ?? 0;
  assert.ok(headroom > 0 && headroom <= MAX_FORECAST_TASKS, `headroom for ${headroom} tasks`);
  const reserved = urgent.reservedForUrgent()[0]?.count ?? 0;
  assert.ok(reserved > 0 && reserved <= MAX_FORECAST_TASKS, `${reserved} urgent tasks`);
});

test('a gang larger than all machines and offers is not counted in the forecast', () => {
  // Guards against machines provisioned for arrivals like a gang that can never run.
  const autoscaler = autoscalerWithObjective(MAX_WAIT_S);
  autoscaler.recordArrival(large({ shape: 'gang' }));
  assert.equal(autoscaler.headroom().length, 0);
  autoscaler.recordArrival(large({ shape: 'gang', tasks: 4 }));
  const headroom = autoscaler.headroom()[0]?.count ?? 0;
  assert.ok(headroom > 0 && headroom <= 24, `headroom for ${headroom} tasks`);
});

test('a plan holds no more for expected work than the machines and offers hold at once', () => {
  // Guards against hypothetical tasks placed one after the other on the same machines, which ended the leader.
  const type = typeOf('node', { cores: 32, memoryGb: 128 });
  const slots = Array.from({ length: 12 }, (_, i) => slotOf(`m${i}`, type));
  const expected = (count: number): TaskGroup =>
    groupOf(makeJobSpec('run-1', { tasks: count, cores: 4 }), { hypothetical: true });
  const groups = [100, 10_000, 10_000, 10_000].map(expected);
  const small = groupOf(makeJobSpec('run-2', { tasks: 1 }));
  const decision = search(
    snapshotOf(slots, { node: 20 }, [{ type, zone: 'a', spot: false, limit: 2 }]),
    [...groups, small],
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.deepEqual(
    decision.steps.map(({ group, start }) => [group.spec.id, start]),
    [['run-2', 0]],
  );
  for (const slot of decision.snapshot.slots)
    assert.ok(
      slot.changes.length <= 8 * groups.length,
      `${slot.key} has ${slot.changes.length} planned changes`,
    );
});
