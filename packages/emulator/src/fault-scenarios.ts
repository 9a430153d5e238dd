/**
 * Fault scenarios for generated histories. Each injects one episode of faults that begins now and ends by itself. Scenarios
 * count what they did, so that tests can check that the faults took place.
 */
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { Micros } from '@shaleyoke/core/domain/time';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import { ClusterSimulation, type CoreOptions } from './cluster-simulation.js';
import { Random } from './random.js';
import { makeJobSpec } from './specs.js';
import { StarvationMonitor } from './starvation-monitor.js';
import type { Worker } from './workers-model.js';

/** Objects and functions that a scenario uses to inject and count faults. */
export interface ScenarioContext {
  /** The simulation that the faults are injected into. */
  readonly simulation: ClusterSimulation;
  /** The generator that the simulation uses as well. */
  readonly random: Random;
  /** Jobs that were submitted. */
  readonly ids: string[];
  /** Submits a job with these fields, or a random one, and returns its id. */
  readonly submit: (more?: Partial<JobSpec>) => string;
  /** Counts an event under a name that tests check. */
  readonly count: (what: string, by?: number) => void;
}

/** Injects one episode of faults. */
export type FaultScenario = (context: ScenarioContext) => void;

/** Crashes whoever leads after `delay`; the process is back after 50 ms, 700 ms or 5 s. */
const crashLeader = ({ simulation, random, count }: ScenarioContext, delay: Micros = 0): void => {
  simulation.runAfter(delay, () => {
    const leader = simulation.leaderIndex();
    if (leader < 0) return;
    count('leader crashes');
    simulation.crash(leader, [50 * MILLISECOND, 700 * MILLISECOND, 5 * SECOND][random.below(3)]!);
  });
};

/** Workers with a running task. */
const busyWorkers = (simulation: ClusterSimulation): Worker[] =>
  [...simulation.workers.values()].filter(
    (worker) => worker.alive && worker.tasks.some((task) => task.state === 'running'),
  );

/** Minimum number of machines that the scenario makes mute, so that it always has an effect. */
const MIN_MUTE = 4;

/** Makes some workers with running tasks unreachable, deaf or mute, for less or more than a lease. */
const disturbWorkers = ({ simulation, random, count }: ScenarioContext, share: number): void => {
  for (const worker of busyWorkers(simulation)) {
    if (!random.chance(share)) continue;
    count('faulty workers');
    const until = simulation.now + [3, 12, 19, 25, 45][random.below(5)]! * SECOND;
    const faultKind = random.below(3);
    if (faultKind === 0) worker.unreachableUntil = until;
    else if (faultKind === 1) worker.receivesNothingUntil = until;
    else worker.sendsNothingUntil = until;
  }
};

/** Cancels up to `maxJobs` running jobs within 200 ms. */
const cancelRunningJobs = ({ simulation, random, count }: ScenarioContext, maxJobs: number): void => {
  const running = new Set(busyWorkers(simulation).flatMap((worker) => worker.tasks.map((task) => task.job)));
  for (const id of [...running].slice(0, maxJobs)) {
    count('cancelled jobs');
    simulation.runAfter(random.below(200) * MILLISECOND, () => {
      simulation.cancel(id);
    });
  }
};

/** Crashes the leader at one of its next `maxWrites` transactions, before or after it is applied. */
const crashLeaderAtWrite = (context: ScenarioContext, maxWrites: number): void => {
  const { simulation, random, count } = context;
  const leader = simulation.leaderIndex();
  if (leader < 0) return;
  const { name } = simulation.nodes[leader]!;
  let writesLeft = 1 + random.below(maxWrites);
  simulation.onWrite = (node) => {
    if (node !== name || --writesLeft > 0) return;
    simulation.onWrite = () => undefined;
    count('crashes at a write');
    simulation.runAfter(random.chance(0.5) ? 0 : 20 * MILLISECOND, () => {
      simulation.crash(leader, [50 * MILLISECOND, 700 * MILLISECOND, 5 * SECOND][random.below(3)]!);
    });
  };
};

