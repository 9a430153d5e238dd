/**
 * A simulated controller's access to the store through the client-side rate limiter of a real process: requests are queued,
 * fail when they have waited for too long, and are retried for a while if the store rejects them.
 */
import { REJECTION_RETRY_TIME } from '@shaleyoke/controller/admission';
import { budgetShares } from '@shaleyoke/controller/budget-shares';
import { RateLimiter, type Schedule } from '@shaleyoke/controller/rate-limiter';
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Micros } from '@shaleyoke/core/domain/time';

const OVER_BUDGET: StoreReply = { kind: 'failed', executed: false, cause: 'busy', reason: 'over budget' };

/** The settings that limit a controller's requests. */
export type StoreLimits = Pick<Settings, 'memberCount' | 'storeRequestsPerS' | 'storeWritesPerS'>;

/** Sends one request to the store, and calls back with its reply. */
export type SendToStore = (onReply: (reply: StoreReply) => void) => void;

/** One process's access to the store. */
export class LimitedStoreAccess {
  private readonly limiter: RateLimiter;
  /** Requests that failed before they were sent, by urgency. */
  readonly givenUp: Record<RequestUrgency, number> = { 0: 0, 1: 0, 2: 0 };
  /** Requests that were sent, retries included. */
  sentRequests = 0;

  constructor(
    private readonly limits: StoreLimits,
    private readonly now: () => Micros,
    schedule: Schedule,
  ) {
    const { requests, writes } = this.ratesOf(false);
    this.limiter = new RateLimiter(requests, writes, now, schedule);
  }

  /** Adjusts the process's share of the budget: the leader gets the larger one. */
  setRole(isLeader: boolean): void {
    const { requests, writes } = this.ratesOf(isLeader);
    this.limiter.setRates(requests, writes);
  }

  private ratesOf(isLeader: boolean): { requests: number; writes: number } {
    const { memberCount, storeRequestsPerS, storeWritesPerS } = this.limits;
    const shares = budgetShares(memberCount, isLeader);
    return { requests: storeRequestsPerS * shares.requests, writes: storeWritesPerS * shares.writes };
  }

  /** Sends the request once it is admitted, and retries for a while if the store rejects it because of its limits. */
  request(
    operation: StoreOperation,
    urgency: RequestUrgency,
    send: SendToStore,
    onReply: (reply: StoreReply) => void,
  ): void {
    const writes = operation.kind === 'txn' ? operation.writes.length : 0;
    const retryUntil = this.now() + REJECTION_RETRY_TIME[urgency];
    const attempt = (): void => {
      this.limiter.admit(urgency, writes, (admitted) => {
        if (!admitted) {
          this.givenUp[urgency]++;
          onReply(OVER_BUDGET);
          return;
        }
        this.sentRequests++;
        send((reply) => {
          const isRejected = reply.kind === 'failed' && reply.cause === 'busy';
          if (isRejected) this.limiter.recordRejection(writes > 0);
          if (isRejected && this.now() < retryUntil) attempt();
          else onReply(reply);
        });
      });
    };
    attempt();
  }
}
