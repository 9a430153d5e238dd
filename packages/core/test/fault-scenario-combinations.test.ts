/**
 * The extended fault scenarios on the simulated cluster, each on its own, then pairs and triples of basic and extended
 * scenarios. Rules are checked against the simulation's actual state. Counters prove that the faults of a scenario really
 * occurred.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import {
  BASIC_SCENARIOS,
  EXTENDED_LIMITS,
  EXTENDED_SCENARIOS,
  runScenarios,
  type ScenarioOutcome,
} from '@shaleyoke/emulator/fault-scenarios';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { checkOutcome } from './scenario-assertions.js';
import { seedRange, teamQuota, unfinishedJobs, violationsOf } from './scenario-fixtures.js';

const EXTENDED_NAMES = Object.keys(EXTENDED_SCENARIOS);
const ALL_SCENARIOS = { ...BASIC_SCENARIOS, ...EXTENDED_SCENARIOS };
const ALL_NAMES = Object.keys(ALL_SCENARIOS);

/** More seeds: `COMBINATION_SEEDS=1-100 node --import tsx --test packages/core/test/fault-scenario-combinations.test.ts`. */
const [firstSeed, lastSeed] = seedRange('COMBINATION_SEEDS');

/** By scenario: events with the least number of times that they must occur within three seeds. */
const MINIMUM_COUNTS: Readonly<Record<string, readonly [string, number][]>> = {
  'a poll, a repeated submission or a cancellation while the last task ends': [['last tasks ended', 15]],
  'delayed heartbeats reach the next leader': [
    ['failed tasks', 3],
    ['leader crashes', 5],
    ['delayed heartbeats', 60],
  ],
  'quotas are exhausted, jobs of faulty machines are cancelled, the leader changes': [
    ['faulty workers', 8],
    ['cancelled jobs', 10],
    ['leader crashes', 5],
  ],
  'cancellations during a leader change': [['cancelled jobs', 12]],
  'machines boot fast while writes are slow, and the leader crashes': [
    ['new machines', 5],
    ['crashes at a write', 4],
  ],
  'machines that send nothing or receive nothing': [['machines that send nothing', 10]],
  'machines are terminated with notice, and jobs cancelled while they write checkpoints': [
    ['termination notices', 5],
    ['cancelled while writing a checkpoint', 2],
    ['checkpoints: begun', 4],
    ['checkpoints: cut', 1],
    ['checkpoints: ended', 1],
  ],
  'four one-task jobs per second, a quarter of them cancelled': [['one-task jobs', 300]],
  'ten leader changes in two minutes': [['changes', 20]],
  'all controllers are down for longer than a lease': [['outages of all controllers', 6]],
  'a zone with workers and a controller is partitioned for longer than a lease': [['zones', 6]],
  'jobs with zone constraints lose machines': [['lost', 3]],
  'more work than capacity, of mixed priorities, with a slow state service': [['submission bursts', 6]],
  'bursts of queries': [
    ['burst queries: accepted', 100],
    ['burst queries: done', 50],
    ['burst queries: cancelled', 50],
  ],
  'lost replies of the state service': [
    ['unanswered: j/', 5],
    ['unanswered: delete', 5],
    ['unanswered: lead', 1],
    ['unanswered: q/', 5],
  ],
};

const addCounts = (totals: Map<string, number>, { simulation, counts }: ScenarioOutcome): void => {
  const add = (label: string, count: number): void => {
    totals.set(label, (totals.get(label) ?? 0) + count);
  };
  for (const [label, count] of counts) add(label, count);
  for (const [stage, count] of simulation.users.burstQueries) add(`burst queries: ${stage}`, count);
  for (const [key, count] of simulation.writesWithoutReply) add(`unanswered: ${key}`, count);
  add('delayed heartbeats', simulation.delayedHeartbeatsDelivered);
  for (const [label, count] of Object.entries(simulation.machines.checkpoints))
    add(`checkpoints: ${label}`, count);
};

