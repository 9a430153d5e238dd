/** Backfill beyond what a plan compares, and plans that compare nothing because everything fits. */
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
import { specOf } from '@shaleyoke/emulator/specs';

import { groupOf, SEARCH_LIMITS, slotOf, snapshotOf, stoppedClock, typeOf } from './cluster-fixtures.js';

const backfillOf = (groups: readonly TaskGroup[]): BackfillWork => ({
  kinds: groups.map((group) => group.spec),
  groups,
});
const BOX = typeOf('box', { cores: 4 });
const emptyBoxes = (count: number): MachineSlot[] =>
  Array.from({ length: count }, (_, i) => slotOf(`m${i}`, BOX));

test('backfilled work begins where there is free capacity now', () => {
  // Three cores of each machine are taken for a long time: what is compared has to wait for them.
  const slots = Array.from({ length: 20 }, (_, i) =>
    slotOf(`m${i}`, BOX, {
      free: { cores: 1, gpus: 0, memoryGb: 8 },
      changes: [{ at: 100 * SECOND, cores: 3, gpus: 0, memoryGb: 8 }],
    }),
  );
  const head = Array.from({ length: 64 }, (_, i) => groupOf(specOf(`run-${i}`, { tasks: 5, cores: 4 })));
  const tail = Array.from({ length: 100 }, (_, i) => groupOf(specOf(`run-9${i}`, { tasks: 3 })));
  const decision = search(snapshotOf(slots, { box: 5 }), head, SEARCH_LIMITS, stoppedClock, backfillOf(tail));
  const begun = decision.steps.filter((step) => step.start === 0).reduce((sum, step) => sum + step.count, 0);
  assert.equal(begun, 20, 'every core that is free is taken');
  assert.ok(decision.steps.filter((step) => step.start === 0).every((step) => tail.includes(step.group)));
});

test('backfilled work smaller than any that is compared uses the rest of a machine', () => {
  const slots = [slotOf('m1', BOX, { free: { cores: 1, gpus: 0, memoryGb: 16 } })];
  const small = groupOf(specOf('run-2', { tasks: 1, cores: 1 }));
  const large = groupOf(specOf('run-1', { tasks: 1, cores: 3 }));
  const decision = search(
    snapshotOf(slots, { box: 5 }),
    [large],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([small]),
  );
  assert.ok(decision.steps.some((step) => step.group === small && step.start === 0));
});

test('a kind that fits nowhere is not tried again, and an array of thousands is placed machine by machine', () => {
  const full = Array.from({ length: 1_000 }, (_, i) =>
    slotOf(`f${i}`, BOX, { free: { cores: 1, gpus: 0, memoryGb: 16 } }),
  );
  const tail = Array.from({ length: 500 }, (_, i) => groupOf(specOf(`run-${i}`, { tasks: 5, cores: 2 })));
  const none = search(snapshotOf(full, { box: 5 }), [], SEARCH_LIMITS, stoppedClock, backfillOf(tail));
  assert.equal(none.steps.length, 0);
  assert.ok(none.placementsExamined < 3_000, `${none.placementsExamined} looks`);
  const array = groupOf(specOf('run-1', { tasks: 4_000 }));
  const all = search(
    snapshotOf(emptyBoxes(1_000), { box: 5 }),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([array]),
  );
  assert.equal(all.steps.length, 1_000);
  assert.ok(all.placementsExamined < 10_000, `${all.placementsExamined} looks`);
});

test('a backfilled gang begins whole or not at all, and limits on zones are kept', () => {
  const slots = [
    ...emptyBoxes(3),
    ...Array.from({ length: 3 }, (_, i) => slotOf(`z${i}`, BOX, { zone: 'b' })),
  ];
  const gang = groupOf(specOf('run-1', { shape: 'gang', tasks: 4, cores: 4, sameZone: true }));
  const spread = groupOf(specOf('run-2', { tasks: 9, cores: 2, spreadAcrossZones: true }));
  const bound = groupOf(specOf('run-3', { tasks: 9, cores: 2, sameZone: true }));
  const decision = search(
    snapshotOf(slots, { box: 5 }),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([gang, spread]),
  );
  assert.ok(!decision.steps.some((step) => step.group === gang));
  for (const zone of ['a', 'b']) {
    const there = decision.steps.filter((step) => step.group === spread && step.slot.zone === zone);
    assert.ok(there.reduce((sum, step) => sum + step.count, 0) <= 5, `too many in ${zone}`);
  }
  const sameZoneDecision = search(
    snapshotOf(
      slots.map((slot) => ({ ...slot, changes: [], used: false, free: { cores: 4, gpus: 0, memoryGb: 16 } })),
      { box: 5 },
    ),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([bound]),
  );
  assert.equal(new Set(sameZoneDecision.steps.map((step) => step.slot.zone)).size, 1);
});

