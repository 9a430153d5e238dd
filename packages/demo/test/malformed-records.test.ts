/** Stored records whose numbers announce more than they hold, as a new leader reads them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { encodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import { activeJobKey, progressKey } from '@shaleyoke/core/codecs/keys';
import { encodeProgress } from '@shaleyoke/core/codecs/progress-codec';
import { MAX_TASKS_PER_JOB } from '@shaleyoke/core/domain/job';
import { SECOND } from '@shaleyoke/core/domain/time';
import { makeJob, waitUntil } from '@shaleyoke/demo/demo';
import { httpCall } from '@shaleyoke/emulator/loopback-http';

import { type SingleController, withController } from './single-controller.js';

/** The load balancer waits this long for the response to a health check. */
const HEALTH_TIMEOUT_MS = 1_000;
const VALUE_BYTES = 15_000;
const BYTES_PER_PART = 5_892;

const job = (id: string, tasks: number): Record<string, unknown> => ({
  [activeJobKey(id)]: encodeActiveJob(makeJob(id, 'a', { tasks }), 1),
});

/** Stored records by key. */
const RECORDS: Readonly<Record<string, unknown>> = {
  ...job('run-1', 2 ** 40),
  ...job('run-2', 2 ** 60),
  ...job('run-3', -1),
  // Pages far behind the others.
  'q/s100000': { entries: {} },
  'r/s100000': { entries: {} },
  // Progress far behind the last task: a multiple of the bytes in a part, which follow from the size of a value.
  ...job('run-4', MAX_TASKS_PER_JOB),
  [progressKey('run-4', 1)]: encodeProgress({ machines: [], bits: 'AQ==', from: BYTES_PER_PART * 2 ** 30 }),
  // Dependencies with a long common start.
  [activeJobKey('run-5')]: {
    awaiting: {
      ...(encodeActiveJob(makeJob('run-5', 'a'), 1) as object),
      needs: { start: 'run-'.padEnd(VALUE_BYTES / 2, '1'), rests: ','.repeat(VALUE_BYTES / 2) },
    },
  },
};

/** A job that is submitted once the records are there has to complete, and the controller has to stay healthy. */
const assertServes = async ({ address, deployment }: SingleController): Promise<void> => {
  const later = makeJob('run-9', 'a', { tasks: 1, estimatedRunUs: SECOND });
  assert.equal(await deployment.submit(later), 201);
  const isDone = await waitUntil(async () => (await deployment.stageOf(later.id)) === 'done', 60);
  assert.ok(isDone, 'a job that was submitted afterwards completes');
  const health = await httpCall(address, 'GET', '/healthz', null, HEALTH_TIMEOUT_MS);
  assert.equal(health?.status, 200);
};

test('stored records that announce more than they hold do not end or block a new leader', async () => {
  // Guards against memory and time by the numbers of a record instead of its size (docs/incidents/stored-numbers.md).
  await withController(
    async (controller) => {
      await assertServes(controller);
    },
    { records: RECORDS },
  );
});

test('far parts of the progress of many jobs do not end a new leader', async () => {
  // Guards against memory by the number of a part instead of its size, for each large job (docs/incidents/stored-numbers.md).
  const records: Record<string, unknown> = {};
  for (let i = 0; i < 40; i++) {
    const id = `run-${100 + i}`;
    Object.assign(records, job(id, MAX_TASKS_PER_JOB));
    const from = BYTES_PER_PART * 19_999;
    records[progressKey(id, 19_999)] = encodeProgress({ machines: [], bits: 'AQ==', from });
  }
  await withController(
    async (controller) => {
      await assertServes(controller);
    },
    { records },
  );
});
