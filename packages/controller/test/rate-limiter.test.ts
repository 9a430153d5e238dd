/** The limiter lowers its rate while the service keeps rejecting calls, and raises it again afterwards. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RateLimiter } from '@shaleyoke/controller/rate-limiter';
import { MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';

/** Numbers of writes that a service accepts and rejects if it announces one rate and enforces another. */
const simulate = (announcedPerS: number, actualPerS: number, seconds: number) => {
  let now = 0;
  let ended = false;
  // After the end the clock advances with each reading, so that calls that still wait are abandoned and no timer remains.
  const limiter = new RateLimiter(1_000, announcedPerS, () => (ended ? (now += SECOND) : now));
  let tokens = actualPerS;
  let accepted = 0;
  let rejected = 0;
  for (let ms = 0; ms < seconds * 1_000; ms += 10) {
    now = ms * MILLISECOND;
    tokens = Math.min(actualPerS, tokens + actualPerS / 100);
    limiter.admit(1, 1, (admitted) => {
      if (!admitted || ended) return;
      if (tokens >= 1) {
        tokens--;
        accepted++;
      } else {
        rejected++;
        limiter.recordRejection(true);
      }
    });
  }
  ended = true;
  return { accepted, rejected };
};

test('a service that accepts less than it announced is used at about its actual rate', () => {
  const { accepted, rejected } = simulate(20, 5, 120);
  assert.ok(accepted > 120 * 5 * 0.6, `${accepted} accepted`);
  assert.ok(rejected < accepted, `${rejected} rejected, ${accepted} accepted`);
});

test('a service that accepts its announced rate is used in full', () => {
  const { accepted, rejected } = simulate(20, 20, 60);
  assert.ok(accepted > 60 * 20 * 0.8, `${accepted} accepted`);
  assert.ok(rejected < accepted / 20, `${rejected} rejected`);
});
