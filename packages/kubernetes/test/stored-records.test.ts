/** Literal records of Kubernetes-shaped objects and tokens in the key-value store: none of their names may ever change. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  guardKey,
  manifestKey,
  objectKey,
  readManifestChunk,
  readObject,
  splitIntoChunks,
} from '@shaleyoke/kubernetes/records';
import { newToken, readToken, tokenKey, verifyToken } from '@shaleyoke/kubernetes/tokens';

const OBJECT = {
  v: 1,
  uid: '0b8f',
  id: 'run-12',
  at: 1_796_126_400_000_000,
  pieces: 1,
  status: { active: 2, done: 3, began: 5, ended: null, result: null, why: '' },
  deleting: null,
};
const bytes = (length: number): Uint8Array => new Uint8Array(length).fill(1);
const TOKEN = {
  v: 1,
  tenant: 'maps',
  at: 0,
  by: 'x',
  why: 'y',
  salt: '01010101010101010101010101010101',
  hash: '89b53308396b17b8a20462ec11df817532cb5d2f81c7d2a9bffc978f9fb9878a',
};

test('objects and manifest chunks are decoded unchanged', () => {
  assert.deepEqual(readObject(OBJECT), OBJECT);
  for (const name of Object.keys(OBJECT))
    assert.equal(
      readObject(Object.fromEntries(Object.entries(OBJECT).filter(([key]) => key !== name))),
      null,
      name,
    );
  const status = { ...OBJECT.status, ended: 9, result: 'failed', why: 'DeadlineExceeded' };
  assert.deepEqual(readObject({ ...OBJECT, status, deleting: 10 }), { ...OBJECT, status, deleting: 10 });
  assert.deepEqual(readManifestChunk({ v: 1, text: '{}' }), { v: 1, text: '{}' });
  assert.deepEqual(splitIntoChunks('{"kind":"Job"}', 2_000), [{ v: 1, text: '{"kind":"Job"}' }]);
});

test('a token is stored with only the hash of its secret', () => {
  const token = newToken(bytes(4), bytes(32), bytes(16), { tenant: 'maps', at: 0, by: 'x', why: 'y' });
  assert.equal(token.token, '01010101.AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE');
  assert.deepEqual(token.record, TOKEN);
  const record = readToken(TOKEN);
  assert.deepEqual(record, TOKEN);
  assert.ok(record !== null && verifyToken(record, token.token));
});

test('keys', () => {
  assert.deepEqual(
    [objectKey('maps', 'tiles'), manifestKey('0b8f', 2), guardKey('0b8f'), tokenKey('01')],
    ['k/o/job/maps/tiles', 'k/m/0b8f/2', 'k/m/0b8f/guard', 'k/t/01'],
  );
});
