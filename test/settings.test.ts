/** Settings: checked with readable errors, unknown fields ignored, lease inside what cancellation leaves. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '../src/core/model.js';
import { parseSettings, parseTuning, SettingsError } from '../src/settings/settings.js';
import { settingsFor } from './world.js';

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
