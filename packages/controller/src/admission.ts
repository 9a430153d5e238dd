/** Waiting for a rate limiter as an effect. */
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
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
