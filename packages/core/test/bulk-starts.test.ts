/**
 * Many starts at once: plans whose every decision is a slice of its own, with nearly all work beyond the groups that are
 * compared. Troubles come in the middle: no rule breaks, and all work that is not cancelled ends.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import {
  FIRST_BOUNDS,
  BASIC_SCENARIOS,
  play,
  SECOND_BOUNDS,
  EXTENDED_SCENARIOS,
} from '@shaleyoke/emulator/fault-scenarios';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { ClusterSimulation, type CoreOptions } from '@shaleyoke/emulator/cluster-simulation';
import { checkOutcome } from './scenario-assertions.js';

/** Longer than a slice, so that each decision ends one; the whole plan still has time for some. */
const sliced = (): CoreOptions => {
  let time = 0;
  return {
    operators: 'search_groups: 1\nsearch_budget_ms: 100000\n',
    stopwatch: () => (time += 15 * MILLI),
  };
};

const MACHINES = 40;
/** Below what the machines have, so that the quota is reached in the middle of a plan. */
const QUOTA = 140;

const worldOf = (seed: number, coreOptions: CoreOptions = sliced()): ClusterSimulation => {
  const world = new ClusterSimulation(
    new Random(seed),
    3,
    `[[cluster.teams]]\nname = "t"\ncpus_max = ${QUOTA}.0\n`,
    QUOTA,
    MACHINES / 2,
    '',
    () => [],
    0,
    null,
    coreOptions,
  );
  world.stand(MACHINES);
  world.runFor(4 * SECOND);
  return world;
};

const JOBS: readonly JobSpec[] = [
  specOf('run-1', { shape: 'gang', tasks: 128, estimatedRunUs: 6 * SECOND }),
  specOf('run-2', { tasks: 60, estimatedRunUs: 5 * SECOND }),
  specOf('run-3', { tasks: 25, cores: 2, estimatedRunUs: 4 * SECOND, spreadAcrossZones: true }),
  specOf('run-4', { shape: 'gang', tasks: 16, cores: 2, estimatedRunUs: 5 * SECOND, sameZone: true }),
  ...Array.from({ length: 12 }, (_, i) =>
    specOf(`run-${10 + i}`, { tasks: 3 + i, estimatedRunUs: 3 * SECOND }),
  ),
];

const submitAll = (world: ClusterSimulation): void => {
  for (const job of JOBS) world.submit(job);
};

/** Plays until everything has ended, or for five minutes. */
const playToEnd = (world: ClusterSimulation, what: string, cancelled: readonly string[] = []): void => {
  for (let t = 0; t < 60; t++) {
    world.runFor(5 * SECOND);
    for (const { id } of JOBS) world.poll(id);
    if (JOBS.every(({ id }) => ['done', 'cancelled'].includes(world.stageOf(id) ?? ''))) break;
  }
  assert.deepEqual([...new Set(world.broken)], [], what);
  for (const { id } of JOBS) {
    const expected = cancelled.includes(id) ? ['done', 'cancelled'] : ['done'];
    assert.ok(expected.includes(world.stageOf(id) ?? ''), `${what}: ${id} is ${world.stageOf(id)}`);
  }
};

/** Told of each step of the node that leads, in order. */
const countSteps = (world: ClusterSimulation, leader: string, onStep: (count: number) => void): void => {
  let count = 0;
  world.meter = {
    stopwatch: () => 0,
    stepped: (node) => {
      if (node === leader) onStep(++count);
    },
  };
};

