/** Run-time estimates learned from finished and stopped runs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RuntimeEstimates } from '@shaleyoke/core/cluster/runtime-estimates';
import { SECOND } from '@shaleyoke/core/domain/time';

test('stopped runs count as censored, and groups with few samples borrow from broader groups', () => {
  const estimates = new RuntimeEstimates();
  for (let i = 0; i < 20; i++) estimates.recordRun('c', 'x', 10 * SECOND, 20 * SECOND, true);
  const fromFinishedRuns = estimates.remaining('c', 'x', 10 * SECOND, 0);
  assert.ok(Math.abs(fromFinishedRuns - 20 * SECOND) < SECOND);
  for (let i = 0; i < 10; i++) estimates.recordRun('c', 'x', 10 * SECOND, 5 * SECOND, false);
  assert.ok(
    estimates.remaining('c', 'x', 10 * SECOND, 0) > 19 * SECOND,
    'a stopped run does not count as a short one',
  );
  assert.ok(
    estimates.remaining('c', 'y', 10 * SECOND, 0) > 15 * SECOND,
    'an unseen machine type borrows from the job class',
  );
  assert.ok(estimates.remaining('c', 'x', 10 * SECOND, 60 * SECOND) > 0);
  const restored = new RuntimeEstimates();
  restored.restore(JSON.parse(JSON.stringify(estimates.toStored(16_000))));
  assert.ok(restored.remaining('c', 'x', 10 * SECOND, 0) > 19 * SECOND);
});