/** Faults of controllers, network, state service and workers. */
export const BASIC_SCENARIOS: Readonly<Record<string, FaultScenario>> = {
  'delayed commands': ({ simulation, random }) => {
    simulation.commandDelay = { share: 0.5, most: (1 + random.below(12)) * SECOND };
    simulation.runAfter(12 * SECOND, () => {
      simulation.commandDelay = null;
    });
  },
  'late transactions': ({ simulation, random }) => {
    simulation.lateTransactionChance = 0.3 + random.below(4) / 10;
    simulation.runAfter(15 * SECOND, () => {
      simulation.lateTransactionChance = 0;
    });
  },
  'a leader partitioned from the state service and its peers': ({ simulation, random, count }) => {
    const leader = simulation.leaderIndex();
    if (leader < 0) return;
    const { name } = simulation.nodes[leader]!;
    // Shorter than the leader's lease, a little longer, and much longer.
    const length = [3, 8, 30][random.below(3)]! * SECOND;
    simulation.network.partition(name, 'state', length);
    for (const node of simulation.nodes)
      if (node.name !== name) simulation.network.partition(name, node.name, length);
    count('leader partitions');
  },
  'the state service is slow, then refuses the leader, then is down': ({ simulation, random }) => {
    simulation.storeDelay = { share: 0.5, most: 3 * SECOND };
    simulation.runAfter(6 * SECOND, () => {
      const leader = simulation.leaderIndex();
      if (leader >= 0)
        simulation.refuseRequestsOf(simulation.nodes[leader]!.name, (5 + random.below(20)) * SECOND);
    });
    simulation.runAfter((8 + random.below(10)) * SECOND, () => {
      simulation.stateOutage((5 + random.below(45)) * SECOND);
    });
    simulation.runAfter(12 * SECOND, () => {
      simulation.storeDelay = null;
    });
  },
  'the leader crashes': ({ simulation, random, count }) => {
    const leader = simulation.leaderIndex();
    if (leader < 0) return;
    simulation.crash(leader, [50 * MILLISECOND, 700 * MILLISECOND, 5 * SECOND][random.below(3)]!);
    count('leader crashes');
  },
  'duplicate messages delivered up to 30 s late': ({ simulation }) => {
    simulation.duplication = 0.4;
    simulation.runAfter(15 * SECOND, () => {
      simulation.duplication = 0;
    });
  },
  'all controllers crash and restart within seconds': ({ simulation, random }) => {
    // All nodes crash: one is back at once, the others up to 6 s later. This may repeat while the lease is still held.
    const first = random.below(simulation.nodes.length);
    const restartAll = (): void => {
      simulation.nodes.forEach((_, index) => {
        simulation.crash(
          index,
          index === first ? random.below(300) * MILLISECOND : (300 + random.below(6_000)) * MILLISECOND,
        );
      });
    };
    restartAll();
    if (random.chance(0.5)) simulation.runAfter(random.below(3_000) * MILLISECOND, restartAll);
  },
  'the leader crashes while machines are unreachable': ({ simulation, random, count }) => {
    for (const worker of simulation.workers.values())
      if (random.chance(0.5)) {
        const until = simulation.now + (5 + random.below(35)) * SECOND;
        if (random.chance(0.5)) worker.unreachableUntil = until;
        else worker.receivesNothingUntil = until;
        if (worker.tasks.some((task) => task.state === 'running')) count('unreachable machines with tasks');
      }
    const leader = simulation.leaderIndex();
    if (leader >= 0) simulation.crash(leader, (1 + random.below(8)) * SECOND);
  },
};

