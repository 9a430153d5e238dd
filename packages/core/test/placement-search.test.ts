/** Fixtures for the play-out and the search, some from the paper (10.2, 12.1). */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { latestStart, mergeOrders, orderByObjectives } from '@shaleyoke/core/cluster/objectives';
import { Machine, type TaskAttempt, ActiveJob } from '@shaleyoke/core/cluster/cluster-model';
import { attemptKey } from '@shaleyoke/core/cluster/task-attempt';
import { SECOND } from '@shaleyoke/core/domain/time';
import type { TaskGroup, ClusterSnapshot, CapacityOffer } from '@shaleyoke/core/scheduling/plan-input';
import type { MachineSlot } from '@shaleyoke/core/cluster/machine-slot';
import { PlacementSimulation } from '@shaleyoke/core/scheduling/placement-simulation';
import { PreemptionCandidates } from '@shaleyoke/core/scheduling/preemption-candidates';
import { placeGroup } from '@shaleyoke/core/scheduling/group-placement';
import { simulateCompletion } from '@shaleyoke/core/scheduling/rollout';
import { search } from '@shaleyoke/core/scheduling/placement-search';
import { RuntimeEstimates } from '@shaleyoke/core/cluster/runtime-estimates';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { groupOf, pictureOf, slotOf, typeOf } from './cluster-fixtures.js';

const limits = { budgetUs: 1e12, width: 6, depth: 12, toleranceUs: SECOND };
const still = (): number => 0;

test('a cold machine that finishes sooner beats the warm one', () => {
  const warm = slotOf('warm', typeOf('cpu', { cores: 1 }), { images: new Set(['img']) });
  const cold = slotOf('cold', typeOf('gpu', { cores: 1, imagePullGbPerS: 0.5 }));
  const g = groupOf(specOf('run-1', { tasks: 1, imageGb: 1 }));
  const d = search(pictureOf([warm, cold], { cpu: 12, gpu: 3 }), [g], limits, still);
  assert.equal(d.steps[0]?.slot.key, 'cold');
  assert.equal(d.steps[0]?.finish, 5 * SECOND);
});

test('a machine still to be rented is a cold candidate with its boot time', () => {
  const type = typeOf('cpu', { cores: 1, bootUs: 4 * SECOND });
  const busy = slotOf('busy', type, {
    free: { cores: 0, gpus: 0, memoryGb: 8 },
    changes: [{ at: 60 * SECOND, cores: 1, gpus: 0, memoryGb: 1 }],
  });
  const rent: CapacityOffer = { type, zone: 'a', spot: false, limit: 5 };
  const d = search(
    pictureOf([busy], { cpu: 5 }, [rent]),
    [groupOf(specOf('run-1', { tasks: 1 }))],
    limits,
    still,
  );
  assert.equal(d.picture.rented.get(rent), 1);
  const soon = { ...busy, changes: [{ at: 2 * SECOND, cores: 1, gpus: 0, memoryGb: 1 }] };
  const e = search(
    pictureOf([soon], { cpu: 5 }, [rent]),
    [groupOf(specOf('run-1', { tasks: 1 }))],
    limits,
    still,
  );
  assert.equal(e.picture.rented.size, 0);
});

test('work that can be placed nowhere never improves a score', () => {
  const p = (): ClusterSnapshot => pictureOf([slotOf('m', typeOf('cpu'))], { cpu: 5 });
  const ok = groupOf(specOf('run-1'));
  const never = groupOf(specOf('run-2', { cores: 99 }));
  const all = simulateCompletion(new PlacementSimulation(p(), [ok, never]), [ok, never], []);
  assert.equal(all.unplaced, never.count);
  assert.ok(all.makespan >= simulateCompletion(new PlacementSimulation(p(), [ok]), [ok], []).makespan);
});

