/** Settings: checked with readable errors, unknown fields ignored, lease inside what cancellation leaves. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '@shaleyoke/core/model';
import { parseMembership, parseSettings, parseTuning, SettingsError } from '@shaleyoke/settings/settings';
import { settingsFor } from '@shaleyoke/emulator/site';

test('the leader lease never outgrows half of what cancel_s leaves beside lease_s', () => {
  const s = settingsFor('a', ['a'], '');
  assert.ok(s.tuning.leaderLeaseUs * 2 + s.leaseUs <= s.cancelUs);
  assert.equal(s.members, 1);
});

test('wrong settings are named', () => {
  assert.throws(
    () => parseSettings('member = 3', null),
    (e: unknown) => e instanceof SettingsError && /member/.test(e.message),
  );
  assert.throws(() => parseSettings('member = ', null), SettingsError);
  assert.throws(
    () => parseTuning('silent_s: -1'),
    (e: unknown) => e instanceof SettingsError && /silent_s/.test(e.message),
  );
});

test('unknown fields are ignored and defaults hold', () => {
  assert.equal(parseTuning('a_later_field: 1').silentUs, 10 * SECOND);
  assert.equal(parseTuning(null).thrift, 'auto');
});

test('the smaller of the present and the announced limits holds, whichever are announced', () => {
  const plain = settingsFor('a', ['a'], '');
  const next = settingsFor('a', ['a'], '', 'value_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0');
  assert.deepEqual([plain.valueBytes, plain.txnOps, plain.stateWriteRps], [16_384, 16, 50]);
  assert.deepEqual([next.valueBytes, next.txnOps, next.stateWriteRps], [2_048, 5, 15]);
  assert.deepEqual([next.stateRps, next.formerValueBytes], [100, 16_384]);
  const larger = settingsFor('a', ['a'], '', 'value_kb = 64.0');
  assert.deepEqual([larger.valueBytes, larger.txnOps], [16_384, 16]);
});

test('the file that switches beats on is closed, and names what is wrong in it', () => {
  assert.deepEqual(parseMembership('version: 1\n', 'm.yaml'), { beatUs: SECOND, suspectBeats: 3 });
  assert.deepEqual(parseMembership('version: 1\nbeat_s: 0.25\nsuspect_after_beats: 5\n', 'm.yaml'), {
    beatUs: SECOND / 4,
    suspectBeats: 5,
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
