/**
 * Processes that restart within a fraction of a second, also several times within a lease, during an election or all at
 * once, with late copies of earlier messages and of requests that were already executed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobSpec } from '@shaleyoke/core/domain/job';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { seedRange, unfinishedJobs, violationsOf } from './scenario-fixtures.js';

/** After the last crash, some node must lead within a leader lease plus this time, however soon which process is back. */
const MAX_ELECTION_TIME = 2 * SECOND;
const LEADER_LEASE = 6 * SECOND;

/** A job of a random shape. */
const randomJob = (random: Random, id: string): JobSpec => {
  const pick = random.below(5);
  if (pick === 0)
    return makeJobSpec(id, {
      shape: 'gang',
      tasks: 1 + random.below(4),
      sameZone: true,
      estimatedRunUs: 12 * SECOND,
    });
  if (pick === 1) return makeJobSpec(id, { tasks: 4, spreadAcrossZones: true, estimatedRunUs: 15 * SECOND });
  return makeJobSpec(id, { tasks: 1 + random.below(8), estimatedRunUs: (3 + random.below(30)) * SECOND });
};

/** Crashes processes that restart at once: a random one, the leader, or all of them; once or repeatedly. */
const crashAndRestart = (simulation: ClusterSimulation, random: Random): void => {
  const downtime = (): number => random.below(500) * MILLISECOND;
  const leader = simulation.nodes.findIndex((node) => node.core?.canActAsLeader());
  const choice = random.below(5);
  if (choice === 0) simulation.crash(random.below(simulation.nodes.length), downtime());
  else if (choice === 1 && leader >= 0) simulation.crash(leader, downtime());
  else if (choice === 2) for (let i = 0; i < simulation.nodes.length; i++) simulation.crash(i, downtime());
  else {
    // The same process repeatedly, while its old lease lasts or others try to acquire the lease.
    const node = leader >= 0 && random.chance(0.6) ? leader : random.below(simulation.nodes.length);
    for (let restart = 0; restart < 2 + random.below(4); restart++) {
      simulation.crash(node, downtime());
      simulation.runFor(random.below(1_500) * MILLISECOND);
    }
  }
};

/** The size of a generated history. */
interface HistorySize {
  readonly nodes: number;
  /** Machines that the cloud has in each zone. */
  readonly perZone: number;
  /** The number of pre-provisioned machines. */
  readonly preprovisioned: number;
  readonly steps: number;
  readonly jobs: number;
  /** The team's quota in cores. */
  readonly limitCores: number;
}

/** The outcome of one generated history. */
interface HistoryResult {
  /** Violations of the protocol's rules. */
  readonly violations: readonly string[];
  /** Jobs that did not end. */
  readonly openJobs: readonly string[];
  /** Whether no node led in time after the last crash. */
  readonly isElectionLate: boolean;
  readonly elections: number;
}

/** Runs the generated history of a seed. */
const runHistory = (seed: number, size: HistorySize): HistoryResult => {
  const random = new Random(seed * 15_485_863);
  const teams = `[[cluster.teams]]\nname = "t"\ncpus_max = ${size.limitCores}.0\n`;
  const simulation = new ClusterSimulation(random, size.nodes, teams, size.limitCores, size.perZone);
  if (seed % 3 !== 0) simulation.membership = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };
  simulation.addMachines(size.preprovisioned);
  let elections = 0;
  simulation.onLog = (_node, event) => {
    if (event === 'leader.elected') elections++;
  };
  simulation.duplication = 0.1;
  // Half of the histories have faults from the start: starting up must not depend on a process that survives it.
  if (seed % 2 === 0) simulation.runFor(random.below(1_200) * MILLISECOND);
  const ids: string[] = [];
  for (let step = 0; step < size.steps; step++) {
    simulation.messageLoss = random.chance(0.3) ? 0.15 : 0.01;
    for (let submission = 0; submission < 1 + size.jobs / size.steps; submission++)
      if (random.chance(0.6) && ids.length < size.jobs) {
        const id = `run-${seed}${String(step).padStart(3, '0')}${submission}`;
        ids.push(id);
        simulation.submit(randomJob(random, id));
      }
    if (random.chance(0.5)) crashAndRestart(simulation, random);
    if (random.chance(0.05)) simulation.stateOutage((1 + random.below(9)) * SECOND);
    const worker = simulation.anyWorker();
    if (worker !== undefined && random.chance(0.1))
      worker.unreachableUntil = simulation.now + (2 + random.below(30)) * SECOND;
    const anyId = ids[random.below(Math.max(1, ids.length))];
    if (anyId !== undefined && random.chance(0.15)) simulation.cancel(anyId);
    for (const id of ids) if (random.chance(0.2)) simulation.poll(id);
    simulation.runFor(random.below(5_000) * MILLISECOND);
  }
  simulation.messageLoss = 0;
  while (simulation.state.isDown) simulation.runFor(SECOND);
  for (let i = 0; i < simulation.nodes.length; i++) simulation.crash(i, random.below(500) * MILLISECOND);
  simulation.runFor(500 * MILLISECOND + LEADER_LEASE + MAX_ELECTION_TIME);
  const isElectionLate = !simulation.nodes.some((node) => node.core?.canActAsLeader());
  simulation.runFor(200 * SECOND);
  for (const id of ids) simulation.poll(id);
  simulation.runFor(3 * SECOND);
  return {
    violations: violationsOf(simulation),
    openJobs: unfinishedJobs(simulation, ids),
    isElectionLate,
    elections,
  };
};

