/**
 * A confirmed cancellation takes effect whichever node leads and whatever is down: each task of the job has stopped within
 * `cancel_s`. Tasks run longer than any test, so none ends by itself. Worker clocks are as slow, and controller clocks
 * drift as far apart, as the protocol allows.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Heartbeat, HeartbeatResponse } from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

import { seedRange } from './scenario-fixtures.js';

/** The setting `cancel_s`: how long tasks may run on after the cancellation of their job was confirmed. */
const MAX_TIME_TO_STOP = 40 * SECOND;
/** Longer than any test takes. */
const LONG_RUN = 3_600 * SECOND;

/** A long job whose shape follows from its number: a gang, a service or an array. */
const jobOf = (id: string, number: number): JobSpec => {
  if (number % 3 === 0)
    return makeJobSpec(id, { shape: 'gang', tasks: 3, sameZone: true, estimatedRunUs: LONG_RUN });
  if (number % 3 === 1) return makeJobSpec(id, { shape: 'service', tasks: 2, estimatedRunUs: LONG_RUN });
  return makeJobSpec(id, { tasks: 4, estimatedRunUs: LONG_RUN });
};

/** A cluster in which all submitted jobs are running. */
interface RunningCluster {
  readonly simulation: ClusterSimulation;
  readonly ids: string[];
  readonly leader: () => string | null;
}

/** Starts controllers with clocks that drift, submits jobs and waits until all of them run. */
const startCluster = (seed: number, jobs: number, nodes = 3): RunningCluster => {
  const simulation = new ClusterSimulation(
    new Random(seed * 7_919 + 3),
    nodes,
    '[[cluster.teams]]\nname = "t"\ncpus_max = 60.0\n',
    60,
    8,
  );
  simulation.machines.clockSlowdown = 0.0005;
  simulation.nodes.forEach((node, i) => (node.clockRate = [0.9995, 1.0005, 1][(i + seed) % 3]!));
  if (seed % 2 === 0) simulation.membership = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };
  simulation.runFor(3 * SECOND);
  const ids = Array.from({ length: jobs }, (_, i) => `run-${seed}${String(i).padStart(3, '0')}`);
  ids.forEach((id, i) => {
    simulation.submit(jobOf(id, i));
  });
  simulation.runFor(45 * SECOND);
  return {
    simulation,
    ids,
    leader: () => simulation.nodes.find((node) => node.core?.canActAsLeader() === true)?.name ?? null,
  };
};

/** How many jobs still had tasks after their cancellation was confirmed, and the longest time until they stopped. */
const tasksAfterCancellation = (simulation: ClusterSimulation): { jobs: number; longest: number } => {
  const stopTimes = [...simulation.machines.lastSeenAfterCancellation].map(
    ([id, at]) => at - simulation.users.cancelledAt.get(id)!,
  );
  return { jobs: stopTimes.length, longest: Math.max(0, ...stopTimes) };
};

/** Additional faults by name; `offset` is the number of seconds until the outage of the state service begins. */
const ADDITIONAL_FAULTS: Readonly<Record<string, (cluster: RunningCluster, offset: number) => void>> = {
  plain: () => undefined,
  'half of the workers receive nothing': ({ simulation }) => {
    [...simulation.workers.values()].forEach((worker, i) => {
      if (i % 2 === 0) worker.receivesNothingUntil = simulation.now + 90 * SECOND;
    });
  },
  'late heartbeats and responses': ({ simulation }) => {
    simulation.duplication = 0.3;
    simulation.messageLoss = 0.1;
  },
  'the state service slow before': ({ simulation }) => {
    simulation.storeDelay = { share: 0.5, most: 3 * SECOND };
  },
  'the old leader is frozen at first': ({ simulation, leader }) => {
    simulation.freeze(
      simulation.nodes.findIndex((node) => node.name === leader()),
      3 * SECOND,
    );
  },
  'the next leader crashes during its failover': ({ simulation, leader }, offset) => {
    const previousLeader = leader();
    simulation.runFor(Math.min(offset, 7) * SECOND);
    const nextLeader = simulation.nodes.findIndex(
      (node) => node.name !== previousLeader && node.core?.canActAsLeader() === true,
    );
    if (nextLeader >= 0) simulation.crash(nextLeader, 300 * MILLISECOND);
  },
};

