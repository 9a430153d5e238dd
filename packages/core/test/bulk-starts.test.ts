/**
 * Many task starts at once, under plans that are computed in slices of one decision each and that place nearly all tasks by
 * backfill. Faults are injected in the middle: no rule may be violated, and every job that is not cancelled has to end.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '@shaleyoke/core/domain/job';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation, type CoreOptions } from '@shaleyoke/emulator/cluster-simulation';
import {
  BASIC_LIMITS,
  BASIC_SCENARIOS,
  EXTENDED_LIMITS,
  EXTENDED_SCENARIOS,
  runScenarios,
} from '@shaleyoke/emulator/fault-scenarios';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { checkOutcome } from './scenario-assertions.js';
import { teamQuota, violationsOf } from './scenario-fixtures.js';

/** Options whose clock advances by more than a slice per reading, so that each decision ends a slice of the plan. */
const slicedPlans = (): CoreOptions => {
  let time = 0;
  return {
    operators: 'search_groups: 1\nsearch_budget_ms: 100000\n',
    stopwatch: () => (time += 15 * MILLISECOND),
  };
};

const MACHINES = 40;
/** Team quota in cores: less than the machines have, so that it is reached in the middle of a plan. */
const QUOTA = 140;
/** Number of steps at which the leader is crashed in turn, spread over the whole bulk start. */
const CRASH_POINTS = 24;

const createSimulation = (seed: number, coreOptions: CoreOptions = slicedPlans()): ClusterSimulation => {
  const simulation = new ClusterSimulation(
    new Random(seed),
    3,
    teamQuota(QUOTA),
    QUOTA,
    MACHINES / 2,
    '',
    () => [],
    0,
    null,
    coreOptions,
  );
  simulation.addMachines(MACHINES);
  simulation.runFor(4 * SECOND);
  return simulation;
};

const JOBS: readonly JobSpec[] = [
  makeJobSpec('run-1', { shape: 'gang', tasks: 128, estimatedRunUs: 6 * SECOND }),
  makeJobSpec('run-2', { tasks: 60, estimatedRunUs: 5 * SECOND }),
  makeJobSpec('run-3', { tasks: 25, cores: 2, estimatedRunUs: 4 * SECOND, spreadAcrossZones: true }),
  makeJobSpec('run-4', { shape: 'gang', tasks: 16, cores: 2, estimatedRunUs: 5 * SECOND, sameZone: true }),
  ...Array.from({ length: 12 }, (_, i) =>
    makeJobSpec(`run-${10 + i}`, { tasks: 3 + i, estimatedRunUs: 3 * SECOND }),
  ),
];

const submitAll = (simulation: ClusterSimulation): void => {
  for (const job of JOBS) simulation.submit(job);
};

/** Runs until all jobs have ended, or for five minutes; asserts that they ended as expected and no rule was violated. */
const runToEnd = (
  simulation: ClusterSimulation,
  description: string,
  cancelled: readonly string[] = [],
): void => {
  for (let round = 0; round < 60; round++) {
    simulation.runFor(5 * SECOND);
    for (const { id } of JOBS) simulation.poll(id);
    if (JOBS.every(({ id }) => ['done', 'cancelled'].includes(simulation.stageOf(id) ?? ''))) break;
  }
  assert.deepEqual(violationsOf(simulation), [], description);
  for (const { id } of JOBS) {
    const expected = cancelled.includes(id) ? ['done', 'cancelled'] : ['done'];
    const stage = simulation.stageOf(id);
    assert.ok(expected.includes(stage ?? ''), `${description}: ${id} is ${stage}`);
  }
};

/** Calls `onStep` after each step of the leader, with the number of its steps so far. */
const countSteps = (simulation: ClusterSimulation, leader: string, onStep: (count: number) => void): void => {
  let count = 0;
  simulation.meter = {
    stopwatch: () => 0,
    recordStep: (node) => {
      if (node === leader) onStep(++count);
    },
  };
};

/** Measures a bulk start without faults: the leader's steps until `QUOTA` tasks started, and the most slices of a plan. */
const measureUndisturbed = (): { steps: number; slices: number } => {
  const simulation = createSimulation(1);
  let steps = 0;
  let slices = 0;
  simulation.onLog = (_node, event, fields) => {
    if (event === 'plan.completed') slices = Math.max(slices, Number(fields['slices']));
  };
  countSteps(simulation, simulation.nodes[simulation.leaderIndex()]!.name, (count) => {
    if (simulation.starts < 140) steps = count;
  });
  submitAll(simulation);
  runToEnd(simulation, 'undisturbed');
  return { steps, slices };
};

