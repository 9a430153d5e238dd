/** The emulated workers on loopback, against the protocol's sentences about leases and hanging machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout } from 'node:timers/promises';

import type { JobSpec } from '@shaleyoke/core/domain/job';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { COMMANDS_PATH, encodeCommands } from '@shaleyoke/protocol/workers';

import { httpCall } from '../src/loopback-http.js';
import { LoopbackWorker, type WorkerHost } from '../src/loopback-workers.js';
import { makeJobSpec } from '../src/specs.js';

const LEASE: Micros = 2 * SECOND;
const CALL_TIMEOUT_MS = 1_000;
/** Longer than a worker takes from one of its steps to the next. */
const STEP_MARGIN_MS = 200;
const CONFLICT = 409;

/** A worker on a clock of its own whose heartbeats are never answered, with one running task. */
class IsolatedWorker {
  now: Micros = 0;
  readonly left: Micros[] = [];
  readonly worker: LoopbackWorker;

  constructor(spec: JobSpec) {
    const host: WorkerHost = {
      now: () => this.now,
      spec: (id) => (id === spec.id ? spec : undefined),
      nodes: [{ member: 'n0', address: '' }],
      heartbeatIntervalUs: SECOND,
      leaseUs: LEASE,
      workers: new Map(),
      taskRan: () => undefined,
      taskLeft: () => this.left.push(this.now),
      call: () => Promise.resolve(null),
    };
    this.worker = new LoopbackWorker('m-1', 'box', 'a', false, host);
  }

  /** Lets time pass on the worker's clock, and the worker take its next steps. */
  async advance(duration: Micros): Promise<void> {
    this.now += duration;
    await setTimeout(STEP_MARGIN_MS);
  }

  /** Starts the only task of the job in the session; returns the status of the answer. */
  async start(spec: JobSpec, session: number, attempt: number): Promise<number | undefined> {
    const body = encodeCommands(1, session, [{ op: 'start', job: spec.id, index: 0, attempt }]);
    const answer = await httpCall(this.worker.address, 'POST', COMMANDS_PATH, body, CALL_TIMEOUT_MS);
    return answer?.status;
  }
}

test('a machine that hangs beyond its lease holds no task from the end of the lease on', async () => {
  // Guards against a task that counts as present while it has long been started elsewhere: "it may resume at any time within its
  // lease", after which the worker "kills and forgets all of its tasks and goes on with the next session".
  const spec = makeJobSpec('run-1', { estimatedRunUs: 900 * SECOND });
  const isolated = new IsolatedWorker(spec);
  const { worker } = isolated;
  await worker.boot();
  try {
    assert.equal(await isolated.start(spec, 1, 1), 200);
    await isolated.advance(SECOND);
    assert.equal(worker.runningTasks, 1);
    worker.hang(10 * SECOND);
    await isolated.advance(LEASE - SECOND - MILLISECOND);
    assert.deepEqual(isolated.left, [], 'it is there until the lease ends');
    await isolated.advance(SECOND);
    assert.deepEqual(isolated.left, [isolated.now], 'it left with the lease, in the middle of the hang');
    assert.equal(await isolated.start(spec, 1, 2), CONFLICT, 'a command of the session before is refused');
  } finally {
    worker.kill();
  }
});
