/**
 * Plans where and when waiting tasks start, by a search over a snapshot of the cluster. Only the steps that start now are
 * carried out; the next plan decides everything else again.
 */
import { type Micros, MILLISECOND, SECOND } from '../domain/time.js';
import type { DependencyGraph } from '../jobs/dependency-graph.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import { PlacementSearch, type SearchLimits } from '../scheduling/placement-search.js';
import type { TaskGroup } from '../scheduling/plan-input.js';
import type { PreemptionPlanner } from '../scheduling/preemption-planner.js';
import type { QueueOrder } from '../scheduling/queue-order.js';
import type { SnapshotBuilder } from '../scheduling/snapshot-builder.js';
import type { TotalCapacity } from '../scheduling/total-capacity.js';
import type { AttemptLifecycle } from '../tasks/attempt-lifecycle.js';
import { PlacementCommit } from './placement-commit.js';
import { PlanClock, PlanRun } from './plan-run.js';
import { WaitingGroups } from './waiting-groups.js';

/** Pause after a plan, as a multiple of its processor time, to answer requests of users and workers. */
const PAUSE_PER_PLAN_CPU_TIME = 6;
/** Shortest pause between two plans, however little processor time they take. */
const MIN_PAUSE = 80 * MILLISECOND;
/** One plan covers all events that arrive within this time. */
const BATCHING_DELAY = 15 * MILLISECOND;
/** A new leader plans only urgent work while more than this share of the recorded machines is unreconciled. */
const MAX_UNRECONCILED_SHARE = 0.1;
/** Shortest interval between plans while no work waits; they only size spare capacity for expected arrivals. */
const MIN_IDLE_PASS_INTERVAL = SECOND;
/** Deadlines along dependencies are recomputed at least this often, since predicted run times change. */
const MAX_DEADLINE_CHAINS_AGE = 2 * SECOND;
/** Longest time without a full plan while this node is late with its answers. */
const MAX_DELAY_WHILE_LAGGING = 6 * SECOND;
/** One plan covers all urgent jobs that arrive within this time. */
const URGENT_BATCHING_DELAY = 20 * MILLISECOND;
/** Pause between two slices of a plan, in which pending inputs are handled. */
const SLICE_PAUSE = MILLISECOND;

/** Components that provide the input of plans and carry them out. */
export interface PlannerParts {
  /** Orders the waiting jobs. */
  readonly queueOrder: QueueOrder;
  /** Captures the cluster state and the available offers as search input. */
  readonly snapshotBuilder: SnapshotBuilder;
  /** Stops attempts of other jobs in favor of waiting ones. */
  readonly preemptionPlanner: PreemptionPlanner;
  /** Starts the attempts that a plan places. */
  readonly attempts: AttemptLifecycle;
  /** Provides blocked jobs, and priorities and deadlines inherited along dependencies. */
  readonly dependencies: DependencyGraph;
  /** Provides capacity offers and forecasts, and provisions planned machines. */
  readonly autoscaler: Autoscaler;
  /** Whether this node's timers fire late. */
  isLagging(): boolean;
}

type OnFinished = (run: PlanRun) => void;

