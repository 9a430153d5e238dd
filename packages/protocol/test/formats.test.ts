/** Round trips and malformed input for every format. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encode } from '@msgpack/msgpack';
import fc from 'fast-check';
import { decodeBody, encodeBody, MalformedMessageError } from '@shaleyoke/protocol/body';
import { decodeCloudReply } from '@shaleyoke/protocol/cloud';
import { decodePeer, encodePeer, peerKind } from '@shaleyoke/protocol/peers';
import { decodeStoreReply } from '@shaleyoke/protocol/key-value-store';
import { decodeSubmission, route } from '@shaleyoke/protocol/client-api';
import { decodeCommandReply, decodeHeartbeat } from '@shaleyoke/protocol/workers';
import { encodeActiveJob, decodeActiveJob } from '@shaleyoke/core/codecs/job-codec';
import { TaskBitset } from '@shaleyoke/core/domain/task-bitset';

const seed = { seed: 20261, numRuns: 300 };

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

test('a submission is read whole, in whole microseconds', () => {
  const r = decodeSubmission(encodeBody(submission));
  assert.equal(r.kind === 'submit' ? r.problem : '', null);
  assert.equal(r.kind === 'submit' ? r.spec?.shape : '', 'gang');
  assert.equal(r.kind === 'submit' ? r.spec?.estimatedRunUs : 0, 240_000_000);
  assert.equal(r.kind === 'submit' ? r.spec?.zone : '', null);
});

test('every required field of a submission is missed, and wrong values are named', () => {
  for (const name of Object.keys(submission)) {
    if (['models', 'due_s'].includes(name)) continue;
    const broken = Object.fromEntries(Object.entries(submission).filter(([k]) => k !== name));
    const r = decodeSubmission(encodeBody(broken));
    assert.ok(r.kind === 'submit' && r.spec === null && r.problem!.includes(name), name);
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
    const r = decodeSubmission(encodeBody({ ...submission, [name]: value }));
    assert.ok(r.kind === 'submit' && r.spec === null, `${name}=${String(value)}`);
  }
});

test('whatever a field is replaced by, a submission is malformed, or what is accepted is read back from its record', () => {
  const odd = fc.oneof(
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
    fc.property(fc.constantFrom(...Object.keys(submission), 'hall', 'awaits'), odd, (name, value) => {
      const r = decodeSubmission(encodeBody({ ...submission, [name]: value }));
      assert.equal(r.kind, 'submit');
      if (r.kind !== 'submit' || r.spec === null) return;
      accepted++;
      // The state service keeps what JSON can say.
      const kept = JSON.parse(JSON.stringify(decodeBody(encodeBody(encodeActiveJob(r.spec, 5))))) as unknown;
      assert.deepEqual(decodeActiveJob(kept)?.spec, r.spec, `${name}: ${String(value)}`);
    }),
    { ...seed, numRuns: 3_000 },
  );
  assert.ok(accepted > 300, `accepted: ${accepted}`);
});

test('no bytes, however odd, break a decoder', () => {
  fc.assert(
    fc.property(fc.oneof(fc.uint8Array({ maxLength: 200 }), fc.anything().map(safely)), (bytes) => {
      const r = decodeSubmission(bytes);
      assert.equal(r.kind, 'submit');
      for (const op of [
        { kind: 'types' },
        { kind: 'list', after: '', limit: 1 },
        { kind: 'rent', request: 'r', type: 't', zone: 'z', spot: false, count: 1 },
      ] as const)
        for (const status of [200, 400, 503]) decodeCloudReply(op, status, bytes);
      for (const op of [
        { kind: 'get', key: 'k' },
        { kind: 'list', prefix: 'k', limit: 1 },
        { kind: 'txn', conditions: [], writes: [] },
        { kind: 'grant', ttlMs: 1 },
        { kind: 'watch', prefix: 'k', after: 0, waitMs: 1 },
      ] as const)
        for (const status of [200, 400, 404, 409, 410, 500]) decodeStoreReply(op, status, bytes);
      for (const status of [200, 409, 500]) decodeCommandReply(status, bytes);
      for (const kind of ['progress', 'beat'] as const) decodePeer(kind, Buffer.from(bytes));
      try {
        decodeHeartbeat(decodeBody(bytes));
      } catch (e) {
        assert.ok(e instanceof MalformedMessageError);
      }
    }),
    seed,
  );
});

const safely = (v: unknown): Uint8Array => {
  try {
    return encode(v);
  } catch {
    return new Uint8Array([0xc1]);
  }
};

test('peer messages survive the way there', () => {
  const note = fc.record(
    { id: fc.string(), done: fc.nat(100_000), running: fc.nat(100_000) },
    { noNullPrototype: true },
  );
  fc.assert(
    fc.property(fc.string(), fc.nat(), fc.array(note, { maxLength: 40 }), (member, term, jobs) => {
      assert.deepEqual(
        decodePeer('progress', encodePeer({ kind: 'progress', member, term, jobs: jobs }).body),
        {
          kind: 'progress',
          member,
          term,
          jobs,
        },
      );
    }),
    seed,
  );
});

test('sets of done tasks survive being written in segments', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 3000 }), fc.array(fc.nat(2999)), (size, picks) => {
      const a = new TaskBitset(size);
      for (const p of picks) a.add(p % size);
      const b = new TaskBitset(size);
      for (let from = 0; from < a.bytes.length; from += 64) b.merge(from, a.encode(from, from + 64));
      assert.deepEqual(b.bytes, a.bytes);
      assert.equal(b.count, a.count);
    }),
    seed,
  );
});

test('paths and methods', () => {
  assert.deepEqual(route('GET', '/api/jobs/run-1'), { kind: 'poll', id: 'run-1' });
  assert.deepEqual(route('POST', '/api/jobs/run-1/abort'), { kind: 'cancel', id: 'run-1' });
  assert.deepEqual(route('GET', '/api/jobs'), { kind: 'refused', status: 405 });
  assert.deepEqual(route('POST', '/api/jobs/run-1'), { kind: 'refused', status: 405 });
  assert.deepEqual(route('GET', '/nothing'), { kind: 'refused', status: 404 });
});

test('named jobs are read once each; what is no list of other job ids is malformed', () => {
  const needs = (awaits: unknown): readonly string[] | null => {
    const r = decodeSubmission(encodeBody({ ...submission, awaits }));
    return r.kind === 'submit' && r.spec !== null ? r.spec.dependsOn : null;
  };
  assert.deepEqual(needs(undefined), []);
  assert.deepEqual(needs(null), []);
  assert.deepEqual(needs([]), []);
  assert.deepEqual(needs(['run-2', 'run-1', 'run-2']), ['run-2', 'run-1']);
  for (const wrong of ['run-1', {}, 7, [7], ['job-1'], ['run-'], [null], ['run-000412'], ['run-1', 'x']])
    assert.equal(needs(wrong), null, JSON.stringify(wrong));
});

test('beats survive the way there, on a path that the version before refuses', () => {
  const heard = fc.record(
    { member: fc.string(), incarnation: fc.nat(), ageUs: fc.nat(), suspected: fc.boolean() },
    { noNullPrototype: true },
  );
  const beat = fc.record(
    {
      kind: fc.constant('beat' as const),
      member: fc.string(),
      incarnation: fc.integer({ min: 1, max: 2 ** 52 }),
      sequence: fc.nat(),
      term: fc.option(fc.nat()),
      storeAnswerAgeUs: fc.option(fc.integer({ min: 0, max: 2 ** 45 })),
      timerDelayUs: fc.nat(),
      workerCount: fc.nat(10_000),
      peers: fc.array(heard, { maxLength: 9 }),
    },
    { noNullPrototype: true },
  );
  fc.assert(
    fc.property(beat, (b) => {
      const { path, body } = encodePeer(b);
      assert.notEqual(path, '/peer/v1');
      assert.equal(peerKind(path), 'beat');
      assert.deepEqual(decodePeer('beat', body), b);
      assert.ok(
        body.length < 100 + 9 * 40 + 4 * (b.member.length + b.peers.reduce((n, o) => n + o.member.length, 0)),
      );
    }),
    seed,
  );
  assert.equal(peerKind('/peer/v3'), null);
});

test('peers of the version before and of this one read each other; other bytes are dropped', () => {
  // As the version before sends it.
  const bytes = Buffer.from('0c646f636b2d300602' + '0a72756e2d37' + '0608' + '00', 'hex');
  const message = {
    kind: 'progress',
    member: 'dock-0',
    term: 3,
    jobs: [{ id: 'run-7', done: 3, running: 4 }],
  } as const;
  assert.deepEqual(decodePeer('progress', bytes), message);
  assert.deepEqual(encodePeer(message), { path: '/peer/v1', body: bytes });
  assert.equal(decodePeer('progress', Buffer.concat([bytes, Buffer.from([1, 2])])), null);
  assert.equal(decodePeer('progress', bytes.subarray(0, 9)), null);
});

test('bodies that nest as deep as a body can are refused like any other, and end nothing', () => {
  // A parser that calls itself for each level ended a whole process once (docs/incidents/nested-body.md).
  const lists = Buffer.concat([Buffer.alloc(65_000, 0x91), Buffer.from([0xc0])]);
  const maps = Buffer.concat([Buffer.alloc(60_000, Buffer.from([0x81, 0xa1, 0x61])), Buffer.from([0xc0])]);
  for (const body of [lists, maps]) {
    const r = decodeSubmission(body);
    assert.equal(r.kind === 'submit' ? r.spec : 'none', null);
  }
});
