/** Settings: checked with readable errors, unknown fields ignored, lease inside what cancellation leaves. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { contradictions, describe } from '@shaleyoke/config/contradictions';
import { parseMembership, parseSettings, parseTuning, SettingsError } from '@shaleyoke/config/settings';
import { SECOND } from '@shaleyoke/core/domain/time';
import {
  maxCancellationAge,
  MIN_CANCELLATION_AGE_LIMIT,
} from '@shaleyoke/core/leadership/cancellation-freshness';
import { settingsFor } from '@shaleyoke/emulator/site';

test('the leader lease never outgrows half of what cancel_s leaves beside lease_s', () => {
  const s = settingsFor('a', ['a'], '');
  assert.ok(s.tuning.leaderLeaseUs * 2 + s.workerLeaseUs <= s.cancellationDeadlineUs);
  assert.equal(s.memberCount, 1);
});

test('wrong settings are named', () => {
  assert.throws(
    () => parseSettings('member = 3', null),
    (e: unknown) => e instanceof SettingsError && e.message.includes('member'),
  );
  assert.throws(() => parseSettings('member = ', null), SettingsError);
  assert.throws(
    () => parseTuning('silent_s: -1'),
    (e: unknown) => e instanceof SettingsError && e.message.includes('silent_s'),
  );
});

test('unknown fields are ignored and defaults hold', () => {
  assert.equal(parseTuning('a_later_field: 1').machineSuspicionUs, 10 * SECOND);
  assert.equal(parseTuning(null).costSensitivity, 'auto');
});

test('the smaller of the present and the announced limits holds, whichever are announced', () => {
  const plain = settingsFor('a', ['a'], '');
  const next = settingsFor('a', ['a'], '', 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0');
  assert.deepEqual(
    [plain.maxValueBytes, plain.maxTransactionOperations, plain.storeWritesPerS],
    [16_384, 16, 50],
  );
  assert.deepEqual([next.maxValueBytes, next.maxTransactionOperations, next.storeWritesPerS], [2_048, 5, 15]);
  assert.deepEqual([next.storeRequestsPerS, next.formerMaxValueBytes], [100, 16_384]);
  const larger = settingsFor('a', ['a'], '', 'value_kb = 64.0');
  assert.deepEqual([larger.maxValueBytes, larger.maxTransactionOperations], [16_384, 16]);
});

test('the file that switches beats on is closed, and names what is wrong in it', () => {
  assert.deepEqual(parseMembership('version: 1\n', 'm.yaml'), {
    heartbeatIntervalUs: SECOND,
    suspectAfterMissed: 3,
  });
  assert.deepEqual(parseMembership('version: 1\nbeat_s: 0.25\nsuspect_after_beats: 5\n', 'm.yaml'), {
    heartbeatIntervalUs: SECOND / 4,
    suspectAfterMissed: 5,
  });
  for (const [yaml, named] of [
    ['', /m\.yaml/],
    ['version: 2', /version/],
    ['version: 1\nbeat_s: 0', /beat_s/],
    ['version: 1\nbeats: 3', /beats/],
    ['version: 1\nsuspect_after_beats: 1', /suspect_after_beats/],
    ['version: [', /m\.yaml/],
  ] as const)
    assert.throws(
      () => parseMembership(yaml, 'm.yaml'),
      (e: unknown) => e instanceof SettingsError && named.test(e.message),
      yaml,
    );
});

test('settings by which a cancellation can not hold are named, with field and remedy', () => {
  const good = settingsFor('a', ['a', 'b'], '[[cluster.teams]]\nname = "t"\ncpus = 4.0\ncpus_max = 8.0\n');
  assert.deepEqual(contradictions(good), []);
  for (const [cancelS, leaseS] of [
    [20, 20],
    [10, 27],
    [30, 27],
  ] as const) {
    const bad = { ...good, cancellationDeadlineUs: cancelS * SECOND, workerLeaseUs: leaseS * SECOND };
    const [c, ...more] = contradictions(bad);
    assert.ok(c !== undefined && more.length === 0);
    assert.equal(c.level, 'error');
    assert.match(describe(c), /cancel_s.*lease_s.*raise cancel_s to/s);
    // What the remedy says is enough, and little less is not.
    const least = Number(/to (\d+\.\d)/.exec(c.remedy)![1]) * SECOND;
    assert.deepEqual(contradictions({ ...bad, cancellationDeadlineUs: least }), []);
    assert.equal(contradictions({ ...bad, cancellationDeadlineUs: least - SECOND / 2 }).length, 1);
  }
  assert.ok(maxCancellationAge(good) > MIN_CANCELLATION_AGE_LIMIT);
});

test('limits below guarantees and a node among its own peers are warned of', () => {
  const teams = '[[cluster.teams]]\nname = "t"\ncpus = 9.0\ncpus_max = 8.0\n';
  const s = settingsFor('a', ['a', 'b'], teams);
  const found = contradictions({ ...s, peers: [...s.peers, { member: 'a', address: '10.0.0.9:81' }] });
  assert.deepEqual(
    found.map((c) => [c.level, c.field]),
    [
      ['warning', 'peers'],
      ['warning', 'cluster.teams.t.cpus'],
    ],
  );
});
