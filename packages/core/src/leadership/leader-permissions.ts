/** What a leader may do at this moment of its term. */
import type { Micros } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { LeaderLease } from './leader-lease.js';

/** Heartbeat intervals in which workers find a new leader. */
const FAILOVER_GRACE_HEARTBEATS = 3;

/** Whether this node may act under its lease. */
export interface ActingLeader {
  canActAsLeader(): boolean;
}

/** A leader's permissions to act. */
export class LeaderPermissions {
  private readonly gracePeriodEnd: Micros;

  constructor(
    private readonly context: Pick<NodeContext, 'now' | 'storeConnection' | 'settings'>,
    private readonly election: ActingLeader,
    lease: LeaderLease,
  ) {
    this.gracePeriodEnd = lease.heldSince + FAILOVER_GRACE_HEARTBEATS * context.settings.heartbeatIntervalUs;
  }

  /** Whether commands and confirmations may be sent now. */
  canActAsLeader(): boolean {
    return this.election.canActAsLeader();
  }

  /**
   * Whether tasks may be started now. Not while the state service does not answer this node: it may be answering others,
   * which confirm cancellations, after which nothing of the job may be started. In an outage that all nodes share this
   * costs little, for the lease expires soon.
   */
  canDispatch(): boolean {
    return this.canActAsLeader() && this.context.storeConnection.downSince === null;
  }

  /** Whether workers are still finding this new leader. */
  get inFailoverGracePeriod(): boolean {
    return this.context.now <= this.gracePeriodEnd;
  }
}