test('the same picture gives the same choice', () => {
  const make = (): string => {
    const slots = [1, 2, 3].map((i) => slotOf(`m${i}`, typeOf('cpu')));
    const groups = [3, 1, 2].map((n, i) => groupOf(specOf(`run-${i}`, { tasks: n, cores: n })));
    const d = search(pictureOf(slots, { cpu: 7 }), groups, limits, still);
    return JSON.stringify(d.steps.map((s) => [s.group.spec.id, s.slot.key, s.start, s.count]));
  };
  assert.equal(make(), make());
});

test('past its budget the search places by earliest predicted finish and still places all', () => {
  let t = 0;
  const slots = [slotOf('m1', typeOf('cpu')), slotOf('m2', typeOf('cpu'))];
  const groups = [1, 2, 3].map((i) => groupOf(specOf(`run-${i}`, { tasks: 2 })));
  const d = search(pictureOf(slots, { cpu: 7 }), groups, { ...limits, budgetUs: 1 }, () => (t += 10));
  assert.equal(d.fellBack, true);
  assert.equal(
    d.steps.reduce((n, s) => n + s.count, 0),
    6,
  );
});

test('array tasks do not take room that is being made for a protected gang', () => {
  // Seen on a gedeeld day: a gang of four waited 488 s, since each place freed for it went to an array.
  const type = typeOf('cpu', { cores: 2 });
  const slots = [
    slotOf('m1', type),
    slotOf('m2', type, {
      free: { cores: 0, gpus: 0, memoryGb: 8 },
      changes: [{ at: 5 * SECOND, cores: 2, gpus: 0, memoryGb: 2 }],
    }),
  ];
  const gang = groupOf(specOf('run-1', { shape: 'gang', tasks: 2, cores: 2, priority: 1, sameZone: true }), {
    reserve: true,
  });
  const array = groupOf(specOf('run-2', { tasks: 2, cores: 1, priority: 0 }));
  const d = search(pictureOf(slots, { cpu: 30 }), [gang, array], limits, still);
  assert.ok(d.steps.filter((s) => s.group === gang).every((s) => s.start === 5 * SECOND));
  assert.ok(d.steps.filter((s) => s.group === array).every((s) => s.start > 0));
});

test('the rule of Moore and Hodgson keeps the number of misses small', () => {
  const job = (id: string, tasks: number): ActiveJob =>
    new ActiveJob(specOf(id, { tasks }), 1, Number(id.slice(4)), 0);
  const c = (j: ActiveJob, latest: number | null) => ({ job: j, latestStart: latest, amount: j.spec.tasks });
  const [a, b, d, late] = [job('run-1', 8), job('run-2', 1), job('run-3', 1), job('run-4', 1)];
  const order = mergeOrders([orderByObjectives([c(a!, 5), c(b!, 6), c(d!, 7), c(late!, null)], 2, 0.1)]);
  assert.deepEqual(
    order.map((j) => j.id),
    ['run-2', 'run-3', 'run-1', 'run-4'],
  );
  const objectives = [
    { kind: 'wait', class: 'c', withinUs: 15 * SECOND, share: 0.9, deadlineFactor: 1 },
    { kind: 'finished', class: 'c', withinUs: 100 * SECOND, share: 0.9, deadlineFactor: 1 },
  ];
  assert.equal(latestStart(b!, objectives, b!.acceptedAt, 10 * SECOND, 0), 15 * SECOND);
  assert.equal(latestStart(b!, objectives, b!.acceptedAt + 20 * SECOND, 10 * SECOND, 0), 70 * SECOND);
  assert.equal(latestStart(b!, objectives, b!.acceptedAt + 95 * SECOND, 10 * SECOND, 0), null);
});

test('stopped runs are censored, and thin groups borrow', () => {
  const t = new RuntimeEstimates();
  for (let i = 0; i < 20; i++) t.recordRun('c', 'x', 10 * SECOND, 20 * SECOND, true);
  const plain = t.remaining('c', 'x', 10 * SECOND, 0);
  assert.ok(Math.abs(plain - 20 * SECOND) < SECOND);
  for (let i = 0; i < 10; i++) t.recordRun('c', 'x', 10 * SECOND, 5 * SECOND, false);
  assert.ok(t.remaining('c', 'x', 10 * SECOND, 0) > 19 * SECOND, 'a stopped run is not a short one');
  assert.ok(t.remaining('c', 'y', 10 * SECOND, 0) > 15 * SECOND, 'an unseen type borrows from its class');
  assert.ok(t.remaining('c', 'x', 10 * SECOND, 60 * SECOND) > 0);
  const s = new RuntimeEstimates();
  s.load(JSON.parse(JSON.stringify(t.summary(16_000))));
  assert.ok(s.remaining('c', 'x', 10 * SECOND, 0) > 19 * SECOND);
});

