/** The rate goes down while the service turns calls away again and again, and comes back. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RateLimiter } from '@shaleyoke/controller/rate-limiter';
import { MILLI, SECOND } from '@shaleyoke/core/domain/time';

/** Writes that a service with a limit of its own takes in a while, and how many it turns away. */
const play = (announced: number, real: number, seconds: number) => {
  let now = 0;
  let over = false;
  // Once the play is over time runs by itself: what still waits is given up, and no timer stays.
  const limiter = new RateLimiter(1_000, announced, () => (over ? (now += SECOND) : now));
  let tokens = real;
  let taken = 0;
  let turnedAway = 0;
  for (let ms = 0; ms < seconds * 1_000; ms += 10) {
    now = ms * MILLI;
    tokens = Math.min(real, tokens + real / 100);
    limiter.admit(1, 1, (ok) => {
      if (!ok || over) return;
      if (tokens >= 1) {
        tokens--;
        taken++;
      } else {
        turnedAway++;
        limiter.recordRejection(true);
      }
    });
  }
  over = true;
  return { taken, turnedAway };
};

test('a service that takes less than announced is used at about its own rate', () => {
  const { taken, turnedAway } = play(20, 5, 120);
  assert.ok(taken > 120 * 5 * 0.6, `${taken} taken`);
  assert.ok(turnedAway < taken, `${turnedAway} turned away, ${taken} taken`);
});

test('a service that keeps its word is used in full', () => {
  const { taken, turnedAway } = play(20, 20, 60);
  assert.ok(taken > 60 * 20 * 0.8, `${taken} taken`);
  assert.ok(turnedAway < taken / 20, `${turnedAway} turned away`);
});
