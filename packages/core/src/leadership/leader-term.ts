/**
 * State shared by all components of one leader's term: lease, numbering, cluster state, and whether the term has ended.
 */
import type { Machine } from '../cluster/cluster-model.js';
import { ClusterState } from '../cluster/cluster-state.js';
import type { Micros } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { LeaderElection } from './leader-election.js';
import type { LeaderLease } from './leader-lease.js';
import { LeaderPermissions } from './leader-permissions.js';
import { TermNumbers } from './term-numbers.js';

/** The term of one leader, from its election until it steps down. */
export class LeaderTerm {
  /** Term number; higher than that of any earlier leader. */
  readonly number: number;
  /** The leader's in-memory state of jobs, machines and attempts. */
  readonly cluster: ClusterState;
  /** Whether the records of earlier leaders have been read. */
  isRestored = false;
  /** Ids of the jobs that were active when listed, the first step of the restoration; null until then. */
  activeJobIds: ReadonlySet<string> | null = null;
  /** Whether the leader lease is lost: later replies and timers of this term are dropped. */
  hasEnded = false;
  /**
   * Heartbeats count as missing from here on: the start of the term, or the last time the leader regained permission to
   * act.
   */
  leaseHeldSince: Micros;
  private readonly numbers: TermNumbers;
  private readonly permissions: LeaderPermissions;

  constructor(
    /** The node that leads. */
    readonly context: NodeContext,
    /** The lease under which this term is held. */
    readonly lease: LeaderLease,
    /** This node's part in the election, for stepping down or resigning. */
    readonly election: LeaderElection,
    /** Requests a scheduling pass, after a change that can affect placements. */
    readonly schedulePass: () => void,
  ) {
    this.number = lease.term;
    this.cluster = new ClusterState(context);
    this.leaseHeldSince = context.now;
    this.numbers = new TermNumbers(lease.term);
    this.permissions = new LeaderPermissions(context, election, lease);
  }

  /** Whether the leader may send commands and confirmations now. */
  canActAsLeader(): boolean {
    return this.permissions.canActAsLeader();
  }

  /** Whether the leader may start tasks now. */
  canDispatch(): boolean {
    return this.permissions.canDispatch();
  }

  /** Whether the term is so new that workers may not have found this leader yet. */
  get inFailoverGracePeriod(): boolean {
    return this.permissions.inFailoverGracePeriod;
  }

  /** The lowest fencing token of this term; higher than any of an earlier term. */
  get firstFencingToken(): number {
    return this.numbers.firstFencingToken;
  }

  /** The machine's current fencing token, which increases with its counter. */
  fencingTokenOf(machine: Machine): number {
    return this.numbers.fencingToken(machine.fencingCounter);
  }

  /** Returns an attempt number that is unique across this and all earlier terms. */
  nextAttemptNumber(): number {
    return this.numbers.nextAttemptNumber();
  }

  /** Runs a callback after a delay, unless the term has ended by then. */
  after(delay: Micros, run: () => void): void {
    this.context.after(delay, () => {
      if (!this.hasEnded) run();
    });
  }
}
