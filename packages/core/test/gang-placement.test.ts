/** Laws of the placement of gangs, over generated clusters and for gangs beyond every cluster. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { CapacityChange, MachineSlot } from '@shaleyoke/core/cluster/machine-slot';
import { UNBOUNDED_RUN_TIME } from '@shaleyoke/core/cluster/runtime-estimates';
import { type JobSpec, MAX_TASKS_PER_JOB, type Priority } from '@shaleyoke/core/domain/job';
import { countFits, maxTasksPerZone } from '@shaleyoke/core/domain/resources';
import { SECOND } from '@shaleyoke/core/domain/time';
import { placeGroup } from '@shaleyoke/core/scheduling/group-placement';
import { NO_BACKFILL, search, type SearchResult } from '@shaleyoke/core/scheduling/placement-search';
import { PlacementSimulation } from '@shaleyoke/core/scheduling/placement-simulation';
import type { CapacityOffer, PlanStep, TaskGroup } from '@shaleyoke/core/scheduling/plan-input';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { groupOf, SEARCH_LIMITS, slotOf, snapshotOf, stoppedClock, typeOf } from './cluster-fixtures.js';

const CLUSTERS = 400;
const TYPES = [
  typeOf('small', { cores: 4, gpus: 0, memoryGb: 16, bootUs: 30 * SECOND, imagePullGbPerS: 0.5 }),
  typeOf('large', { cores: 16, gpus: 0, memoryGb: 32, bootUs: 50 * SECOND, imagePullGbPerS: 0.2 }),
  typeOf('gpu', { cores: 8, gpus: 4, memoryGb: 64, bootUs: 40 * SECOND, imagePullGbPerS: 0.3 }),
];
const RUN_SECONDS = { small: 20, large: 35, gpu: 25 };

/** A machine on which some cores are in use by work that ends, or by a service. */
const busySlot = (random: Random, key: string, zones: number): MachineSlot => {
  const type = TYPES[random.below(TYPES.length)]!;
  const changes: CapacityChange[] = [];
  let used = 0;
  while (used < type.cores && random.chance(0.5)) {
    const cores = 1 + random.below(type.cores - used);
    const at = random.chance(0.1) ? UNBOUNDED_RUN_TIME : (1 + random.below(90)) * SECOND;
    changes.push({ at, cores, gpus: 0, memoryGb: 0 });
    used += cores;
  }
  changes.sort((one, other) => one.at - other.at);
  return slotOf(key, type, {
    zone: `zone-${random.below(zones)}`,
    spot: random.chance(0.3),
    sunkCost: random.chance(0.5),
    readyAt: random.chance(0.2) ? random.below(40) * SECOND : 0,
    free: { cores: type.cores - used, gpus: type.gpus, memoryGb: type.memoryGb },
    changes,
    images: new Set(random.chance(0.5) ? ['img'] : []),
  });
};

const randomGang = (random: Random, id: string): JobSpec =>
  makeJobSpec(id, {
    shape: 'gang',
    tasks: 1 + random.below(random.chance(0.2) ? 200 : 24),
    cores: 1 + random.below(4),
    gpus: random.chance(0.2) ? 1 : 0,
    memoryGb: 1,
    imageGb: 1,
    spot: random.chance(0.5),
    sameZone: random.chance(0.4),
    spreadAcrossZones: random.chance(0.2),
    zone: random.chance(0.1) ? 'zone-0' : null,
  });

const randomOffers = (random: Random, zones: number): CapacityOffer[] =>
  TYPES.filter(() => random.chance(0.4)).map((type) => ({
    type,
    zone: `zone-${random.below(zones)}`,
    spot: random.chance(0.3),
    limit: 1 + random.below(random.chance(0.3) ? 60 : 4),
  }));

const isAllowed = (spec: JobSpec, zone: string, spot: boolean): boolean =>
  (spec.zone === null || spec.zone === zone) && (spec.spot || !spot);

/** Whether all members fit at once when everything but services has ended and all offers are used, by counting. */
const fitsOnEmptyCluster = (
  spec: JobSpec,
  slots: readonly MachineSlot[],
  offers: readonly CapacityOffer[],
): boolean => {
  const byZone = new Map<string, number>();
  const add = (zone: string, tasks: number): void => {
    byZone.set(zone, (byZone.get(zone) ?? 0) + tasks);
  };
  for (const { type, zone, spot, changes } of slots) {
    if (!isAllowed(spec, zone, spot)) continue;
    const kept = changes.filter(({ at }) => at >= UNBOUNDED_RUN_TIME);
    const cores = type.cores - kept.reduce((sum, change) => sum + change.cores, 0);
    add(zone, countFits(spec, { cores, gpus: type.gpus, memoryGb: type.memoryGb }));
  }
  for (const { type, zone, spot, limit } of offers)
    if (isAllowed(spec, zone, spot)) add(zone, limit * countFits(spec, type));
  const limit = spec.spreadAcrossZones ? maxTasksPerZone(spec) : Infinity;
  const counts = [...byZone.values()].map((tasks) => Math.min(tasks, limit));
  if (spec.sameZone) return counts.some((tasks) => tasks >= spec.tasks);
  return counts.reduce((sum, tasks) => sum + tasks, 0) >= spec.tasks;
};

