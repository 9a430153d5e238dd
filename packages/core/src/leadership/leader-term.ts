/** What the parts of one leader's term share: the office, what is known, and whether it is still on. */
import type { Machine } from '../cluster/cluster-model.js';
import type { NodeContext } from '../node/node-context.js';
import { ClusterState } from '../cluster/cluster-state.js';
import type { LeaderElection, LeaderLease } from './leader-election.js';
import type { Micros } from '../domain/time.js';

/** Room for raising the token and numbering attempts within a term; products stay below 2^53. */
const TOKENS_PER_TERM = 2 ** 20;
const ATTEMPTS_PER_TERM = 2 ** 24;
/** Report intervals in which workers turn to a new leader. */
const ACCOUNTING_REPORTS = 3;

export class LeaderTerm {
  readonly number: number;
  readonly cluster: ClusterState;
  /** The records of earlier leaders are read. */
  ready = false;
  /** Before that: the jobs that had not ended when they were listed, which comes first of all; null: not yet listed. */
  unendedJobs: ReadonlySet<string> | null = null;
  /** The office is lost: whatever still comes back is for nobody. */
  stopped = false;
  /** Silence is counted from here: from the term's begin or the last return of the right. */
  leaseHeldSince: Micros;
  private lastAttempt: number;

  constructor(
    readonly ctx: NodeContext,
    readonly lease: LeaderLease,
    readonly election: LeaderElection,
    /** Something changed that a plan may answer to. */
    readonly schedulePass: () => void,
  ) {
    this.number = lease.term;
    this.cluster = new ClusterState(ctx);
    this.leaseHeldSince = ctx.now;
    this.lastAttempt = lease.term * ATTEMPTS_PER_TERM;
  }

  /** Whether orders and answers may be given now. */
  canActAsLeader(): boolean {
    return this.election.canActAsLeader();
  }

  /** Workers still turn to this new leader. */
  get inFailoverGracePeriod(): boolean {
    return this.ctx.now <= this.lease.heldSince + ACCOUNTING_REPORTS * this.ctx.settings.heartbeatIntervalUs;
  }

  /**
   * Whether tasks may be started now. Not while the state service does not answer this node: it may be answering others, who
   * are told of cancellations, after which nothing of the job may be started. In an outage of all that costs little, for the
   * right ends soon.
   */
  canDispatch(): boolean {
    return this.canActAsLeader() && this.ctx.storeConnection.downSince === null;
  }

  /** Every token of this term exceeds all of earlier ones. */
  get firstFencingToken(): number {
    return this.number * TOKENS_PER_TERM;
  }

  fencingTokenOf(m: Machine): number {
    return this.firstFencingToken + m.fencingCounter;
  }

  nextAttemptNumber(): number {
    return ++this.lastAttempt;
  }

  /** Later, if the office is still held then. */
  after(delay: Micros, run: () => void): void {
    this.ctx.after(delay, () => {
      if (!this.stopped) run();
    });
  }
}
