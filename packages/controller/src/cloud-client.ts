/** The client of the cloud; keeps to the request budget. */
import type { CloudOperation, CloudReply } from '@shaleyoke/core/domain/cloud';
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import { SECOND } from '@shaleyoke/core/domain/time';
import { decodeCloudReply, encodeCloudOperation, MAX_CLOUD_REPLY_BYTES } from '@shaleyoke/protocol/cloud';
import { Effect } from 'effect';

import { TOO_MANY_REQUESTS, waitForAdmission } from './admission.js';
import { callHttp, makeAgent } from './http-client.js';
import type { RateLimiter } from './rate-limiter.js';

const RESPONSE_LIMITS = { timeout: 5 * SECOND, maxBytes: MAX_CLOUD_REPLY_BYTES };
const SOCKETS = 4;

/** Sends requests to the cloud, each once: the caller decides on retries. */
export class CloudClient {
  private readonly agent = makeAgent(SOCKETS);

  constructor(
    private readonly address: string,
    private readonly limiter: RateLimiter,
  ) {}

  /** Sends one request; without an answer the reply is a failure. */
  request(operation: CloudOperation, urgency: RequestUrgency): Effect.Effect<CloudReply> {
    return waitForAdmission(this.limiter, urgency, 0).pipe(
      Effect.flatMap((admitted) =>
        admitted
          ? this.send(operation)
          : Effect.succeed<CloudReply>({ kind: 'failed', reason: 'over budget' }),
      ),
    );
  }

  private send(operation: CloudOperation): Effect.Effect<CloudReply> {
    return callHttp(this.agent, this.address, encodeCloudOperation(operation), RESPONSE_LIMITS).pipe(
      Effect.map((reply): CloudReply => {
        if (reply === null) return { kind: 'failed', reason: 'no answer' };
        if (reply.status === TOO_MANY_REQUESTS) this.limiter.recordRejection(false);
        return decodeCloudReply(operation, reply.status, reply.body);
      }),
    );
  }
}