test('work of lower priority leaves machines alone that more is waiting for than one plan places', () => {
  const type = typeOf('cpu', { cores: 2 });
  const half = { cores: 1, gpus: 0, memoryGb: 8 };
  const slots = ['m1', 'm2'].map((key) =>
    slotOf(key, type, {
      free: half,
      changes: [{ at: 5 * SECOND, cores: 1, gpus: 0, memoryGb: 1 }],
    }),
  );
  const gangs = [1, 2, 3].map((i) =>
    groupOf(specOf(`run-${i}`, { shape: 'gang', tasks: 2, cores: 2, priority: 1 }), { reserve: true }),
  );
  const array = groupOf(specOf('run-9', { tasks: 1, cores: 1, priority: 0 }));
  const d = search(pictureOf(slots, { cpu: 3 }), [...gangs, array], { ...limits, depth: 2 }, still);
  assert.ok(!d.steps.some((s) => s.group === array));
  const e = search(pictureOf(slots, { cpu: 3 }), [array], { ...limits, depth: 2 }, still);
  assert.equal(e.steps.find((s) => s.group === array)?.start, 0);
});

test('what a play-out did is taken back whole, and a plan at a thousand machines looks at few of them', () => {
  const type = typeOf('cpu', { cores: 4 });
  const random = new Random(5);
  const slots = Array.from({ length: 1_000 }, (_, i) =>
    slotOf(`m${i}`, type, {
      zone: i % 2 === 0 ? 'a' : 'b',
      free: { cores: 0, gpus: 0, memoryGb: 8 },
      changes: [1, 2]
        .map((k) => ({
          at: k * SECOND + random.below(90 * SECOND),
          cores: 2,
          gpus: 0,
          memoryGb: 1,
        }))
        .sort((x, y) => x.at - y.at),
    }),
  );
  const groups = Array.from({ length: 40 }, (_, i) =>
    groupOf(
      specOf(`run-${i}`, {
        shape: i % 3 === 0 ? 'gang' : 'array',
        tasks: 1 + random.below(24),
        cores: 1 + random.below(2),
        sameZone: i % 2 === 0,
      }),
    ),
  );
  const picture = pictureOf(slots, { cpu: 30 }, [{ type, zone: 'a', spot: false, limit: 3 }]);
  const b = new PlacementSimulation(picture, groups);
  const before = JSON.stringify(picture.slots);
  const mark = b.mark();
  simulateCompletion(b, groups, []);
  assert.notEqual(JSON.stringify(picture.slots), before);
  b.rollback(mark);
  assert.equal(JSON.stringify(picture.slots), before);
  assert.equal(picture.rented.size, 0);
  const looks = b.placementsExamined;
  assert.ok(looks < 40 * 300, `${looks} looks`);
  // In the order of floors and with bounds it finds what looking everywhere finds.
  for (const g of groups.slice(0, 10)) {
    const found = placeGroup(b, g)!;
    const finish = Math.max(...found.map((s) => s.finish));
    b.rollback(mark);
    let best = Infinity;
    for (const zone of g.spec.sameZone ? ['a', 'b'] : [null]) {
      const one = pictureOf(
        slots.filter((s) => zone === null || s.zone === zone).map((s) => ({ ...s })),
        { cpu: 30 },
        picture.offers.filter((r) => zone === null || r.zone === zone),
      );
      const steps = placeGroup(new PlacementSimulation(one, [g]), {
        ...g,
        spec: { ...g.spec, sameZone: false },
      })!;
      best = Math.min(best, Math.max(...steps.map((s) => s.finish)));
    }
    assert.equal(finish, best);
  }
});

