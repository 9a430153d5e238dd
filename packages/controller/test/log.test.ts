/** Guards against an unknown LOG_LEVEL being accepted as some level instead of being reported. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { parseLogLevel } from '@shaleyoke/controller/log';

test('the level is error, info or debug, defaults to info, and any other value is rejected', () => {
  assert.deepEqual([undefined, '', 'error', 'info', 'debug'].map(parseLogLevel), [
    'info',
    'info',
    'error',
    'info',
    'debug',
  ]);
  for (const wrong of ['INFO', 'warn', 'toString', ' info']) assert.equal(parseLogLevel(wrong), null, wrong);
});
