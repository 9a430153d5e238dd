/**
 * Leader election by a key in the key-value store: this node follows the leader's key, acquires it when it is vacant, and
 * renews its lease while it leads. One leader at a time, in terms of increasing number.
 */
import { type Micros, MILLI, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { HeldLease } from './held-lease.js';
import { KnownLeader } from './known-leader.js';
import { LeaderKeyWatch } from './leader-key-watch.js';
import type { LeaderLease } from './leader-lease.js';
import { LeaseAcquisition } from './lease-acquisition.js';
import { TermNumbers } from './term-numbers.js';

export type { LeaderLease } from './leader-lease.js';

/** How often a node that has resigned looks whether somebody else leads, while it holds off. */
const HOLD_OFF_CHECK_INTERVAL: Micros = 500 * MILLI;
/** A node that resigned on purpose does not stand for election again for this long. */
const RESIGNATION_HOLD_OFF: Micros = 20 * SECOND;
/** A leader that resigned on purpose does not do so again within so many worker leases. */
const LEASES_BETWEEN_RESIGNATIONS = 4;

/** This node's part in the election: who leads, whether this node does, and whether it may act as leader. */
export class LeaderElection {
  /** When this process last resigned the lease on purpose. */
  resignedAt: Micros | null = null;
  /** Called for each renewal that was confirmed. */
  onRenewed: (() => void) | null = null;
  private held: HeldLease | null = null;
  private holdOffUntil: Micros = 0;
  private readonly knownLeader = new KnownLeader();
  private readonly keyWatch: LeaderKeyWatch;
  private readonly acquisition: LeaseAcquisition;

  constructor(
    private readonly context: NodeContext,
    private readonly onElected: (lease: LeaderLease) => void,
    private readonly onSteppedDown: () => void,
  ) {
    this.keyWatch = new LeaderKeyWatch(context, this.knownLeader, {
      shouldWatch: () => !this.acquisition.inProgress && this.held === null,
      onKeyVacant: () => {
        this.acquire();
      },
    });
    this.acquisition = new LeaseAcquisition(context, {
      onAcquired: (lease, requestedAt) => {
        this.lead(lease, requestedAt);
      },
      onFailed: (retryDelay) => {
        this.keyWatch.resumeAfter(retryDelay);
      },
    });
  }

  /** The lease that this node holds, whether it may act under it or not. */
  get lease(): LeaderLease | null {
    return this.held === null ? null : this.held.lease;
  }

  /** Whether this node leads and may send commands and confirmations now. */
  canActAsLeader(): boolean {
    return this.held?.canAct() === true;
  }

  /** Whether the lease is held, but no cancellations were learned of for long: watches and lists fail here. */
  get missesCancellations(): boolean {
    return this.held?.missesCancellations() === true;
  }

  /** The least time between two resignations on purpose. */
  get resignationInterval(): Micros {
    return LEASES_BETWEEN_RESIGNATIONS * this.context.settings.workerLeaseUs;
  }

  /** The member that leads, as far as this node can tell; null for none that was confirmed within a lease. */
  get leader(): string | null {
    const { member, tuning } = this.context.settings;
    if (this.held !== null) return member;
    return this.knownLeader.currentMember(this.context.now, tuning.leaderLeaseUs);
  }

  /**
   * A peer reports that it leads. A higher term proves that all earlier terms have ended, this node's too: it is only
   * written when nobody holds the leader's key. Returns whether the claim is of the newest term known.
   */
  recordPeerClaim(member: string, term: number): boolean {
    if (!this.context.settings.peers.some((peer) => peer.member === member)) return false;
    if (this.held !== null && term > this.held.lease.term) this.stepDown('succeeded');
    // A claim that was held back on its way may be of a term that is over.
    if (this.held !== null || term < this.knownLeader.newestTerm) return false;
    const isKnown = this.knownLeader.last?.member === member;
    if (term === this.knownLeader.newestTerm && !isKnown) return false;
    if (!isKnown) this.context.info('leader.announced', { member, term });
    this.knownLeader.record(member, term, this.context.now);
    return true;
  }

  /** Begins to take part in the election. */
  start(): void {
    this.keyWatch.start();
  }

  /** Gives the lease up on purpose, so that a node that reaches the workers can lead; it holds off for a while. */
  resign(reason: string): void {
    if (this.held === null) return;
    const { lease } = this.held;
    this.context.info('leader.resigned', { term: lease.term, reason });
    this.resignedAt = this.context.now;
    this.holdOffUntil = this.context.now + RESIGNATION_HOLD_OFF;
    this.held.resign(this.holdOffUntil);
    this.context.requestStore({ kind: 'revoke', lease: lease.leaseId }, 0, () => {
      this.stepDown('resigned');
    });
  }

  /** Stops leading, if this node does, and takes part in the next election. `reason` is logged. */
  stepDown(reason: string): void {
    if (this.held === null) return;
    this.context.info('leader.stepped_down', { term: this.held.lease.term, reason });
    this.held.release();
    this.held = null;
    this.knownLeader.forget();
    this.context.emit({ kind: 'role', leader: false });
    this.onSteppedDown();
    this.keyWatch.start();
  }

  private acquire(): void {
    if (this.acquisition.inProgress || this.held !== null) return;
    if (this.context.now < this.holdOffUntil) this.keyWatch.resumeAfter(HOLD_OFF_CHECK_INTERVAL);
    else this.acquisition.start();
  }

  private lead(lease: LeaderLease, requestedAt: Micros): void {
    this.knownLeader.record(this.context.settings.member, lease.term, this.context.now);
    const held = new HeldLease(this.context, lease, {
      onRenewed: () => this.onRenewed?.(),
      onExpired: () => {
        this.stepDown('lease ended');
      },
    });
    this.held = held;
    held.extend(requestedAt);
    this.context.emit({ kind: 'role', leader: true });
    this.context.info('leader.elected', {
      term: lease.term,
      fencingToken: new TermNumbers(lease.term).firstFencingToken,
    });
    held.startRenewal();
    this.onElected(lease);
  }
}
