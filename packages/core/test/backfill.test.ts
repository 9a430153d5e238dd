/** Backfill of the groups that a plan does not search, and plans without a search because everything fits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { MachineSlot } from '@shaleyoke/core/cluster/machine-slot';
import { SECOND } from '@shaleyoke/core/domain/time';
import {
  type BackfillWork,
  NO_BACKFILL,
  PlacementSearch,
  search,
} from '@shaleyoke/core/scheduling/placement-search';
import type { CapacityOffer, TaskGroup } from '@shaleyoke/core/scheduling/plan-input';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { groupOf, SEARCH_LIMITS, slotOf, snapshotOf, stoppedClock, typeOf } from './cluster-fixtures.js';

/** The given groups as backfill, with each group's spec as a kind of its own. */
const backfillOf = (groups: readonly TaskGroup[]): BackfillWork => ({
  kinds: groups.map((group) => group.spec),
  groups,
});
const MACHINE_TYPE = typeOf('box', { cores: 4 });
const emptyMachines = (count: number): MachineSlot[] =>
  Array.from({ length: count }, (_, i) => slotOf(`m${i}`, MACHINE_TYPE));

test('backfilled tasks start where capacity is free now', () => {
  // Three cores of each machine are in use for 100 s, so the groups that the search places have to wait for them.
  const slots = Array.from({ length: 20 }, (_, i) =>
    slotOf(`m${i}`, MACHINE_TYPE, {
      free: { cores: 1, gpus: 0, memoryGb: 8 },
      changes: [{ at: 100 * SECOND, cores: 3, gpus: 0, memoryGb: 8 }],
    }),
  );
  const comparedGroups = Array.from({ length: 64 }, (_, i) =>
    groupOf(makeJobSpec(`run-${i}`, { tasks: 5, cores: 4 })),
  );
  const backfilledGroups = Array.from({ length: 100 }, (_, i) =>
    groupOf(makeJobSpec(`run-9${i}`, { tasks: 3 })),
  );
  const decision = search(
    snapshotOf(slots, { box: 5 }),
    comparedGroups,
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf(backfilledGroups),
  );
  const startedNow = decision.steps
    .filter((step) => step.start === 0)
    .reduce((sum, step) => sum + step.count, 0);
  assert.equal(startedNow, 20, 'every free core is used');
  assert.ok(
    decision.steps.filter((step) => step.start === 0).every((step) => backfilledGroups.includes(step.group)),
  );
});

test('a backfilled task smaller than any searched group uses the remaining capacity of a machine', () => {
  const slots = [slotOf('m1', MACHINE_TYPE, { free: { cores: 1, gpus: 0, memoryGb: 16 } })];
  const small = groupOf(makeJobSpec('run-2', { tasks: 1, cores: 1 }));
  const large = groupOf(makeJobSpec('run-1', { tasks: 1, cores: 3 }));
  const decision = search(
    snapshotOf(slots, { box: 5 }),
    [large],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([small]),
  );
  assert.ok(decision.steps.some((step) => step.group === small && step.start === 0));
});

test('a kind of task that fits nowhere is tried once, and an array of thousands is placed machine by machine', () => {
  const nearlyFullMachines = Array.from({ length: 1_000 }, (_, i) =>
    slotOf(`f${i}`, MACHINE_TYPE, { free: { cores: 1, gpus: 0, memoryGb: 16 } }),
  );
  const backfilledGroups = Array.from({ length: 500 }, (_, i) =>
    groupOf(makeJobSpec(`run-${i}`, { tasks: 5, cores: 2 })),
  );
  const groupsDecision = search(
    snapshotOf(nearlyFullMachines, { box: 5 }),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf(backfilledGroups),
  );
  assert.equal(groupsDecision.steps.length, 0);
  assert.ok(
    groupsDecision.placementsExamined < 3_000,
    `${groupsDecision.placementsExamined} placements examined`,
  );
  const array = groupOf(makeJobSpec('run-1', { tasks: 4_000 }));
  const arrayDecision = search(
    snapshotOf(emptyMachines(1_000), { box: 5 }),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([array]),
  );
  assert.equal(arrayDecision.steps.length, 1_000);
  assert.ok(
    arrayDecision.placementsExamined < 10_000,
    `${arrayDecision.placementsExamined} placements examined`,
  );
});

test('a backfilled gang starts as a whole or not at all, and zone constraints are respected', () => {
  const slots = [
    ...emptyMachines(3),
    ...Array.from({ length: 3 }, (_, i) => slotOf(`z${i}`, MACHINE_TYPE, { zone: 'b' })),
  ];
  const gang = groupOf(makeJobSpec('run-1', { shape: 'gang', tasks: 4, cores: 4, sameZone: true }));
  const spreadArray = groupOf(makeJobSpec('run-2', { tasks: 9, cores: 2, spreadAcrossZones: true }));
  const sameZoneArray = groupOf(makeJobSpec('run-3', { tasks: 9, cores: 2, sameZone: true }));
  const decision = search(
    snapshotOf(slots, { box: 5 }),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([gang, spreadArray]),
  );
  assert.ok(!decision.steps.some((step) => step.group === gang));
  for (const zone of ['a', 'b']) {
    const zoneSteps = decision.steps.filter((step) => step.group === spreadArray && step.slot.zone === zone);
    assert.ok(zoneSteps.reduce((sum, step) => sum + step.count, 0) <= 5, `too many in ${zone}`);
  }
  const sameZoneDecision = search(
    snapshotOf(
      slots.map((slot) => ({ ...slot, changes: [], used: false, free: { cores: 4, gpus: 0, memoryGb: 16 } })),
      { box: 5 },
    ),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([sameZoneArray]),
  );
  assert.equal(new Set(sameZoneDecision.steps.map((step) => step.slot.zone)).size, 1);
});

