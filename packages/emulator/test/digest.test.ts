/** Tests that the digest of a generated history is deterministic, and changes with any byte, message, time or order. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { CoreEffect } from '@shaleyoke/core/domain/effects';
import {
  digestOfSeed,
  type HistoryDigest,
  NO_FEATURES,
  planOf,
} from '@shaleyoke/emulator/digest/generated-history';
import { MessageDigest } from '@shaleyoke/emulator/digest/message-digest';

const put = (value: unknown): CoreEffect => ({
  kind: 'storeRequest',
  call: 1,
  op: { kind: 'txn', conditions: [], writes: [{ kind: 'put', key: 'j/run-1', value }] },
  urgency: 1,
});

const digestOf = (...effects: readonly (readonly [number, CoreEffect])[]): string => {
  const digest = new MessageDigest(NO_FEATURES.encodeAnswer);
  for (const [at, effect] of effects) digest.add(at, 'n0', effect);
  return digest.finish();
};

test('a seed has the same digest and trace in each run, with and without faults', () => {
  for (const seed of [4, 7]) {
    const traces: string[][] = [[], []];
    const results = traces.map((lines): HistoryDigest =>
      digestOfSeed(planOf(seed), NO_FEATURES, (line) => lines.push(line)),
    );
    assert.deepEqual(results[0], results[1]);
    assert.deepEqual(traces[0], traces[1]);
    assert.equal(traces[0]!.length, results[0]!.messages);
    for (const kind of [
      'storeRequest',
      'cloudRequest',
      'workerCommands',
      'clientResponse',
      'heartbeatResponse',
    ] as const)
      assert.ok((results[0]!.counts.get(kind) ?? 0) >= 10, `seed ${seed}: ${kind}`);
  }
  assert.notEqual(digestOfSeed(planOf(4), NO_FEATURES).digest, digestOfSeed(planOf(8), NO_FEATURES).digest);
});

test('the digest includes peer messages if membership is enabled', () => {
  assert.ok((digestOfSeed(planOf(2), NO_FEATURES).counts.get('peerMessage') ?? 0) > 100);
});

test('the digest depends on field names, times, number and order of messages', () => {
  const spec = { saveUs: 1 };
  const same = digestOf([5, put({ spec })]);
  assert.equal(digestOf([5, put({ spec: { saveUs: 1 } })]), same);
  assert.notEqual(digestOf([5, put({ spec: { checkpointDurationUs: 1 } })]), same);
  assert.notEqual(digestOf([6, put({ spec })]), same);
  assert.notEqual(digestOf([5, put({ spec })], [5, put({ spec })]), same);
  assert.notEqual(digestOf([5, put(1)], [5, put(2)]), digestOf([5, put(2)], [5, put(1)]));
});

test('the digest ignores logs, timers and roles', () => {
  const none = digestOf();
  assert.equal(digestOf([1, { kind: 'wake', at: 2 }]), none);
  assert.equal(digestOf([1, { kind: 'role', leader: true }]), none);
  assert.equal(digestOf([1, { kind: 'log', level: 'info', event: 'leader.elected', fields: {} }]), none);
});