/** Runs one history, checks it and returns how many elections it had. */
const checkHistory = (seed: number, size: HistorySize): number => {
  const result = runHistory(seed, size);
  assert.deepEqual(result.violations.slice(0, 5), [], `seed ${seed}`);
  assert.equal(
    result.isElectionLate,
    false,
    `seed ${seed}: no node leads ${LEADER_LEASE + MAX_ELECTION_TIME} us after the last crash`,
  );
  assert.deepEqual(result.openJobs, [], `seed ${seed}: jobs that did not end`);
  return result.elections;
};

/** More seeds: `RETURN_SEEDS=1-400 node --import tsx --test packages/core/test/rapid-restarts.test.ts`. */
const [firstSeed, lastSeed] = seedRange('RETURN_SEEDS', '1-12');

test('no rule is violated when processes restart at once and late copies of all messages arrive', () => {
  let elections = 0;
  for (let seed = firstSeed; seed <= lastSeed; seed++)
    elections += checkHistory(seed, {
      nodes: [3, 5, 9][seed % 3]!,
      perZone: 6,
      preprovisioned: seed % 4 === 0 ? 8 : 0,
      steps: 24,
      jobs: 14,
      limitCores: 20,
    });
  assert.ok(elections > 3 * (lastSeed - firstSeed + 1), 'the leader lease changed hands');
});

test('a late copy of a start command is refused once the worker no longer keeps the outcome of the task', () => {
  // Found by a generated history: the copy of an answered call started a task again that ran elsewhere by then (quota, no
  // room).
  const simulation = new ClusterSimulation(new Random(3), 3, '[[cluster.teams]]\nname = "t"\n', 1e9, 6);
  simulation.addMachines(2);
  simulation.runFor(3 * SECOND);
  simulation.submit(makeJobSpec('run-1', { tasks: 1, estimatedRunUs: 5 * SECOND }));
  let startedTasks = 0;
  let sendLateCopy: (() => string) | null = null;
  for (let i = 0; i < 400; i++) {
    simulation.runFor(100 * MILLISECOND);
    for (const worker of simulation.workers.values()) {
      const task = worker.tasks[0];
      if (task === undefined || sendLateCopy !== null) continue;
      startedTasks++;
      const { fencingToken, agentEpoch, name } = worker;
      const start = { op: 'start', job: task.job, index: task.index, attempt: task.attempt } as const;
      sendLateCopy = () => simulation.machines.executeCommands(name, fencingToken, agentEpoch, [start]).kind;
    }
  }
  assert.equal(startedTasks, 1);
  assert.ok([...simulation.workers.values()].every((worker) => worker.tasks.length === 0));
  assert.equal(sendLateCopy!(), 'refused');
  assert.deepEqual(simulation.violations, []);
});

test('pre-provisioned machines are kept, whichever leaders crash before these machines are recorded', () => {
  // Only the leader of the first term knew these machines: when it crashed before they were recorded, later leaders returned
  // them as idle.
  for (let seed = 1; seed <= 10; seed++) {
    const random = new Random(seed * 7_368_787);
    const simulation = new ClusterSimulation(random, 3, '[[cluster.teams]]\nname = "t"\n', 1e9, 20);
    simulation.addMachines(12);
    const preprovisioned = new Set(simulation.workers.keys());
    for (let crashNumber = 0; crashNumber < 4; crashNumber++) {
      simulation.runFor(random.below(700) * MILLISECOND);
      const leader = simulation.nodes.findIndex((node) => node.core?.canActAsLeader());
      if (leader >= 0) simulation.crash(leader, random.below(500) * MILLISECOND);
    }
    simulation.runFor(30 * SECOND);
    // More tasks than these machines can run: others are provisioned, and only those may be returned.
    for (let i = 0; i < 16; i++)
      simulation.submit(makeJobSpec(`run-${i}`, { tasks: 8, estimatedRunUs: 20 * SECOND }));
    simulation.runFor(300 * SECOND);
    assert.deepEqual([...new Set(simulation.violations)], [], `seed ${seed}`);
    assert.ok(simulation.workers.size > preprovisioned.size, 'machines were provisioned');
    const alive = [...simulation.workers.values()]
      .filter((worker) => worker.alive)
      .map((worker) => worker.name);
    for (const name of preprovisioned) assert.ok(alive.includes(name), `seed ${seed}: ${name} was returned`);
  }
});

