/** The rollout and the placement search; some cases come from sections 10.2 and 12.1 of the paper. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { MachineSlot } from '@shaleyoke/core/cluster/machine-slot';
import { SECOND } from '@shaleyoke/core/domain/time';
import { placeGroup } from '@shaleyoke/core/scheduling/group-placement';
import { search } from '@shaleyoke/core/scheduling/placement-search';
import { PlacementSimulation } from '@shaleyoke/core/scheduling/placement-simulation';
import type {
  CapacityOffer,
  ClusterSnapshot,
  PlanStep,
  TaskGroup,
} from '@shaleyoke/core/scheduling/plan-input';
import { simulateCompletion } from '@shaleyoke/core/scheduling/rollout';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { groupOf, SEARCH_LIMITS, slotOf, snapshotOf, stoppedClock, typeOf } from './cluster-fixtures.js';

const lastFinish = (steps: readonly PlanStep[]): number => Math.max(...steps.map((step) => step.finish));

test('a machine without the image is preferred over one with it if the task finishes sooner there', () => {
  const warm = slotOf('warm', typeOf('cpu', { cores: 1 }), { images: new Set(['img']) });
  const cold = slotOf('cold', typeOf('gpu', { cores: 1, imagePullGbPerS: 0.5 }));
  const group = groupOf(makeJobSpec('run-1', { tasks: 1, imageGb: 1 }));
  const decision = search(
    snapshotOf([warm, cold], { cpu: 12, gpu: 3 }),
    [group],
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.equal(decision.steps[0]?.slot.key, 'cold');
  assert.equal(decision.steps[0]?.finish, 5 * SECOND);
});

test('a machine that could be provisioned is a candidate with its boot time and without images', () => {
  const type = typeOf('cpu', { cores: 1, bootUs: 4 * SECOND });
  const busy = slotOf('busy', type, {
    free: { cores: 0, gpus: 0, memoryGb: 8 },
    changes: [{ at: 60 * SECOND, cores: 1, gpus: 0, memoryGb: 1 }],
  });
  const offer: CapacityOffer = { type, zone: 'a', spot: false, limit: 5 };
  const decision = search(
    snapshotOf([busy], { cpu: 5 }, [offer]),
    [groupOf(makeJobSpec('run-1', { tasks: 1 }))],
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.equal(decision.snapshot.provisioned.get(offer), 1);
  const soonFree = { ...busy, changes: [{ at: 2 * SECOND, cores: 1, gpus: 0, memoryGb: 1 }] };
  const soonDecision = search(
    snapshotOf([soonFree], { cpu: 5 }, [offer]),
    [groupOf(makeJobSpec('run-1', { tasks: 1 }))],
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.equal(soonDecision.snapshot.provisioned.size, 0);
});

test('a group that can be placed nowhere never improves the score', () => {
  const snapshot = (): ClusterSnapshot => snapshotOf([slotOf('m', typeOf('cpu'))], { cpu: 5 });
  const placeable = groupOf(makeJobSpec('run-1'));
  const unplaceable = groupOf(makeJobSpec('run-2', { cores: 99 }));
  const both = simulateCompletion(
    new PlacementSimulation(snapshot(), [placeable, unplaceable]),
    [placeable, unplaceable],
    [],
  );
  assert.equal(both.unplacedTasks, unplaceable.count);
  assert.ok(
    both.makespan >=
      simulateCompletion(new PlacementSimulation(snapshot(), [placeable]), [placeable], []).makespan,
  );
});

test('the same snapshot gives the same decision', () => {
  const decide = (): string => {
    const slots = [1, 2, 3].map((i) => slotOf(`m${i}`, typeOf('cpu')));
    const groups = [3, 1, 2].map((size, i) => groupOf(makeJobSpec(`run-${i}`, { tasks: size, cores: size })));
    const decision = search(snapshotOf(slots, { cpu: 7 }), groups, SEARCH_LIMITS, stoppedClock);
    return JSON.stringify(
      decision.steps.map((step) => [step.group.spec.id, step.slot.key, step.start, step.count]),
    );
  };
  assert.equal(decide(), decide());
});

test('once its time budget is exceeded, the search still places all groups, by earliest predicted finish', () => {
  let now = 0;
  const slots = [slotOf('m1', typeOf('cpu')), slotOf('m2', typeOf('cpu'))];
  const groups = [1, 2, 3].map((i) => groupOf(makeJobSpec(`run-${i}`, { tasks: 2 })));
  const decision = search(
    snapshotOf(slots, { cpu: 7 }),
    groups,
    { ...SEARCH_LIMITS, budgetUs: 1 },
    () => (now += 10),
  );
  assert.equal(decision.budgetExceeded, true);
  assert.equal(
    decision.steps.reduce((sum, step) => sum + step.count, 0),
    6,
  );
});

test('array tasks do not take capacity that is being freed for a gang with a reservation', () => {
  // A gang of four once waited 488 s, since each machine freed for it went to an array.
  const type = typeOf('cpu', { cores: 2 });
  const slots = [
    slotOf('m1', type),
    slotOf('m2', type, {
      free: { cores: 0, gpus: 0, memoryGb: 8 },
      changes: [{ at: 5 * SECOND, cores: 2, gpus: 0, memoryGb: 2 }],
    }),
  ];
  const gang = groupOf(
    makeJobSpec('run-1', { shape: 'gang', tasks: 2, cores: 2, priority: 1, sameZone: true }),
    {
      reservesCapacity: true,
    },
  );
  const array = groupOf(makeJobSpec('run-2', { tasks: 2, cores: 1, priority: 0 }));
  const decision = search(snapshotOf(slots, { cpu: 30 }), [gang, array], SEARCH_LIMITS, stoppedClock);
  assert.ok(decision.steps.filter((step) => step.group === gang).every((step) => step.start === 5 * SECOND));
  assert.ok(decision.steps.filter((step) => step.group === array).every((step) => step.start > 0));
});

test('lower priorities stay off machines that gangs wait for, even if one plan cannot place all these gangs', () => {
  const type = typeOf('cpu', { cores: 2 });
  const half = { cores: 1, gpus: 0, memoryGb: 8 };
  const slots = ['m1', 'm2'].map((key) =>
    slotOf(key, type, {
      free: half,
      changes: [{ at: 5 * SECOND, cores: 1, gpus: 0, memoryGb: 1 }],
    }),
  );
  const gangs = [1, 2, 3].map((i) =>
    groupOf(makeJobSpec(`run-${i}`, { shape: 'gang', tasks: 2, cores: 2, priority: 1 }), {
      reservesCapacity: true,
    }),
  );
  const array = groupOf(makeJobSpec('run-9', { tasks: 1, cores: 1, priority: 0 }));
  const decision = search(
    snapshotOf(slots, { cpu: 3 }),
    [...gangs, array],
    { ...SEARCH_LIMITS, depth: 2 },
    stoppedClock,
  );
  assert.ok(!decision.steps.some((step) => step.group === array));
  const alone = search(snapshotOf(slots, { cpu: 3 }), [array], { ...SEARCH_LIMITS, depth: 2 }, stoppedClock);
  assert.equal(alone.steps.find((step) => step.group === array)?.start, 0);
});

test('a rollout is rolled back completely, and a plan for a thousand machines examines few of them', () => {
  const type = typeOf('cpu', { cores: 4 });
  const random = new Random(5);
  const slots = Array.from({ length: 1_000 }, (_, i) =>
    slotOf(`m${i}`, type, {
      zone: i % 2 === 0 ? 'a' : 'b',
      free: { cores: 0, gpus: 0, memoryGb: 8 },
      changes: [1, 2]
        .map((second) => ({
          at: second * SECOND + random.below(90 * SECOND),
          cores: 2,
          gpus: 0,
          memoryGb: 1,
        }))
        .sort((x, y) => x.at - y.at),
    }),
  );
  const groups = Array.from({ length: 40 }, (_, i) =>
    groupOf(
      makeJobSpec(`run-${i}`, {
        shape: i % 3 === 0 ? 'gang' : 'array',
        tasks: 1 + random.below(24),
        cores: 1 + random.below(2),
        sameZone: i % 2 === 0,
      }),
    ),
  );
  const snapshot = snapshotOf(slots, { cpu: 30 }, [{ type, zone: 'a', spot: false, limit: 3 }]);
  const simulation = new PlacementSimulation(snapshot, groups);
  const before = JSON.stringify(snapshot.slots);
  const mark = simulation.mark();
  simulateCompletion(simulation, groups, []);
  assert.notEqual(JSON.stringify(snapshot.slots), before);
  simulation.rollback(mark);
  assert.equal(JSON.stringify(snapshot.slots), before);
  assert.equal(snapshot.provisioned.size, 0);
  const examined = simulation.placementsExamined;
  assert.ok(examined < 40 * 300, `${examined} placements examined`);
  // The ordered and bounded examination finds the same finish as examining all candidates.
  for (const group of groups.slice(0, 10)) {
    const found = placeGroup(simulation, group)!;
    const finish = lastFinish(found);
    simulation.rollback(mark);
    let best = Infinity;
    for (const zone of group.spec.sameZone ? ['a', 'b'] : [null]) {
      const inZone = snapshotOf(
        slots.filter((slot) => zone === null || slot.zone === zone).map((slot) => ({ ...slot })),
        { cpu: 30 },
        snapshot.offers.filter((offer) => zone === null || offer.zone === zone),
      );
      const steps = placeGroup(new PlacementSimulation(inZone, [group]), {
        ...group,
        spec: { ...group.spec, sameZone: false },
      })!;
      best = Math.min(best, lastFinish(steps));
    }
    assert.equal(finish, best);
  }
});

test('small tasks use the gaps beside large ones, and leave room for recurring large tasks', () => {
  // One-core tasks once filled the machines that gangs with 30 cores per task waited for.
  const type = typeOf('node', { cores: 32, memoryGb: 128 });
  const large = makeJobSpec('run-9', { cores: 30, memoryGb: 50, shape: 'gang' });
  const beside = slotOf('beside', type, {
    sunkCost: false,
    free: { cores: 2, gpus: 0, memoryGb: 70 },
    changes: [{ at: 90 * SECOND, cores: 30, gpus: 0, memoryGb: 50 }],
  });
  const empty = slotOf('empty', type, { sunkCost: false });
  const other = slotOf('other', type, { sunkCost: false });
  const snapshot = { ...snapshotOf([empty, beside, other], { node: 20 }), recurringSpecs: [large] };
  const small = groupOf(makeJobSpec('run-1', { tasks: 6, cores: 1 }), { allowedDelay: 30 * SECOND });
  const decision = search(snapshot, [small], SEARCH_LIMITS, stoppedClock);
  const tasksByMachine = new Map<string, number>();
  for (const { slot, count } of decision.steps)
    tasksByMachine.set(slot.key, (tasksByMachine.get(slot.key) ?? 0) + count);
  assert.deepEqual([...tasksByMachine].sort(), [
    ['beside', 2],
    ['empty', 2],
    ['other', 2],
  ]);
  for (const slot of [empty, other]) assert.ok(slot.free.cores >= 30, 'capacity for the large task is left');
});

test('an upcoming group is placed from its predicted release on, and causes provisioning only if necessary', () => {
  const type = typeOf('cpu', { cores: 4, bootUs: 30 * SECOND });
  const busy = (until: number): MachineSlot =>
    slotOf('busy', type, {
      free: { cores: 0, gpus: 0, memoryGb: 8 },
      changes: [{ at: until * SECOND, cores: 4, gpus: 0, memoryGb: 8 }],
    });
  const offer: CapacityOffer = { type, zone: 'a', spot: false, limit: 5 };
  const upcomingGroup = (): TaskGroup =>
    groupOf(makeJobSpec('run-1', { tasks: 4 }), {
      hypothetical: true,
      notBefore: 40 * SECOND,
      scaleOutThreshold: 20 * SECOND,
    });
  const busyPastRelease = search(
    snapshotOf([busy(50)], { cpu: 5 }, [offer]),
    [upcomingGroup()],
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.equal(busyPastRelease.snapshot.provisioned.get(offer) ?? 0, 0);
  const freeAtRelease = search(
    snapshotOf([busy(10)], { cpu: 5 }, [offer]),
    [upcomingGroup()],
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.equal(freeAtRelease.snapshot.provisioned.get(offer) ?? 0, 0);
  const busyForLong = search(
    snapshotOf([busy(200)], { cpu: 5 }, [offer]),
    [upcomingGroup()],
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.equal(busyForLong.snapshot.provisioned.get(offer), 1);
  assert.deepEqual(busyForLong.steps, [], 'none of its tasks starts');
});

test('a gang starts where all members fit now, if it finishes sooner than when each waits for its best machine', () => {
  // Ten gangs once held some free machines each in the plan, and all waited for the rest.
  const type = typeOf('node', { cores: 4, memoryGb: 16, imagePullGbPerS: 0.2 });
  const idle = ['a1', 'a2', 'a3'].map((key) => slotOf(key, type, { sunkCost: false }));
  const warm = ['w1', 'w2', 'w3'].map((key) =>
    slotOf(key, type, {
      sunkCost: false,
      images: new Set(['img']),
      free: { cores: 0, gpus: 0, memoryGb: 16 },
      // Free soon, but in use for long anyway, so that using the machine longer costs nothing.
      changes: [
        { at: 8 * SECOND, cores: 4, gpus: 0, memoryGb: 0 },
        { at: 400 * SECOND, cores: 0, gpus: 0, memoryGb: 0 },
      ],
    }),
  );
  const gang = groupOf(makeJobSpec('run-1', { shape: 'gang', tasks: 3, cores: 4, imageGb: 1 }), {
    allowedDelay: 60 * SECOND,
  });
  const decision = search(snapshotOf([...idle, ...warm], { node: 100 }), [gang], SEARCH_LIMITS, stoppedClock);
  assert.deepEqual(
    decision.steps.map((step) => step.start),
    [0, 0, 0],
  );
});

test('capacity reserved for services is not given to other jobs, but is available to the services', () => {
  const type = typeOf('cpu', { cores: 4, memoryGb: 100 });
  const slots = (): MachineSlot[] => ['a', 'a', 'b', 'b'].map((zone, i) => slotOf(`m${i}`, type, { zone }));
  const service = makeJobSpec('run-1', { shape: 'service', tasks: 4, spreadAcrossZones: true, priority: 3 });
  const spreadReservation = groupOf(service, { hypothetical: true, reservedForUrgent: true });
  const array = groupOf(makeJobSpec('run-2', { tasks: 30 }));
  const startedNow = (groups: TaskGroup[], jobId: string): number =>
    search(snapshotOf(slots(), { cpu: 60 }), groups, SEARCH_LIMITS, stoppedClock)
      .steps.filter((step) => step.group.spec.id === jobId && step.start === 0)
      .reduce((sum, step) => sum + step.count, 0);
  assert.equal(startedNow([array], 'run-2'), 16);
  // Half of the service's tasks are reserved in each zone.
  assert.equal(startedNow([array, spreadReservation], 'run-2'), 12);
  const sameZoneReservation = groupOf(
    { ...service, spreadAcrossZones: false, sameZone: true },
    { hypothetical: true, reservedForUrgent: true },
  );
  assert.equal(startedNow([array, sameZoneReservation], 'run-2'), 8);
  const anyZoneReservation = groupOf(
    { ...service, spreadAcrossZones: false, tasks: 5 },
    { hypothetical: true, reservedForUrgent: true },
  );
  assert.equal(startedNow([array, anyZoneReservation], 'run-2'), 10);
  const actualService = groupOf({ ...service, id: 'run-3' }, { reservesCapacity: true });
  assert.equal(startedNow([array, actualService, spreadReservation], 'run-3'), 4);
  assert.equal(startedNow([array, actualService, spreadReservation], 'run-2'), 8);
});

test('many arrays on one machine are planned for a few rounds, not for all their tasks', () => {
  // Guards against plans whose memory grows with the square of the tasks that wait for one machine.
  const type = typeOf('node', { cores: 32 });
  const arrays = Array.from({ length: 64 }, (_, i) =>
    groupOf(makeJobSpec(`run-${i}`, { tasks: 160, cores: 30 }), { reservesCapacity: true }),
  );
  const decision = search(
    snapshotOf([slotOf('m1', type)], { node: 90 }),
    arrays,
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.equal(decision.steps[0]?.start, 0, 'one task starts now');
  assert.ok(decision.placementsExamined < 20_000, `${decision.placementsExamined} placements examined`);
  const changes = decision.snapshot.slots[0]!.changes.length;
  assert.ok(changes <= 160, `${changes} planned changes`);
});
