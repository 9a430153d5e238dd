/**
 * The basic fault scenarios on the simulated cluster, each on its own and then in pairs, since most rule violations so far
 * occurred where two faults coincided. Counters prove that the faults of a scenario really occurred.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Core } from '@shaleyoke/core/core';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import {
  BASIC_LIMITS,
  BASIC_SCENARIOS,
  runScenarios,
  type ScenarioOutcome,
} from '@shaleyoke/emulator/fault-scenarios';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { checkOutcome } from './scenario-assertions.js';
import { seedRange, teamQuota, violationsOf } from './scenario-fixtures.js';

const NAMES = Object.keys(BASIC_SCENARIOS);

/** More seeds: `SCENARIO_SEEDS=1-100 node --import tsx --test packages/core/test/fault-scenarios.test.ts`. */
const [firstSeed, lastSeed] = seedRange('SCENARIO_SEEDS');

/** Events counted over all runs of a scenario. */
interface Totals {
  lateCommands: number;
  lateWrites: number;
  /** Late writes that were rejected since their conditions no longer held. */
  staleWrites: number;
  elections: number;
  cuts: number;
  leaderEnds: number;
  unreachedWithTasks: number;
}

const addOutcome = (totals: Totals, { simulation, electionCount, counts }: ScenarioOutcome): void => {
  totals.lateCommands += simulation.lateCommands;
  totals.lateWrites += simulation.lateTransactions.all;
  totals.staleWrites += simulation.lateTransactions.all - simulation.lateTransactions.applied;
  totals.elections += electionCount;
  totals.cuts += counts.get('leader partitions') ?? 0;
  totals.leaderEnds += counts.get('leader crashes') ?? 0;
  totals.unreachedWithTasks += counts.get('unreachable machines with tasks') ?? 0;
};

/** Asserts that the faults of a scenario occurred often enough, for scenarios with counters. */
const assertTookPlace = (name: string, totals: Totals): void => {
  const { lateCommands, lateWrites, staleWrites, elections, cuts, leaderEnds, unreachedWithTasks } = totals;
  if (name === 'delayed commands') assert.ok(lateCommands > 10, `delayed commands: ${lateCommands}`);
  if (name === 'late transactions')
    assert.ok(
      lateWrites > 20 && staleWrites > 5,
      `late writes: ${lateWrites}, of which rejected: ${staleWrites}`,
    );
  if (name === 'a leader partitioned from the state service and its peers')
    assert.ok(cuts > 6 && elections > 6);
  if (name === 'the leader crashes') assert.ok(leaderEnds > 6 && elections > 6);
  if (name === 'the leader crashes while machines are unreachable')
    assert.ok(unreachedWithTasks > 6, `unreachable machines with tasks: ${unreachedWithTasks}`);
  if (name === 'all controllers crash and restart within seconds')
    assert.ok(elections > 6, `elections: ${elections}`);
};

for (const name of NAMES)
  test(`${name}: no rule is violated, all jobs end, all polls are answered`, () => {
    const totals: Totals = {
      lateCommands: 0,
      lateWrites: 0,
      staleWrites: 0,
      elections: 0,
      cuts: 0,
      leaderEnds: 0,
      unreachedWithTasks: 0,
    };
    for (let seed = firstSeed; seed <= lastSeed; seed++) {
      const outcome = runScenarios(seed, [BASIC_SCENARIOS[name]!], 4, BASIC_LIMITS);
      checkOutcome(outcome, `seed ${seed}`);
      addOutcome(totals, outcome);
    }
    assertTookPlace(name, totals);
  });

/** The index of the node that holds the leader lease; -1 while none does. */
const leaderIndex = (simulation: ClusterSimulation): number =>
  simulation.nodes.findIndex((node) => node.core?.canActAsLeader() === true);

const leaderCore = (simulation: ClusterSimulation): Core => simulation.nodes[leaderIndex(simulation)]!.core!;

test('a job whose tasks end under different leaders is done only when all are, and no task runs again', () => {
  for (const changes of [1, 2, 3])
    for (let seed = 1; seed <= 6; seed++) {
      const random = new Random(seed * 131 + changes);
      // A quota of one core: each task starts when the one before has ended.
      const simulation = new ClusterSimulation(random, 3, teamQuota(1), 1, 4);
      simulation.addMachines(2);
      simulation.duplication = seed % 2 === 0 ? 0.3 : 0;
      simulation.runFor(3 * SECOND);
      const runTime = (6 + random.below(8)) * SECOND;
      const specs = [
        makeJobSpec('run-1', { tasks: 3, estimatedRunUs: runTime }),
        makeJobSpec('run-2', { tasks: 2, estimatedRunUs: runTime }),
      ];
      for (const spec of specs) simulation.submit(spec);
      for (let change = 0; change < changes; change++) {
        simulation.runFor(runTime + random.below(4_000) * MILLISECOND);
        const leader = leaderIndex(simulation);
        if (leader >= 0)
          simulation.crash(leader, [60 * MILLISECOND, 800 * MILLISECOND, 20 * SECOND][random.below(3)]!);
      }
      const description = `${changes} changes, seed ${seed}`;
      // The simulation checks each answer and records `not_done` for a job that is reported as done too early.
      for (let elapsedS = 0; elapsedS < 220; elapsedS += 2) {
        for (const spec of specs) simulation.poll(spec.id);
        simulation.runFor(2 * SECOND);
      }
      assert.deepEqual(violationsOf(simulation), [], description);
      for (const spec of specs)
        assert.equal(simulation.stageOf(spec.id), 'done', `${description}: ${spec.id}`);
      assert.equal(simulation.starts, 5, `${description}: started tasks`);
    }
});

