/**
 * Users who look closely: all nodes are asked within milliseconds after a job was accepted, done or cancelled, the submission is
 * repeated, some cancel at once. The users of the emulated world remember the newest word that any node has told them, and
 * judge each answer by the moment at which they asked.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MILLI, SECOND } from '@shaleyoke/core/model';
import { Random } from '@shaleyoke/emulator/random';
import { specOf } from '@shaleyoke/emulator/specs';
import { World } from '@shaleyoke/emulator/world';

test('a repeated submission of a job that the node knows costs no writes', () => {
  const w = new World(new Random(5), 3, undefined, undefined, 4);
  w.runFor(3 * SECOND);
  const spec = specOf('run-1', { estimateUs: 300 * SECOND });
  w.submit(spec);
  w.runFor(2 * SECOND);
  const before = w.state.wasted;
  const answered = (): number | undefined => w.users.answeredAt.get('run-1');
  // Each node may learn of the job by one transaction that fails.
  for (let i = 0; i < 200; i++) {
    w.submit(spec);
    w.runFor(20 * MILLI);
  }
  w.runFor(SECOND);
  assert.ok(answered()! > w.now - 1_500 * MILLI);
  assert.ok(w.state.wasted - before <= 3, `writes that failed: ${w.state.wasted - before}`);
  assert.deepEqual([...new Set(w.broken)], []);
});