/** Scenarios that combine faults with queries, cancellations, new machines, and leader changes. */
export const EXTENDED_SCENARIOS: Readonly<Record<string, FaultScenario>> = {
  'bursts of queries': (context) => {
    const { simulation, random } = context;
    simulation.users.queryBurstChance = 1;
    simulation.runAfter(20 * SECOND, () => {
      simulation.users.queryBurstChance = 0;
    });
    if (random.chance(0.5))
      simulation.crash(random.below(simulation.nodes.length), random.below(800) * MILLISECOND);
    if (random.chance(0.4)) {
      simulation.lateTransactionChance = 0.3;
      simulation.runAfter(10 * SECOND, () => {
        simulation.lateTransactionChance = 0;
      });
    }
  },
  'a poll, a repeated submission or a cancellation while the last task ends': ({
    simulation,
    random,
    submit,
    count,
  }) => {
    for (let i = 0; i < 4; i++)
      submit({ tasks: 1 + random.below(2), estimatedRunUs: (2 + random.below(8)) * SECOND });
    simulation.work.onDone = (id) => {
      const spec = simulation.work.specs.get(id);
      if (spec === undefined) return;
      count('last tasks ended');
      // Close to the worker's heartbeat, the leader's write and the reply to it.
      for (let i = 0; i < 3; i++)
        simulation.runAfter(random.below(400) * MILLISECOND, () => {
          const action = random.below(3);
          if (action === 0) simulation.poll(id);
          else if (action === 1) simulation.submit(spec);
          else simulation.cancel(id);
        });
    };
    simulation.runAfter(25 * SECOND, () => {
      simulation.work.onDone = () => undefined;
    });
  },
  'lost replies of the state service': (context) => {
    const { simulation, random } = context;
    simulation.lostReplyChance = 0.3 + random.below(4) / 10;
    simulation.runAfter(15 * SECOND, () => {
      simulation.lostReplyChance = 0;
    });
    if (random.chance(0.6)) crashLeader(context, random.below(8_000) * MILLISECOND);
  },
  'delayed heartbeats reach the next leader': (context) => {
    const { simulation, random, count } = context;
    simulation.delayedHeartbeatChance = 0.6;
    // Tasks move to other machines, because they fail or their worker's lease expires.
    for (const worker of busyWorkers(simulation)) {
      const task = worker.tasks.find((candidate) => candidate.state === 'running');
      const faultKind = random.below(4);
      if (faultKind === 0 && task !== undefined) {
        task.state = 'exited';
        task.cause = 'error';
        count('failed tasks');
      } else if (faultKind === 1) worker.unreachableUntil = simulation.now + (8 + random.below(25)) * SECOND;
    }
    simulation.runAfter((6 + random.below(12)) * SECOND, () => {
      simulation.delayedHeartbeatChance = 0;
      if (random.chance(0.6)) disturbWorkers(context, 0.4);
      crashLeader(context);
    });
  },
  'quotas are exhausted, jobs of faulty machines are cancelled, the leader changes': (context) => {
    const { simulation, random } = context;
    for (let i = 0; i < 3; i++) context.submit({ tasks: 6, estimatedRunUs: 90 * SECOND });
    simulation.runAfter(14 * SECOND, () => {
      context.count(
        'cores in use',
        busyWorkers(simulation).reduce((n, worker) => n + worker.tasks.length, 0),
      );
      disturbWorkers(context, 0.7);
      cancelRunningJobs(context, 3);
      crashLeader(context, random.below(6_000) * MILLISECOND);
      if (random.chance(0.5)) crashLeader(context, (8 + random.below(8)) * SECOND);
    });
  },
  'cancellations during a leader change': (context) => {
    const { simulation, random, count } = context;
    context.submit({ tasks: 4, estimatedRunUs: 200 * SECOND });
    simulation.runAfter(10 * SECOND, () => {
      const leader = simulation.leaderIndex();
      if (leader < 0) return;
      if (random.chance(0.5)) disturbWorkers(context, 0.3);
      const faultKind = random.below(3);
      if (faultKind === 0) {
        // The state service refuses the leader, and a second later is down for longer than a cancellation may take (40 s).
        simulation.refuseRequestsOf(simulation.nodes[leader]!.name, 70 * SECOND);
        cancelRunningJobs(context, 4);
        count('refused leaders');
        simulation.runAfter(SECOND, () => {
          simulation.stateOutage(46 * SECOND);
        });
      } else if (faultKind === 1) {
        for (let round = 0; round < 5; round++)
          simulation.runAfter(round * 1_300 * MILLISECOND, () => {
            cancelRunningJobs(context, 1);
          });
        crashLeader(context, random.below(4_000) * MILLISECOND);
      } else {
        simulation.freeze(leader, (4 + random.below(12)) * SECOND);
        for (let round = 0; round < 6; round++)
          simulation.runAfter(round * 1_300 * MILLISECOND, () => {
            cancelRunningJobs(context, 1);
          });
      }
    });
  },
  'machines boot fast while writes are slow, and the leader crashes': (context) => {
    const { simulation, random, count } = context;
    simulation.cloud.bootUs = () => random.below(2_000) * MILLISECOND;
    const workersBefore = simulation.workers.size;
    // The jobs need new machines.
    for (const worker of busyWorkers(simulation)) if (random.chance(0.6)) simulation.killWorker(worker);
    for (let i = 0; i < 3; i++) context.submit({ tasks: 4, estimatedRunUs: (5 + random.below(30)) * SECOND });
    const lag = random.below(3);
    if (lag === 0) simulation.lateTransactionChance = 0.5;
    else if (lag === 1) simulation.lostReplyChance = 0.5;
    else simulation.state.writesPerSecond = 6;
    crashLeaderAtWrite(context, 8);
    simulation.runAfter(12 * SECOND, () => {
      simulation.onWrite = () => undefined;
      simulation.lateTransactionChance = 0;
      simulation.lostReplyChance = 0;
      simulation.state.writesPerSecond = Infinity;
      simulation.cloud.bootUs = null;
      count('new machines', simulation.workers.size - workersBefore);
    });
  },
  'machines that send nothing or receive nothing': (context) => {
    const { simulation, random, count } = context;
    const muteAll = random.chance(0.25);
    let muteCount = 0;
    for (const worker of simulation.workers.values())
      if (worker.alive && (muteAll || muteCount < MIN_MUTE || random.chance(0.4))) {
        muteCount++;
        worker.sendsNothingUntil = simulation.now + (5 + random.below(45)) * SECOND;
        count('machines that send nothing');
      } else if (worker.alive && random.chance(0.2))
        worker.receivesNothingUntil = simulation.now + (5 + random.below(45)) * SECOND;
    crashLeader(context, random.below(15_000) * MILLISECOND);
  },
  'machines are terminated with notice, and jobs cancelled while they write checkpoints': (context) => {
    const { simulation, random, count } = context;
    context.submit({
      tasks: 6,
      estimatedRunUs: 120 * SECOND,
      checkpointIntervalUs: 2 * SECOND,
      checkpointDurationUs: 4 * SECOND,
    });
    simulation.runAfter(14 * SECOND, () => {
      for (const worker of busyWorkers(simulation).slice(0, 4))
        if (random.chance(0.7)) {
          worker.terminatesAt = simulation.now + (5 + random.below(10)) * SECOND;
          worker.nextHeartbeatAt = simulation.now;
          count('termination notices');
        }
      simulation.runAfter(1_500 * MILLISECOND + random.below(2_500) * MILLISECOND, () => {
        for (const worker of simulation.workers.values())
          for (const task of worker.tasks)
            if (task.state === 'saving' && random.chance(0.7)) {
              simulation.cancel(task.job);
              count('cancelled while writing a checkpoint');
            }
      });
      if (random.chance(0.3)) crashLeader(context, random.below(5_000) * MILLISECOND);
    });
  },
  'four one-task jobs per second, a quarter of them cancelled': (context) => {
    const { simulation, random, count } = context;
    simulation.state.writesPerSecond = 25;
    for (let i = 0; i < 48; i++)
      simulation.runAfter(i * 250 * MILLISECOND, () => {
        const id = context.submit({ tasks: 1, estimatedRunUs: (1 + random.below(3)) * SECOND });
        count('one-task jobs');
        if (random.chance(0.25))
          simulation.runAfter(random.below(4_000) * MILLISECOND, () => {
            simulation.cancel(id);
          });
      });
    simulation.runAfter(40 * SECOND, () => {
      simulation.state.writesPerSecond = Infinity;
    });
  },
  'ten leader changes in two minutes': (context) => {
    const { simulation, random, count } = context;
    for (let i = 0; i < 10; i++)
      simulation.runAfter(i * 12 * SECOND + random.below(4_000) * MILLISECOND, () => {
        const leader = simulation.leaderIndex();
        if (leader < 0) return;
        count('changes');
        const faultKind = random.below(3);
        if (faultKind === 0)
          simulation.refuseRequestsOf(simulation.nodes[leader]!.name, (7 + random.below(5)) * SECOND);
        else if (faultKind === 1) simulation.freeze(leader, (7 + random.below(5)) * SECOND);
        else simulation.crash(leader, random.below(6_000) * MILLISECOND);
      });
    if (random.chance(0.5))
      simulation.runAfter((20 + random.below(60)) * SECOND, () => {
        simulation.stateOutage((5 + random.below(20)) * SECOND);
      });
  },
  'all controllers are down for longer than a lease': ({ simulation, random, count }) => {
    count('outages of all controllers');
    simulation.nodes.forEach((_, index) => {
      simulation.crash(index, (21 + random.below(12)) * SECOND);
    });
  },
  'a zone with workers and a controller is partitioned for longer than a lease': ({
    simulation,
    random,
    count,
  }) => {
    const length = (22 + random.below(15)) * SECOND;
    const isolated = simulation.nodes[random.below(simulation.nodes.length)]!.name;
    const zone = random.chance(0.5) ? 'a' : 'b';
    for (const endpoint of ['state', 'cloud', ...simulation.nodes.map((node) => node.name)])
      if (endpoint !== isolated) simulation.network.partition(isolated, endpoint, length);
    for (const worker of simulation.workers.values())
      for (const node of simulation.nodes)
        if (worker.zone === zone && node.name !== isolated)
          simulation.network.partition(worker.name, node.name, length);
    count('zones');
  },
  'jobs with zone constraints lose machines': (context) => {
    const { simulation, random, count } = context;
    context.submit({ tasks: 4, zone: 'a', estimatedRunUs: 20 * SECOND });
    context.submit({ shape: 'gang', tasks: 3, sameZone: true, estimatedRunUs: 20 * SECOND });
    context.submit({ tasks: 4, spreadAcrossZones: true, estimatedRunUs: 20 * SECOND });
    simulation.runAfter(13 * SECOND, () => {
      for (const worker of busyWorkers(simulation))
        if (worker.zone === 'a' && random.chance(0.6)) {
          if (random.chance(0.5)) simulation.killWorker(worker);
          else worker.unreachableUntil = simulation.now + (10 + random.below(25)) * SECOND;
          count('lost');
        }
      if (random.chance(0.5)) crashLeader(context, random.below(3_000) * MILLISECOND);
    });
  },
  'more work than capacity, of mixed priorities, with a slow state service': (context) => {
    const { simulation, random, count } = context;
    simulation.storeDelay = { share: 0.5, most: 900 * MILLISECOND };
    for (let i = 0; i < 6; i++)
      context.submit({
        tasks: 3 + random.below(4),
        priority: [0, 1, 2, 3][random.below(4)] as JobSpec['priority'],
        estimatedRunUs: (8 + random.below(15)) * SECOND,
        ...(random.chance(0.5) ? { checkpointIntervalUs: 2 * SECOND, checkpointDurationUs: 2 * SECOND } : {}),
      });
    count('submission bursts');
    simulation.runAfter(20 * SECOND, () => {
      simulation.storeDelay = null;
    });
    if (random.chance(0.5)) crashLeader(context, random.below(10_000) * MILLISECOND);
  },
};