for (const name of EXTENDED_NAMES)
  test(`${name}: no rule is violated, all jobs end, all polls are answered`, () => {
    const totals = new Map<string, number>();
    for (let seed = firstSeed; seed <= lastSeed; seed++) {
      const outcome = runScenarios(seed, [EXTENDED_SCENARIOS[name]!], 3, EXTENDED_LIMITS);
      checkOutcome(outcome, `seed ${seed}`);
      addCounts(totals, outcome);
    }
    for (const [label, minimum] of MINIMUM_COUNTS[name] ?? []) {
      const count = totals.get(label) ?? 0;
      assert.ok(count >= minimum, `${label}: ${count} of ${minimum}`);
    }
  });

test('a leader without answers from the store starts no tasks, since another node may have confirmed a cancellation', () => {
  let cancelled = 0;
  let startedBefore = 0;
  for (let seed = 1; seed <= 6; seed++) {
    const simulation = new ClusterSimulation(new Random(seed * 113), 3, teamQuota(16), 16, 4);
    simulation.addMachines(4);
    simulation.runFor(3 * SECOND);
    // Short tasks: starts happen all the time, on machines that are already recorded for the job.
    for (let i = 0; i < 4; i++)
      simulation.submit(makeJobSpec(`run-${seed}${i}`, { tasks: 400, estimatedRunUs: 900 * MILLISECOND }));
    simulation.runFor(20 * SECOND);
    const { starts } = simulation;
    simulation.runFor(5 * SECOND);
    startedBefore += simulation.starts - starts;
    simulation.refuseRequestsOf(simulation.nodes[simulation.leaderIndex()]!.name, 20 * SECOND);
    // The leader learns of the refusal with its next lease renewal.
    simulation.runFor(2 * SECOND);
    for (let i = 0; i < 4; i++) {
      simulation.cancel(`run-${seed}${i}`);
      simulation.runFor(700 * MILLISECOND);
    }
    cancelled += simulation.users.cancelledAt.size;
    simulation.runFor(60 * SECOND);
    assert.deepEqual(simulation.machines.startsAfterCancellation, [], `seed ${seed}`);
    assert.deepEqual(violationsOf(simulation), [], `seed ${seed}`);
  }
  assert.ok(
    cancelled > 12 && startedBefore > 50,
    `cancelled: ${cancelled}; started in 5 s: ${startedBefore}`,
  );
});

test('the leader lease counts from when its renewal was sent, however late that is answered', () => {
  let elections = 0;
  for (let seed = 1; seed <= 12; seed++) {
    const random = new Random(seed * 2_027);
    const simulation = new ClusterSimulation(random, 3, undefined, undefined, 4);
    simulation.onLog = (_node, event) => {
      if (event === 'leader.elected') elections++;
    };
    simulation.runFor(3 * SECOND);
    for (let round = 0; round < 5; round++) {
      simulation.storeReplyDelay = 1_190 * MILLISECOND;
      simulation.runFor((4_000 + random.below(3_000)) * MILLISECOND);
      const leader = simulation.leaderIndex();
      if (leader < 0) continue;
      // Its last renewal was executed and answered late; from now on it receives no answers.
      simulation.network.partition(simulation.nodes[leader]!.name, 'state', 15 * SECOND);
      simulation.storeReplyDelay = 0;
      simulation.runFor(20 * SECOND);
    }
    assert.deepEqual(violationsOf(simulation), [], `seed ${seed}`);
  }
  assert.ok(elections > 40, `elections: ${elections}`);
});

/** Numbers of jobs that ended or were cancelled, and how many of them were reported so too late. */
interface ReportCounts {
  done: number;
  doneReportedLate: number;
  cancelled: number;
  cancelledReportedLate: number;
}

/** Polls each job 3 s after its end, unless it was cancelled; it must be reported as done within another second. */
const checkCompletionReports = (simulation: ClusterSimulation, reports: ReportCounts): void => {
  simulation.work.onDone = (id) => {
    simulation.runAfter(3 * SECOND, () => {
      if (simulation.users.cancelRequested.has(id)) return;
      reports.done++;
      simulation.poll(id);
      simulation.runAfter(SECOND, () => {
        if (simulation.stageOf(id) !== 'done') reports.doneReportedLate++;
      });
    });
  };
};