test('cancellations take effect when the store refuses the leader alone and then is down for all nodes', () => {
  let jobs = 0;
  for (const [name, injectFault] of Object.entries(ADDITIONAL_FAULTS))
    for (const offset of [1, 4, 8, 16, 30])
      for (const seed of [1, 2, 3]) {
        const cluster = startCluster(seed, 9);
        const { simulation, ids, leader } = cluster;
        const previousLeader = leader();
        assert.ok(previousLeader !== null);
        simulation.refuseRequestsOf(previousLeader, 200 * SECOND);
        injectFault(cluster, offset);
        // Some jobs are cancelled at once, some under the next leader and some just before the outage.
        ids.slice(0, 3).forEach((id) => {
          simulation.cancel(id);
        });
        simulation.runFor(Math.floor((offset * SECOND) / 2));
        ids.slice(3, 5).forEach((id) => {
          simulation.cancel(id);
        });
        simulation.runFor(Math.ceil((offset * SECOND) / 2) - 100 * MILLISECOND);
        ids.slice(5, 7).forEach((id) => {
          simulation.cancel(id);
        });
        simulation.runFor(100 * MILLISECOND);
        simulation.stateOutage(MAX_TIME_TO_STOP + 15 * SECOND);
        simulation.runFor(MAX_TIME_TO_STOP + 40 * SECOND);
        const violations = simulation.violations.filter((violation) => !violation.startsWith('error logged'));
        assert.deepEqual([...new Set(violations)], [], `${name}, outage after ${offset} s, seed ${seed}`);
        jobs += tasksAfterCancellation(simulation).jobs;
      }
  assert.ok(jobs > 150, `jobs that had tasks when their cancellation was confirmed: ${jobs}`);
});

test('a leader whose watch hangs while its lease is renewed does not keep cancelled jobs running', () => {
  // With a single node, there is no other node to take over.
  for (const [seed, nodes] of [
    [1, 3],
    [2, 3],
    [3, 1],
    [4, 1],
  ] as const) {
    const { simulation, ids, leader } = startCluster(seed, 6, nodes);
    const previousLeader = leader();
    // Lists are delayed as well as the watch: the leader learns of no cancellation, yet keeps its lease.
    simulation.watchRepliesHeldUntil = simulation.now + 70 * SECOND;
    simulation.listReplyDelay = 70 * SECOND;
    simulation.runFor(3 * SECOND);
    for (const id of ids.slice(0, 4)) simulation.cancel(id);
    // Workers that were answered until now and receive nothing from here on keep their tasks for a whole lease.
    simulation.runFor(24 * SECOND);
    for (const worker of simulation.workers.values())
      worker.receivesNothingUntil = simulation.now + 60 * SECOND;
    simulation.runFor(41 * SECOND);
    assert.deepEqual([...new Set(simulation.violations)], [], `seed ${seed}`);
    assert.ok(
      tasksAfterCancellation(simulation).jobs >= 4,
      `seed ${seed}: there were tasks when the cancellations were confirmed`,
    );
    simulation.listReplyDelay = 0;
    simulation.runFor(30 * SECOND);
    assert.ok(leader() !== null, `seed ${seed}: a node leads again (before: ${previousLeader})`);
  }
});

