/**
 * The leader lease while this node holds it: its renewal, and until when the leader may act under it. That ends by the
 * node's own steady clock, counted from when the last successful renewal was sent, less what clocks may drift.
 */
import type { Micros } from '../domain/time.js';
import { MILLI } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { CLOCK_DRIFT } from './cancellation-freshness.js';
import type { LeaderLease } from './leader-lease.js';

/** Renewals in the length of one lease. */
const RENEWALS_PER_LEASE = 5;
/** Taken off every lease, besides what clocks may drift. */
const EXPIRY_MARGIN: Micros = 20 * MILLI;

/** Receives what becomes of the renewals. */
export interface HeldLeaseEvents {
  /** A renewal was confirmed. */
  onRenewed(): void;
  /** The store does not know the lease any more. */
  onExpired(): void;
}

/** Renews a lease until it is released, and tells whether the leader may act under it. */
export class HeldLease {
  private validUntil: Micros = 0;
  /** Renewals do not extend the validity before this time: the leader has resigned. */
  private resignedUntil: Micros = 0;
  private released = false;
  private suspended = false;

  constructor(
    private readonly context: NodeContext,
    readonly lease: LeaderLease,
    private readonly events: HeldLeaseEvents,
  ) {}

  /** Whether the lease has not expired by this node's clock. */
  private isValid(now: Micros): boolean {
    return now < this.validUntil;
  }

  /**
   * Whether commands and confirmations may be sent now: the lease is held, and the cancellations that other nodes
   * confirmed are known. Renewals show only the first: where only replies were lost, or a watch hung, renewals went on
   * while other nodes confirmed cancellations (ran_cancelled, in generated histories).
   */
  canAct(): boolean {
    const { now } = this.context;
    return this.isValid(now) && this.lease.freshness.isFresh(now);
  }

  /** Whether the lease is valid, but no cancellations were learned of for long: watches and lists fail here. */
  missesCancellations(): boolean {
    const { now } = this.context;
    return this.isValid(now) && this.lease.freshness.isLost(now, this.lease.heldSince);
  }

  /** A grant or a renewal that was sent at this time has succeeded. */
  extend(requestedAt: Micros): void {
    const leaseUs = this.context.settings.tuning.leaderLeaseUs;
    this.validUntil = Math.max(
      this.validUntil,
      requestedAt + Math.floor(leaseUs * (1 - CLOCK_DRIFT)) - EXPIRY_MARGIN,
    );
  }

  /** Ends the permission to act, and keeps renewals from extending it before `until`. */
  resign(until: Micros): void {
    this.resignedUntil = until;
    this.validUntil = 0;
  }

  /** The lease is not held any more: ends its renewal. */
  release(): void {
    this.released = true;
  }

  /** Schedules the next renewal, and with it all further ones. */
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
    // The lease is held, but what other nodes confirmed is not known.
    const behind = this.suspended && this.isValid(this.context.now);
    if (this.suspended) this.context.info('leader.suspended', { term, ...(behind ? { behind } : {}) });
    else if (wasSuspended) this.context.info('leader.resumed', { term });
  }
}
