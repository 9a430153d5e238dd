/**
 * Thousands of unfinished jobs, polled every five seconds at all nodes, while the store enforces its announced limits and
 * each controller keeps to its share of them. Once the faults are over, polls of every accepted job must be answered.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { PollingUsers } from '@shaleyoke/emulator/polling-users';
import { Random } from '@shaleyoke/emulator/random';
import { makeJobSpec } from '@shaleyoke/emulator/specs';

const JOBS = 3_000;
/** With this number of jobs, polls come close to what one controller can validate in a second. */
const JOBS_FOR_ONE_CONTROLLER = 1_600;
/** The longest time for which polls of a job may stay unanswered. */
const MAX_TIME_WITHOUT_ANSWER = 75 * SECOND;
/** Keeps the rate of accepted jobs below the store's write limit. */
const SUBMISSION_INTERVAL = 40 * MILLISECOND;

/** A simulated cluster and the users who poll its jobs. */
interface PolledCluster {
  readonly simulation: ClusterSimulation;
  readonly users: PollingUsers;
}

/** Starts controllers, submits `jobs` long jobs, asserts that all were accepted, and starts polling them. */
const startPolledCluster = (seed: number, jobs = JOBS, controllers = 3): PolledCluster => {
  const simulation = new ClusterSimulation(
    new Random(seed),
    controllers,
    '[[cluster.teams]]\nname = "t"\ncpus_max = 4.0\n',
    4,
    2,
    '',
    () => [],
    0,
    null,
    { limitStoreRequests: true },
  );
  simulation.runFor(3 * SECOND);
  const users = new PollingUsers(simulation, new Random(seed + 1_000));
  const ids = Array.from({ length: jobs }, (_, i) => `run-${10_000 + i}`);
  for (const id of ids) {
    simulation.submit(makeJobSpec(id, { tasks: 1, estimatedRunUs: 900 * SECOND }));
    simulation.runFor(SUBMISSION_INTERVAL);
  }
  simulation.runFor(5 * SECOND);
  for (const id of ids) {
    assert.ok(simulation.users.knownStages.has(id), `${id} was accepted`);
    users.add(id);
  }
  return { simulation, users };
};

/** Asserts that no job was unanswered for too long; the message shows such jobs, the times and the controllers polled. */
const assertAllAnswered = ({ simulation, users }: PolledCluster): void => {
  const unanswered = users.unansweredFor(MAX_TIME_WITHOUT_ANSWER);
  assert.deepEqual(unanswered.slice(0, 3), [], `${unanswered.length} jobs unanswered; the longest are shown`);
  assert.deepEqual([...new Set(simulation.violations)], []);
};

test('after a restart of all controllers, polls of thousands of jobs are all answered', () => {
  const cluster = startPolledCluster(21);
  const { simulation, users } = cluster;
  simulation.nodes.forEach((_, i) => {
    simulation.crash(i, 300 * MILLISECOND);
  });
  simulation.runFor(SECOND);
  users.resetMeasurements();
  simulation.runFor(100 * SECOND);
  users.stop();
  assertAllAnswered(cluster);
});

/** Faults after which some validations once stayed unanswered although the store answered others. */
const INTERRUPTIONS: readonly {
  readonly name: string;
  readonly interrupt: (simulation: ClusterSimulation) => void;
}[] = [
  {
    name: 'an outage',
    interrupt: (simulation) => {
      simulation.stateOutage(5 * SECOND);
      simulation.runFor(5 * SECOND);
    },
  },
  {
    name: 'a burst of lookups that uses up all store requests',
    interrupt: (simulation) => {
      for (let i = 0; i < 4_000; i++)
        simulation.runAfter(i * 2 * MILLISECOND, () => {
          simulation.users.host.sendRequest(0, { kind: 'cancel', id: `run-${900_000 + i}` }, () => undefined);
        });
      simulation.runFor(9 * SECOND);
    },
  },
];

for (const { name, interrupt } of INTERRUPTIONS)
  test(`after ${name}, no job stays unanswered while others are answered`, () => {
    const cluster = startPolledCluster(22, JOBS_FOR_ONE_CONTROLLER, 1);
    const { simulation, users } = cluster;
    simulation.runFor(60 * SECOND);
    interrupt(simulation);
    users.resetMeasurements();
    simulation.runFor(100 * SECOND);
    users.stop();
    // Most polls are answered, so an unanswered job would not be due to a general overload.
    assert.ok(
      users.answeredPolls > 0.5 * users.sentPolls,
      `${users.answeredPolls} of ${users.sentPolls} polls answered`,
    );
    assertAllAnswered(cluster);
  });
