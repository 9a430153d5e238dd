/** The client of the key-value store: keeps to the request budget and retries requests that the store rejected as too many. */
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import { type Micros, MILLISECOND, SECOND } from '@shaleyoke/core/domain/time';
import type { HttpCall } from '@shaleyoke/protocol/cloud';
import {
  decodeStoreReply,
  encodeStoreOperation,
  MAX_STORE_REPLY_BYTES,
} from '@shaleyoke/protocol/key-value-store';
import { Effect } from 'effect';

import { REJECTION_RETRY_TIME, TOO_MANY_REQUESTS, waitForAdmission } from './admission.js';
import { steadyNow } from './clock.js';
import { callHttp, type HttpReply, makeAgent } from './http-client.js';
import type { RateLimiter } from './rate-limiter.js';

const TIMEOUT: Micros = 1_200 * MILLISECOND;
/** Added to the wait time of a watch before it counts as unanswered. */
const WATCH_MARGIN: Micros = 2 * SECOND;
const SOCKETS = 16;
const WATCH_SOCKETS = 4;

const OVER_BUDGET: StoreReply = {
  kind: 'failed',
  executed: false,
  cause: 'busy',
  reason: 'over budget',
};
const NO_ANSWER: StoreReply = { kind: 'failed', executed: null, cause: 'silent', reason: 'no answer' };

const timeoutOf = (operation: StoreOperation): Micros =>
  operation.kind === 'watch' ? operation.waitMs * MILLISECOND + WATCH_MARGIN : TIMEOUT;

/** Sends requests to the key-value store. */
export class StoreClient {
  private readonly agent = makeAgent(SOCKETS);
  /** Watches stay open for seconds, so they have connections of their own and don't block other calls. */
  private readonly watchAgent = makeAgent(WATCH_SOCKETS);

  constructor(
    private readonly address: string,
    private readonly limiter: RateLimiter,
  ) {}

  /** Sends one request; retries it for a limited time while the store rejects it with status 429. */
  request(operation: StoreOperation, urgency: RequestUrgency): Effect.Effect<StoreReply> {
    const call = encodeStoreOperation(operation);
    const retryUntil = steadyNow() + REJECTION_RETRY_TIME[urgency];
    return this.attempt(operation, call, urgency, retryUntil);
  }

  private attempt(
    operation: StoreOperation,
    call: HttpCall,
    urgency: RequestUrgency,
    retryUntil: Micros,
  ): Effect.Effect<StoreReply> {
    const writes = operation.kind === 'txn' ? operation.writes.length : 0;
    return waitForAdmission(this.limiter, urgency, writes).pipe(
      Effect.flatMap((admitted) => {
        if (!admitted) return Effect.succeed(OVER_BUDGET);
        return this.send(operation, call).pipe(
          Effect.flatMap((reply) => {
            if (reply === null) return Effect.succeed(NO_ANSWER);
            if (reply.status === TOO_MANY_REQUESTS) {
              this.limiter.recordRejection(writes > 0);
              if (steadyNow() < retryUntil) return this.attempt(operation, call, urgency, retryUntil);
            }
            return Effect.succeed(decodeStoreReply(operation, reply.status, reply.body));
          }),
        );
      }),
    );
  }

  private send(operation: StoreOperation, call: HttpCall): Effect.Effect<HttpReply> {
    const agent = operation.kind === 'watch' ? this.watchAgent : this.agent;
    const limits = { timeout: timeoutOf(operation), maxBytes: MAX_STORE_REPLY_BYTES };
    return callHttp(agent, this.address, call, limits);
  }
}