test('room is made for several gangs in one plan, each with machines of its own', () => {
  // Seen at full size: the largest gangs, for which no room could be made, used up all tries of every plan.
  const type = typeOf('cpu', { cores: 4 });
  const types = new Map([['cpu', type]]);
  const old = new ActiveJob(
    specOf('run-8', { tasks: 99, cores: 2, priority: 0, checkpointIntervalUs: SECOND }),
    1,
    0,
    0,
  );
  const machines = Array.from({ length: 5 }, (_, i) => {
    const m = new Machine(`m${i}`, 'a:1', 'cpu', i < 4 ? 'a' : 'b', false, 0);
    m.up = true;
    m.recorded = 'yes';
    for (const k of [0, 1]) {
      const a: TaskAttempt = {
        job: old,
        index: i * 2 + k,
        number: 1,
        machine: m,
        agentEpoch: 1,
        state: 'running',
        fencingToken: 1,
        commandedAt: 0,
        // On the last machine they began a moment ago.
        runningAt: i === 4 ? 99 * SECOND : 0,
        startTimeKnown: true,
        confirmed: true,
        stopping: null,
      };
      m.attempts.set(attemptKey('run-8', a.index), a);
      m.revision++;
    }
    return m;
  });
  const gang = (id: string, tasks: number): ActiveJob =>
    new ActiveJob(specOf(id, { shape: 'gang', tasks, cores: 3, sameZone: true }), 1, 0, 0);
  const rights = { teams: [], usage: new Map(), isGuaranteed: () => false };
  const c = new PreemptionCandidates(
    machines,
    types,
    rights,
    (a) => 100 * SECOND - a.runningAt! >= 35 * SECOND,
  );
  assert.equal(c.take(gang('run-1', 9), 9), null);
  const first = c.take(gang('run-2', 2), 2)!;
  const second = c.take(gang('run-3', 2), 2)!;
  assert.equal(first.victims.length, 4);
  assert.equal(new Set([...first.machines, ...second.machines]).size, 4);
  assert.equal(c.take(gang('run-4', 1), 1), null, 'the rest has not run for long enough');
});

test('small tasks use the gaps beside large ones, and leave whole places for those to come', () => {
  // Seen on a krakow day: stages of one core filled the machines that gangs of 30 cores waited for.
  const type = typeOf('node', { cores: 32, memoryGb: 128 });
  const big = specOf('run-9', { cores: 30, memoryGb: 50, shape: 'gang' });
  const beside = slotOf('beside', type, {
    sunkCost: false,
    free: { cores: 2, gpus: 0, memoryGb: 70 },
    changes: [{ at: 90 * SECOND, cores: 30, gpus: 0, memoryGb: 50 }],
  });
  const empty = slotOf('empty', type, { sunkCost: false });
  const other = slotOf('other', type, { sunkCost: false });
  const p = { ...pictureOf([empty, beside, other], { node: 20 }), recurringSpecs: [big] };
  const small = groupOf(specOf('run-1', { tasks: 6, cores: 1 }), { allowedDelay: 30 * SECOND });
  const d = search(p, [small], limits, still);
  const at = new Map<string, number>();
  for (const s of d.steps) at.set(s.slot.key, (at.get(s.slot.key) ?? 0) + s.count);
  assert.deepEqual([...at].sort(), [
    ['beside', 2],
    ['empty', 2],
    ['other', 2],
  ]);
  for (const s of [empty, other]) assert.ok(s.free.cores >= 30, 'a place for the large one is left');
});