test('a backfilled group with a reservation keeps lower priorities off its machines', () => {
  const slots = [slotOf('m1', MACHINE_TYPE, { free: { cores: 2, gpus: 0, memoryGb: 16 } })];
  const urgent = groupOf(makeJobSpec('run-1', { shape: 'gang', tasks: 1, cores: 4, priority: 3 }), {
    reservesCapacity: true,
  });
  const low = groupOf(makeJobSpec('run-2', { tasks: 2, priority: 0 }));
  const decision = search(
    snapshotOf(slots, { box: 5 }),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([urgent, low]),
  );
  assert.equal(decision.steps.length, 0);
});

test('machines are provisioned for backfilled groups, within the limit of an offer', () => {
  const offer: CapacityOffer = { type: MACHINE_TYPE, zone: 'a', spot: false, limit: 50 };
  const backfilledGroups = Array.from({ length: 100 }, (_, i) =>
    groupOf(makeJobSpec(`run-${i}`, { tasks: 4, cores: 4 })),
  );
  const decision = search(
    snapshotOf([], { box: 500 }, [offer]),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf(backfilledGroups),
  );
  assert.equal(decision.snapshot.provisioned.get(offer), 50);
  assert.equal(decision.steps.length, 0, 'no task starts yet');
});

test('where everything fits, planning without a search starts the same tasks as the search', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = new Random(seed);
    const groups = (): TaskGroup[] => {
      const groupRandom = new Random(seed);
      return Array.from({ length: 3 + groupRandom.below(6) }, (_, i) =>
        groupOf(
          makeJobSpec(`run-${i}`, {
            shape: groupRandom.chance(0.3) ? 'gang' : 'array',
            tasks: 1 + groupRandom.below(6),
            cores: 1 + groupRandom.below(2),
            image: `img-${groupRandom.below(2)}`,
          }),
        ),
      );
    };
    const images = Array.from({ length: 60 }, () => new Set(random.chance(0.5) ? ['img-0'] : []));
    const snapshot = (): ReturnType<typeof snapshotOf> =>
      snapshotOf(
        images.map((set, i) => slotOf(`m${i}`, MACHINE_TYPE, { images: new Set(set) })),
        { box: 20 },
      );
    const compared = search(snapshot(), groups(), SEARCH_LIMITS, stoppedClock);
    const uncompared = search(
      snapshot(),
      groups(),
      { ...SEARCH_LIMITS, skipWhenUncontended: true },
      stoppedClock,
    );
    assert.equal(uncompared.candidatesSearched, 0, `seed ${seed}: no candidate is searched`);
    const startedTasks = (steps: typeof uncompared.steps): Record<string, number> => {
      const counts: Record<string, number> = {};
      for (const { group, count, start } of steps)
        if (start === 0) counts[group.spec.id] = (counts[group.spec.id] ?? 0) + count;
      return Object.fromEntries(Object.entries(counts).sort());
    };
    assert.deepEqual(startedTasks(uncompared.steps), startedTasks(compared.steps), `seed ${seed}`);
    const lastFinish = (steps: typeof uncompared.steps): number =>
      Math.max(...steps.map((step) => step.finish));
    assert.ok(
      lastFinish(uncompared.steps) <= lastFinish(compared.steps) + SEARCH_LIMITS.toleranceUs,
      `seed ${seed}: finish`,
    );
  }
});

test('where capacity is short, the search runs even if uncontended plans skip it', () => {
  const groups = [1, 2, 3].map((i) => groupOf(makeJobSpec(`run-${i}`, { tasks: 2, cores: 2 })));
  const decision = search(
    snapshotOf(emptyMachines(2), { box: 5 }),
    groups,
    { ...SEARCH_LIMITS, skipWhenUncontended: true },
    stoppedClock,
  );
  assert.ok(decision.candidatesSearched > 0);
});

test('a search that is suspended and resumed makes the same decision, and restores its snapshot', () => {
  const groups = Array.from({ length: 10 }, (_, i) =>
    groupOf(makeJobSpec(`run-${i}`, { tasks: 1 + (i % 4), cores: 1 + (i % 3) })),
  );
  const uninterrupted = search(snapshotOf(emptyMachines(8), { box: 5 }), groups, SEARCH_LIMITS, stoppedClock);
  const snapshot = snapshotOf(emptyMachines(8), { box: 5 });
  const before = JSON.stringify(snapshot.slots.map((slot) => ({ ...slot, equivalenceKey: undefined })));
  const resumable = new PlacementSearch(snapshot, groups, NO_BACKFILL, SEARCH_LIMITS, stoppedClock);
  let pauses = 0;
  let stepCount = 0;
  const run = resumable.run();
  while (run.next().done !== true) {
    pauses++;
    assert.ok(resumable.steps.length >= stepCount, 'decided steps are kept');
    stepCount = resumable.steps.length;
  }
  assert.ok(pauses > 10);
  const stepSummaries = (steps: typeof uninterrupted.steps): unknown =>
    steps.map((step) => [step.group.spec.id, step.slot.key, step.count, step.start]);
  assert.deepEqual(stepSummaries(resumable.steps), stepSummaries(uninterrupted.steps));
  resumable.release();
  assert.equal(
    JSON.stringify(snapshot.slots.map((slot) => ({ ...slot, equivalenceKey: undefined }))),
    before,
  );
});
