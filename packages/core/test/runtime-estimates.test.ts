/** Learned run times. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RuntimeEstimates } from '@shaleyoke/core/cluster/runtime-estimates';
import { SECOND } from '@shaleyoke/core/domain/time';

test('stopped runs are censored, and groups with few samples borrow from broader ones', () => {
  const learned = new RuntimeEstimates();
  for (let i = 0; i < 20; i++) learned.recordRun('c', 'x', 10 * SECOND, 20 * SECOND, true);
  const plain = learned.remaining('c', 'x', 10 * SECOND, 0);
  assert.ok(Math.abs(plain - 20 * SECOND) < SECOND);
  for (let i = 0; i < 10; i++) learned.recordRun('c', 'x', 10 * SECOND, 5 * SECOND, false);
  assert.ok(learned.remaining('c', 'x', 10 * SECOND, 0) > 19 * SECOND, 'a stopped run is not a short one');
  assert.ok(
    learned.remaining('c', 'y', 10 * SECOND, 0) > 15 * SECOND,
    'an unseen type borrows from its class',
  );
  assert.ok(learned.remaining('c', 'x', 10 * SECOND, 60 * SECOND) > 0);
  const restored = new RuntimeEstimates();
  restored.load(JSON.parse(JSON.stringify(learned.summary(16_000))));
  assert.ok(restored.remaining('c', 'x', 10 * SECOND, 0) > 19 * SECOND);
});