test('a bulk start completes when the leader crashes between any two of its steps', () => {
  const { steps, slices } = measureUndisturbed();
  assert.ok(slices > 3, `a plan had ${slices} slices`);
  assert.ok(steps > 60, `${steps} steps`);
  for (let point = 0; point < CRASH_POINTS; point++) {
    const lastStep = 1 + Math.floor((point * steps) / CRASH_POINTS);
    const simulation = createSimulation(1);
    const leader = simulation.leaderIndex();
    countSteps(simulation, simulation.nodes[leader]!.name, (count) => {
      // Crashes before the effects of this step are carried out.
      if (count === lastStep)
        simulation.runAfter(0, () => {
          simulation.crash(leader, [50 * MILLISECOND, 5 * SECOND][point % 2]!);
        });
    });
    submitAll(simulation);
    runToEnd(simulation, `crashed at step ${lastStep}`);
  }
});

/** Injects a fault; returns the ids of the jobs that it cancels. */
type Fault = (simulation: ClusterSimulation, random: Random) => readonly string[];

const FAULTS: Readonly<Record<string, Fault>> = {
  'writes are refused': (simulation) => {
    simulation.refuseRequestsOf(simulation.nodes[simulation.leaderIndex()]!.name, 8 * SECOND);
    return [];
  },
  'writes are delayed': (simulation) => {
    simulation.lateTransactionChance = 0.6;
    simulation.runAfter(10 * SECOND, () => {
      simulation.lateTransactionChance = 0;
    });
    return [];
  },
  'machines are lost': (simulation, random) => {
    for (let lost = 0; lost < 6; lost++)
      simulation.runAfter(random.below(1_500) * MILLISECOND, () => {
        const worker = simulation.anyWorker();
        if (worker !== undefined) simulation.killWorker(worker);
      });
    return [];
  },
  'jobs are cancelled': (simulation, random) => {
    const cancelled = ['run-1', 'run-2', 'run-12', 'run-15'];
    for (const id of cancelled)
      simulation.runAfter(random.below(1_200) * MILLISECOND, () => {
        simulation.cancel(id);
      });
    return cancelled;
  },
  'one start of the large gang fails': (simulation, random) => {
    simulation.runAfter(300 * MILLISECOND + random.below(400) * MILLISECOND, () => {
      const holder = [...simulation.workers.values()].find((worker) =>
        worker.tasks.some((task) => task.job === 'run-1'),
      );
      simulation.killWorker(holder ?? simulation.anyWorker()!);
    });
    return [];
  },
  'commands are delayed': (simulation) => {
    simulation.commandDelay = { share: 0.5, most: 6 * SECOND };
    simulation.runAfter(8 * SECOND, () => {
      simulation.commandDelay = null;
    });
    return [];
  },
};

for (const [name, injectFault] of Object.entries(FAULTS))
  test(`a bulk start completes while ${name}`, () => {
    for (let seed = 1; seed <= 6; seed++) {
      const simulation = createSimulation(seed * 31);
      const cancelled = injectFault(simulation, new Random(seed));
      submitAll(simulation);
      runToEnd(simulation, `${name}, seed ${seed}`, cancelled);
    }
  });

test('a plan that fails with an exception does not prevent later plans', () => {
  const { operators, stopwatch } = slicedPlans();
  let calls = 0;
  let failures = 0;
  const failingStopwatch = (): number => {
    calls++;
    if (calls > 30 && failures < 3 && calls % 7 === 0) {
      failures++;
      throw new Error('made to fail');
    }
    return stopwatch!();
  };
  const simulation = createSimulation(5, { operators: operators!, stopwatch: failingStopwatch });
  submitAll(simulation);
  simulation.runFor(8 * SECOND);
  assert.equal(failures, 3);
  // The injected failures are logged as errors; nothing else may be recorded.
  const otherViolations = simulation.violations.filter((violation) => !violation.includes('made to fail'));
  simulation.violations.length = 0;
  assert.deepEqual(otherViolations, []);
  runToEnd(simulation, 'after failures');
});

const SCENARIOS = [
  ...Object.entries(BASIC_SCENARIOS).map(([name, scenario]) => ({ name, scenario, bounds: BASIC_LIMITS })),
  ...Object.entries(EXTENDED_SCENARIOS).map(([name, scenario]) => ({
    name,
    scenario,
    bounds: EXTENDED_LIMITS,
  })),
];

test('the fault scenarios pass with plans computed in slices', () => {
  SCENARIOS.forEach(({ name, scenario, bounds }, index) => {
    const seed = 200 + index;
    checkOutcome(runScenarios(seed, [scenario], 2, bounds, slicedPlans()), `${name}, seed ${seed}`);
  });
});