/** Schedules plans and runs them, one at a time. */
export class Planner {
  /** Names of the machines used by the last full plan; they are not scaled in. */
  machinesInPlan: ReadonlySet<string> = new Set();
  private readonly waitingGroups: WaitingGroups;
  private readonly commit: PlacementCommit;
  private currentRun: PlanRun | null = null;
  private passScheduled = false;
  private urgentPassScheduled = false;
  /** Whether a full plan was requested that could not be made yet. */
  private passDeferred = false;
  private lastPlanAt: Micros = 0;
  /** Start of the last plan that was not restricted to urgent work. */
  private lastFullPlanAt: Micros = 0;
  private lastPlanCpuTime: Micros = 0;
  /** Whether the last full plan that compared placements exceeded its search budget. */
  private searchBudgetExceeded = false;
  private deadlineChainsRefreshedAt: Micros = 0;

  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: PlannerParts,
  ) {
    this.waitingGroups = new WaitingGroups(term, parts);
    this.commit = new PlacementCommit(term, parts.attempts);
  }

  /** Whether a plan was requested while another one was in progress, or while none could be made. */
  get passPending(): boolean {
    return this.passDeferred;
  }

  /** Schedules a plan for all waiting work, after the pause that follows the previous plan. */
  schedulePass(): void {
    const { context } = this.term;
    if (this.passScheduled || !this.term.isRestored || this.term.hasEnded) {
      this.passDeferred = true;
      return;
    }
    this.passScheduled = true;
    const pause = Math.max(MIN_PAUSE, PAUSE_PER_PLAN_CPU_TIME * this.lastPlanCpuTime);
    const delay = Math.max(BATCHING_DELAY, this.lastPlanAt + pause - context.now);
    context.after(delay, () => {
      this.passScheduled = false;
      this.passDeferred = false;
      if (!this.term.hasEnded) this.runPass();
    });
  }

  /** Schedules a plan for urgent work only, without the pause that follows the previous plan. */
  scheduleUrgentPass(): void {
    if (this.urgentPassScheduled) return;
    this.urgentPassScheduled = true;
    this.term.after(URGENT_BATCHING_DELAY, () => {
      this.runUrgentPass();
    });
  }

  private runUrgentPass(): void {
    if (this.currentRun !== null) {
      // The current plan ends within a fraction of a second.
      this.term.after(URGENT_BATCHING_DELAY, () => {
        this.runUrgentPass();
      });
      return;
    }
    this.urgentPassScheduled = false;
    if (this.term.isRestored && this.term.canDispatch() && this.term.context.machineTypes.size > 0)
      this.startRun(true, null);
  }

  /**
   * Whether a new leader still lacks heartbeats of many recorded machines. Machines that have not reported are missing from
   * its snapshot: a full plan would scale out for work that they have room for, as happened at each failover, even with
   * the most expensive types.
   */
  private isReconciling(): boolean {
    if (!this.term.inFailoverGracePeriod) return false;
    let all = 0;
    let unreconciled = 0;
    for (const machine of this.term.cluster.machines.values()) {
      if (machine.recorded !== 'yes' || machine.retirementReason !== null) continue;
      all++;
      if (machine.awaitingReconciliation) unreconciled++;
    }
    return unreconciled > MAX_UNRECONCILED_SHARE * all;
  }

  private runPass(): void {
    const { context } = this.term;
    if (context.machineTypes.size === 0) return;
    if (this.currentRun !== null) {
      this.passDeferred = true;
      return;
    }
    // Planning requires the lease, since a plan scales out and preempts. While a new leader reconciles, it plans only urgent
    // work, on machines that have reported: on a sixth of a core, the task starts of its first full plans delayed answers to
    // hundreds of workers until their leases expired. The same applies to a lagging node: each plan adds task starts and
    // their heartbeats, and a node that falls further behind loses its workers.
    const isLate = this.parts.isLagging() && context.now < this.lastFullPlanAt + MAX_DELAY_WHILE_LAGGING;
    const urgentOnly = this.isReconciling() || isLate;
    if (!this.term.canDispatch() || (urgentOnly && !this.hasUrgentWork())) {
      this.passDeferred = true;
      return;
    }
    if (context.now < this.lastFullPlanAt + MIN_IDLE_PASS_INTERVAL && !this.hasWaitingWork()) return;
    this.startRun(urgentOnly, (run) => {
      this.passDeferred ||= urgentOnly;
      this.lastPlanCpuTime = run.clock.elapsed();
      this.lastPlanAt = run.now;
      if (!urgentOnly) this.lastFullPlanAt = run.now;
    });
  }

  /** Whether any job could start if there were room, or is blocked on dependencies. */
  private hasWaitingWork(): boolean {
    if (this.parts.dependencies.blockedCount > 0) return true;
    for (const job of this.term.cluster.jobs.values()) if (this.term.cluster.isStartable(job)) return true;
    return false;
  }

  private hasUrgentWork(): boolean {
    const { cluster } = this.term;
    for (const job of cluster.jobs.values())
      if (this.parts.autoscaler.mustStartAtOnce(job.spec) && cluster.isStartable(job)) return true;
    return false;
  }

  /** Starts a plan; `onFinished` is called once it is carried out completely. */
  private startRun(urgentOnly: boolean, onFinished: OnFinished | null): void {
    const { context } = this.term;
    const { snapshotBuilder, autoscaler } = this.parts;
    const clock = new PlanClock(context.processorTime);
    this.refreshDeadlineChains();
    const snapshot = snapshotBuilder.build(autoscaler.availableOffers(), autoscaler.recentSpecs());
    const snapshotUs = clock.elapsed();
    // A gang whose machines are being requested is not too large, although nothing more is offered until the answer.
    const totalCapacity = snapshot.totalCapacity.withOffers(autoscaler.offersInFlight());
    const waiting = this.waitingGroups.collect(urgentOnly, totalCapacity);
    const hypothetical = urgentOnly ? [] : this.hypotheticalGroups(totalCapacity);
    const preparationUs = clock.elapsed();
    const groupsUs = preparationUs - snapshotUs;
    const search = new PlacementSearch(
      snapshot,
      [...waiting.groups, ...hypothetical],
      waiting.backfill,
      this.searchLimits(),
      () => clock.elapsed() - preparationUs,
    );
    const cost = { groupsUs, searchUs: clock.elapsed() - groupsUs, commitUs: 0 };
    this.currentRun = new PlanRun(urgentOnly, waiting, context.now, clock, cost, search);
    this.runSlice(this.currentRun, onFinished);
  }

  private refreshDeadlineChains(): void {
    const { now } = this.term.context;
    const isOld = now - this.deadlineChainsRefreshedAt > MAX_DEADLINE_CHAINS_AGE;
    this.parts.dependencies.refreshInheritance(isOld);
    if (isOld) this.deadlineChainsRefreshedAt = now;
  }

  /** Groups without real tasks, which reserve capacity for urgent work, arrivals and upcoming stages. */
  private hypotheticalGroups(totalCapacity: TotalCapacity): TaskGroup[] {
    const { autoscaler } = this.parts;
    return [
      ...autoscaler.reservedForUrgent(),
      ...autoscaler.headroom(),
      ...this.waitingGroups.upcomingStages(totalCapacity),
    ];
  }

  private searchLimits(): SearchLimits {
    const { tuning } = this.term.context.settings;
    return {
      budgetUs: tuning.searchBudgetUs,
      width: tuning.shortlistSize,
      depth: tuning.rolloutDepth,
      toleranceUs: tuning.makespanToleranceUs,
      skipWhenUncontended: this.searchBudgetExceeded,
    };
  }

  /** Runs one slice of a plan and carries out its steps, then schedules the next slice. */
  private runSlice(run: PlanRun, onFinished: OnFinished | null): void {
    if (!this.term.canDispatch()) {
      // The lease or the store is lost. Steps of earlier slices have been carried out already.
      this.abandon(run);
      return;
    }
    try {
      if (this.decideAndStart(run)) {
        this.finish(run);
        onFinished?.(run);
        return;
      }
    } catch (error) {
      // Without this, the failed plan would block all later ones.
      this.abandon(run);
      throw error;
    }
    run.clock.pause();
    this.term.after(SLICE_PAUSE, () => {
      run.clock.resume();
      this.runSlice(run, onFinished);
    });
  }

  /** Returns whether the plan is complete. */
  private decideAndStart(run: PlanRun): boolean {
    const done = run.runSlice();
    const before = run.clock.elapsed();
    this.commit.startAll(run.takeSteps(), run.now);
    run.cost.commitUs += run.clock.elapsed() - before;
    return done;
  }

  private abandon(run: PlanRun): void {
    run.releaseSlots();
    this.currentRun = null;
    this.passDeferred = true;
  }

  private finish(run: PlanRun): void {
    const { decision } = run;
    if (!run.urgentOnly) {
      const before = run.clock.elapsed();
      this.parts.preemptionPlanner.preempt(run.steps);
      this.parts.autoscaler.scaleOutFor(decision);
      this.machinesInPlan = run.neededMachines();
      this.searchBudgetExceeded =
        decision.budgetExceeded || (this.searchBudgetExceeded && decision.candidatesSearched === 0);
      run.cost.commitUs += run.clock.elapsed() - before;
      this.logPlan(run);
    }
    run.releaseSlots();
    this.currentRun = null;
  }

  private logPlan(run: PlanRun): void {
    const { decision, waiting } = run;
    if (waiting.groups.length === 0) return;
    this.term.context.debug('plan.completed', {
      ...run.cost,
      groups: waiting.groups.length,
      overflow: decision.backfilledGroups,
      steps: decision.steps.length,
      searched: decision.candidatesSearched,
      fellBack: decision.budgetExceeded,
      looks: decision.placementsExamined,
      slices: run.sliceCount,
    });
  }
}
