/** Work beyond what a plan compares, and plans that compare nothing because there is room for everything. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TaskGroup, CapacityOffer } from '@shaleyoke/core/scheduling/plan-input';
import {
  NO_BACKFILL,
  PlacementSearch,
  search,
  type BackfillWork,
} from '@shaleyoke/core/scheduling/placement-search';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { MachineSlot } from '@shaleyoke/core/cluster/machine-slot';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { groupOf, pictureOf, slotOf, typeOf } from './cluster-fixtures.js';

const LIMITS = { budgetUs: 1e12, width: 6, depth: 12, toleranceUs: SECOND };
const still = (): number => 0;
const overflowOf = (groups: readonly TaskGroup[]): BackfillWork => ({
  kinds: groups.map((g) => g.spec),
  groups,
});
const box = typeOf('box', { cores: 4 });
const boxes = (count: number): MachineSlot[] => Array.from({ length: count }, (_, i) => slotOf(`m${i}`, box));

test('work behind all that is compared begins where there is room now', () => {
  // Three cores of each machine are taken for a long time: what is compared has to wait for them.
  const slots = Array.from({ length: 20 }, (_, i) =>
    slotOf(`m${i}`, box, {
      free: { cores: 1, gpus: 0, memoryGb: 8 },
      changes: [{ at: 100 * SECOND, cores: 3, gpus: 0, memoryGb: 8 }],
    }),
  );
  const head = Array.from({ length: 64 }, (_, i) => groupOf(specOf(`run-${i}`, { tasks: 5, cores: 4 })));
  const tail = Array.from({ length: 100 }, (_, i) => groupOf(specOf(`run-9${i}`, { tasks: 3 })));
  const d = search(pictureOf(slots, { box: 5 }), head, LIMITS, still, overflowOf(tail));
  const begun = d.steps.filter((s) => s.start === 0).reduce((sum, s) => sum + s.count, 0);
  assert.equal(begun, 20, 'every core that is free is taken');
  assert.ok(d.steps.filter((s) => s.start === 0).every((s) => tail.includes(s.group)));
});

test('smaller work than any that is compared finds the rest of a machine', () => {
  const slots = [slotOf('m1', box, { free: { cores: 1, gpus: 0, memoryGb: 16 } })];
  const small = groupOf(specOf('run-2', { tasks: 1, cores: 1 }));
  const large = groupOf(specOf('run-1', { tasks: 1, cores: 3 }));
  const d = search(pictureOf(slots, { box: 5 }), [large], LIMITS, still, overflowOf([small]));
  assert.ok(d.steps.some((s) => s.group === small && s.start === 0));
});

test('a kind that finds no room is not looked for again, and an array of thousands is placed by machine', () => {
  const full = Array.from({ length: 1_000 }, (_, i) =>
    slotOf(`f${i}`, box, { free: { cores: 1, gpus: 0, memoryGb: 16 } }),
  );
  const tail = Array.from({ length: 500 }, (_, i) => groupOf(specOf(`run-${i}`, { tasks: 5, cores: 2 })));
  const none = search(pictureOf(full, { box: 5 }), [], LIMITS, still, overflowOf(tail));
  assert.equal(none.steps.length, 0);
  assert.ok(none.looks < 3_000, `${none.looks} looks`);
  const array = groupOf(specOf('run-1', { tasks: 4_000 }));
  const all = search(pictureOf(boxes(1_000), { box: 5 }), [], LIMITS, still, overflowOf([array]));
  assert.equal(all.steps.length, 1_000);
  assert.ok(all.looks < 10_000, `${all.looks} looks`);
});

test('a gang behind the compared groups begins whole or not at all, and spread and zone are kept', () => {
  const slots = [...boxes(3), ...Array.from({ length: 3 }, (_, i) => slotOf(`z${i}`, box, { zone: 'b' }))];
  const gang = groupOf(specOf('run-1', { shape: 'gang', tasks: 4, cores: 4, sameZone: true }));
  const spread = groupOf(specOf('run-2', { tasks: 9, cores: 2, spreadAcrossZones: true }));
  const bound = groupOf(specOf('run-3', { tasks: 9, cores: 2, sameZone: true }));
  const d = search(pictureOf(slots, { box: 5 }), [], LIMITS, still, overflowOf([gang, spread]));
  assert.ok(!d.steps.some((s) => s.group === gang));
  for (const zone of ['a', 'b']) {
    const there = d.steps.filter((s) => s.group === spread && s.slot.zone === zone);
    assert.ok(there.reduce((sum, s) => sum + s.count, 0) <= 5, `too many in ${zone}`);
  }
  const e = search(
    pictureOf(
      slots.map((s) => ({ ...s, changes: [], used: false, free: { cores: 4, gpus: 0, memoryGb: 16 } })),
      { box: 5 },
    ),
    [],
    LIMITS,
    still,
    overflowOf([bound]),
  );
  assert.equal(new Set(e.steps.map((s) => s.slot.zone)).size, 1);
});

test('what is reserved beyond the compared groups keeps its machines from lower priorities', () => {
  const slots = [slotOf('m1', box, { free: { cores: 2, gpus: 0, memoryGb: 16 } })];
  const urgent = groupOf(specOf('run-1', { shape: 'gang', tasks: 1, cores: 4, priority: 3 }), {
    reserve: true,
  });
  const low = groupOf(specOf('run-2', { tasks: 2, priority: 0 }));
  const d = search(pictureOf(slots, { box: 5 }), [], LIMITS, still, overflowOf([urgent, low]));
  assert.equal(d.steps.length, 0);
});

test('machines are rented for work beyond the compared groups, within the limit of a call', () => {
  const rent: CapacityOffer = { type: box, zone: 'a', spot: false, limit: 50 };
  const tail = Array.from({ length: 100 }, (_, i) => groupOf(specOf(`run-${i}`, { tasks: 4, cores: 4 })));
  const d = search(pictureOf([], { box: 500 }, [rent]), [], LIMITS, still, overflowOf(tail));
  assert.equal(d.picture.rented.get(rent), 50);
  assert.equal(d.steps.length, 0, 'nothing of it is a start');
});

test('where there is room for everything, comparing nothing starts the same tasks as comparing', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = new Random(seed);
    const groups = (): TaskGroup[] => {
      const same = new Random(seed);
      return Array.from({ length: 3 + same.below(6) }, (_, i) =>
        groupOf(
          specOf(`run-${i}`, {
            shape: same.chance(0.3) ? 'gang' : 'array',
            tasks: 1 + same.below(6),
            cores: 1 + same.below(2),
            image: `img-${same.below(2)}`,
          }),
        ),
      );
    };
    const images = Array.from({ length: 60 }, () => new Set(random.chance(0.5) ? ['img-0'] : []));
    const picture = (): ReturnType<typeof pictureOf> =>
      pictureOf(
        images.map((set, i) => slotOf(`m${i}`, box, { images: new Set(set) })),
        { box: 20 },
      );
    const compared = search(picture(), groups(), LIMITS, still);
    const plain = search(picture(), groups(), { ...LIMITS, skipWhenPlenty: true }, still);
    assert.equal(plain.searched, 0, `seed ${seed}: nothing is compared`);
    const begun = (steps: typeof plain.steps): Record<string, number> => {
      const counts: Record<string, number> = {};
      for (const { group, count, start } of steps)
        if (start === 0) counts[group.spec.id] = (counts[group.spec.id] ?? 0) + count;
      return Object.fromEntries(Object.entries(counts).sort());
    };
    assert.deepEqual(begun(plain.steps), begun(compared.steps), `seed ${seed}`);
    const last = (steps: typeof plain.steps): number => Math.max(...steps.map((s) => s.finish));
    assert.ok(last(plain.steps) <= last(compared.steps) + LIMITS.toleranceUs, `seed ${seed}: finish`);
  }
});

test('where room is short, groups are compared whatever the plan before had cost', () => {
  const groups = [1, 2, 3].map((i) => groupOf(specOf(`run-${i}`, { tasks: 2, cores: 2 })));
  const d = search(pictureOf(boxes(2), { box: 5 }), groups, { ...LIMITS, skipWhenPlenty: true }, still);
  assert.ok(d.searched > 0);
});

test('a search that is left and gone on with decides the same, and gives its picture back as it was', () => {
  const groups = Array.from({ length: 10 }, (_, i) =>
    groupOf(specOf(`run-${i}`, { tasks: 1 + (i % 4), cores: 1 + (i % 3) })),
  );
  const whole = search(pictureOf(boxes(8), { box: 5 }), groups, LIMITS, still);
  const picture = pictureOf(boxes(8), { box: 5 });
  const before = JSON.stringify(picture.slots.map((s) => ({ ...s, equivalenceKey: undefined })));
  const parts = new PlacementSearch(picture, groups, NO_BACKFILL, LIMITS, still);
  let pauses = 0;
  let seen = 0;
  for (const pause of parts.run()) {
    void pause;
    pauses++;
    assert.ok(parts.steps.length >= seen, 'what was decided stays');
    seen = parts.steps.length;
  }
  assert.ok(pauses > 10);
  const plain = (steps: typeof whole.steps): unknown =>
    steps.map((s) => [s.group.spec.id, s.slot.key, s.count, s.start]);
  assert.deepEqual(plain(parts.steps), plain(whole.steps));
  parts.release();
  assert.equal(JSON.stringify(picture.slots.map((s) => ({ ...s, equivalenceKey: undefined }))), before);
});