test('a stage to come is placed from its predicted release on, and has a machine rented only if it must', () => {
  const type = typeOf('cpu', { cores: 4, bootUs: 30 * SECOND });
  const busy = (until: number): MachineSlot =>
    slotOf('busy', type, {
      free: { cores: 0, gpus: 0, memoryGb: 8 },
      changes: [{ at: until * SECOND, cores: 4, gpus: 0, memoryGb: 8 }],
    });
  const rent: CapacityOffer = { type, zone: 'a', spot: false, limit: 5 };
  const stage = (): TaskGroup =>
    groupOf(specOf('run-1', { tasks: 4 }), {
      hypothetical: true,
      notBefore: 40 * SECOND,
      scaleOutThreshold: 20 * SECOND,
    });
  const waits = search(pictureOf([busy(50)], { cpu: 5 }, [rent]), [stage()], limits, still);
  assert.equal(waits.picture.rented.get(rent) ?? 0, 0);
  const free = search(pictureOf([busy(10)], { cpu: 5 }, [rent]), [stage()], limits, still);
  assert.equal(free.picture.rented.get(rent) ?? 0, 0);
  const rents = search(pictureOf([busy(200)], { cpu: 5 }, [rent]), [stage()], limits, still);
  assert.equal(rents.picture.rented.get(rent), 1);
  assert.deepEqual(rents.steps, [], 'nothing of it starts');
});

test('a gang begins where all members have room now, if it is done sooner than by waiting for what each likes', () => {
  // Seen on a krakow day: each of ten gangs held some free places in the plan and waited for the rest.
  const type = typeOf('node', { cores: 4, memoryGb: 16, imagePullGbPerS: 0.2 });
  const idle = ['a1', 'a2', 'a3'].map((k) => slotOf(k, type, { sunkCost: false }));
  const warm = ['w1', 'w2', 'w3'].map((k) =>
    slotOf(k, type, {
      sunkCost: false,
      images: new Set(['img']),
      free: { cores: 0, gpus: 0, memoryGb: 16 },
      // Free soon, and busy for long: prolonging it costs nothing.
      changes: [
        { at: 8 * SECOND, cores: 4, gpus: 0, memoryGb: 0 },
        { at: 400 * SECOND, cores: 0, gpus: 0, memoryGb: 0 },
      ],
    }),
  );
  const gang = groupOf(specOf('run-1', { shape: 'gang', tasks: 3, cores: 4, imageGb: 1 }), {
    allowedDelay: 60 * SECOND,
  });
  const d = search(pictureOf([...idle, ...warm], { node: 100 }), [gang], limits, still);
  assert.deepEqual(
    d.steps.map((s) => s.start),
    [0, 0, 0],
  );
});

test('room kept for services is not given to other work, nor kept from the services themselves', () => {
  const type = typeOf('cpu', { cores: 4, memoryGb: 100 });
  const slots = (): MachineSlot[] => ['a', 'a', 'b', 'b'].map((zone, i) => slotOf(`m${i}`, type, { zone }));
  const service = specOf('run-1', { shape: 'service', tasks: 4, spreadAcrossZones: true, priority: 3 });
  const kept = groupOf(service, { hypothetical: true, kept: true });
  const array = groupOf(specOf('run-2', { tasks: 30 }));
  const startedNow = (groups: TaskGroup[], of: string): number =>
    search(pictureOf(slots(), { cpu: 60 }), groups, limits, still)
      .steps.filter((s) => s.group.spec.id === of && s.start === 0)
      .reduce((n, s) => n + s.count, 0);
  assert.equal(startedNow([array], 'run-2'), 16);
  // Half of its tasks in each zone: whichever has room when it comes.
  assert.equal(startedNow([array, kept], 'run-2'), 12);
  const alone = groupOf(
    { ...service, spreadAcrossZones: false, sameZone: true },
    { hypothetical: true, kept: true },
  );
  assert.equal(startedNow([array, alone], 'run-2'), 8);
  const anywhere = groupOf(
    { ...service, spreadAcrossZones: false, tasks: 5 },
    { hypothetical: true, kept: true },
  );
  assert.equal(startedNow([array, anywhere], 'run-2'), 10);
  const real = groupOf({ ...service, id: 'run-3' }, { reserve: true });
  assert.equal(startedNow([array, real, kept], 'run-3'), 4);
  assert.equal(startedNow([array, real, kept], 'run-2'), 8);
});
