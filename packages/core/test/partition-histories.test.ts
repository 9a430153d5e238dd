/** Generated histories of partial network partitions, crashes and outages: no rule is violated, and all jobs end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { seedRange, unfinishedJobs, violationsOf } from './scenario-fixtures.js';

/** A job of a random shape. */
const randomJob = (random: Random, id: string): JobSpec => {
  const pick = random.below(4);
  if (pick === 0)
    return makeJobSpec(id, {
      shape: 'gang',
      tasks: 1 + random.below(4),
      sameZone: true,
      estimatedRunUs: 15 * SECOND,
    });
  if (pick === 1) return makeJobSpec(id, { tasks: 4, spreadAcrossZones: true, estimatedRunUs: 20 * SECOND });
  return makeJobSpec(id, { tasks: 1 + random.below(6), estimatedRunUs: (5 + random.below(40)) * SECOND });
};

/** Cuts random links of one node, or the store links of all nodes but one, in one direction or both. */
const cutAnyLink = (simulation: ClusterSimulation, random: Random): void => {
  const names = simulation.nodes.map((each) => each.name);
  const node = names[random.below(names.length)]!;
  const duration = [2, 9, 20, 45][random.below(4)]! * SECOND;
  const cutBetween = (one: string, other: string): void => {
    const direction = random.below(4);
    if (direction === 0) simulation.network.partitionOneWay(one, other, duration);
    else if (direction === 1) simulation.network.partitionOneWay(other, one, duration);
    else simulation.network.partition(one, other, duration);
  };
  const choice = random.below(7);
  if (choice <= 1) cutBetween(node, 'state');
  else if (choice === 2) for (const other of names.filter((name) => name !== node)) cutBetween(node, other);
  else if (choice === 3) cutBetween(node, 'cloud');
  else if (choice === 4) for (const worker of simulation.workers.values()) cutBetween(node, worker.name);
  else if (choice === 5) {
    for (const worker of simulation.workers.values()) if (random.chance(0.5)) cutBetween(node, worker.name);
  } else {
    // All nodes but one lose the state service.
    for (const other of names.filter((name) => name !== node))
      simulation.network.partition(other, 'state', duration);
  }
};

/** The outcome of one generated history. */
interface HistoryResult {
  /** Violations of the protocol's rules. */
  readonly violations: readonly string[];
  /** Jobs that did not end. */
  readonly openJobs: readonly string[];
  readonly elections: number;
}

/** Runs the generated history of a seed on a cluster of so many nodes. */
const runHistory = (seed: number, nodes: number): HistoryResult => {
  const random = new Random(seed * 104_729);
  const simulation = new ClusterSimulation(
    random,
    nodes,
    '[[cluster.teams]]\nname = "t"\ncpus_max = 16.0\n',
    16,
    6,
  );
  if (seed % 3 !== 0) simulation.membership = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };
  let elections = 0;
  simulation.onLog = (_node, event) => {
    if (event === 'leader.elected') elections++;
  };
  simulation.runFor(2 * SECOND);
  const ids: string[] = [];
  for (let step = 0; step < 26; step++) {
    simulation.messageLoss = random.chance(0.2) ? 0.2 : 0.02;
    if (random.chance(0.6) && ids.length < 14) {
      const id = `run-${seed}${String(step).padStart(3, '0')}`;
      ids.push(id);
      simulation.submit(randomJob(random, id));
    }
    if (random.chance(0.45)) cutAnyLink(simulation, random);
    if (random.chance(0.1)) simulation.crash(random.below(nodes), (1 + random.below(6)) * SECOND);
    if (random.chance(0.04)) simulation.stateOutage((2 + random.below(14)) * SECOND);
    const worker = simulation.anyWorker();
    if (worker !== undefined && random.chance(0.06)) simulation.killWorker(worker);
    const anyId = ids[random.below(Math.max(1, ids.length))];
    if (anyId !== undefined && random.chance(0.1)) simulation.cancel(anyId);
    for (const id of ids) if (random.chance(0.3)) simulation.poll(id);
    simulation.runFor((1 + random.below(7)) * SECOND);
  }
  simulation.messageLoss = 0;
  simulation.runFor(300 * SECOND);
  for (const id of ids) simulation.poll(id);
  simulation.runFor(3 * SECOND);
  return {
    violations: violationsOf(simulation),
    openJobs: unfinishedJobs(simulation, ids),
    elections,
  };
};

/** More seeds: `CUT_SEEDS=1-400 node --import tsx --test packages/core/test/partition-histories.test.ts`. */
const [firstSeed, lastSeed] = seedRange('CUT_SEEDS', '1-12');

test('no rule is violated under cuts of any link, in one direction or both, and all jobs end', () => {
  let elections = 0;
  for (let seed = firstSeed; seed <= lastSeed; seed++) {
    const result = runHistory(seed, seed % 4 === 0 ? 5 : 3);
    assert.deepEqual(result.violations.slice(0, 5), [], `seed ${seed}`);
    assert.deepEqual(result.openJobs, [], `seed ${seed}: jobs that did not end`);
    elections += result.elections;
  }
  assert.ok(elections > 2 * (lastSeed - firstSeed + 1), 'the leader lease changed hands');
});
