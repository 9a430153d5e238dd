/** Round trips of all message formats, and malformed input, which decoders must reject without any other exception. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { encode } from '@msgpack/msgpack';
import { decodeActiveJob, encodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import { TaskBitset } from '@shaleyoke/core/domain/task-bitset';
import { decodeBody, encodeBody, MalformedMessageError } from '@shaleyoke/protocol/body';
import { decodeSubmission, routeRequest } from '@shaleyoke/protocol/client-api';
import { decodeCloudReply } from '@shaleyoke/protocol/cloud';
import { decodeStoreReply } from '@shaleyoke/protocol/key-value-store';
import { decodePeerMessage, encodePeerMessage, peerMessageKindOf } from '@shaleyoke/protocol/peers';
import { decodeCommandReply, decodeHeartbeat } from '@shaleyoke/protocol/workers';
import fc from 'fast-check';

const PROPERTY_OPTIONS = { seed: 20261, numRuns: 300 };

const submission = {
  ref: 'run-000412',
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
  same_place: true,
  scatter: false,
  loaners: true,
  expect_s: 240,
  snapshot_s: 30,
  flush_s: 4,
  due_s: 900,
};

test('a submission is decoded completely, with durations in whole microseconds', () => {
  const request = decodeSubmission(encodeBody(submission));
  assert.equal(request.kind === 'submit' ? request.problem : '', null);
  assert.equal(request.kind === 'submit' ? request.spec?.shape : '', 'gang');
  assert.equal(request.kind === 'submit' ? request.spec?.estimatedRunUs : 0, 240_000_000);
  assert.equal(request.kind === 'submit' ? request.spec?.zone : '', null);
});

test('a submission without a required field, or with a wrong value, is malformed, and the missing field is named', () => {
  for (const name of Object.keys(submission)) {
    if (['models', 'due_s'].includes(name)) continue;
    const broken = Object.fromEntries(Object.entries(submission).filter(([field]) => field !== name));
    const request = decodeSubmission(encodeBody(broken));
    assert.ok(request.kind === 'submit' && request.spec === null && request.problem!.includes(name), name);
  }
  const wrong: [string, unknown][] = [
    ['parts', 0],
    ['parts', 1.5],
    ['parts', 100_001],
    ['cores', NaN],
    ['cores', -1],
    ['memory_gb', Infinity],
    ['gpus', '1'],
    ['ref', 'job-1'],
    ['shape', 'gang'],
    ['models', ['g8', 3]],
    ['scatter', 1],
  ];
  for (const [name, value] of wrong) {
    const request = decodeSubmission(encodeBody({ ...submission, [name]: value }));
    assert.ok(request.kind === 'submit' && request.spec === null, `${name}=${String(value)}`);
  }
});

test('a submission with any field replaced is either rejected or restored unchanged from its stored record', () => {
  const replacement = fc.oneof(
    fc.constantFrom<unknown>(
      null,
      '',
      ' ',
      [],
      {},
      true,
      false,
      -1,
      -0,
      0,
      0.5,
      1,
      1e-300,
      1e9,
      1e15,
      1e300,
      1.7e308,
      2 ** 53,
      2 ** 63,
    ),
    fc.constantFrom<unknown>(
      NaN,
      Infinity,
      'x'.repeat(201),
      ['g8', null],
      [''],
      'run-1',
      '\u0000',
      'A',
      100_000,
      100_001,
    ),
    fc.double(),
    fc.string(),
  );
  let accepted = 0;
  fc.assert(
    fc.property(fc.constantFrom(...Object.keys(submission), 'hall', 'awaits'), replacement, (name, value) => {
      const request = decodeSubmission(encodeBody({ ...submission, [name]: value }));
      assert.equal(request.kind, 'submit');
      if (request.kind !== 'submit' || request.spec === null) return;
      accepted++;
      // The store holds JSON values only.
      const stored = JSON.parse(
        JSON.stringify(decodeBody(encodeBody(encodeActiveJob(request.spec, 5)))),
      ) as unknown;
      assert.deepEqual(decodeActiveJob(stored)?.spec, request.spec, `${name}: ${String(value)}`);
    }),
    { ...PROPERTY_OPTIONS, numRuns: 3_000 },
  );
  assert.ok(accepted > 300, `accepted: ${accepted}`);
});

test('decoders throw nothing but MalformedMessageError, whatever the input bytes', () => {
  fc.assert(
    fc.property(fc.oneof(fc.uint8Array({ maxLength: 200 }), fc.anything().map(encodeOrInvalid)), (bytes) => {
      const request = decodeSubmission(bytes);
      assert.equal(request.kind, 'submit');
      for (const operation of [
        { kind: 'types' },
        { kind: 'list', after: '', limit: 1 },
        { kind: 'rent', request: 'r', type: 't', zone: 'z', spot: false, count: 1 },
      ] as const)
        for (const status of [200, 400, 503]) decodeCloudReply(operation, status, bytes);
      for (const operation of [
        { kind: 'get', key: 'k' },
        { kind: 'list', prefix: 'k', limit: 1 },
        { kind: 'txn', conditions: [], writes: [] },
        { kind: 'grant', ttlMs: 1 },
        { kind: 'watch', prefix: 'k', after: 0, waitMs: 1 },
      ] as const)
        for (const status of [200, 400, 404, 409, 410, 500]) decodeStoreReply(operation, status, bytes);
      for (const status of [200, 409, 500]) decodeCommandReply(status, bytes);
      for (const kind of ['progress', 'beat'] as const) decodePeerMessage(kind, Buffer.from(bytes));
      try {
        decodeHeartbeat(decodeBody(bytes));
      } catch (error) {
        assert.ok(error instanceof MalformedMessageError);
      }
    }),
    PROPERTY_OPTIONS,
  );
});

const encodeOrInvalid = (value: unknown): Uint8Array => {
  try {
    return encode(value);
  } catch {
    return new Uint8Array([0xc1]);
  }
};

test('progress updates are decoded as they were encoded', () => {
  const job = fc.record(
    { id: fc.string(), done: fc.nat(100_000), running: fc.nat(100_000) },
    { noNullPrototype: true },
  );
  fc.assert(
    fc.property(fc.string(), fc.nat(), fc.array(job, { maxLength: 40 }), (member, term, jobs) => {
      assert.deepEqual(
        decodePeerMessage('progress', encodePeerMessage({ kind: 'progress', member, term, jobs }).body),
        {
          kind: 'progress',
          member,
          term,
          jobs,
        },
      );
    }),
    PROPERTY_OPTIONS,
  );
});

test('sets of completed tasks are restored from segments', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 3000 }), fc.array(fc.nat(2999)), (size, tasks) => {
      const original = new TaskBitset(size);
      for (const task of tasks) original.add(task % size);
      const restored = new TaskBitset(size);
      for (let from = 0; from < original.bytes.length; from += 64)
        restored.merge(from, original.encode(from, from + 64));
      assert.deepEqual(restored.bytes, original.bytes);
      assert.equal(restored.count, original.count);
    }),
    PROPERTY_OPTIONS,
  );
});

test('paths and methods are routed', () => {
  assert.deepEqual(routeRequest('GET', '/api/jobs/run-1'), { kind: 'poll', id: 'run-1' });
  assert.deepEqual(routeRequest('POST', '/api/jobs/run-1/abort'), { kind: 'cancel', id: 'run-1' });
  assert.deepEqual(routeRequest('GET', '/api/jobs'), { kind: 'refused', status: 405 });
  assert.deepEqual(routeRequest('POST', '/api/jobs/run-1'), { kind: 'refused', status: 405 });
  assert.deepEqual(routeRequest('GET', '/nothing'), { kind: 'refused', status: 404 });
});

test('dependencies are decoded without duplicates; anything but a list of other job ids is malformed', () => {
  const dependenciesOf = (awaits: unknown): readonly string[] | null => {
    const request = decodeSubmission(encodeBody({ ...submission, awaits }));
    return request.kind === 'submit' && request.spec !== null ? request.spec.dependsOn : null;
  };
  assert.deepEqual(dependenciesOf(undefined), []);
  assert.deepEqual(dependenciesOf(null), []);
  assert.deepEqual(dependenciesOf([]), []);
  assert.deepEqual(dependenciesOf(['run-2', 'run-1', 'run-2']), ['run-2', 'run-1']);
  for (const wrong of ['run-1', {}, 7, [7], ['job-1'], ['run-'], [null], ['run-000412'], ['run-1', 'x']])
    assert.equal(dependenciesOf(wrong), null, JSON.stringify(wrong));
});

test('heartbeats are decoded as they were encoded, and use a path that the previous version refuses', () => {
  const peerStatus = fc.record(
    { member: fc.string(), incarnation: fc.nat(), ageUs: fc.nat(), suspected: fc.boolean() },
    { noNullPrototype: true },
  );
  const heartbeat = fc.record(
    {
      kind: fc.constant('beat' as const),
      member: fc.string(),
      incarnation: fc.integer({ min: 1, max: 2 ** 52 }),
      sequence: fc.nat(),
      term: fc.option(fc.nat()),
      storeAnswerAgeUs: fc.option(fc.integer({ min: 0, max: 2 ** 45 })),
      timerDelayUs: fc.nat(),
      workerCount: fc.nat(10_000),
      peers: fc.array(peerStatus, { maxLength: 9 }),
    },
    { noNullPrototype: true },
  );
  fc.assert(
    fc.property(heartbeat, (message) => {
      const { path, body } = encodePeerMessage(message);
      assert.notEqual(path, '/peer/v1');
      assert.equal(peerMessageKindOf(path), 'beat');
      assert.deepEqual(decodePeerMessage('beat', body), message);
      assert.ok(
        body.length <
          100 +
            9 * 40 +
            4 *
              (message.member.length +
                message.peers.reduce((length, peer) => length + peer.member.length, 0)),
      );
    }),
    PROPERTY_OPTIONS,
  );
  assert.equal(peerMessageKindOf('/peer/v3'), null);
});

test('progress updates are compatible with the previous version; malformed bytes are rejected', () => {
  // Bytes as the previous version sends them.
  const bytes = Buffer.from('0c646f636b2d300602' + '0a72756e2d37' + '0608' + '00', 'hex');
  const message = {
    kind: 'progress',
    member: 'dock-0',
    term: 3,
    jobs: [{ id: 'run-7', done: 3, running: 4 }],
  } as const;
  assert.deepEqual(decodePeerMessage('progress', bytes), message);
  assert.deepEqual(encodePeerMessage(message), { path: '/peer/v1', body: bytes });
  assert.equal(decodePeerMessage('progress', Buffer.concat([bytes, Buffer.from([1, 2])])), null);
  assert.equal(decodePeerMessage('progress', bytes.subarray(0, 9)), null);
});

test('a body with the deepest possible nesting is refused as malformed and does not end the process', () => {
  // Guards against a recursive parser, whose stack overflow once ended a whole process (docs/incidents/nested-body.md).
  const lists = Buffer.concat([Buffer.alloc(65_000, 0x91), Buffer.from([0xc0])]);
  const maps = Buffer.concat([Buffer.alloc(60_000, Buffer.from([0x81, 0xa1, 0x61])), Buffer.from([0xc0])]);
  for (const body of [lists, maps]) {
    const request = decodeSubmission(body);
    assert.equal(request.kind === 'submit' ? request.spec : 'none', null);
  }
});

test('a reply that is longer than allowed counts as lost; if it is that of a watch, the keys have to be listed', () => {
  // Guards against a watch that asks for the same changes again and again, because they never fit into a reply.
  assert.deepEqual(decodeStoreReply({ kind: 'watch', prefix: 'j/', after: 1, waitMs: 0 }, 200, null), {
    kind: 'tooOld',
  });
  const list = decodeStoreReply({ kind: 'list', prefix: 'j/', limit: 1 }, 200, null);
  assert.ok(list.kind === 'failed' && list.executed === null);
  assert.equal(decodeStoreReply({ kind: 'get', key: 'k' }, 503, null).kind, 'failed');
  assert.equal(decodeCloudReply({ kind: 'types' }, 200, null).kind, 'failed');
  assert.deepEqual(decodeCommandReply(200, null), { kind: 'lost', heartbeat: null });
});