/** A gang, a spread job, one with checkpoints or, most often, a plain one. */
const randomJob = (random: Random, id: string): JobSpec => {
  const pick = random.below(6);
  if (pick === 0)
    return makeJobSpec(id, {
      shape: 'gang',
      tasks: 2 + random.below(2),
      sameZone: true,
      estimatedRunUs: 20 * SECOND,
    });
  if (pick === 1) return makeJobSpec(id, { tasks: 3, spreadAcrossZones: true, estimatedRunUs: 25 * SECOND });
  if (pick === 2)
    return makeJobSpec(id, {
      tasks: 2,
      estimatedRunUs: 40 * SECOND,
      checkpointIntervalUs: 3 * SECOND,
      checkpointDurationUs: 2 * SECOND,
    });
  // One to three tasks; a task of the longest jobs takes longer than all tasks of the shortest.
  return makeJobSpec(id, { tasks: 1 + random.below(3), estimatedRunUs: (4 + random.below(60)) * SECOND });
};

/** The result of a run of scenarios. */
export interface ScenarioOutcome {
  /** The simulation in its final state. */
  readonly simulation: ClusterSimulation;
  /** Distinct violations of invariants. */
  readonly violations: string[];
  /** Jobs that were accepted and haven't ended. */
  readonly unfinishedJobs: string[];
  /** Share of all jobs that were accepted; users give up after 90 s of 503. */
  readonly acceptedShare: number;
  /** Jobs about which no poll was answered for 75 s after the last fault. */
  readonly unansweredJobs: string[];
  /** Jobs that waited for 90 s after the last fault although they could have been placed. */
  readonly starvedJobs: string[];
  /** How often each event took place, as counted by the scenarios. */
  readonly counts: ReadonlyMap<string, number>;
  /** Leader elections. */
  readonly electionCount: number;
}