test('teams with quotas start tasks after a failover although some machines have not sent a heartbeat yet', () => {
  // One machine without heartbeats once delayed all starts of such teams until its lease had expired.
  for (let seed = 1; seed <= 4; seed++) {
    const simulation = new ClusterSimulation(
      new Random(seed),
      5,
      '[[cluster.teams]]\nname = "t"\ncpus_max = 60.0\n',
      60,
      20,
    );
    simulation.addMachines(30);
    simulation.runFor(3 * SECOND);
    for (let i = 0; i < 4; i++)
      simulation.submit(makeJobSpec(`run-${i}`, { tasks: 6, estimatedRunUs: 300 * SECOND }));
    simulation.runFor(20 * SECOND);
    const leader = simulation.nodes.findIndex((node) => node.core?.canActAsLeader());
    // Few enough machines die with the leader for the next one to plan before it knows that they are lost.
    const deadMachines = [...simulation.workers.values()].slice(0, 2);
    for (const worker of deadMachines) simulation.killWorker(worker);
    let restoredAt = 0;
    let firstStartAt = 0;
    simulation.onLog = (_node, event) => {
      if (event === 'leader.state_restored') restoredAt = simulation.now;
    };
    simulation.crash(leader, 8 * SECOND);
    simulation.submit(makeJobSpec('run-9', { tasks: 4, estimatedRunUs: 10 * SECOND }));
    while (simulation.now < 60 * SECOND && firstStartAt === 0) {
      simulation.runFor(100 * MILLISECOND);
      if ([...simulation.workers.values()].some((worker) => worker.tasks.some((t) => t.job === 'run-9')))
        firstStartAt = simulation.now;
    }
    assert.ok(restoredAt > 0 && firstStartAt > 0);
    assert.ok(
      firstStartAt - restoredAt < 6 * SECOND,
      `seed ${seed}: ${(firstStartAt - restoredAt) / SECOND} s`,
    );
    simulation.runFor(60 * SECOND);
    assert.deepEqual([...new Set(simulation.violations)], [], `seed ${seed}`);
  }
});

test('a service that must start at once does so during the failover grace period of a new leader', () => {
  const objective = '[[cluster.objectives]]\nkind = "wait"\nclass = "c"\nwithin_s = 1.0\n';
  for (const [seed, spread] of [true, false].entries()) {
    const simulation = new ClusterSimulation(
      new Random(seed),
      5,
      `[[cluster.teams]]\nname = "t"\n${objective}`,
      1e9,
      20,
    );
    simulation.addMachines(30);
    simulation.runFor(3 * SECOND);
    for (let i = 0; i < 4; i++)
      simulation.submit(makeJobSpec(`run-${i}`, { class: 'd', tasks: 6, estimatedRunUs: 300 * SECOND }));
    simulation.runFor(20 * SECOND);
    // So many machines die that nothing else is planned until they are known to be lost.
    for (const worker of [...simulation.workers.values()].slice(0, 8)) simulation.killWorker(worker);
    let restoredAt = 0;
    simulation.onLog = (_node, event) => {
      if (event === 'leader.state_restored') restoredAt = simulation.now;
    };
    simulation.crash(
      simulation.nodes.findIndex((node) => node.core?.canActAsLeader()),
      300 * MILLISECOND,
    );
    simulation.submit(makeJobSpec('run-8', { class: 'd', tasks: 4, estimatedRunUs: 10 * SECOND }));
    simulation.submit(
      makeJobSpec('run-9', { shape: 'service', priority: 3, tasks: 4, spreadAcrossZones: spread }),
    );
    const startTimeOf = (id: string): Micros | null => {
      const running = [...simulation.workers.values()].flatMap((worker) =>
        worker.tasks.filter((t) => t.job === id),
      ).length;
      return running === 4 ? simulation.now : null;
    };
    let serviceStartedAt: Micros | null = null;
    let arrayStartedAt: Micros | null = null;
    while (simulation.now < 60 * SECOND && arrayStartedAt === null) {
      simulation.runFor(100 * MILLISECOND);
      serviceStartedAt ??= startTimeOf('run-9');
      arrayStartedAt ??= startTimeOf('run-8');
    }
    assert.ok(restoredAt > 0 && serviceStartedAt !== null && arrayStartedAt !== null);
    assert.ok(serviceStartedAt - restoredAt < 6 * SECOND, `${(serviceStartedAt - restoredAt) / SECOND} s`);
    assert.ok(
      arrayStartedAt - serviceStartedAt > 2 * SECOND,
      `the array waits until most machines are known: ${arrayStartedAt - serviceStartedAt} us`,
    );
    assert.deepEqual([...new Set(simulation.violations)], []);
  }
});
