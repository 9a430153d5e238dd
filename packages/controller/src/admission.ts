/** Admission of calls by a rate limiter, as an effect. */
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import { Effect } from 'effect';

import type { RateLimiter } from './rate-limiter.js';

/** Waits for admission: true once the call may be sent, false if it has waited for too long. */
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

/** HTTP status of a response that rejects a request because there are too many. */
export const TOO_MANY_REQUESTS = 429;

/** How long a call to the store that was rejected with that status is retried, by urgency. */
export const REJECTION_RETRY_TIME: Record<RequestUrgency, Micros> = {
  0: 2 * SECOND,
  1: 900 * MILLISECOND,
  2: 4 * SECOND,
};
