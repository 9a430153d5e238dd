/**
 * Literal bodies of each message on the wire. Guards against a rename in the code changing a field name of the protocol: only the
 * codecs know these names, and none of them may change.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Heartbeat } from '@shaleyoke/core/domain/heartbeat';
import type { JobSpec } from '@shaleyoke/core/domain/job';
import type { StoreOperation } from '@shaleyoke/core/domain/key-value-store';
import { SECOND } from '@shaleyoke/core/domain/time';
import { decodeBody, encodeBody } from '@shaleyoke/protocol/body';
import { decodeSubmission, encodeClientResponse } from '@shaleyoke/protocol/client-api';
import { decodeCloudReply, encodeCloudOperation } from '@shaleyoke/protocol/cloud';
import { decodeStoreReply, encodeStoreOperation } from '@shaleyoke/protocol/key-value-store';
import { decodePeerMessage, encodePeerMessage } from '@shaleyoke/protocol/peers';
import {
  decodeCommandReply,
  decodeHeartbeat,
  encodeCommands,
  encodeHeartbeatResponse,
} from '@shaleyoke/protocol/workers';

const bodyOf = (bytes: Uint8Array | null): unknown => (bytes === null ? null : decodeBody(bytes));

test('a submission', () => {
  const request = decodeSubmission(
    encodeBody({
      ref: 'run-412',
      bundle: 'train',
      owner: 'vision',
      shape: 'group',
      urgency: 'urgent',
      parts: 16,
      cores: 8,
      gpus: 1,
      memory_gb: 64,
      build: 'img-07',
      image_gb: 6.2,
      models: ['g8'],
      hall: 'a',
      same_place: true,
      scatter: false,
      loaners: true,
      expect_s: 240,
      snapshot_s: 30,
      flush_s: 4,
      due_s: 900,
      awaits: ['run-4'],
    }),
  );
  const spec: JobSpec = {
    id: 'run-412',
    class: 'train',
    team: 'vision',
    shape: 'gang',
    priority: 2,
    tasks: 16,
    cores: 8,
    gpus: 1,
    memoryGb: 64,
    image: 'img-07',
    imageGb: 6.2,
    machineTypes: ['g8'],
    zone: 'a',
    sameZone: true,
    spreadAcrossZones: false,
    spot: true,
    estimatedRunUs: 240 * SECOND,
    checkpointIntervalUs: 30 * SECOND,
    checkpointDurationUs: 4 * SECOND,
    deadlineUs: 900 * SECOND,
    dependsOn: ['run-4'],
  };
  assert.deepEqual(request, { kind: 'submit', id: 'run-412', spec, problem: null });
});

test('responses to clients', () => {
  const view = { id: 'run-1', done: 3, running: 2 };
  const wireStages = { queued: 'queued', running: 'running', done: 'done', cancelled: 'withdrawn' } as const;
  for (const stage of ['queued', 'running', 'done', 'cancelled'] as const) {
    const response = encodeClientResponse({ kind: 'view', created: true, view: { ...view, stage } });
    assert.equal(response.status, 201);
    assert.deepEqual(bodyOf(response.body), { ref: 'run-1', stage: wireStages[stage], done: 3, running: 2 });
  }
  const existing = encodeClientResponse({ kind: 'view', created: false, view: { ...view, stage: 'queued' } });
  assert.equal(existing.status, 200);
  const refusals = [
    [encodeClientResponse({ kind: 'malformed', problem: 'x' }), 400],
    [encodeClientResponse({ kind: 'impossible', problem: 'x' }), 422],
    [encodeClientResponse({ kind: 'unavailable', retryAfterS: 1, problem: 'x' }), 503],
  ] as const;
  for (const [response, status] of refusals) {
    assert.equal(response.status, status);
    assert.deepEqual(bodyOf(response.body), { error: 'x' });
  }
  assert.equal(refusals[2][0].retryAfterS, 1);
  assert.equal(encodeClientResponse({ kind: 'absent' }).status, 404);
  assert.deepEqual(bodyOf(encodeClientResponse({ kind: 'healthy' }).body), {});
});

const HEARTBEAT_BODY = {
  berth: 'm-1',
  address: '10.1.0.7:90',
  model: 'g8',
  hall: 'a',
  loaners: true,
  shift: 2,
  tally: 17,
  baton: 3_145_729,
  recall_s: 12.5,
  parts: [
    { part: 'run-1/0', try: 50, stage: 'pulling' },
    { part: 'run-1/1', try: 51, stage: 'gathering' },
    { part: 'run-1/2', try: 52, stage: 'running' },
    { part: 'run-1/3', try: 53, stage: 'flushing' },
    { part: 'run-1/4', try: 54, stage: 'exited', cause: 'done' },
    { part: 'run-1/5', try: 55, stage: 'exited', cause: 'stopped', saved: true },
    { part: 'run-1/6', try: 56, stage: 'exited', cause: 'peers' },
    { part: 'run-1/7', try: 57, stage: 'exited', cause: 'incomplete' },
    { part: 'run-1/8', try: 58, stage: 'exited', cause: 'error' },
    { part: 'run-1/9', try: 59, stage: 'exited', cause: 'full' },
    { part: 'run-1/10', try: 60, stage: 'exited', cause: 'busy' },
    { part: 'run-1/11', try: 61, stage: 'exited', cause: 'no_such' },
  ],
};
const active = (index: number, state: 'fetching' | 'waiting' | 'running' | 'saving') =>
  ({ job: 'run-1', index, attempt: 50 + index, state, cause: null, checkpointed: false }) as const;
const exited = (
  index: number,
  cause: 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'noRoom' | 'busy' | 'unknown',
  checkpointed = false,
) => ({ job: 'run-1', index, attempt: 50 + index, state: 'exited', cause, checkpointed }) as const;
const HEARTBEAT: Heartbeat = {
  machine: 'm-1',
  address: '10.1.0.7:90',
  type: 'g8',
  zone: 'a',
  spot: true,
  agentEpoch: 2,
  sequence: 17,
  fencingToken: 3_145_729,
  terminationNoticeUs: 12_500_000,
  tasks: [
    active(0, 'fetching'),
    active(1, 'waiting'),
    active(2, 'running'),
    active(3, 'saving'),
    exited(4, 'done'),
    exited(5, 'stopped', true),
    exited(6, 'peers'),
    exited(7, 'alone'),
    exited(8, 'error'),
    exited(9, 'noRoom'),
    exited(10, 'busy'),
    exited(11, 'unknown'),
  ],
};

test("a worker's heartbeat, sent by itself and in reply to commands", () => {
  assert.deepEqual(decodeHeartbeat(HEARTBEAT_BODY), HEARTBEAT);
  assert.deepEqual(decodeHeartbeat({ ...HEARTBEAT_BODY, recall_s: null }), {
    ...HEARTBEAT,
    terminationNoticeUs: null,
  });
  assert.deepEqual(decodeCommandReply(200, encodeBody(HEARTBEAT_BODY)), {
    kind: 'executed',
    heartbeat: HEARTBEAT,
  });
  assert.deepEqual(decodeCommandReply(409, encodeBody(HEARTBEAT_BODY)), {
    kind: 'refused',
    heartbeat: HEARTBEAT,
  });
  assert.deepEqual(decodeCommandReply(503, encodeBody(HEARTBEAT_BODY)), { kind: 'lost', heartbeat: null });
});

test('responses to heartbeats, and commands', () => {
  const id = { job: 'run-1', index: 4, attempt: 50 };
  const commands = [
    { op: 'start', ...id },
    { op: 'stop', ...id, graceUs: 1_500_000 },
    { op: 'forget', ...id },
  ] as const;
  const bodies = [
    { verb: 'launch', part: 'run-1/4', try: 50 },
    { verb: 'kill', part: 'run-1/4', try: 50, leeway_s: 1.5 },
    { verb: 'clear', part: 'run-1/4', try: 50 },
  ];
  const accepted = encodeHeartbeatResponse({ kind: 'accepted', fencingToken: 9, commands });
  assert.equal(accepted.status, 200);
  assert.deepEqual(bodyOf(accepted.body), { baton: 9, orders: bodies });
  const redirect = encodeHeartbeatResponse({ kind: 'redirect', leader: 'dock-1' });
  assert.equal(redirect.status, 421);
  assert.deepEqual(bodyOf(redirect.body), { foreman: 'dock-1' });
  assert.deepEqual(bodyOf(encodeHeartbeatResponse({ kind: 'redirect', leader: null }).body), {});
  const unavailable = encodeHeartbeatResponse({ kind: 'unavailable' });
  assert.equal(unavailable.status, 503);
  assert.deepEqual(bodyOf(unavailable.body), { error: 'not entitled to answer reports now' });
  assert.deepEqual(bodyOf(encodeCommands(9, 2, commands)), { baton: 9, shift: 2, orders: bodies });
});

test('requests to the key-value store', () => {
  const requests: [StoreOperation, string, string, unknown][] = [
    [{ kind: 'get', key: 'j/run-1' }, 'GET', '/kv/j/run-1', null],
    [{ kind: 'list', prefix: 'j/', limit: 500 }, 'GET', '/kv?under=j%2F&page=500', null],
    [
      { kind: 'list', prefix: 'j/', after: 'j/run-1', limit: 500 },
      'GET',
      '/kv?under=j%2F&since=j%2Frun-1&page=500',
      null,
    ],
    [
      {
        kind: 'txn',
        conditions: [{ key: 'lead', version: 4 }],
        writes: [
          { kind: 'put', key: 'lead', value: { member: 'dock-1' }, lease: 8 },
          { kind: 'put', key: 'term', value: { n: 1 } },
          { kind: 'delete', key: 'j/run-1' },
        ],
      },
      'POST',
      '/txn',
      {
        when: [{ key: 'lead', stamp: 4 }],
        writes: [
          { set: 'lead', data: { member: 'dock-1' }, permit: 8 },
          { set: 'term', data: { n: 1 } },
          { remove: 'j/run-1' },
        ],
      },
    ],
    [{ kind: 'grant', ttlMs: 4_000 }, 'POST', '/grants', { life_ms: 4_000 }],
    [{ kind: 'renew', lease: 8 }, 'POST', '/grants/8/touch', {}],
    [{ kind: 'revoke', lease: 8 }, 'DELETE', '/grants/8', null],
    [
      { kind: 'watch', prefix: 'j/', after: 12, waitMs: 8_000 },
      'GET',
      '/follow?under=j%2F&since=12&wait_ms=8000',
      null,
    ],
  ];
  for (const [operation, method, path, body] of requests) {
    const call = encodeStoreOperation(operation);
    assert.deepEqual([call.method, call.path, bodyOf(call.body)], [method, path, body]);
  }
});

test('replies of the key-value store', () => {
  const get = { kind: 'get', key: 'k' } as const;
  const list = { kind: 'list', prefix: 'k', limit: 1 } as const;
  const txn = { kind: 'txn', conditions: [], writes: [] } as const;
  const grant = { kind: 'grant', ttlMs: 1 } as const;
  const watch = { kind: 'watch', prefix: 'k', after: 0, waitMs: 1 } as const;
  const row = { key: 'k', data: 7, stamp: 3, permit: null };
  const item = { key: 'k', value: 7, version: 3, lease: null };
  const answers: [StoreOperation, number, unknown, unknown][] = [
    [get, 200, row, { kind: 'item', item }],
    [get, 404, { ledger: 9 }, { kind: 'missing', revision: 9 }],
    [
      list,
      200,
      { rows: [row], more: true, ledger: 9 },
      { kind: 'items', items: [item], more: true, revision: 9 },
    ],
    [txn, 200, { ledger: 9 }, { kind: 'ok', revision: 9 }],
    [txn, 409, { failed: ['k'], ledger: 9 }, { kind: 'conflict', failed: ['k'], revision: 9 }],
    [txn, 400, { error: 'no such lease' }, { kind: 'noLease' }],
    [grant, 200, { permit: 8 }, { kind: 'granted', lease: 8 }],
    [
      watch,
      200,
      {
        ledger: 9,
        events: [
          { set: 'k', data: 7, stamp: 8 },
          { remove: 'k', stamp: 9 },
        ],
      },
      {
        kind: 'events',
        events: [
          { kind: 'put', key: 'k', value: 7, version: 8 },
          { kind: 'delete', key: 'k', version: 9 },
        ],
        revision: 9,
      },
    ],
    [watch, 410, {}, { kind: 'tooOld' }],
    [get, 503, {}, { kind: 'failed', executed: false, cause: 'refused', reason: 'status 503' }],
    [get, 429, {}, { kind: 'failed', executed: false, cause: 'busy', reason: 'status 429' }],
  ];
  for (const [operation, status, body, reply] of answers)
    assert.deepEqual(decodeStoreReply(operation, status, encodeBody(body)), reply);
});

test('requests to the cloud, and its replies', () => {
  const rent = { kind: 'rent', request: 'r-7-1', type: 'g8', zone: 'a', spot: true, count: 4 } as const;
  const rented = encodeCloudOperation(rent);
  assert.deepEqual([rented.method, rented.path], ['POST', '/hosts']);
  assert.deepEqual(bodyOf(rented.body), {
    booking: 'r-7-1',
    model: 'g8',
    hall: 'a',
    loaners: true,
    count: 4,
  });
  const removed = encodeCloudOperation({ kind: 'delete', machines: ['m-1'] });
  assert.deepEqual([removed.method, removed.path], ['POST', '/hosts/delete']);
  assert.deepEqual(bodyOf(removed.body), { berths: ['m-1'] });
  assert.equal(encodeCloudOperation({ kind: 'types' }).path, '/flavors');
  assert.equal(
    encodeCloudOperation({ kind: 'list', after: 'm-1', limit: 500 }).path,
    '/hosts?since=m-1&page=500',
  );
  const model = {
    sku: 'g8',
    cores: 32,
    gpus: 8,
    memory_gb: 256,
    cache_gb: 100,
    pull_gb_per_s: 0.5,
    rate: 12.5,
    market_price: 4.25,
    startup_s: 45,
    halls: ['a', 'b'],
  };
  assert.deepEqual(decodeCloudReply({ kind: 'types' }, 200, encodeBody({ models: [model] })), {
    kind: 'types',
    types: [
      {
        name: 'g8',
        cores: 32,
        gpus: 8,
        memoryGb: 256,
        imageCacheGb: 100,
        imagePullGbPerS: 0.5,
        price: 12.5,
        spotPrice: 4.25,
        bootUs: 45 * SECOND,
        zones: ['a', 'b'],
      },
    ],
  });
  const host = {
    ref: 'm-1',
    address: '10.1.0.7:90',
    model: 'g8',
    hall: 'a',
    loaners: true,
    stage: 'running',
    age_s: 3.5,
  };
  const listing = encodeBody({ berths: [host], more: false });
  assert.deepEqual(decodeCloudReply({ kind: 'list', after: '', limit: 1 }, 200, listing), {
    kind: 'listed',
    machines: [
      {
        name: 'm-1',
        address: '10.1.0.7:90',
        type: 'g8',
        zone: 'a',
        spot: true,
        state: 'running',
        ageUs: 3_500_000,
      },
    ],
    more: false,
  });
  assert.deepEqual(decodeCloudReply(rent, 200, encodeBody({ berths: ['m-1'] })), {
    kind: 'rented',
    machines: ['m-1'],
  });
  assert.deepEqual(decodeCloudReply(rent, 503, encodeBody({ error: 'no capacity' })), { kind: 'noCapacity' });
  assert.deepEqual(decodeCloudReply({ kind: 'delete', machines: [] }, 200, Buffer.alloc(0)), {
    kind: 'deleted',
  });
});

test('messages between controllers, byte for byte', () => {
  const progress = {
    kind: 'progress',
    member: 'dock-0',
    term: 3,
    jobs: [{ id: 'run-7', done: 3, running: 4 }],
  } as const;
  const progressBytes = Buffer.from('0c646f636b2d300602' + '0a72756e2d37' + '060800', 'hex');
  assert.deepEqual(encodePeerMessage(progress), { path: '/peer/v1', body: progressBytes });
  assert.deepEqual(decodePeerMessage('progress', progressBytes), progress);
  const heartbeat = {
    kind: 'beat',
    member: 'dock-0',
    incarnation: 9,
    sequence: 5,
    term: 3,
    storeAnswerAgeUs: null,
    timerDelayUs: 100,
    workerCount: 7,
    peers: [{ member: 'dock-1', incarnation: 8, ageUs: 50, suspected: true }],
  } as const;
  const heartbeatBytes = Buffer.from(
    '0c646f636b2d30' +
      '12' +
      '0a' +
      '0206' +
      '00' +
      'c801' +
      '0e' +
      '02' +
      '0c646f636b2d31' +
      '10' +
      '64' +
      '01' +
      '00',
    'hex',
  );
  assert.deepEqual(encodePeerMessage(heartbeat), { path: '/peer/v2/beat', body: heartbeatBytes });
  assert.deepEqual(decodePeerMessage('beat', heartbeatBytes), heartbeat);
});