/** Submits sixteen long tasks and waits until they run on machines provisioned for them. */
const submitLongTasks = (simulation: ClusterSimulation, seed: number): void => {
  simulation.runFor(2 * SECOND);
  for (let i = 0; i < 4; i++)
    simulation.submit(makeJobSpec(`run-${seed}${i}`, { tasks: 4, estimatedRunUs: 300 * SECOND }));
  simulation.runFor(30 * SECOND);
};

test('late copies of heartbeats do not make a hanging machine seem healthy', () => {
  for (let seed = 1; seed <= 4; seed++) {
    const simulation = new ClusterSimulation(new Random(seed * 77), 3, teamQuota(16), 16, 4);
    const detectedAt = new Map<string, Micros>();
    simulation.onLog = (_node, event, fields) => {
      if (event === 'machine.retired' && fields['reason'] === 'silent')
        detectedAt.set(String(fields['machine']), simulation.now);
    };
    submitLongTasks(simulation, seed);
    const hanging = [...simulation.workers.values()].find(
      (worker) => worker.alive && worker.tasks.length > 0,
    )!;
    // Copies of its earlier heartbeats arrive one after the other, for longer than its lease.
    const sentHeartbeats = Array.from({ length: 12 }, () => simulation.machines.heartbeatOf(hanging));
    for (const heartbeat of sentHeartbeats) leaderCore(simulation).scheduler!.respondToHeartbeat(heartbeat);
    hanging.unreachableUntil = simulation.now + 1_000 * SECOND;
    const cutAt = simulation.now;
    for (const heartbeat of sentHeartbeats) {
      simulation.runFor(4 * SECOND);
      leaderCore(simulation).scheduler!.respondToHeartbeat(heartbeat);
    }
    const detected = detectedAt.get(hanging.name);
    assert.ok(detected !== undefined, `seed ${seed}: ${hanging.name} was never detected`);
    assert.ok(
      detected - cutAt < 14 * SECOND,
      `seed ${seed}: detected after ${(detected - cutAt) / SECOND} s`,
    );
    assert.deepEqual(violationsOf(simulation), []);
  }
});

test('a late heartbeat of a machine whose loss an earlier leader saw restores nothing', () => {
  let staleTasks = 0;
  for (let seed = 1; seed <= 4; seed++) {
    const simulation = new ClusterSimulation(new Random(seed * 91), 3, teamQuota(16), 16, 4);
    submitLongTasks(simulation, seed);
    const lostWorker = [...simulation.workers.values()].find(
      (worker) => worker.alive && worker.tasks.some((task) => task.state === 'running'),
    )!;
    const oldHeartbeat = simulation.machines.heartbeatOf(lostWorker);
    const taskCount = lostWorker.tasks.length;
    simulation.killWorker(lostWorker);
    simulation.runFor(40 * SECOND);
    // Its tasks run elsewhere by now. The next leader has no heartbeat from it and takes a while to read the records.
    simulation.listReplyDelay = 800 * MILLISECOND;
    simulation.crash(leaderIndex(simulation), SECOND);
    const newScheduler = (): Core['scheduler'] =>
      simulation.nodes.map((node) => node.core?.scheduler ?? null).find((found) => found !== null) ?? null;
    for (let i = 0; i < 40 && newScheduler() === null; i++) simulation.runFor(250 * MILLISECOND);
    const scheduler = newScheduler()!;
    const { machines } = scheduler.term.cluster;
    assert.equal(scheduler.term.isRestored, false);
    scheduler.respondToHeartbeat(oldHeartbeat);
    assert.ok(machines.has(lostWorker.name), 'treated as a machine that may still exist');
    simulation.runFor(6 * SECOND);
    assert.equal(scheduler.term.isRestored, true);
    assert.ok(!machines.has(lostWorker.name), 'removed once the records are read');
    assert.equal(scheduler.respondToHeartbeat(oldHeartbeat).kind, 'unavailable', `seed ${seed}`);
    staleTasks += taskCount;
    simulation.runFor(30 * SECOND);
    assert.deepEqual(violationsOf(simulation), []);
    // No machine of this name is alive.
    const revived = [...simulation.workers.values()].filter(
      (worker) => worker.alive && worker.name === lostWorker.name,
    );
    assert.equal(revived.length, 0);
  }
  assert.ok(staleTasks > 4);
});

test('pairs of fault scenarios: no rule is violated, all jobs end, all polls are answered', () => {
  const lastPairSeed = lastSeed * 4;
  let elections = 0;
  for (let seed = firstSeed; seed <= lastPairSeed; seed++) {
    const random = new Random(seed * 811);
    const first = NAMES[random.below(NAMES.length)]!;
    const second = NAMES[random.below(NAMES.length)]!;
    const scenarios = [BASIC_SCENARIOS[first]!, BASIC_SCENARIOS[second]!];
    const outcome = runScenarios(1_000 + seed, scenarios, 3, BASIC_LIMITS);
    checkOutcome(outcome, `seed ${seed}: ${first}; ${second}`);
    elections += outcome.electionCount;
  }
  assert.ok(elections > 2 * lastPairSeed, `elections: ${elections}`);
});
