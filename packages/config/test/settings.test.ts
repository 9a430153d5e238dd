/** Parsing and checking of settings: error messages, unknown fields, defaults, announced limits and contradictions. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { describeContradiction, findContradictions } from '@shaleyoke/config/contradictions';
import { parseMembership, parseSettings, parseTuning, SettingsError } from '@shaleyoke/config/settings';
import { SECOND } from '@shaleyoke/core/domain/time';
import {
  maxCancellationAge,
  MIN_CANCELLATION_AGE_LIMIT,
} from '@shaleyoke/core/leadership/cancellation-freshness';
import { settingsFor } from '@shaleyoke/emulator/site';

test('the leader lease never exceeds half of the difference between cancel_s and lease_s', () => {
  const settings = settingsFor('a', ['a'], '');
  assert.ok(settings.tuning.leaderLeaseUs * 2 + settings.workerLeaseUs <= settings.cancellationDeadlineUs);
  assert.equal(settings.memberCount, 1);
});

test('an error message names the invalid field', () => {
  assert.throws(
    () => parseSettings('member = 3', null),
    (error: unknown) => error instanceof SettingsError && error.message.includes('member'),
  );
  assert.throws(() => parseSettings('member = ', null), SettingsError);
  assert.throws(
    () => parseTuning('silent_s: -1'),
    (error: unknown) => error instanceof SettingsError && error.message.includes('silent_s'),
  );
});

test('unknown fields are ignored and defaults apply', () => {
  assert.equal(parseTuning('a_later_field: 1').machineSuspicionUs, 10 * SECOND);
  assert.equal(parseTuning(null).costSensitivity, 'auto');
});

test('the smaller of a present and an announced limit applies, whichever limits are announced', () => {
  const present = settingsFor('a', ['a'], '');
  const next = settingsFor('a', ['a'], '', 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0');
  assert.deepEqual(
    [present.maxValueBytes, present.maxTransactionOperations, present.storeWritesPerS],
    [16_384, 16, 50],
  );
  assert.deepEqual([next.maxValueBytes, next.maxTransactionOperations, next.storeWritesPerS], [2_048, 5, 15]);
  assert.deepEqual([next.storeRequestsPerS, next.formerMaxValueBytes], [100, 16_384]);
  const larger = settingsFor('a', ['a'], '', 'value_kb = 64.0');
  assert.deepEqual([larger.maxValueBytes, larger.maxTransactionOperations], [16_384, 16]);
});

test('the membership file allows no unknown fields, and an error message names the invalid field', () => {
  assert.deepEqual(parseMembership('version: 1\n', 'm.yaml'), {
    heartbeatIntervalUs: SECOND,
    suspectAfterMissed: 3,
  });
  assert.deepEqual(parseMembership('version: 1\nbeat_s: 0.25\nsuspect_after_beats: 5\n', 'm.yaml'), {
    heartbeatIntervalUs: SECOND / 4,
    suspectAfterMissed: 5,
  });
  for (const [yaml, expectedMessage] of [
    ['', /m\.yaml/],
    ['version: 2', /version/],
    ['version: 1\nbeat_s: 0', /beat_s/],
    ['version: 1\nbeats: 3', /beats/],
    ['version: 1\nsuspect_after_beats: 1', /suspect_after_beats/],
    ['version: [', /m\.yaml/],
  ] as const)
    assert.throws(
      () => parseMembership(yaml, 'm.yaml'),
      (error: unknown) => error instanceof SettingsError && expectedMessage.test(error.message),
      yaml,
    );
});

test('settings by which the cancellation deadline can not be met are errors, with field and remedy', () => {
  const consistent = settingsFor(
    'a',
    ['a', 'b'],
    '[[cluster.teams]]\nname = "t"\ncpus = 4.0\ncpus_max = 8.0\n',
  );
  assert.deepEqual(findContradictions(consistent), []);
  for (const [cancelS, leaseS] of [
    [20, 20],
    [10, 27],
    [30, 27],
  ] as const) {
    const inconsistent = {
      ...consistent,
      cancellationDeadlineUs: cancelS * SECOND,
      workerLeaseUs: leaseS * SECOND,
    };
    const [contradiction, ...others] = findContradictions(inconsistent);
    assert.ok(contradiction !== undefined && others.length === 0);
    assert.equal(contradiction.level, 'error');
    assert.match(describeContradiction(contradiction), /cancel_s.*lease_s.*raise cancel_s to/s);
    // The suggested value is sufficient, and half a second less is not.
    const suggested = Number(/to (\d+\.\d)/.exec(contradiction.remedy)![1]) * SECOND;
    assert.deepEqual(findContradictions({ ...inconsistent, cancellationDeadlineUs: suggested }), []);
    assert.equal(
      findContradictions({ ...inconsistent, cancellationDeadlineUs: suggested - SECOND / 2 }).length,
      1,
    );
  }
  assert.ok(maxCancellationAge(consistent) > MIN_CANCELLATION_AGE_LIMIT);
});

test('a limit below a guarantee and a controller among its own peers are warnings', () => {
  const teams = '[[cluster.teams]]\nname = "t"\ncpus = 9.0\ncpus_max = 8.0\n';
  const settings = settingsFor('a', ['a', 'b'], teams);
  const found = findContradictions({
    ...settings,
    peers: [...settings.peers, { member: 'a', address: '10.0.0.9:81' }],
  });
  assert.deepEqual(
    found.map((contradiction) => [contradiction.level, contradiction.field]),
    [
      ['warning', 'peers'],
      ['warning', 'cluster.teams.t.cpus'],
    ],
  );
});