/** Cores that are free on the slot at the time, without the steps of this plan. */
const freeCoresAt = ({ free, changes }: MachineSlot, at: number): number =>
  changes.filter((change) => change.at <= at).reduce((sum, { cores }) => sum + cores, free.cores);

/** Asserts that at the common start every member has its room, within the constraints of the gang. */
const assertRunsAtOnce = (
  steps: readonly PlanStep[],
  spec: JobSpec,
  before: ReadonlyMap<string, MachineSlot>,
  description: string,
): void => {
  const start = steps[0]!.start;
  const coresBySlot = new Map<string, number>();
  const tasksByZone = new Map<string, number>();
  let total = 0;
  for (const step of steps) {
    assert.equal(step.start, start, `${description}: all members start together`);
    assert.ok(isAllowed(spec, step.slot.zone, step.slot.spot), `${description}: allowed place`);
    coresBySlot.set(step.slot.key, (coresBySlot.get(step.slot.key) ?? 0) + step.count * spec.cores);
    tasksByZone.set(step.slot.zone, (tasksByZone.get(step.slot.zone) ?? 0) + step.count);
    total += step.count;
  }
  assert.equal(total, spec.tasks, `${description}: all members are placed`);
  for (const { slot } of steps) {
    const original = before.get(slot.key);
    const room = original === undefined ? slot.type.cores : freeCoresAt(original, start);
    assert.ok(start >= slot.readyAt, `${description}: ${slot.key} is up at the start`);
    assert.ok(coresBySlot.get(slot.key)! <= room, `${description}: ${slot.key} has room for its members`);
  }
  if (spec.sameZone) assert.equal(tasksByZone.size, 1, `${description}: one zone`);
  if (spec.spreadAcrossZones)
    for (const tasks of tasksByZone.values()) assert.ok(tasks <= maxTasksPerZone(spec), description);
};

test('the members of a gang have their room at once, and a gang that fits on no cluster is not placed', () => {
  // Guards against members planned one after the other in the same room (docs/incidents/gang-larger-than-the-cluster.md).
  let placed = 0;
  let unplaceable = 0;
  for (let seed = 1; seed <= CLUSTERS; seed++) {
    const random = new Random(seed);
    const zones = 1 + random.below(3);
    const slots = Array.from({ length: 1 + random.below(12) }, (_, i) => busySlot(random, `m${i}`, zones));
    const offers = randomOffers(random, zones);
    const gang = groupOf(randomGang(random, 'run-1'));
    const snapshot = snapshotOf(slots, RUN_SECONDS, offers);
    const simulation = new PlacementSimulation(snapshot, [gang]);
    const before = new Map(slots.map((slot) => [slot.key, { ...slot }]));
    const state = JSON.stringify(slots);
    const steps = placeGroup(simulation, gang);
    const fits = fitsOnEmptyCluster(gang.spec, [...before.values()], offers);
    assert.equal(steps !== null, fits, `seed ${seed}: placed exactly if it fits`);
    if (steps === null) {
      assert.equal(simulation.mark(), 0, `seed ${seed}: nothing is held`);
      unplaceable++;
    } else {
      assertRunsAtOnce(steps, gang.spec, before, `seed ${seed}`);
      const chunks = slots.reduce((sum, { changes }) => sum + changes.length + 1, 0);
      assert.ok(steps.length <= 2 * chunks, `seed ${seed}: ${steps.length} steps`);
      placed++;
    }
    simulation.rollback(0);
    assert.equal(JSON.stringify(slots), state, `seed ${seed}: all changes are undone`);
  }
  assert.ok(placed > CLUSTERS / 4 && unplaceable > CLUSTERS / 10, `${placed} placed, ${unplaceable} not`);
});

test('a gang keeps its room beside work that is planned for later', () => {
  // Guards against a common start at which a machine of the gang is planned for other work.
  for (let seed = 1; seed <= CLUSTERS; seed++) {
    const random = new Random(seed);
    const slots = Array.from({ length: 2 + random.below(8) }, (_, i) => busySlot(random, `m${i}`, 2));
    const groups = [1, 2, 3, 4].map((i) => groupOf(randomGang(random, `run-${i}`)));
    const snapshot = snapshotOf(slots, RUN_SECONDS, randomOffers(random, 2));
    const simulation = new PlacementSimulation(snapshot, groups);
    for (const group of groups) {
      const before = new Map(snapshot.slots.map((slot) => [slot.key, { ...slot }]));
      const steps = placeGroup(simulation, group);
      if (steps !== null) assertRunsAtOnce(steps, group.spec, before, `seed ${seed}, ${group.spec.id}`);
    }
  }
});

