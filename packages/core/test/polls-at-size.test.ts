/**
 * Thousands of unfinished jobs, polled every five seconds at all nodes, while the store keeps to its announced limits and
 * each controller to its share of them: once the troubles are over, no accepted job may stay without an answer.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { ClusterSimulation } from '@shaleyoke/emulator/cluster-simulation';
import { PollingUsers } from '@shaleyoke/emulator/polling-users';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';

const JOBS = 3_000;
/** Polls of so many jobs come close to what one controller validates in a second. */
const JOBS_OF_ONE_CONTROLLER = 1_600;
/** A job about which no question is answered for so long counts as forgotten. */
const FORGOTTEN_AFTER = 75 * SECOND;
/** Acceptances keep below the store's limit of writes. */
const SUBMISSION_INTERVAL = 40 * MILLI;

interface Polled {
  readonly simulation: ClusterSimulation;
  readonly users: PollingUsers;
}

/** Controllers that have accepted `jobs` long jobs, and users who begin to poll them. */
const acceptedAndPolled = (seed: number, jobs = JOBS, controllers = 3): Polled => {
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
    simulation.submit(specOf(id, { tasks: 1, estimatedRunUs: 900 * SECOND }));
    simulation.runFor(SUBMISSION_INTERVAL);
  }
  simulation.runFor(5 * SECOND);
  for (const id of ids) {
    assert.ok(simulation.users.told.has(id), `${id} was accepted`);
    users.add(id);
  }
  return { simulation, users };
};

/** Fails with the jobs that were unanswered for too long, the controllers that were polled for them, and for how long. */
const assertNoneForgotten = ({ simulation, users }: Polled): void => {
  const forgotten = users.unansweredFor(FORGOTTEN_AFTER);
  assert.deepEqual(forgotten.slice(0, 3), [], `${forgotten.length} jobs forgotten; the longest are shown`);
  assert.deepEqual([...new Set(simulation.broken)], []);
};

test('after a restart of all controllers no job of thousands stays without an answer', () => {
  const polled = acceptedAndPolled(21);
  const { simulation, users } = polled;
  simulation.nodes.forEach((_, i) => {
    simulation.crash(i, 300 * MILLI);
  });
  simulation.runFor(SECOND);
  users.resetMeasurements();
  simulation.runFor(100 * SECOND);
  users.stop();
  assertNoneForgotten(polled);
});

/** Troubles after which some validations were not answered, though the store answers others. */
const INTERRUPTIONS: readonly {
  readonly name: string;
  readonly play: (simulation: ClusterSimulation) => void;
}[] = [
  {
    name: 'an outage',
    play: (simulation) => {
      simulation.stateOutage(5 * SECOND);
      simulation.runFor(5 * SECOND);
    },
  },
  {
    name: 'a burst of lookups that takes all requests',
    play: (simulation) => {
      for (let i = 0; i < 4_000; i++)
        simulation.later(i * 2 * MILLI, () => {
          simulation.users.host.ask(0, { kind: 'cancel', id: `run-${900_000 + i}` }, () => undefined);
        });
      simulation.runFor(9 * SECOND);
    },
  },
];

for (const { name, play } of INTERRUPTIONS)
  test(`after ${name} no job stays without an answer while others are answered`, () => {
    const polled = acceptedAndPolled(22, JOBS_OF_ONE_CONTROLLER, 1);
    const { simulation, users } = polled;
    simulation.runFor(60 * SECOND);
    play(simulation);
    users.resetMeasurements();
    simulation.runFor(100 * SECOND);
    users.stop();
    // Most polls are answered, so that a job without an answer is an exception and no general overload.
    assert.ok(users.answered > 0.5 * users.polls, `${users.answered} of ${users.polls} polls answered`);
    assertNoneForgotten(polled);
  });