/** Cancels the job after 1 to 5 s; 3 s later it must be reported as cancelled or done. */
const cancelAndCheckReport = (
  simulation: ClusterSimulation,
  random: Random,
  id: string,
  reports: ReportCounts,
): void => {
  simulation.runAfter(SECOND + random.below(4_000) * MILLISECOND, () => {
    simulation.cancel(id);
    reports.cancelled++;
    simulation.runAfter(3 * SECOND, () => {
      if (!['cancelled', 'done'].includes(simulation.stageOf(id) ?? '')) reports.cancelledReportedLate++;
    });
  });
};

/** Submits four small jobs a second for two minutes, along with repeated and invalid requests; returns their ids. */
const submitFlood = (
  simulation: ClusterSimulation,
  random: Random,
  seed: number,
  reports: ReportCounts,
): readonly string[] => {
  const ids: string[] = [];
  for (let round = 0; round < 480; round++) {
    const spec = makeJobSpec(`run-${seed}${String(round).padStart(4, '0')}`, {
      tasks: 1,
      estimatedRunUs: (1 + random.below(5)) * SECOND,
    });
    ids.push(spec.id);
    simulation.submit(spec);
    if (random.chance(0.25)) cancelAndCheckReport(simulation, random, spec.id, reports);
    // Repeated submissions, cancellations of jobs that are done, and submissions that name an unknown team.
    const earlierId = ids[random.below(ids.length)]!;
    const earlierSpec = simulation.work.specs.get(earlierId)!;
    if (random.chance(0.5)) simulation.submit(earlierSpec);
    if (simulation.stageOf(earlierId) === 'done') simulation.cancel(earlierId);
    if (random.chance(0.3))
      simulation.users.submit({ ...spec, id: `run-9${seed}${round}`, team: 'nobody' }, 1_000);
    simulation.runFor(250 * MILLISECOND);
  }
  return ids;
};

test('during a flood of small jobs and repeated or invalid requests, ends and cancellations are reported in time', () => {
  const reports: ReportCounts = { done: 0, doneReportedLate: 0, cancelled: 0, cancelledReportedLate: 0 };
  for (let seed = 1; seed <= 2; seed++) {
    const random = new Random(seed * 521);
    const simulation = new ClusterSimulation(random, 3, teamQuota(40), 40, 6);
    simulation.addMachines(10);
    simulation.runFor(3 * SECOND);
    // The limit of the smallest site: 25 writes a second for all nodes. A job takes three, besides the leader's pages.
    simulation.state.writesPerSecond = 25;
    checkCompletionReports(simulation, reports);
    const ids = submitFlood(simulation, random, seed, reports);
    simulation.state.writesPerSecond = Infinity;
    simulation.runFor(60 * SECOND);
    for (const id of ids) simulation.poll(id);
    simulation.runFor(3 * SECOND);
    assert.deepEqual(violationsOf(simulation), [], `seed ${seed}`);
    assert.deepEqual(unfinishedJobs(simulation, ids), [], `seed ${seed}: jobs that did not end`);
  }
  const { done, doneReportedLate, cancelled, cancelledReportedLate } = reports;
  assert.ok(done > 500 && cancelled > 150);
  assert.ok(doneReportedLate <= done * 0.02, `reported late: ${doneReportedLate} of ${done}`);
  assert.ok(
    cancelledReportedLate <= cancelled * 0.02,
    `cancellations reported late: ${cancelledReportedLate} of ${cancelled}`,
  );
});

test('pairs and triples of all scenarios: no rule is violated, all jobs end, all polls are answered', () => {
  const lastCombinationSeed = lastSeed * 3;
  let elections = 0;
  for (let seed = firstSeed; seed <= lastCombinationSeed; seed++) {
    const random = new Random(seed * 811 + 7);
    const names = Array.from({ length: 2 + (seed % 2) }, () => ALL_NAMES[random.below(ALL_NAMES.length)]!);
    const scenarios = names.map((name) => ALL_SCENARIOS[name]!);
    const outcome = runScenarios(2_000 + seed, scenarios, 2, EXTENDED_LIMITS);
    checkOutcome(outcome, `seed ${seed}: ${names.join('; ')}`);
    elections += outcome.electionCount;
  }
  assert.ok(elections > lastCombinationSeed, `elections: ${elections}`);
});