test('a leader that alone receives no cancellations steps down before leases expire', () => {
  for (const seed of [1, 2, 3]) {
    const { simulation, ids, leader } = startCluster(seed, 6);
    const previousLeader = leader();
    simulation.delayedNode = previousLeader;
    simulation.watchRepliesHeldUntil = simulation.now + 120 * SECOND;
    simulation.listReplyDelay = 120 * SECOND;
    simulation.runFor(3 * SECOND);
    for (const id of ids.slice(0, 3)) simulation.cancel(id);
    simulation.runFor(60 * SECOND);
    assert.deepEqual([...new Set(simulation.violations)], [], `seed ${seed}`);
    assert.ok(leader() !== null && leader() !== previousLeader, `seed ${seed}: another node leads`);
    assert.ok(
      tasksAfterCancellation(simulation).jobs === 3 &&
        tasksAfterCancellation(simulation).longest < MAX_TIME_TO_STOP,
    );
    assert.ok(
      [...simulation.workers.values()].every((worker) => !worker.alive || worker.agentEpoch === 1),
      `seed ${seed}: no worker lease expired`,
    );
  }
});

test('a hanging watch alone has no effect: cancellations are found by lists as well', () => {
  const { simulation, ids, leader } = startCluster(4, 6);
  const previousLeader = leader();
  simulation.watchRepliesHeldUntil = simulation.now + 100 * SECOND;
  simulation.runFor(5 * SECOND);
  for (const id of ids.slice(0, 3)) simulation.cancel(id);
  simulation.runFor(90 * SECOND);
  assert.equal(leader(), previousLeader);
  assert.deepEqual([...new Set(simulation.violations)], []);
  assert.ok(
    [...simulation.workers.values()].every((worker) => !worker.alive || worker.agentEpoch === 1),
    'no worker lease expired',
  );
  assert.ok(
    tasksAfterCancellation(simulation).longest < 25 * SECOND,
    `stopped after ${tasksAfterCancellation(simulation).longest / SECOND} s`,
  );
});

/** The leader's response to a heartbeat. */
const responseOf = (simulation: ClusterSimulation, heartbeat: Heartbeat): HeartbeatResponse => {
  const core = simulation.nodes.find((node) => node.core?.canActAsLeader() === true)!.core!;
  return core.scheduler!.respondToHeartbeat(heartbeat);
};

test('an overtaken heartbeat is answered with stop commands for the tasks of ended jobs, or not with 200', () => {
  const { simulation, ids } = startCluster(5, 3);
  const id = ids[2]!;
  const worker = [...simulation.workers.values()].find((worker) =>
    worker.tasks.some((task) => task.job === id),
  )!;
  // The worker receives nothing, so that its tasks keep running while their job ends.
  worker.receivesNothingUntil = simulation.now + 15 * SECOND;
  const overtaken = simulation.machines.heartbeatOf(worker);
  const tasks = overtaken.tasks.filter((task) => task.job === id);
  simulation.cancel(id);
  simulation.runFor(5 * SECOND);
  assert.ok(simulation.users.cancelledAt.has(id));
  const newer = simulation.machines.heartbeatOf(worker);
  for (const heartbeat of [newer, overtaken]) {
    const response = responseOf(simulation, heartbeat);
    assert.equal(response.kind, 'accepted');
    assert.deepEqual(
      response.kind === 'accepted'
        ? response.commands.filter((command) => command.op === 'stop' && command.job === id).length
        : -1,
      tasks.length,
    );
  }
  // A heartbeat sent before the tasks started, which lists none of them, is answered with the stop commands too.
  const empty = responseOf(simulation, { ...overtaken, tasks: [] });
  assert.ok(
    empty.kind === 'accepted' &&
      empty.commands.some((command) => command.op === 'stop' && command.job === id),
  );
  // The worker has seen a fencing token of another term: it would ignore a 200, so its heartbeat is not applied.
  const ahead = { ...newer, sequence: newer.sequence + 1, fencingToken: 2 ** 50 };
  assert.equal(responseOf(simulation, ahead).kind, 'unavailable');
  // More unknown tasks than a response can hold commands for.
  const unknownTasks = Array.from({ length: 401 }, (_, i) => ({ ...tasks[0]!, job: `run-9${i}` }));
  assert.equal(
    responseOf(simulation, { ...newer, sequence: newer.sequence + 1, tasks: unknownTasks }).kind,
    'unavailable',
  );
});

