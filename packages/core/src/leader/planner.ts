/**
 * Plans which waiting work begins where, by a search over the newest snapshot. Only the steps that begin now are carried out;
 * everything else is decided anew by the next plan.
 */
import { type Micros, MILLI, SECOND } from '../domain/time.js';
import type { DependencyGraph } from '../jobs/dependency-graph.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import { PlacementSearch, type SearchLimits } from '../scheduling/placement-search.js';
import type { TaskGroup } from '../scheduling/plan-input.js';
import type { PreemptionPlanner } from '../scheduling/preemption-planner.js';
import type { QueueOrder } from '../scheduling/queue-order.js';
import type { SnapshotBuilder } from '../scheduling/snapshot-builder.js';
import type { AttemptLifecycle } from '../tasks/attempt-lifecycle.js';
import { PlacementCommit } from './placement-commit.js';
import { PlanClock, PlanRun } from './plan-run.js';
import { WaitingGroups } from './waiting-groups.js';

/** The pause after a plan, in multiples of what it took: requests of users and workers are answered in between. */
const PAUSE_PER_PLAN_COST = 6;
/** The shortest pause between two plans, however little they take. */
const MIN_PAUSE = 80 * MILLI;
/** Events that come within this time are planned for together. */
const BATCHING_DELAY = 15 * MILLI;
/** A new leader plans only urgent work until all but this share of the machines is reconciled. */
const MAX_UNRECONCILED_SHARE = 0.1;
/** Where nothing waits, spare capacity for arrivals is planned no more often than that. */
const IDLE_PASS_INTERVAL = SECOND;
/** Deadlines along dependencies are worked out anew at least this often, since predicted run times change. */
const DEADLINE_CHAINS_MAX_AGE = 2 * SECOND;
/** Plans are put off no longer than that while this node is late with its answers. */
const MAX_DELAY_WHILE_LAGGING = 6 * SECOND;
/** Urgent jobs that come within this time are planned for together. */
const URGENT_BATCHING_DELAY = 20 * MILLI;
/** Between two slices of a plan, in which inputs that have come meanwhile are handled. */
const SLICE_PAUSE = MILLI;

/** What plans are made with, and what carries them out. */
export interface PlannerParts {
  readonly queueOrder: QueueOrder;
  readonly snapshotBuilder: SnapshotBuilder;
  readonly preemptionPlanner: PreemptionPlanner;
  readonly attempts: AttemptLifecycle;
  readonly dependencies: DependencyGraph;
  readonly autoscaler: Autoscaler;
  /** Whether this node is late with its work. */
  isLagging(): boolean;
}

type OnFinished = (run: PlanRun) => void;

