/**
 * Fault scenarios: most rules that were ever broken broke where two faults met. Each scenario by itself, and then pairs of
 * them, on the simulated cluster; that it took place is counted, not assumed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Core } from '@shaleyoke/core/core';
import { type Micros, MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { BASIC_SCENARIOS, FIRST_BOUNDS, type Outcome, play } from '@shaleyoke/emulator/fault-scenarios';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';

import { checkOutcome } from './scenario-assertions.js';
import { seedRange, teamQuota, violationsOf } from './scenario-fixtures.js';

const NAMES = Object.keys(BASIC_SCENARIOS);

/** More by hand: `SCENARIO_SEEDS=1-100 node --import tsx --test packages/core/test/fault-scenarios.test.ts`. */
const [firstSeed, lastSeed] = seedRange('SCENARIO_SEEDS');

/** What took place in all runs of a scenario. */
interface Totals {
  lateCommands: number;
  lateWrites: number;
  /** Late writes that came too late to be applied. */
  staleWrites: number;
  elections: number;
  cuts: number;
  leaderEnds: number;
  unreachedWithTasks: number;
}

const addOutcome = (totals: Totals, { w: simulation, won, counts }: Outcome): void => {
  totals.lateCommands += simulation.lateOrders;
  totals.lateWrites += simulation.lateWritten.all;
  totals.staleWrites += simulation.lateWritten.all - simulation.lateWritten.applied;
  totals.elections += won;
  totals.cuts += counts.get('cuts') ?? 0;
  totals.leaderEnds += counts.get('ends') ?? 0;
  totals.unreachedWithTasks += counts.get('unreached with tasks') ?? 0;
};

const assertTookPlace = (name: string, totals: Totals): void => {
  const { lateCommands, lateWrites, staleWrites, elections, cuts, leaderEnds, unreachedWithTasks } = totals;
  if (name === 'commands held up') assert.ok(lateCommands > 10, `held up: ${lateCommands}`);
  if (name === 'late transactions')
    assert.ok(lateWrites > 20 && staleWrites > 5, `late: ${lateWrites}, of which too late: ${staleWrites}`);
  if (name === 'a leader cut from state and peers') assert.ok(cuts > 6 && elections > 6);
  if (name === 'the leader ends') assert.ok(leaderEnds > 6 && elections > 6);
  if (name === 'the leader ends while machines can not be reached')
    assert.ok(unreachedWithTasks > 6, `unreached with tasks: ${unreachedWithTasks}`);
  if (name === 'handed back and forth') assert.ok(elections > 6, `elections: ${elections}`);
};

for (const name of NAMES)
  test(`${name}: no rule breaks, all work ends, nothing is forgotten`, () => {
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
      const outcome = play(seed, [BASIC_SCENARIOS[name]!], 4, FIRST_BOUNDS);
      checkOutcome(outcome, `seed ${seed}`);
      addOutcome(totals, outcome);
    }
    assertTookPlace(name, totals);
  });

/** The node that holds the leader lease; -1 while none does. */
const leaderIndex = (simulation: ClusterSimulation): number =>
  simulation.nodes.findIndex((node) => node.core?.leads() === true);

const leaderCore = (simulation: ClusterSimulation): Core => simulation.nodes[leaderIndex(simulation)]!.core!;

test('tasks that end far apart across changes of leader: done when all are, and none runs anew', () => {
  for (const changes of [1, 2, 3])
    for (let seed = 1; seed <= 6; seed++) {
      const random = new Random(seed * 131 + changes);
      // One core at a time: each task begins when the one before has ended.
      const simulation = new ClusterSimulation(random, 3, teamQuota(1), 1, 4);
      simulation.stand(2);
      simulation.repeats = seed % 2 === 0 ? 0.3 : 0;
      simulation.runFor(3 * SECOND);
      const runTime = (6 + random.below(8)) * SECOND;
      const specs = [
        specOf('run-1', { tasks: 3, estimatedRunUs: runTime }),
        specOf('run-2', { tasks: 2, estimatedRunUs: runTime }),
      ];
      for (const spec of specs) simulation.submit(spec);
      for (let change = 0; change < changes; change++) {
        simulation.runFor(runTime + random.below(4_000) * MILLI);
        const leader = leaderIndex(simulation);
        if (leader >= 0) simulation.crash(leader, [60 * MILLI, 800 * MILLI, 20 * SECOND][random.below(3)]!);
      }
      const description = `${changes} changes, seed ${seed}`;
      // Whatever is answered meanwhile: the simulation checks each answer for `not_done`.
      for (let elapsedS = 0; elapsedS < 220; elapsedS += 2) {
        for (const spec of specs) simulation.poll(spec.id);
        simulation.runFor(2 * SECOND);
      }
      assert.deepEqual(violationsOf(simulation), [], description);
      for (const spec of specs)
        assert.equal(simulation.stageOf(spec.id), 'done', `${description}: ${spec.id}`);
      assert.equal(simulation.starts, 5, `${description}: tasks that were begun`);
    }
});