test('a leader that ends between any two steps of a bulk start', () => {
  let slices = 0;
  const steps = (): number => {
    const world = worldOf(1);
    world.onLog = (_node, event, fields) => {
      if (event === 'plan.completed') slices = Math.max(slices, Number(fields['slices']));
    };
    let last = 0;
    countSteps(world, world.nodes[world.leader()]!.name, (count) => {
      if (world.starts < 140) last = count;
    });
    submitAll(world);
    playToEnd(world, 'undisturbed');
    return last;
  };
  const all = steps();
  assert.ok(slices > 3, `a plan had ${slices} slices`);
  assert.ok(all > 60, `${all} steps`);
  for (let k = 0; k < 24; k++) {
    const at = 1 + Math.floor((k * all) / 24);
    const world = worldOf(1);
    const leader = world.leader();
    countSteps(world, world.nodes[leader]!.name, (count) => {
      // Before the effects of this step leave.
      if (count === at)
        world.later(0, () => {
          world.crash(leader, [50 * MILLI, 5 * SECOND][k % 2]!);
        });
    });
    submitAll(world);
    playToEnd(world, `ended at step ${at}`);
  }
});

const FAULTS: Readonly<Record<string, (world: ClusterSimulation, random: Random) => readonly string[]>> = {
  'writes are refused': (world) => {
    world.refuse(world.nodes[world.leader()]!.name, 8 * SECOND);
    return [];
  },
  'writes come late': (world) => {
    world.lateWrites = 0.6;
    world.later(10 * SECOND, () => {
      world.lateWrites = 0;
    });
    return [];
  },
  'machines are lost': (world, random) => {
    for (let k = 0; k < 6; k++)
      world.later(random.below(1_500) * MILLI, () => {
        const worker = world.anyWorker();
        if (worker !== undefined) world.killWorker(worker);
      });
    return [];
  },
  'jobs are cancelled': (world, random) => {
    const cancelled = ['run-1', 'run-2', 'run-12', 'run-15'];
    for (const id of cancelled)
      world.later(random.below(1_200) * MILLI, () => {
        world.cancel(id);
      });
    return cancelled;
  },
  'one start of the large gang fails': (world, random) => {
    world.later(300 * MILLI + random.below(400) * MILLI, () => {
      const holder = [...world.workers.values()].find((w) => w.tasks.some((t) => t.job === 'run-1'));
      world.killWorker(holder ?? world.anyWorker()!);
    });
    return [];
  },
  'orders are held up': (world) => {
    world.ordersLate = { share: 0.5, most: 6 * SECOND };
    world.later(8 * SECOND, () => {
      world.ordersLate = null;
    });
    return [];
  },
};

for (const [name, fault] of Object.entries(FAULTS))
  test(`a bulk start in which ${name}`, () => {
    for (let seed = 1; seed <= 6; seed++) {
      const world = worldOf(seed * 31);
      const cancelled = fault(world, new Random(seed));
      submitAll(world);
      playToEnd(world, `${name}, seed ${seed}`, cancelled);
    }
  });

test('a plan that fails in its middle does not keep later ones from being made', () => {
  const { operators, stopwatch } = sliced();
  let calls = 0;
  let failures = 0;
  const failing = (): number => {
    calls++;
    if (calls > 30 && failures < 3 && calls % 7 === 0) {
      failures++;
      throw new Error('made to fail');
    }
    return stopwatch!();
  };
  const world = worldOf(5, { operators: operators!, stopwatch: failing });
  submitAll(world);
  world.runFor(8 * SECOND);
  assert.equal(failures, 3);
  // What was made to fail is logged as an error, and nothing else is wrong.
  const others = world.broken.filter((what) => !what.includes('made to fail'));
  world.broken.length = 0;
  assert.deepEqual(others, []);
  playToEnd(world, 'after failures');
});

const MEETINGS = [
  ...Object.entries(BASIC_SCENARIOS).map(([name, meeting]) => ({ name, meeting, bounds: FIRST_BOUNDS })),
  ...Object.entries(EXTENDED_SCENARIOS).map(([name, meeting]) => ({ name, meeting, bounds: SECOND_BOUNDS })),
];

test('the meetings of troubles hold with plans in slices', () => {
  MEETINGS.forEach(({ name, meeting, bounds }, k) => {
    checkOutcome(play(200 + k, [meeting], 2, bounds, sliced()), `${name}, seed ${200 + k}`);
  });
});
