/** Assertions that every run of a fault scenario has to pass. */
import assert from 'node:assert/strict';

import type { ScenarioOutcome } from '@shaleyoke/emulator/fault-scenarios';

/**
 * Asserts that no rule was violated, most submitted jobs were accepted, all accepted jobs ended, no job waited beside free
 * capacity, and polls of every job were answered.
 */
export const checkOutcome = (outcome: ScenarioOutcome, description: string): void => {
  assert.deepEqual(outcome.violations.slice(0, 5), [], description);
  assert.deepEqual(
    outcome.unansweredJobs,
    [],
    `${description}: jobs for which no poll was answered for 75 s`,
  );
  assert.deepEqual(outcome.starvedJobs, [], `${description}: jobs that waited for 90 s beside free capacity`);
  assert.deepEqual(outcome.unfinishedJobs, [], `${description}: jobs that did not end`);
  assert.ok(outcome.acceptedShare > 0.7, `${description}: accepted ${outcome.acceptedShare}`);
};