test('a start command that was delayed is refused once its job has ended and its worker was answered', () => {
  let answered = 0;
  for (let phase = 0; phase < 16; phase++) {
    const { simulation } = startCluster(phase + 1, 1);
    simulation.runFor(phase * 190 * MILLISECOND);
    simulation.commandDelay = { share: 1, most: 6 * SECOND };
    const id = 'run-777';
    simulation.submit(jobOf(id, 2));
    simulation.runFor(400 * MILLISECOND);
    simulation.commandDelay = null;
    simulation.cancel(id);
    simulation.runFor(300 * MILLISECOND);
    const cancelledAt = simulation.users.cancelledAt.get(id);
    assert.ok(cancelledAt !== undefined);
    const confirmedAt = simulation.now;
    // Each worker is answered once before the leader gives up on its command, and receives nothing from then on.
    const deafWorkers = new Set<string>();
    for (let i = 0; i < 60; i++) {
      simulation.runFor(25 * MILLISECOND);
      for (const worker of simulation.workers.values())
        if (worker.leaseRenewedAt > confirmedAt && worker.receivesNothingUntil === 0) {
          worker.receivesNothingUntil = simulation.now + 30 * SECOND;
          deafWorkers.add(worker.name);
        }
    }
    answered += deafWorkers.size;
    simulation.runFor(10 * SECOND);
    assert.ok(simulation.lateCommands > 0);
    for (const name of deafWorkers)
      assert.ok(
        simulation.workers.get(name)!.tasks.every((task) => task.job !== id),
        `phase ${phase}: started on ${name}`,
      );
    assert.deepEqual([...new Set(simulation.violations)], []);
  }
  assert.ok(answered > 20, `workers answered while a start command was in flight: ${answered}`);
});

/** Faults that may hide cancellations from the leader for a long time while it keeps its lease. */
const CANCELLATION_DELAYING_FAULTS: readonly ((
  cluster: RunningCluster,
  random: Random,
  chooseNode: () => number,
) => void)[] = [
  ({ simulation }, random) => {
    simulation.watchRepliesHeldUntil = simulation.now + (20 + random.below(40)) * SECOND;
  },
  ({ simulation }, random) => {
    simulation.watchRepliesHeldUntil = simulation.now + (20 + random.below(40)) * SECOND;
    simulation.listReplyDelay = (2 + random.below(40)) * SECOND;
  },
  // The store refuses the node again and again, with lease renewals in between, so its lease never expires.
  ({ simulation }, random, chooseNode) => {
    const name = simulation.nodes[chooseNode()]!.name;
    simulation.watchRepliesHeldUntil = simulation.now + 40 * SECOND;
    for (let offsetS = 0; offsetS < 40; offsetS += 4 + random.below(3))
      simulation.runAfter(offsetS * SECOND, () => {
        simulation.refuseRequestsOf(name, (1 + random.below(4)) * SECOND);
      });
  },
  // A failover whose reads are slow, while lease renewals are answered.
  ({ simulation }, random, chooseNode) => {
    simulation.crash(chooseNode(), (1 + random.below(8)) * SECOND);
    simulation.listReplyDelay = (1 + random.below(25)) * SECOND;
  },
  ({ simulation }, random, chooseNode) => {
    simulation.network.partitionOneWay(
      'state',
      simulation.nodes[chooseNode()]!.name,
      (10 + random.below(35)) * SECOND,
    );
  },
  ({ simulation }, random, chooseNode) => {
    simulation.refuseRequestsOf(simulation.nodes[chooseNode()]!.name, 60 * SECOND);
    simulation.runAfter((1 + random.below(20)) * SECOND, () => {
      simulation.stateOutage((5 + random.below(50)) * SECOND);
    });
  },
];

