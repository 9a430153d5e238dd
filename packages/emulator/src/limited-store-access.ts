/**
 * The way from a simulated controller to the store under the controller's own rate limiter, as in a real process: calls wait
 * for their turn, are given up when that takes too long, and are tried again for a while if the store rejects them.
 */
import { RETRY_REJECTED_FOR } from '@shaleyoke/controller/admission';
import { budgetShares } from '@shaleyoke/controller/budget-shares';
import { RateLimiter, type Schedule } from '@shaleyoke/controller/rate-limiter';
import type { RequestUrgency } from '@shaleyoke/core/domain/effects';
import type { StoreOperation, StoreReply } from '@shaleyoke/core/domain/key-value-store';
import type { Settings } from '@shaleyoke/core/domain/settings';
import type { Micros } from '@shaleyoke/core/domain/time';

const OVER_BUDGET: StoreReply = { kind: 'failed', executed: false, cause: 'busy', reason: 'over budget' };

/** The parts of the settings that bound a controller's requests. */
export type StoreLimits = Pick<Settings, 'memberCount' | 'storeRequestsPerS' | 'storeWritesPerS'>;

/** Sends one request to the store, and calls back with its reply. */
export type SendToStore = (onReply: (reply: StoreReply) => void) => void;

/** One process's access to the store. */
export class LimitedStoreAccess {
  private readonly limiter: RateLimiter;
  /** Calls that were given up before they were sent, by urgency. */
  readonly givenUp: Record<RequestUrgency, number> = { 0: 0, 1: 0, 2: 0 };
  /** Requests that were sent. */
  sent = 0;

  constructor(
    private readonly limits: StoreLimits,
    private readonly now: () => Micros,
    schedule: Schedule,
  ) {
    const { requests, writes } = this.ratesOf(false);
    this.limiter = new RateLimiter(requests, writes, now, schedule);
  }

  /** The leader gets the larger share of the budget. */
  setRole(isLeader: boolean): void {
    const { requests, writes } = this.ratesOf(isLeader);
    this.limiter.setRates(requests, writes);
  }

  private ratesOf(isLeader: boolean): { requests: number; writes: number } {
    const { memberCount, storeRequestsPerS, storeWritesPerS } = this.limits;
    const shares = budgetShares(memberCount, isLeader);
    return { requests: storeRequestsPerS * shares.requests, writes: storeWritesPerS * shares.writes };
  }

  /** Sends the request once it is admitted, again for a while if the store rejects it for its limits. */
  request(
    operation: StoreOperation,
    urgency: RequestUrgency,
    send: SendToStore,
    onReply: (reply: StoreReply) => void,
  ): void {
    const writes = operation.kind === 'txn' ? operation.writes.length : 0;
    const retryUntil = this.now() + RETRY_REJECTED_FOR[urgency];
    const attempt = (): void => {
      this.limiter.admit(urgency, writes, (admitted) => {
        if (!admitted) {
          this.givenUp[urgency]++;
          onReply(OVER_BUDGET);
          return;
        }
        this.sent++;
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
