/** The periodic work of a leader: leases, silent machines, scale-in, queued commands, stored progress, and resignation. */
import { type Micros, MILLI } from '../domain/time.js';
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

const INTERVAL: Micros = 500 * MILLI;

/** How many rounds of the loop lie between two times of each kind of work. */
const EVERY = {
  progressMessage: 2,
  fullProgressMessage: 10,
  admissionHolds: 2,
  plan: 4,
  defragmentation: 6,
  clusterSummary: 20,
  stalePages: 40,
  runtimeEstimates: 60,
} as const;

/** The parts of a term that the loop looks after. */
export interface MaintainedParts {
  readonly failover: Failover;
  readonly failureDetector: MachineFailureDetector;
  readonly autoscaler: Autoscaler;
  readonly defragmentation: Defragmentation;
  readonly attempts: AttemptLifecycle;
  readonly planner: Planner;
  readonly writer: FencedWriter;
  readonly progressStore: ProgressStore;
  readonly machineStore: MachineStore;
  readonly records: TermRecords;
  readonly progressPublisher: ProgressPublisher;
  readonly holds: AdmissionHolds;
  readonly features: FeatureRegistry;
  readonly health: LeaderHealth;
}

/** Runs twice a second for as long as the term lasts. */
export class MaintenanceLoop {
  private rounds = 0;
  private progressStoredAt: Micros = 0;

  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: MaintainedParts,
  ) {}

  /** Schedules the first round, and with it all further ones. */
  start(): void {
    this.scheduleRound();
  }

  private scheduleRound(): void {
    const { context: ctx } = this.term;
    const dueAt = ctx.now + INTERVAL;
    this.term.after(INTERVAL, () => {
      this.parts.health.recordTimer(ctx.now, dueAt, !this.term.inFailoverGracePeriod);
      this.round();
      this.scheduleRound();
    });
  }

  private isDue(every: number): boolean {
    return this.rounds % every === 0;
  }

  private round(): void {
    const { failover, failureDetector, progressPublisher } = this.parts;
    this.rounds++;
    failover.probeIfStale();
    const canAct = this.term.canActAsLeader();
    failureDetector.recordLeaseState(canAct);
    if (this.isDue(EVERY.progressMessage)) progressPublisher.publish(this.isDue(EVERY.fullProgressMessage));
    if (this.resignIfBlind() || !this.term.isRestored) return;
    if (canAct && this.resignIfOverloaded()) return;
    if (canAct) this.maintainMachines();
    this.storeProgress();
    this.parts.features.notify((feature) => {
      feature.maintain(canAct);
    });
    this.maintainPlans(canAct);
    this.maintainRecords();
    if (this.isDue(EVERY.clusterSummary)) logClusterSummary(this.term);
  }

  /** Whether the leader resigned since it learns of no cancellations any more. */
  private resignIfBlind(): boolean {
    if (!this.term.election.missesCancellations || !this.mayResign()) return false;
    this.term.election.resign('hears nothing of cancellations');
    return true;
  }

  /** Whether the leader resigned since its timers and renewals come too late. */
  private resignIfOverloaded(): boolean {
    if (!this.parts.health.isOverloaded || !this.mayResign()) return false;
    this.term.election.resign('too slow to lead');
    return true;
  }

  /**
   * Another controller takes the lease at once. Handovers must not follow each other closely: a new leader is slow while all
   * workers connect to it, and a leader that resigned stays the next time, for if all are slow none is better.
   */
  private mayResign(): boolean {
    const { context: ctx, election } = this.term;
    const { now, settings } = ctx;
    const { resignedAt, resignationInterval } = election;
    if (settings.peers.length === 0 || this.term.inFailoverGracePeriod) return false;
    return resignedAt === null || now - resignedAt > resignationInterval;
  }

  /**
   * Only while the leader can act. Else others may have led and answered since, and silence, leases and gangs as they are known
   * here show no more than that nobody reports to this controller: a leader that had been deposed for 33 s rented 56 machines.
   * If its lease proves to hold after all, nobody else has led, and everything is looked at then.
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
    if (this.isDue(EVERY.admissionHolds)) holds.updateAll();
    if (this.isDue(EVERY.runtimeEstimates)) records.saveRuntimeEstimates();
    if (this.isDue(EVERY.plan) || planner.passPending) planner.schedulePass();
    if (this.isDue(EVERY.defragmentation) && canAct && this.term.cluster.isCostSensitive())
      defragmentation.consolidate();
  }

  private maintainRecords(): void {
    const { writer, machineStore, progressStore } = this.parts;
    const { cluster, context: ctx } = this.term;
    // Pages of the version before, or too large, are taken apart while nothing else waits to be written.
    if (writer.backlog < ctx.settings.maxTransactionOperations) {
      machineStore.compact();
      progressStore.compact(cluster.jobs.values());
    }
    if (!this.isDue(EVERY.stalePages)) return;
    machineStore.rewriteStalePages();
    progressStore.rewriteStalePages();
  }
}