/** Schedules plans and runs them, one at a time. */
export class Planner {
  /** Names of the machines that the last full plan uses. */
  machinesInPlan: ReadonlySet<string> = new Set();
  private readonly waitingGroups: WaitingGroups;
  private readonly commit: PlacementCommit;
  private current: PlanRun | null = null;
  private passScheduled = false;
  private urgentPassScheduled = false;
  /** Something changed while no plan could be made. */
  private passOwed = false;
  private lastPlanAt: Micros = 0;
  /** Of the last plan for all that waits, not for urgent work alone. */
  private lastFullPlanAt: Micros = 0;
  /** Processor time of the last plan. */
  private lastPlanCost: Micros = 0;
  /** The last plan's comparisons exceeded their budget. */
  private comparisonsCutShort = false;
  private deadlineChainsAt: Micros = 0;

  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: PlannerParts,
  ) {
    this.waitingGroups = new WaitingGroups(term, parts);
    this.commit = new PlacementCommit(term, parts.attempts);
  }

  /** Whether something changed while a plan was under way, or while none could be made. */
  get passPending(): boolean {
    return this.passOwed;
  }

  /** Makes a plan for all that waits, once the pause after the last one is over. */
  schedulePass(): void {
    const { context: ctx } = this.term;
    if (this.passScheduled || !this.term.isRestored || this.term.hasEnded) {
      this.passOwed = true;
      return;
    }
    this.passScheduled = true;
    const pause = Math.max(MIN_PAUSE, PAUSE_PER_PLAN_COST * this.lastPlanCost);
    const delay = Math.max(BATCHING_DELAY, this.lastPlanAt + pause - ctx.now);
    ctx.after(delay, () => {
      this.passScheduled = false;
      this.passOwed = false;
      if (!this.term.hasEnded) this.runPass();
    });
  }

  /** Makes a plan for work that must start at once, without waiting for the pause after the last plan. */
  scheduleUrgentPass(): void {
    if (this.urgentPassScheduled) return;
    this.urgentPassScheduled = true;
    this.term.after(URGENT_BATCHING_DELAY, () => {
      this.runUrgentPass();
    });
  }

  private runUrgentPass(): void {
    if (this.current !== null) {
      // The current plan ends within a fraction of a second.
      this.term.after(URGENT_BATCHING_DELAY, () => {
        this.runUrgentPass();
      });
      return;
    }
    this.urgentPassScheduled = false;
    if (this.term.isRestored && this.term.canDispatch() && this.term.context.types.size > 0)
      this.begin(true, null);
  }

  /**
   * A new leader reconciles from heartbeats first. Machines that have not reported to it are not in its snapshot: it would
   * scale out for all waiting work beside them, and did so at each failover, the most expensive types too.
   */
  private isRebuilding(): boolean {
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
    const { context: ctx } = this.term;
    if (ctx.types.size === 0) return;
    if (this.current !== null) {
      this.passOwed = true;
      return;
    }
    // No plan without the lease: a plan scales out and preempts. And a new leader's answers to workers come before its first
    // plans: on a sixth of a core the starts of these once held up hundreds of workers until their leases expired. Only urgent
    // work starts then, where the machines that are known have room. The same holds for a node that is late with its work:
    // each plan brings starts and their heartbeats with it, and a node that falls further behind loses its workers.
    const isLate = this.parts.isLagging() && ctx.now < this.lastFullPlanAt + MAX_DELAY_WHILE_LAGGING;
    const urgentOnly = this.isRebuilding() || isLate;
    if (!this.term.canDispatch() || (urgentOnly && !this.hasUrgentWork())) {
      this.passOwed = true;
      return;
    }
    if (ctx.now < this.lastFullPlanAt + IDLE_PASS_INTERVAL && !this.hasWaitingWork()) return;
    this.begin(urgentOnly, (run) => {
      this.passOwed ||= urgentOnly;
      this.lastPlanCost = run.clock.elapsed();
      this.lastPlanAt = run.now;
      if (!urgentOnly) this.lastFullPlanAt = run.now;
    });
  }

  /** Whether any work could begin if there were room, or is about to. */
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

  /** `onFinished` is called once the whole plan is carried out. */
  private begin(urgentOnly: boolean, onFinished: OnFinished | null): void {
    const { context: ctx } = this.term;
    const { snapshotBuilder, autoscaler } = this.parts;
    const clock = new PlanClock(ctx.stopwatch);
    this.refreshDeadlineChains();
    const waiting = this.waitingGroups.collect(urgentOnly);
    const groupsUs = clock.elapsed();
    const hypothetical = urgentOnly ? [] : this.hypotheticalGroups();
    const snapshot = snapshotBuilder.build(autoscaler.availableOffers(), autoscaler.recentSpecs());
    const snapshotUs = clock.elapsed();
    const search = new PlacementSearch(
      snapshot,
      [...waiting.groups, ...hypothetical],
      waiting.backfill,
      this.searchLimits(),
      () => clock.elapsed() - snapshotUs,
    );
    const cost = { groupsUs, searchUs: clock.elapsed() - groupsUs, commitUs: 0 };
    this.current = new PlanRun(urgentOnly, waiting, ctx.now, clock, cost, search);
    this.advance(this.current, onFinished);
  }

  private refreshDeadlineChains(): void {
    const { now } = this.term.context;
    const isOld = now - this.deadlineChainsAt > DEADLINE_CHAINS_MAX_AGE;
    this.parts.dependencies.refreshInheritance(isOld);
    if (isOld) this.deadlineChainsAt = now;
  }

  /** Groups of no real tasks: capacity reserved for urgent work, for arrivals, and for stages to come. */
  private hypotheticalGroups(): TaskGroup[] {
    const { autoscaler } = this.parts;
    return [
      ...autoscaler.reservedForUrgent(),
      ...autoscaler.headroom(),
      ...this.waitingGroups.upcomingStages(),
    ];
  }

  private searchLimits(): SearchLimits {
    const { tuning } = this.term.context.settings;
    return {
      budgetUs: tuning.searchBudgetUs,
      width: tuning.shortlistSize,
      depth: tuning.rolloutDepth,
      toleranceUs: tuning.makespanToleranceUs,
      skipWhenUncontended: this.comparisonsCutShort,
    };
  }

  /** Decides one slice of a plan and carries it out; the next slice follows a little later. */
  private advance(run: PlanRun, onFinished: OnFinished | null): void {
    if (!this.term.canDispatch()) {
      // The lease or the store is lost: what was decided before is carried out already, and nothing more is.
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
      // No later plan would begin while this one seems to be under way.
      this.abandon(run);
      throw error;
    }
    run.clock.pause();
    this.term.after(SLICE_PAUSE, () => {
      run.clock.resume();
      this.advance(run, onFinished);
    });
  }

  /** Returns whether everything is decided. */
  private decideAndStart(run: PlanRun): boolean {
    const done = run.advance();
    const before = run.clock.elapsed();
    this.commit.startAll(run.takeSteps(), run.now);
    run.cost.commitUs += run.clock.elapsed() - before;
    return done;
  }

  private abandon(run: PlanRun): void {
    run.releaseSlots();
    this.current = null;
    this.passOwed = true;
  }

  private finish(run: PlanRun): void {
    const { decision } = run;
    if (!run.urgentOnly) {
      const before = run.clock.elapsed();
      this.parts.preemptionPlanner.preempt(run.steps);
      this.parts.autoscaler.scaleOutFor(decision);
      this.machinesInPlan = run.neededMachines();
      this.comparisonsCutShort =
        decision.budgetExceeded || (this.comparisonsCutShort && decision.candidatesSearched === 0);
      run.cost.commitUs += run.clock.elapsed() - before;
      this.logPlan(run);
    }
    run.releaseSlots();
    this.current = null;
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
