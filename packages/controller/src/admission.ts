/** Waiting for a rate limiter as an effect. */
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import { type Micros, MILLI, SECOND } from '@shaleyoke/core/domain/time';
import { Effect } from 'effect';

import type { RateLimiter } from './rate-limiter.js';

/** True once the call may be sent; false when it has waited for too long. */
export const waitForAdmission = (
  limiter: RateLimiter,
  urgency: RequestUrgency,
  writes: number,
): Effect.Effect<boolean> =>
  Effect.async<boolean>((resume) => {
    limiter.admit(urgency, writes, (admitted) => {
      resume(Effect.succeed(admitted));
    });
  });

/** Status of an answer that asks for fewer requests. */
export const TOO_MANY_REQUESTS = 429;

/** How long a call to the store that was rejected with this status is tried again, by urgency. */
export const RETRY_REJECTED_FOR: Record<RequestUrgency, Micros> = {
  0: 2 * SECOND,
  1: 900 * MILLI,
  2: 4 * SECOND,
};
