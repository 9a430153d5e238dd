/** Decides which actions a leader may take at present. */
import type { Micros } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { LeaderLease } from './leader-lease.js';

/** Number of heartbeat intervals that workers are given to find a new leader. */
const FAILOVER_GRACE_HEARTBEATS = 3;

/** The part of the election that the permissions depend on. */
export interface ActingLeader {
  /** Whether this node may act under its lease now. */
  canActAsLeader(): boolean;
}

/** The permissions of a leader within one term. */
export class LeaderPermissions {
  private readonly gracePeriodEnd: Micros;

  constructor(
    private readonly context: Pick<NodeContext, 'now' | 'storeConnection' | 'settings'>,
    private readonly election: ActingLeader,
    lease: LeaderLease,
  ) {
    this.gracePeriodEnd = lease.heldSince + FAILOVER_GRACE_HEARTBEATS * context.settings.heartbeatIntervalUs;
  }

  /** Whether the leader may send commands and confirmations now. */
  canActAsLeader(): boolean {
    return this.election.canActAsLeader();
  }

  /**
   * Whether tasks may be started now. False while the state service does not answer this node: other nodes may still
   * reach it and confirm cancellations, after which no task of the job may start. In an outage for all nodes this costs
   * little, because the lease expires soon anyway.
   */
  canDispatch(): boolean {
    return this.canActAsLeader() && this.context.storeConnection.downSince === null;
  }

  /** Whether the term is so new that workers may not have found this leader yet. */
  get inFailoverGracePeriod(): boolean {
    return this.context.now <= this.gracePeriodEnd;
  }
}