const MAX_UNANSWERED: Micros = 75 * SECOND;
const MAX_LEFT_WAITING: Micros = 90 * SECOND;
/** The team's quota. */
const TEAM_CORES = 16;
/** Time limits of a run. */
export interface TimeLimits {
  /** After this time without new scenarios all faults have ended. */
  readonly recoveryTime: Micros;
  /** Within this time after the polls were checked, all jobs must have ended. */
  readonly drainTime: Micros;
}

/** For `BASIC_SCENARIOS`, whose faults end within a minute. */
export const BASIC_LIMITS: TimeLimits = { recoveryTime: 60 * SECOND, drainTime: 240 * SECOND };
/** For `EXTENDED_SCENARIOS`: ten leader changes take two minutes, and work may be queued for ten times the capacity. */
export const EXTENDED_LIMITS: TimeLimits = { recoveryTime: 130 * SECOND, drainTime: 600 * SECOND };

/** Runs the scenarios one after the other, each possibly overlapping the one before, and then a long time without faults. */
export const runScenarios = (
  seed: number,
  scenarios: readonly FaultScenario[],
  rounds: number,
  bounds: TimeLimits,
  coreOptions: CoreOptions = {},
): ScenarioOutcome => {
  const random = new Random(seed * 49_999 + 23);
  const simulation = new ClusterSimulation(
    random,
    seed % 4 === 0 ? 5 : 3,
    `[[cluster.teams]]\nname = "t"\ncpus_max = ${TEAM_CORES}.0\n`,
    TEAM_CORES,
    5,
    '',
    () => [],
    0,
    null,
    coreOptions,
  );
  if (seed % 2 === 0) simulation.membership = { heartbeatIntervalUs: SECOND, suspectAfterMissed: 3 };
  const counts = new Map<string, number>();
  const count = (what: string, by = 1): void => {
    counts.set(what, (counts.get(what) ?? 0) + by);
  };
  let elections = 0;
  simulation.onLog = (_node, event) => {
    if (event === 'leader.elected') elections++;
  };
  simulation.runFor(2 * SECOND);
  const ids: string[] = [];
  const submit = (more?: Partial<JobSpec>): string => {
    const id = `run-${seed}${String(ids.length).padStart(4, '0')}`;
    ids.push(id);
    simulation.submit(more === undefined ? randomJob(random, id) : makeJobSpec(id, more));
    return id;
  };
  const context: ScenarioContext = { simulation, random, ids, submit, count };
  for (let i = 0; i < 5; i++) submit();
  simulation.runFor(20 * SECOND);
  for (let round = 0; round < rounds; round++) {
    for (const scenario of scenarios) {
      scenario(context);
      for (let step = 0; step < 6; step++) {
        if (random.chance(0.4)) submit();
        if (random.chance(0.25)) simulation.cancel(ids[random.below(ids.length)]!);
        for (const id of ids) if (random.chance(0.3)) simulation.poll(id);
        const worker = simulation.anyWorker();
        if (worker !== undefined && random.chance(0.03)) simulation.killWorker(worker);
        simulation.runFor((500 + random.below(4_000)) * MILLISECOND);
      }
    }
    simulation.runFor(random.below(15) * SECOND);
  }
  // All faults have ended, or end within this time.
  simulation.runFor(bounds.recoveryTime);
  const calmSince = simulation.now;
  const starvation = new StarvationMonitor(simulation, TEAM_CORES);
  for (let elapsed = 0; elapsed < MAX_UNANSWERED; elapsed += 5 * SECOND) {
    for (const id of ids) simulation.poll(id);
    simulation.runFor(5 * SECOND);
    starvation.observe(ids);
  }
  // Alternates intervals with and without polls until all jobs have ended.
  const runObserved = (length: Micros): void => {
    for (let elapsed = 0; elapsed < length; elapsed += 5 * SECOND) {
      simulation.runFor(5 * SECOND);
      starvation.observe(ids);
    }
  };
  const unansweredJobs = ids.filter(
    (id) => simulation.users.knownStages.has(id) && (simulation.users.answeredAt.get(id) ?? 0) < calmSince,
  );
  const isOpen = (id: string): boolean => !['done', 'cancelled', undefined].includes(simulation.stageOf(id));
  for (let elapsed = 0; elapsed < bounds.drainTime && ids.some(isOpen); elapsed += 20 * SECOND) {
    runObserved(15 * SECOND);
    for (const id of ids) simulation.poll(id);
    runObserved(5 * SECOND);
  }
  return {
    simulation,
    violations: [...new Set(simulation.violations)],
    unfinishedJobs: ids.filter(isOpen),
    acceptedShare: ids.filter((id) => simulation.users.knownStages.has(id)).length / ids.length,
    unansweredJobs,
    starvedJobs: [...starvation.longestWaits]
      .filter(([, length]) => length >= MAX_LEFT_WAITING)
      .map(([id]) => id),
    counts,
    electionCount: elections,
  };
};
