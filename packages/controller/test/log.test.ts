/** LOG_LEVEL: a wrong one is named, not taken for another. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { logLevel } from '@shaleyoke/controller/log';

test('the level is one of three, info where none is set, and nothing else is taken for one', () => {
  assert.deepEqual([undefined, '', 'error', 'info', 'debug'].map(logLevel), [
    'info',
    'info',
    'error',
    'info',
    'debug',
  ]);
  for (const wrong of ['INFO', 'warn', 'toString', ' info']) assert.equal(logLevel(wrong), null, wrong);
});
