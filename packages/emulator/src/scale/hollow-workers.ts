/** Thousands of workers in one process: each with its own address, connection, session, token, lease and tasks. */
import { Agent } from 'node:http';

import { MILLI } from '@shaleyoke/core/domain/time';

import { call } from '../loopback-http.js';
import { LoopWorker, type WorkerWorld } from '../loopback-workers.js';
import { specOf } from '../specs.js';
import {
  addressOf,
  HOLLOW_TYPE,
  type HollowCounts,
  type HollowWorkersConfig,
  machineName,
  noCounts,
  zoneOf,
} from './hollow-messages.js';

/** A worker gives a report up after that. */
const CALL_MS = 4_000;
const TELL_EVERY_MS = 1_000;
/** Of so many answers the time of one is kept. */
const SAMPLE = 20;
const ACCEPTED = 200;

const nowUs = (): number => Math.round(performance.now() * MILLI);

const worldOf = (
  number: number,
  config: HollowWorkersConfig,
  counts: () => HollowCounts,
  workers: ReadonlyMap<string, LoopWorker>,
): WorkerWorld => {
  const [localAddress] = addressOf(number).split(':');
  const agent = new Agent({ keepAlive: true, maxSockets: 1, localAddress });
  return {
    now: nowUs,
    // Descriptions are the users' to upload: all tasks of a hollow run are alike.
    spec: (job) => specOf(job, { estimatedRunUs: config.taskUs }),
    nodes: config.nodes,
    reportUs: config.reportUs,
    leaseUs: config.leaseUs,
    workers,
    started: (job) => {
      counts().starts.push([job, Date.now()]);
    },
    leaseEnded: () => {
      counts().leasesEnded++;
    },
    ran: () => undefined,
    call: async (address, path, body) => {
      const began = performance.now();
      const answer = await call(address, 'POST', path, body, CALL_MS, agent);
      const now = counts();
      now.reports++;
      now.bytesOut += body.length;
      if (answer === null) now.unanswered++;
      else {
        now.bytesIn += answer.body.length;
        if (answer.status === ACCEPTED) now.answered++;
        if (now.reports % SAMPLE === 0) now.answerMs.push(performance.now() - began);
      }
      return answer;
    },
  };
};

/** Runs until the process that started it is gone; tells it once a second what was done. */
const main = async (): Promise<void> => {
  const config = JSON.parse(process.argv[2]!) as HollowWorkersConfig;
  let current = noCounts();
  const workers = new Map<string, LoopWorker>();
  process.on('disconnect', () => process.exit(0));
  for (let number = config.first; number < config.first + config.count; number++) {
    const name = machineName(number);
    const world = worldOf(number, config, () => current, workers);
    const worker = new LoopWorker(name, HOLLOW_TYPE.name, zoneOf(number), false, world);
    workers.set(name, worker);
    await worker.boot(addressOf(number));
  }
  setInterval(() => {
    process.send?.(current);
    current = noCounts();
  }, TELL_EVERY_MS);
};

await main();
