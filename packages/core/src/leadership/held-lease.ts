/**
 * The leader lease while this node holds it: renews the lease, and decides until when the leader may act under it. The
 * validity is measured by this node's monotonic clock from the time at which the last successful renewal was sent, less
 * a margin for clock drift.
 */
import type { Micros } from '../domain/time.js';
import { MILLISECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { CLOCK_DRIFT_MARGIN } from './cancellation-freshness.js';
import type { LeaderLease } from './leader-lease.js';

/** Number of renewals within the duration of one lease. */
const RENEWALS_PER_LEASE = 5;
/** Fixed margin by which the validity is shortened, in addition to the one for clock drift. */
const EXPIRY_MARGIN_US: Micros = 20 * MILLISECOND;

/** Receives the outcomes of renewals. */
export interface HeldLeaseEvents {
  /** The store confirmed a renewal. */
  onRenewed(): void;
  /** The lease no longer exists in the store. */
  onExpired(): void;
}

/** Renews a lease until it is released, and reports whether the leader may act under it. */
export class HeldLease {
  private validUntil: Micros = 0;
  /** Set on resignation: until this time, renewals do not extend the validity. */
  private resignedUntil: Micros = 0;
  private released = false;
  private suspended = false;

  constructor(
    private readonly context: NodeContext,
    /** The lease as it was acquired. */
    readonly lease: LeaderLease,
    private readonly events: HeldLeaseEvents,
  ) {}

  /** Whether the lease is unexpired by this node's monotonic clock. */
  private isValid(now: Micros): boolean {
    return now < this.validUntil;
  }

  /**
   * Whether commands and confirmations may be sent now: the lease is valid, and the cancellations that other nodes
   * confirmed are known. Renewals only prove the first: they can go on while watch replies are lost or a watch hangs,
   * and other nodes confirm cancellations meanwhile. In generated histories cancelled jobs then ran (`ran_cancelled`).
   */
  canAct(): boolean {
    const { now } = this.context;
    return this.isValid(now) && this.lease.freshness.isFresh(now);
  }

  /**
   * Whether the lease is valid, but watches and lists have failed on this node for too long to learn of cancellations.
   */
  isCancellationDataOutdated(): boolean {
    const { now } = this.context;
    return this.isValid(now) && this.lease.freshness.isOutdated(now, this.lease.heldSince);
  }

  /** Extends the validity after a successful grant or renewal that was sent at `requestedAt`. */
  extend(requestedAt: Micros): void {
    const leaseUs = this.context.settings.tuning.leaderLeaseUs;
    this.validUntil = Math.max(
      this.validUntil,
      requestedAt + Math.floor(leaseUs * (1 - CLOCK_DRIFT_MARGIN)) - EXPIRY_MARGIN_US,
    );
  }

  /** Ends the validity now, and prevents renewals from extending it before `until`. */
  resign(until: Micros): void {
    this.resignedUntil = until;
    this.validUntil = 0;
  }

  /** Stops the renewals, because the lease is no longer held. */
  release(): void {
    this.released = true;
  }

  /** Schedules the next renewal, which in turn schedules the one after it. */
  startRenewal(): void {
    const interval = Math.floor(this.context.settings.tuning.leaderLeaseUs / RENEWALS_PER_LEASE);
    this.context.after(interval, () => {
      this.renew();
    });
  }

  private renew(): void {
    if (this.released) return;
    const requestedAt = this.context.now;
    this.context.requestStore({ kind: 'renew', lease: this.lease.leaseId }, 0, (reply) => {
      if (this.released) return;
      if (reply.kind === 'ok') {
        this.events.onRenewed();
        if (this.resignedUntil <= this.context.now) this.extend(requestedAt);
      } else if (reply.kind === 'noLease') {
        this.events.onExpired();
        return;
      }
      this.logSuspension();
      this.startRenewal();
    });
  }

  private logSuspension(): void {
    const wasSuspended = this.suspended;
    this.suspended = !this.canAct();
    const { term } = this.lease;
    // The lease is valid, but the cancellation data is too old.
    const behind = this.suspended && this.isValid(this.context.now);
    if (this.suspended) this.context.info('leader.suspended', { term, ...(behind ? { behind } : {}) });
    else if (wasSuspended) this.context.info('leader.resumed', { term });
  }
}