test('a backfilled group with a reservation keeps its machines from lower priorities', () => {
  const slots = [slotOf('m1', BOX, { free: { cores: 2, gpus: 0, memoryGb: 16 } })];
  const urgent = groupOf(specOf('run-1', { shape: 'gang', tasks: 1, cores: 4, priority: 3 }), {
    reserve: true,
  });
  const low = groupOf(specOf('run-2', { tasks: 2, priority: 0 }));
  const decision = search(
    snapshotOf(slots, { box: 5 }),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf([urgent, low]),
  );
  assert.equal(decision.steps.length, 0);
});

test('machines are provisioned for backfilled work, within the limit of an offer', () => {
  const offer: CapacityOffer = { type: BOX, zone: 'a', spot: false, limit: 50 };
  const tail = Array.from({ length: 100 }, (_, i) => groupOf(specOf(`run-${i}`, { tasks: 4, cores: 4 })));
  const decision = search(
    snapshotOf([], { box: 500 }, [offer]),
    [],
    SEARCH_LIMITS,
    stoppedClock,
    backfillOf(tail),
  );
  assert.equal(decision.snapshot.provisioned.get(offer), 50);
  assert.equal(decision.steps.length, 0, 'nothing of it is a start');
});

test('where everything fits, comparing nothing starts the same tasks as comparing', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = new Random(seed);
    const groups = (): TaskGroup[] => {
      const groupRandom = new Random(seed);
      return Array.from({ length: 3 + groupRandom.below(6) }, (_, i) =>
        groupOf(
          specOf(`run-${i}`, {
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
        images.map((set, i) => slotOf(`m${i}`, BOX, { images: new Set(set) })),
        { box: 20 },
      );
    const compared = search(snapshot(), groups(), SEARCH_LIMITS, stoppedClock);
    const plain = search(snapshot(), groups(), { ...SEARCH_LIMITS, skipWhenUncontended: true }, stoppedClock);
    assert.equal(plain.candidatesSearched, 0, `seed ${seed}: nothing is compared`);
    const begun = (steps: typeof plain.steps): Record<string, number> => {
      const counts: Record<string, number> = {};
      for (const { group, count, start } of steps)
        if (start === 0) counts[group.spec.id] = (counts[group.spec.id] ?? 0) + count;
      return Object.fromEntries(Object.entries(counts).sort());
    };
    assert.deepEqual(begun(plain.steps), begun(compared.steps), `seed ${seed}`);
    const last = (steps: typeof plain.steps): number => Math.max(...steps.map((step) => step.finish));
    assert.ok(last(plain.steps) <= last(compared.steps) + SEARCH_LIMITS.toleranceUs, `seed ${seed}: finish`);
  }
});

test('where capacity is short, groups are compared whatever the plan before had cost', () => {
  const groups = [1, 2, 3].map((i) => groupOf(specOf(`run-${i}`, { tasks: 2, cores: 2 })));
  const decision = search(
    snapshotOf(emptyBoxes(2), { box: 5 }),
    groups,
    { ...SEARCH_LIMITS, skipWhenUncontended: true },
    stoppedClock,
  );
  assert.ok(decision.candidatesSearched > 0);
});

test('a search that is suspended and resumed decides the same, and restores its snapshot', () => {
  const groups = Array.from({ length: 10 }, (_, i) =>
    groupOf(specOf(`run-${i}`, { tasks: 1 + (i % 4), cores: 1 + (i % 3) })),
  );
  const whole = search(snapshotOf(emptyBoxes(8), { box: 5 }), groups, SEARCH_LIMITS, stoppedClock);
  const snapshot = snapshotOf(emptyBoxes(8), { box: 5 });
  const before = JSON.stringify(snapshot.slots.map((slot) => ({ ...slot, equivalenceKey: undefined })));
  const parts = new PlacementSearch(snapshot, groups, NO_BACKFILL, SEARCH_LIMITS, stoppedClock);
  let pauses = 0;
  let seen = 0;
  const run = parts.run();
  while (run.next().done !== true) {
    pauses++;
    assert.ok(parts.steps.length >= seen, 'what was decided stays');
    seen = parts.steps.length;
  }
  assert.ok(pauses > 10);
  const plain = (steps: typeof whole.steps): unknown =>
    steps.map((step) => [step.group.spec.id, step.slot.key, step.count, step.start]);
  assert.deepEqual(plain(parts.steps), plain(whole.steps));
  parts.release();
  assert.equal(
    JSON.stringify(snapshot.slots.map((slot) => ({ ...slot, equivalenceKey: undefined }))),
    before,
  );
});
