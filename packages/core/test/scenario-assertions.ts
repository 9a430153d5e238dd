/** Assertions that every run of a fault scenario has to pass. */
import assert from 'node:assert/strict';

import type { Outcome } from '@shaleyoke/emulator/fault-scenarios';

/**
 * Asserts that no rule was violated, most submitted jobs were accepted, all accepted jobs ended, no job waited beside free
 * capacity, and polls of every job were answered.
 */
export const checkOutcome = (outcome: Outcome, description: string): void => {
  assert.deepEqual(outcome.broken.slice(0, 5), [], description);
  assert.deepEqual(outcome.forgotten, [], `${description}: jobs for which no poll was answered for 75 s`);
  assert.deepEqual(outcome.leftWaiting, [], `${description}: jobs that waited for 90 s beside free capacity`);
  assert.deepEqual(outcome.open, [], `${description}: jobs that did not end`);
  assert.ok(outcome.accepted > 0.7, `${description}: accepted ${outcome.accepted}`);
};