/** Runs one generated history: cancellations at random moments among all faults that may delay them. */
const runHistory = (
  seed: number,
): { violations: string[]; jobs: number; longest: number; elections: number } => {
  const cluster = startCluster(seed, 8);
  const { simulation, ids, leader } = cluster;
  const random = new Random(seed * 31_337);
  let elections = 0;
  simulation.onLog = (_node, event) => {
    if (event === 'leader.elected') elections++;
  };
  const chooseNode = (): number => {
    const leaderIndex = simulation.nodes.findIndex((node) => node.name === leader());
    return leaderIndex >= 0 && random.chance(0.8) ? leaderIndex : random.below(3);
  };
  for (let round = 0; round < 4; round++) {
    simulation.messageLoss = random.chance(0.3) ? 0.15 : 0.02;
    simulation.duplication = random.chance(0.3) ? 0.2 : 0;
    simulation.storeDelay = random.chance(0.3) ? { share: 0.4, most: 4 * SECOND } : null;
    CANCELLATION_DELAYING_FAULTS[random.below(CANCELLATION_DELAYING_FAULTS.length)]!(
      cluster,
      random,
      chooseNode,
    );
    for (let i = 0; i < 3; i++)
      simulation.runAfter(random.below(15_000) * MILLISECOND, () => {
        simulation.cancel(ids[random.below(ids.length)]!);
      });
    // Workers that are answered until then keep their tasks for a whole lease afterwards.
    simulation.runAfter((5 + random.below(30)) * SECOND, () => {
      for (const worker of simulation.workers.values())
        if (random.chance(0.8))
          worker.receivesNothingUntil = simulation.now + (5 + random.below(50)) * SECOND;
    });
    if (random.chance(0.3))
      simulation.runAfter(random.below(30) * SECOND, () => {
        simulation.freeze(chooseNode(), (1 + random.below(20)) * SECOND);
      });
    if (random.chance(0.3))
      simulation.runAfter(random.below(30) * SECOND, () => {
        simulation.crash(chooseNode(), [100 * MILLISECOND, 600 * MILLISECOND, 4 * SECOND][random.below(3)]!);
      });
    if (random.chance(0.3))
      simulation.runAfter(random.below(30) * SECOND, () => {
        for (const worker of simulation.workers.values())
          if (random.chance(0.3)) worker.unreachableUntil = simulation.now + (1 + random.below(25)) * SECOND;
      });
    simulation.runFor(60 * SECOND);
    simulation.listReplyDelay = 0;
    simulation.storeDelay = null;
    for (let i = 0; i < 3; i++) {
      const id = `run-${seed}${String(100 + round * 10 + i)}`;
      ids.push(id);
      simulation.submit(jobOf(id, random.below(3)));
    }
    simulation.runFor((15 + random.below(20)) * SECOND);
  }
  simulation.messageLoss = 0;
  simulation.runFor(60 * SECOND);
  const { jobs, longest } = tasksAfterCancellation(simulation);
  return { violations: [...new Set(simulation.violations)], jobs, longest, elections };
};

/** More seeds: `CANCEL_SEEDS=1-400 node --import tsx --test packages/core/test/cancellations.test.ts`. */
const [firstSeed, lastSeed] = seedRange('CANCEL_SEEDS', '1-16');

test('in generated histories, no task of a cancelled job runs longer than cancel_s', () => {
  let jobs = 0;
  let elections = 0;
  for (let seed = firstSeed; seed <= lastSeed; seed++) {
    const result = runHistory(seed);
    assert.deepEqual(result.violations.slice(0, 5), [], `seed ${seed}`);
    assert.ok(result.longest <= MAX_TIME_TO_STOP);
    jobs += result.jobs;
    elections += result.elections;
  }
  assert.ok(
    jobs > 3 * (lastSeed - firstSeed + 1),
    `jobs that had tasks when their cancellation was confirmed: ${jobs}`,
  );
  assert.ok(elections > lastSeed - firstSeed, `elections: ${elections}`);
});
