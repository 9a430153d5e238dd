/**
 * Leader election with a key in the key-value store: a node watches the leader's key, acquires it when it is vacant, and
 * renews its lease while leading. There is at most one leader at a time, and term numbers increase.
 */
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import { HeldLease } from './held-lease.js';
import { KnownLeader } from './known-leader.js';
import { LeaderKeyWatch } from './leader-key-watch.js';
import type { LeaderLease } from './leader-lease.js';
import { LeaseAcquisition } from './lease-acquisition.js';
import { TermNumbers } from './term-numbers.js';

export type { LeaderLease } from './leader-lease.js';

/** Interval at which a node that has resigned checks for a new leader during its hold-off. */
const HOLD_OFF_CHECK_INTERVAL_US: Micros = 500 * MILLISECOND;
/** Time for which a node does not try to become leader again after resigning. */
const RESIGNATION_HOLD_OFF_US: Micros = 20 * SECOND;
/** Minimum number of worker lease durations between two resignations of a process. */
const LEASES_BETWEEN_RESIGNATIONS = 4;

/** Takes part in the election for this node: knows which member leads, and whether this node may act as leader. */
export class LeaderElection {
  /** When this process last resigned; null if it never did. */
  resignedAt: Micros | null = null;
  /** Called after each confirmed renewal of the lease. */
  onRenewed: (() => void) | null = null;
  private heldLease: HeldLease | null = null;
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
      shouldWatch: () => !this.acquisition.inProgress && this.heldLease === null,
      onKeyVacant: () => {
        this.acquire();
      },
    });
    this.acquisition = new LeaseAcquisition(context, {
      onAcquired: (lease, requestedAt) => {
        this.becomeLeader(lease, requestedAt);
      },
      onFailed: (retryDelay) => {
        this.keyWatch.resumeAfter(retryDelay);
      },
    });
  }

  /** The lease that this node holds, whether or not it may act under it. */
  get lease(): LeaderLease | null {
    return this.heldLease === null ? null : this.heldLease.lease;
  }

  /** Whether this node holds the lease and may send commands and confirmations now. */
  canActAsLeader(): boolean {
    return this.heldLease?.canAct() === true;
  }

  /**
   * Whether this node holds a valid lease, but watches and lists have failed for too long to learn of cancellations.
   */
  get isCancellationDataOutdated(): boolean {
    return this.heldLease?.isCancellationDataOutdated() === true;
  }

  /** Minimum time between two resignations of a process. */
  get minResignationInterval(): Micros {
    return LEASES_BETWEEN_RESIGNATIONS * this.context.settings.workerLeaseUs;
  }

  /** The member that leads, as far as this node knows; null if none was confirmed within one lease duration. */
  get leader(): string | null {
    const { member, tuning } = this.context.settings;
    if (this.heldLease !== null) return member;
    return this.knownLeader.currentMember(this.context.now, tuning.leaderLeaseUs);
  }

  /**
   * Handles a peer's report that it leads. A higher term proves that all earlier terms have ended, including this node's:
   * a term is only written while nobody holds the leader's key. Returns whether the claim is for the newest known term.
   */
  recordPeerClaim(member: string, term: number): boolean {
    if (!this.context.settings.peers.some((peer) => peer.member === member)) return false;
    if (this.heldLease !== null && term > this.heldLease.lease.term) this.stepDown('succeeded');
    // A claim delayed in transit may be for a term that has ended.
    if (this.heldLease !== null || term < this.knownLeader.newestTerm) return false;
    const isKnown = this.knownLeader.last?.member === member;
    if (term === this.knownLeader.newestTerm && !isKnown) return false;
    if (!isKnown) this.context.info('leader.announced', { member, term });
    this.knownLeader.record(member, term, this.context.now);
    return true;
  }

  /** Starts to watch the leader's key, and with it this node's part in the election. */
  start(): void {
    this.keyWatch.start();
  }

  /** Revokes the lease so that another node can lead. This node does not try again until its hold-off has passed. */
  resign(reason: string): void {
    if (this.heldLease === null) return;
    const { lease } = this.heldLease;
    this.context.info('leader.resigned', { term: lease.term, reason });
    this.resignedAt = this.context.now;
    this.holdOffUntil = this.context.now + RESIGNATION_HOLD_OFF_US;
    this.heldLease.resign(this.holdOffUntil);
    this.context.requestStore({ kind: 'revoke', lease: lease.leaseId }, 0, () => {
      this.stepDown('resigned');
    });
  }

  /** Ends this node's term, if it leads, and watches for the next election. `reason` is only logged. */
  stepDown(reason: string): void {
    if (this.heldLease === null) return;
    this.context.info('leader.stepped_down', { term: this.heldLease.lease.term, reason });
    this.heldLease.release();
    this.heldLease = null;
    this.knownLeader.clear();
    this.context.emit({ kind: 'role', leader: false });
    this.onSteppedDown();
    this.keyWatch.start();
  }

  private acquire(): void {
    if (this.acquisition.inProgress || this.heldLease !== null) return;
    if (this.context.now < this.holdOffUntil) this.keyWatch.resumeAfter(HOLD_OFF_CHECK_INTERVAL_US);
    else this.acquisition.start();
  }

  private becomeLeader(lease: LeaderLease, requestedAt: Micros): void {
    this.knownLeader.record(this.context.settings.member, lease.term, this.context.now);
    const held = new HeldLease(this.context, lease, {
      onRenewed: () => this.onRenewed?.(),
      onExpired: () => {
        this.stepDown('lease ended');
      },
    });
    this.heldLease = held;
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
