/** What every play of meetings has to come to. */
import assert from 'node:assert/strict';
import type { Outcome } from '@shaleyoke/emulator/fault-scenarios';

export const checkOutcome = (o: Outcome, what: string): void => {
  assert.deepEqual(o.broken.slice(0, 5), [], what);
  assert.deepEqual(o.forgotten, [], `${what}: jobs about which nothing was answered for 75 s`);
  assert.deepEqual(o.leftWaiting, [], `${what}: jobs that waited for 90 s beside free room`);
  assert.deepEqual(o.open, [], `${what}: work that did not end`);
  assert.ok(o.accepted > 0.7, `${what}: accepted ${o.accepted}`);
};
