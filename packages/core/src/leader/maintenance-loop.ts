/** Periodic work of a leader: leases, unresponsive machines, scale-in, queued commands, stored progress, resignation. */
import { type Micros, MILLISECOND } from '../domain/time.js';
import type { Failover } from '../leadership/failover.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import type { MachineFailureDetector } from '../machines/machine-failure-detector.js';
import type { Defragmentation } from '../scheduling/defragmentation.js';
import type { FencedWriter } from '../storage/fenced-writer.js';
import type { MachineStore } from '../storage/machine-store.js';
import type { ProgressStore } from '../storage/progress-store.js';
import type { AttemptLifecycle } from '../tasks/attempt-lifecycle.js';
import type { AdmissionHolds } from './admission-holds.js';
import { logClusterSummary } from './cluster-summary.js';
import type { FeatureRegistry } from './feature-registry.js';
import type { LeaderHealth } from './leader-health.js';
import type { Planner } from './planner.js';
import type { ProgressPublisher } from './progress-publisher.js';
import type { TermRecords } from './term-records.js';

const INTERVAL: Micros = 500 * MILLISECOND;

/** Number of rounds after which each kind of work is repeated. */
const ROUND_INTERVALS = {
  progressMessage: 2,
  fullProgressMessage: 10,
  admissionHolds: 2,
  plan: 4,
  defragmentation: 6,
  clusterSummary: 20,
  stalePages: 40,
  runtimeEstimates: 60,
} as const;

/** Components of a term that need periodic work. */
export interface MaintainedParts {
  /** Reads stored state and watches job records; its watch is probed when it is late. */
  readonly failover: Failover;
  /** Detects expired worker leases and unresponsive machines. */
  readonly failureDetector: MachineFailureDetector;
  /** Scales in idle machines. */
  readonly autoscaler: Autoscaler;
  /** Consolidates tasks on fewer machines. */
  readonly defragmentation: Defragmentation;
  /** Dispatches queued commands and breaks incomplete gangs. */
  readonly attempts: AttemptLifecycle;
  /** Plans waiting work, and names the machines that its last plan uses. */
  readonly planner: Planner;
  /** Shows how many writes are queued. */
  readonly writer: FencedWriter;
  /** Stores the progress of jobs. */
  readonly progressStore: ProgressStore;
  /** Stores the machine records. */
  readonly machineStore: MachineStore;
  /** Stores runtime estimates. */
  readonly records: TermRecords;
  /** Sends the progress of jobs to the other controllers. */
  readonly progressPublisher: ProgressPublisher;
  /** Re-evaluates the admission holds of waiting jobs. */
  readonly holds: AdmissionHolds;
  /** Runs the periodic work of features. */
  readonly features: FeatureRegistry;
  /** Records how late the loop's timer fires. */
  readonly health: LeaderHealth;
}

/** Runs a round of maintenance twice a second until the term ends. */
export class MaintenanceLoop {
  private rounds = 0;
  private progressStoredAt: Micros = 0;

  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: MaintainedParts,
  ) {}

  /** Starts the loop. */
  start(): void {
    this.scheduleRound();
  }

  private scheduleRound(): void {
    const { context } = this.term;
    const dueAt = context.now + INTERVAL;
    this.term.after(INTERVAL, () => {
      this.parts.health.recordTimer(context.now, dueAt, !this.term.inFailoverGracePeriod);
      this.runRound();
      this.scheduleRound();
    });
  }

  private isDue(every: number): boolean {
    return this.rounds % every === 0;
  }

  private runRound(): void {
    const { failover, failureDetector, progressPublisher } = this.parts;
    this.rounds++;
    failover.probeIfStale();
    const canAct = this.term.canActAsLeader();
    failureDetector.recordLeaseState(canAct);
    if (this.isDue(ROUND_INTERVALS.progressMessage))
      progressPublisher.publish(this.isDue(ROUND_INTERVALS.fullProgressMessage));
    if (this.resignIfMissingCancellations() || !this.term.isRestored) return;
    if (canAct && this.resignIfOverloaded()) return;
    if (canAct) this.maintainMachines();
    this.storeProgress();
    this.parts.features.notify((feature) => {
      feature.maintain(canAct);
    });
    this.maintainPlans(canAct);
    this.maintainRecords();
    if (this.isDue(ROUND_INTERVALS.clusterSummary)) logClusterSummary(this.term);
  }

  /** Resigns if this node no longer learns of cancellations; returns whether it did. */
  private resignIfMissingCancellations(): boolean {
    if (!this.term.election.isCancellationDataOutdated || !this.mayResign()) return false;
    this.term.election.resign('receives no cancellations');
    return true;
  }

  /** Resigns if timers and lease renewals of this node are repeatedly late; returns whether it did. */
  private resignIfOverloaded(): boolean {
    if (!this.parts.health.isOverloaded || !this.mayResign()) return false;
    this.term.election.resign('too slow to lead');
    return true;
  }

  /**
   * Whether this leader may hand over to another controller, which takes the lease at once. Handovers are limited in rate: a
   * new leader is slow while all workers connect to it. A leader that resigned recently stays, since another handover
   * doesn't help if all controllers are slow.
   */
  private mayResign(): boolean {
    const { context, election } = this.term;
    const { now, settings } = context;
    const { resignedAt, minResignationInterval } = election;
    if (settings.peers.length === 0 || this.term.inFailoverGracePeriod) return false;
    return resignedAt === null || now - resignedAt > minResignationInterval;
  }

  /**
   * Runs only while this leader can act. Otherwise another one may be leading, and missing heartbeats, expired leases and
   * incomplete gangs may only mean that workers report to that one: a leader that had been deposed for 33 s rented 56
   * machines. If its lease turns out to be still held, the next round catches up.
   */
  private maintainMachines(): void {
    const { failureDetector, autoscaler, attempts, planner } = this.parts;
    failureDetector.expireLeases();
    failureDetector.retireUnresponsiveMachines();
    autoscaler.scaleIn(planner.machinesInPlan);
    for (const machine of this.term.cluster.machines.values())
      if (machine.queuedCommands.length > 0) attempts.dispatchQueued(machine);
    attempts.breakIncompleteGangs();
  }

  private storeProgress(): void {
    const { now, settings } = this.term.context;
    if (now - this.progressStoredAt < settings.tuning.progressIntervalUs) return;
    this.progressStoredAt = now;
    this.parts.progressStore.flush(this.term.cluster.jobs.values());
  }

  private maintainPlans(canAct: boolean): void {
    const { holds, records, planner, defragmentation } = this.parts;
    if (this.isDue(ROUND_INTERVALS.admissionHolds)) holds.updateAll();
    if (this.isDue(ROUND_INTERVALS.runtimeEstimates)) records.saveRuntimeEstimates();
    if (this.isDue(ROUND_INTERVALS.plan) || planner.passPending) planner.schedulePass();
    if (this.isDue(ROUND_INTERVALS.defragmentation) && canAct && this.term.cluster.isCostSensitive())
      defragmentation.consolidate();
  }

  private maintainRecords(): void {
    const { writer, machineStore, progressStore } = this.parts;
    const { cluster, context } = this.term;
    // Pages in the previous format or over the size limit are split up while no other writes are queued.
    if (writer.pendingCount < context.settings.maxTransactionOperations) {
      machineStore.compact();
      progressStore.compact(cluster.jobs.values());
    }
    if (!this.isDue(ROUND_INTERVALS.stalePages)) return;
    machineStore.rewriteStalePages();
    progressStore.rewriteStalePages();
  }
}
