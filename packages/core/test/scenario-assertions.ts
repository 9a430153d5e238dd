/** What every run of fault scenarios has to come to. */
import assert from 'node:assert/strict';

import type { Outcome } from '@shaleyoke/emulator/fault-scenarios';

/** Asserts that no rule was broken, all accepted work ended, and every question was answered. */
export const checkOutcome = (outcome: Outcome, description: string): void => {
  assert.deepEqual(outcome.broken.slice(0, 5), [], description);
  assert.deepEqual(outcome.forgotten, [], `${description}: jobs about which nothing was answered for 75 s`);
  assert.deepEqual(outcome.leftWaiting, [], `${description}: jobs that waited for 90 s beside free room`);
  assert.deepEqual(outcome.open, [], `${description}: work that did not end`);
  assert.ok(outcome.accepted > 0.7, `${description}: accepted ${outcome.accepted}`);
};
