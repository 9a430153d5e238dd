/**
 * Measures the store requests that polls cause: users poll thousands of unfinished jobs at all simulated controllers, which
 * limit their store requests. Each job is polled every five seconds, in steady state and right after a restart of all
 * controllers.
 */
import { encodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import { activeJobKey } from '@shaleyoke/core/codecs/keys';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

import { ClusterSimulation } from '../cluster-simulation.js';
import { PollingUsers } from '../polling-users.js';
import { Random } from '../random.js';
import { makeJobSpec } from '../specs.js';

/** Parameters of a measurement. */
export interface PollLoadOptions {
  readonly jobs: number;
  readonly controllers: number;
  readonly seed: number;
}

/** Polls and store requests of one phase. */
export interface PollLoadPhase {
  readonly polls: number;
  readonly answered: number;
  readonly latencyP50Ms: number;
  readonly latencyP99Ms: number;
  readonly longestUnansweredS: number;
  /** Store requests of all controllers, including those unrelated to polls. */
  readonly storeRequests: number;
  readonly requestsPerAnswer: number;
}

/** The measurements for one number of jobs. */
export interface PollLoadReport {
  readonly jobs: number;
  /** Steady state, once all controllers have the jobs in memory. */
  readonly warm: PollLoadPhase;
  /** Store requests in a phase without polls: leases, watches and the leader's records. */
  readonly idleRequests: number;
  /** The phase that begins when all controllers have restarted. */
  readonly cold: PollLoadPhase;
  readonly brokenRules: readonly string[];
}

const PHASE_DURATION: Micros = 60 * SECOND;
const ELECTION_TIME: Micros = 5 * SECOND;
/** Long enough for even the slowest controller to load all jobs. */
const WARM_UP_TIME: Micros = 200 * SECOND;
const RESTART_DELAY: Micros = 300 * MILLISECOND;
const TEAM_SETTINGS = '[[cluster.teams]]\nname = "t"\ncpus_max = 4.0\n';
const FIRST_JOB_NUMBER = 100_000;

const simulationOf = ({ controllers, seed }: PollLoadOptions): ClusterSimulation =>
  new ClusterSimulation(new Random(seed), controllers, TEAM_SETTINGS, 4, 2, '', () => [], 0, null, {
    limitStoreRequests: true,
  });

/** Stores records of accepted jobs, as a previous leader would have left them. */
const storeJobs = (simulation: ClusterSimulation, count: number): string[] => {
  const ids = Array.from({ length: count }, (_, i) => `run-${FIRST_JOB_NUMBER + i}`);
  for (const id of ids) {
    const spec = makeJobSpec(id, { tasks: 1, estimatedRunUs: 3_600 * SECOND });
    simulation.put(activeJobKey(id), encodeActiveJob(spec, 0));
  }
  return ids;
};

/** Store requests that the current processes of all nodes have sent. */
const requestsSent = (simulation: ClusterSimulation): number =>
  simulation.nodes.reduce((sum, { storeAccess }) => sum + (storeAccess?.sentRequests ?? 0), 0);

const measurePhase = (
  simulation: ClusterSimulation,
  users: PollingUsers,
  sentBefore: number,
): PollLoadPhase => {
  users.resetMeasurements();
  simulation.runFor(PHASE_DURATION);
  const storeRequests = requestsSent(simulation) - sentBefore;
  return {
    polls: users.sentPolls,
    answered: users.answeredPolls,
    latencyP50Ms: users.latencyMs.p50,
    latencyP99Ms: users.latencyMs.p99,
    longestUnansweredS: users.longestUnansweredS,
    storeRequests,
    requestsPerAnswer: storeRequests / Math.max(1, users.answeredPolls),
  };
};

/** Measures steady state, idle load and restart for one number of jobs. */
export const measurePollLoad = (options: PollLoadOptions): PollLoadReport => {
  const simulation = simulationOf(options);
  const ids = storeJobs(simulation, options.jobs);
  simulation.runFor(ELECTION_TIME);
  const sentBeforeIdle = requestsSent(simulation);
  simulation.runFor(PHASE_DURATION);
  const idleRequests = requestsSent(simulation) - sentBeforeIdle;
  const users = new PollingUsers(simulation, new Random(options.seed + 1));
  for (const id of ids) users.add(id);
  simulation.runFor(WARM_UP_TIME);
  const warm = measurePhase(simulation, users, requestsSent(simulation));
  simulation.nodes.forEach((_, i) => {
    simulation.crash(i, RESTART_DELAY);
  });
  simulation.runFor(RESTART_DELAY);
  const cold = measurePhase(simulation, users, 0);
  users.stop();
  return { jobs: options.jobs, warm, idleRequests, cold, brokenRules: [...new Set(simulation.violations)] };
};
