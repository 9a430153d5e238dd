/**
 * What polls cost the store: simulated controllers with limits on requests, thousands of unfinished jobs polled every five
 * seconds at all nodes, first as usual and then right after a restart of all controllers.
 */
import { encodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import { activeJobKey } from '@shaleyoke/core/codecs/keys';
import { type Micros, MILLI, SECOND } from '@shaleyoke/core/domain/time';

import { ClusterSimulation } from '../cluster-simulation.js';
import { PollingUsers } from '../polling-users.js';
import { Random } from '../random.js';
import { specOf } from '../specs.js';

/** What is measured. */
export interface PollLoadOptions {
  readonly jobs: number;
  readonly controllers: number;
  readonly seed: number;
}

/** Polls of one phase. */
export interface PollLoadPhase {
  readonly polls: number;
  readonly answered: number;
  readonly latencyP50Ms: number;
  readonly latencyP99Ms: number;
  readonly longestUnansweredS: number;
  /** Requests of all controllers to the store, whatever they are for. */
  readonly storeRequests: number;
  readonly requestsPerAnswer: number;
}

/** The phases of one number of jobs. */
export interface PollLoadReport {
  readonly jobs: number;
  /** Once all controllers know the jobs. */
  readonly warm: PollLoadPhase;
  /** The same number of requests without any poll: leases, watches and records of the leader. */
  readonly idleRequests: number;
  /** From the return of all controllers on. */
  readonly cold: PollLoadPhase;
  readonly brokenRules: readonly string[];
}

const PHASE: Micros = 60 * SECOND;
const START: Micros = 5 * SECOND;
/** Long enough that also the slowest controllers know all jobs. */
const WARM_UP: Micros = 200 * SECOND;
const RESTART: Micros = 300 * MILLI;
const TEAM = '[[cluster.teams]]\nname = "t"\ncpus_max = 4.0\n';
const FIRST_JOB_NUMBER = 100_000;

const simulationOf = ({ controllers, seed }: PollLoadOptions): ClusterSimulation =>
  new ClusterSimulation(new Random(seed), controllers, TEAM, 4, 2, '', () => [], 0, null, {
    limitStoreRequests: true,
  });

/** Records of accepted jobs, as an earlier leader left them. */
const putJobs = (simulation: ClusterSimulation, count: number): string[] => {
  const ids = Array.from({ length: count }, (_, i) => `run-${FIRST_JOB_NUMBER + i}`);
  for (const id of ids) {
    const spec = specOf(id, { tasks: 1, estimatedRunUs: 3_600 * SECOND });
    simulation.put(activeJobKey(id), encodeActiveJob(spec, 0));
  }
  return ids;
};

/** Requests that the present processes have sent to the store. */
const requestsSent = (simulation: ClusterSimulation): number =>
  simulation.nodes.reduce((sum, { storeAccess }) => sum + (storeAccess?.sent ?? 0), 0);

const playPhase = (simulation: ClusterSimulation, users: PollingUsers, sentBefore: number): PollLoadPhase => {
  users.resetMeasurements();
  simulation.runFor(PHASE);
  const storeRequests = requestsSent(simulation) - sentBefore;
  return {
    polls: users.polls,
    answered: users.answered,
    latencyP50Ms: users.latencyMs.p50,
    latencyP99Ms: users.latencyMs.p99,
    longestUnansweredS: users.longestUnansweredS,
    storeRequests,
    requestsPerAnswer: storeRequests / Math.max(1, users.answered),
  };
};

/** Measures one number of jobs. */
export const measurePollLoad = (options: PollLoadOptions): PollLoadReport => {
  const simulation = simulationOf(options);
  const ids = putJobs(simulation, options.jobs);
  simulation.runFor(START);
  const sentBeforeIdle = requestsSent(simulation);
  simulation.runFor(PHASE);
  const idleRequests = requestsSent(simulation) - sentBeforeIdle;
  const users = new PollingUsers(simulation, new Random(options.seed + 1));
  for (const id of ids) users.add(id);
  simulation.runFor(WARM_UP);
  const warm = playPhase(simulation, users, requestsSent(simulation));
  simulation.nodes.forEach((_, i) => {
    simulation.crash(i, RESTART);
  });
  simulation.runFor(RESTART);
  const cold = playPhase(simulation, users, 0);
  users.stop();
  return { jobs: options.jobs, warm, idleRequests, cold, brokenRules: [...new Set(simulation.broken)] };
};