/** Sixteen long tasks run on machines that were provisioned for them. */
const submitLongTasks = (simulation: ClusterSimulation, seed: number): void => {
  simulation.runFor(2 * SECOND);
  for (let i = 0; i < 4; i++)
    simulation.submit(specOf(`run-${seed}${i}`, { tasks: 4, estimatedRunUs: 300 * SECOND }));
  simulation.runFor(30 * SECOND);
};

test('late copies of heartbeats do not make a machine that hangs seem healthy', () => {
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
    // What it has sent so far comes again, one after the other, for longer than its lease.
    const sent = Array.from({ length: 12 }, () => simulation.machines.reportOf(hanging));
    for (const heartbeat of sent) leaderCore(simulation).scheduler!.respondToHeartbeat(heartbeat);
    hanging.cutUntil = simulation.now + 1_000 * SECOND;
    const cutAt = simulation.now;
    for (const heartbeat of sent) {
      simulation.runFor(4 * SECOND);
      leaderCore(simulation).scheduler!.respondToHeartbeat(heartbeat);
    }
    const detected = detectedAt.get(hanging.name);
    assert.ok(detected !== undefined, `seed ${seed}: ${hanging.name} is never missed`);
    assert.ok(detected - cutAt < 14 * SECOND, `seed ${seed}: missed after ${(detected - cutAt) / SECOND} s`);
    assert.deepEqual(violationsOf(simulation), []);
  }
});

test('a late heartbeat of a machine that an earlier leader saw end brings nothing back', () => {
  let staleTasks = 0;
  for (let seed = 1; seed <= 4; seed++) {
    const simulation = new ClusterSimulation(new Random(seed * 91), 3, teamQuota(16), 16, 4);
    submitLongTasks(simulation, seed);
    const lost = [...simulation.workers.values()].find(
      (worker) => worker.alive && worker.tasks.some((task) => task.state === 'running'),
    )!;
    const old = simulation.machines.reportOf(lost);
    const taskCount = lost.tasks.length;
    simulation.killWorker(lost);
    simulation.runFor(40 * SECOND);
    // Its tasks run elsewhere by now. The next leader has no heartbeat of it, and reads its records for a while.
    simulation.listDelay = 800 * MILLI;
    simulation.crash(leaderIndex(simulation), SECOND);
    const newScheduler = (): Core['scheduler'] =>
      simulation.nodes.map((node) => node.core?.scheduler ?? null).find((found) => found !== null) ?? null;
    for (let i = 0; i < 40 && newScheduler() === null; i++) simulation.runFor(250 * MILLI);
    const scheduler = newScheduler()!;
    const { machines } = scheduler.term.cluster;
    assert.equal(scheduler.term.isRestored, false);
    scheduler.respondToHeartbeat(old);
    assert.ok(machines.has(lost.name), 'taken for one that may be there');
    simulation.runFor(6 * SECOND);
    assert.equal(scheduler.term.isRestored, true);
    assert.ok(!machines.has(lost.name), 'removed once the records were read');
    assert.equal(scheduler.respondToHeartbeat(old).kind, 'unavailable', `seed ${seed}`);
    staleTasks += taskCount;
    simulation.runFor(30 * SECOND);
    assert.deepEqual(violationsOf(simulation), []);
    // Nothing waits for it.
    const revived = [...simulation.workers.values()].filter(
      (worker) => worker.alive && worker.name === lost.name,
    );
    assert.equal(revived.length, 0);
  }
  assert.ok(staleTasks > 4);
});

test('pairs of fault scenarios: no rule breaks, all work ends, nothing is forgotten', () => {
  const lastPairSeed = lastSeed * 4;
  let elections = 0;
  for (let seed = firstSeed; seed <= lastPairSeed; seed++) {
    const random = new Random(seed * 811);
    const first = NAMES[random.below(NAMES.length)]!;
    const second = NAMES[random.below(NAMES.length)]!;
    const scenarios = [BASIC_SCENARIOS[first]!, BASIC_SCENARIOS[second]!];
    const outcome = play(1_000 + seed, scenarios, 3, FIRST_BOUNDS);
    checkOutcome(outcome, `seed ${seed}: ${first}; ${second}`);
    elections += outcome.won;
  }
  assert.ok(elections > 2 * lastPairSeed, `elections: ${elections}`);
});