const VARIANTS: readonly Partial<JobSpec>[] = [
  {},
  { priority: 3 },
  { priority: 0 },
  { sameZone: true },
  { spreadAcrossZones: true },
  { zone: 'zone-0' },
  { spot: true },
  { cores: 1 },
  { cores: 1, gpus: 1 },
  { estimatedRunUs: 2 * SECOND },
];
const SMALL_JOBS = 8;

const largeCluster = (): MachineSlot[] =>
  Array.from({ length: 12 }, (_, i) => slotOf(`m${i}`, TYPES[i % TYPES.length]!, { zone: `zone-${i % 2}` }));

test('gangs larger than the cluster hold nothing in a plan, and small jobs beside them start', () => {
  // Guards against a plan whose memory grows with the square of a gang's tasks, which ended one leader after the other.
  for (const overrides of VARIANTS)
    for (const inBackfill of [false, true]) {
      const description = `${JSON.stringify(overrides)}${inBackfill ? ' in the backfill' : ''}`;
      const gangs = [1, 2, 3].map((i) =>
        groupOf(
          makeJobSpec(`run-${i}`, { shape: 'gang', tasks: MAX_TASKS_PER_JOB, cores: 4, ...overrides }),
          { reservesCapacity: true },
        ),
      );
      const priority: Priority = 0;
      const small = Array.from({ length: SMALL_JOBS }, (_, i) =>
        groupOf(makeJobSpec(`run-${10 + i}`, { tasks: 1, cores: 1, priority })),
      );
      const offer: CapacityOffer = { type: TYPES[0]!, zone: 'zone-0', spot: false, limit: 50 };
      const plan = (groups: readonly TaskGroup[]): SearchResult =>
        search(
          snapshotOf(largeCluster(), RUN_SECONDS, [offer]),
          inBackfill ? [] : groups,
          SEARCH_LIMITS,
          stoppedClock,
          inBackfill ? { kinds: groups.map(({ spec }) => spec), groups } : NO_BACKFILL,
        );
      const decision = plan([...gangs, ...small]);
      assert.equal(decision.snapshot.provisioned.size, 0, `${description}: no machine is provisioned`);
      assert.equal(decision.steps.length, SMALL_JOBS, `${description}: each small job has its step`);
      for (const step of decision.steps) assert.equal(step.start, 0, `${description}: and starts now`);
      assert.ok(
        decision.placementsExamined <= 2 * plan(small).placementsExamined,
        `${description}: ${decision.placementsExamined} placements examined`,
      );
    }
});

test('a gang that needs a second machine is planned on one, not twice on the machine that is there', () => {
  // Guards against a gang that lost a machine and was never started again, while other work waited behind it.
  const type = typeOf('node', { cores: 32, bootUs: 40 * SECOND });
  const offer: CapacityOffer = { type, zone: 'a', spot: false, limit: 50 };
  const gang = groupOf(makeJobSpec('run-1', { shape: 'gang', tasks: 2, cores: 30, priority: 2 }), {
    reservesCapacity: true,
  });
  const decision = search(
    snapshotOf([slotOf('m1', type)], { node: 8 }, [offer]),
    [gang],
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.equal(decision.snapshot.provisioned.get(offer), 1);
  const refused = search(
    snapshotOf([slotOf('m1', type)], { node: 8 }),
    [gang, groupOf(makeJobSpec('run-2', { tasks: 1, cores: 10, priority: 0 }))],
    SEARCH_LIMITS,
    stoppedClock,
  );
  assert.deepEqual(
    refused.steps.map(({ group, start }) => [group.spec.id, start]),
    [['run-2', 0]],
    'without an offer, the machine is left to other work',
  );
});

test('a gang gets all its machines from one offer when the cluster is empty', () => {
  // Guards against a bound on a plan's work that leaves gangs of more than a few new machines without a placement.
  const type = typeOf('node', { cores: 32, bootUs: 40 * SECOND });
  const offer: CapacityOffer = { type, zone: 'a', spot: false, limit: 50, gangLimit: 200 };
  for (const tasks of [24, 128, 200]) {
    const gang = groupOf(makeJobSpec('run-1', { shape: 'gang', tasks, cores: 30, sameZone: true }));
    const decision = search(snapshotOf([], { node: 8 }, [offer]), [gang], SEARCH_LIMITS, stoppedClock);
    assert.equal(decision.snapshot.provisioned.get(offer), tasks);
  }
});

test('an offer that the cloud refuses counts for no gang, but stays open for arrays', () => {
  // Guards against an array that gets no machine because of what is known about the capacity for gangs.
  const type = typeOf('node', { cores: 32, bootUs: 40 * SECOND });
  const offer: CapacityOffer = { type, zone: 'a', spot: false, limit: 50, gangLimit: 0 };
  const provisionedFor = (shape: JobSpec['shape']): number => {
    const group = groupOf(makeJobSpec('run-1', { shape, tasks: 2, cores: 30 }));
    const decision = search(snapshotOf([], { node: 8 }, [offer]), [group], SEARCH_LIMITS, stoppedClock);
    return decision.snapshot.provisioned.get(offer) ?? 0;
  };
  assert.equal(provisionedFor('gang'), 0);
  assert.ok(provisionedFor('array') > 0);
});
