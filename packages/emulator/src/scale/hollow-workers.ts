/**
 * A process that simulates thousands of workers, each with its own address, connection, session, fencing token, lease and
 * tasks.
 */
import { Agent } from 'node:http';

import { MILLISECOND } from '@shaleyoke/core/domain/time';

import { httpCall } from '../loopback-http.js';
import { LoopbackWorker, type WorkerHost } from '../loopback-workers.js';
import { makeJobSpec } from '../specs.js';
import {
  addressOf,
  emptyCounts,
  HOLLOW_TYPE,
  type HollowCounts,
  type HollowWorkersConfig,
  machineName,
  zoneOf,
} from './hollow-messages.js';

/** Timeout of a worker's heartbeat. */
const HEARTBEAT_TIMEOUT_MS = 4_000;
const COUNTS_INTERVAL_MS = 1_000;
/** The response time of every n-th heartbeat is kept. */
const LATENCY_SAMPLE_INTERVAL = 20;
const STATUS_OK = 200;

const nowUs = (): number => Math.round(performance.now() * MILLISECOND);

const worldOf = (
  number: number,
  config: HollowWorkersConfig,
  counts: () => HollowCounts,
  workers: ReadonlyMap<string, LoopbackWorker>,
): WorkerHost => {
  const [localAddress] = addressOf(number).split(':');
  const agent = new Agent({ keepAlive: true, maxSockets: 1, localAddress });
  return {
    now: nowUs,
    // All tasks of a hollow run are alike, so workers need not look up the submitted specification.
    spec: (job) => makeJobSpec(job, { estimatedRunUs: config.taskUs }),
    nodes: config.nodes,
    heartbeatIntervalUs: config.reportUs,
    leaseUs: config.leaseUs,
    workers,
    taskStarted: (job) => {
      counts().starts.push([job, Date.now()]);
    },
    leaseEnded: () => {
      counts().leasesEnded++;
    },
    taskRan: () => undefined,
    call: async (address, path, body) => {
      const began = performance.now();
      const answer = await httpCall(address, 'POST', path, body, HEARTBEAT_TIMEOUT_MS, agent);
      const current = counts();
      current.reports++;
      current.bytesOut += body.length;
      if (answer === null) current.unanswered++;
      else {
        current.bytesIn += answer.body.length;
        if (answer.status === STATUS_OK) current.answered++;
        if (current.reports % LATENCY_SAMPLE_INTERVAL === 0) current.answerMs.push(performance.now() - began);
      }
      return answer;
    },
  };
};

/** Runs until the parent process exits, and sends it the activity counts once a second. */
const main = async (): Promise<void> => {
  const config = JSON.parse(process.argv[2]!) as HollowWorkersConfig;
  let current = emptyCounts();
  const workers = new Map<string, LoopbackWorker>();
  process.on('disconnect', () => process.exit(0));
  for (let number = config.first; number < config.first + config.count; number++) {
    const name = machineName(number);
    const world = worldOf(number, config, () => current, workers);
    const worker = new LoopbackWorker(name, HOLLOW_TYPE.name, zoneOf(number), false, world);
    workers.set(name, worker);
    await worker.boot(addressOf(number));
  }
  setInterval(() => {
    process.send?.(current);
    current = emptyCounts();
  }, COUNTS_INTERVAL_MS);
};

await main();
