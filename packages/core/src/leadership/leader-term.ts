/** What the parts of one leader's term share: its lease, its numbers, the cluster state, and whether it still lasts. */
import type { Machine } from '../cluster/cluster-model.js';
import { ClusterState } from '../cluster/cluster-state.js';
import type { Micros } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { LeaderElection } from './leader-election.js';
import type { LeaderLease } from './leader-lease.js';
import { LeaderPermissions } from './leader-permissions.js';
import { TermNumbers } from './term-numbers.js';

/** One leader's term, from its election until it steps down. */
export class LeaderTerm {
  /** Number of the term; higher than that of any earlier leader. */
  readonly number: number;
  /** What the leader knows of jobs, machines and attempts. */
  readonly cluster: ClusterState;
  /** Whether the records of earlier leaders are read. */
  isRestored = false;
  /** Before that: the jobs that had not ended when they were listed, which comes first of all; null: not yet listed. */
  activeJobIds: ReadonlySet<string> | null = null;
  /** The leader lease is lost: replies and timers that still arrive are dropped. */
  hasEnded = false;
  /** Missing heartbeats count from here: the beginning of the term, or the last return of the permission to act. */
  leaseHeldSince: Micros;
  private readonly numbers: TermNumbers;
  private readonly permissions: LeaderPermissions;

  constructor(
    readonly context: NodeContext,
    readonly lease: LeaderLease,
    readonly election: LeaderElection,
    /** Requests a scheduling pass: something changed that may change placements. */
    readonly schedulePass: () => void,
  ) {
    this.number = lease.term;
    this.cluster = new ClusterState(context);
    this.leaseHeldSince = context.now;
    this.numbers = new TermNumbers(lease.term);
    this.permissions = new LeaderPermissions(context, election, lease);
  }

  /** Whether commands and confirmations may be sent now. */
  canActAsLeader(): boolean {
    return this.permissions.canActAsLeader();
  }

  /** Whether tasks may be started now. */
  canDispatch(): boolean {
    return this.permissions.canDispatch();
  }

  /** Whether workers are still finding this new leader. */
  get inFailoverGracePeriod(): boolean {
    return this.permissions.inFailoverGracePeriod;
  }

  /** Every fencing token of this term is at least this one, and exceeds all of earlier terms. */
  get firstFencingToken(): number {
    return this.numbers.firstFencingToken;
  }

  /** The machine's fencing token now: raised with its counter. */
  fencingTokenOf(machine: Machine): number {
    return this.numbers.fencingToken(machine.fencingCounter);
  }

  /** A number that no attempt of this or any earlier term has. */
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
