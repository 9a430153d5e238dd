/** Plans: which waiting work begins where now, by a search over the newest picture; only that is done. */
import type { AttemptLifecycle } from '../tasks/attempt-lifecycle.js';
import type { PreemptionPlanner } from '../scheduling/preemption-planner.js';
import type { SnapshotBuilder } from '../scheduling/snapshot-builder.js';
import type { QueueOrder } from '../scheduling/queue-order.js';
import { PlacementSearch } from '../scheduling/placement-search.js';
import type { DependencyGraph } from '../jobs/dependencies.js';
import type { Autoscaler } from '../machines/autoscaler.js';
import { MILLI, SECOND, type Micros } from '../domain/time.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { PlacementCommit } from './placement-commit.js';
import { PlanClock, PlanRun } from './plan-run.js';
import { WaitingGroups } from './waiting-groups.js';

/** Plans pause for this many times what the last one took: users and workers must get through between. */
const PLAN_PAUSE = 6;
/** They come no faster than that, however little they take. */
const LEAST_PAUSE = 80 * MILLI;
/** Events that come together are planned for together. */
const GATHER = 15 * MILLI;
/** A new leader plans little while workers turn to it, until all but this share is known. */
const REBUILD_SHARE = 0.1;
/** Where nothing waits, room for arrivals is looked after no more often than that. */
const IDLE_PASS = SECOND;
const CHAINS_FRESH = 2 * SECOND;
/** Plans are put off no longer while this node is behind with its answers. */
const BEHIND_AT_MOST = 6 * SECOND;
/** Tasks of one urgent job, and urgent jobs that come together, are planned for together. */
const URGENT_GATHER = 20 * MILLI;
/** Between two slices of a plan: what has come meanwhile is taken first. */
const SLICE_PAUSE = MILLI;

export interface PlannerParts {
  readonly ordering: QueueOrder;
  readonly imaging: SnapshotBuilder;
  readonly clearing: PreemptionPlanner;
  readonly attempts: AttemptLifecycle;
  readonly deps: DependencyGraph;
  readonly fleet: Autoscaler;
  /** Whether this node is late with its work. */
  behind(): boolean;
}

export class Planner {
  /** Machines that the last plan counts on. */
  needed: ReadonlySet<string> = new Set();
  private readonly waitingGroups: WaitingGroups;
  private readonly commit: PlacementCommit;
  private current: PlanRun | null = null;
  private passScheduled = false;
  private urgentPassScheduled = false;
  /** Something changed while no plan could be made. */
  private again = false;
  private lastPlan: Micros = 0;
  /** Of all that waits. */
  private lastWhole: Micros = 0;
  /** What the last plan took: the next one waits a multiple of it, so that users' requests get through. */
  private planCost: Micros = 0;
  /** The last plan's comparisons went past their budget. */
  private comparisonsCutShort = false;
  private chainsAt: Micros = 0;

  constructor(
    private readonly term: LeaderTerm,
    private readonly parts: PlannerParts,
  ) {
    this.waitingGroups = new WaitingGroups(term, parts);
    this.commit = new PlacementCommit(term, parts.attempts);
  }

  /** A change came while a plan was under way, or none could be made yet. */
  get passPending(): boolean {
    return this.again;
  }

  /** Plans for all that waits, once the pause after the last plan is over. */
  schedulePass(): void {
    const { ctx } = this.term;
    if (this.passScheduled || !this.term.ready || this.term.stopped) {
      this.again = true;
      return;
    }
    this.passScheduled = true;
    const pause = Math.max(LEAST_PAUSE, PLAN_PAUSE * this.planCost);
    const delay = Math.max(GATHER, this.lastPlan + pause - ctx.now);
    ctx.after(delay, () => {
      this.passScheduled = false;
      this.again = false;
      if (!this.term.stopped) this.plan();
    });
  }

  /** Something came that must start at once: it does not wait for the pause after the last plan, which costs much more. */
  scheduleUrgentPass(): void {
    if (this.urgentPassScheduled) return;
    this.urgentPassScheduled = true;
    this.term.after(URGENT_GATHER, () => {
      this.planUrgent();
    });
  }

  private planUrgent(): void {
    if (this.current !== null) {
      // The plan under way is over within a fraction of a second.
      this.term.after(URGENT_GATHER, () => {
        this.planUrgent();
      });
      return;
    }
    this.urgentPassScheduled = false;
    if (this.term.ready && this.term.canDispatch() && this.term.ctx.types.size > 0) this.begin(true, null);
  }

  /**
   * A new leader rebuilds from reports first. Machines that have not reported to it are not in its picture: it
   * would rent for all that waits beside them, and did so at each change of leader, the dearest types too.
   */
  private rebuilding(): boolean {
    const { cluster: estate } = this.term;
    if (!this.term.inFailoverGracePeriod) return false;
    let all = 0;
    let unknown = 0;
    for (const machine of estate.machines.values()) {
      if (machine.recorded !== 'yes' || machine.retirementReason !== null) continue;
      all++;
      if (machine.awaitingReconciliation) unknown++;
    }
    return unknown > REBUILD_SHARE * all;
  }

  private plan(): void {
    const { ctx } = this.term;
    if (ctx.types.size === 0) return;
    if (this.current !== null) {
      this.again = true;
      return;
    }
    // Owed until the right comes back: a plan rents, and stops some for others. And answers to those who turn to a new
    // leader come before its first plans: on a sixth of a core the starts of these once held up hundreds of workers
    // until their leases ran out. Only the few that must start at once do, where there is room on what is known.
    // So do they later: each plan brings starts and their reports with it, and a node that is behind loses its workers.
    const behind = this.parts.behind() && ctx.now < this.lastWhole + BEHIND_AT_MOST;
    const urgentOnly = this.rebuilding() || behind;
    if (!this.term.canDispatch() || (urgentOnly && !this.urgentWaits())) {
      this.again = true;
      return;
    }
    if (ctx.now < this.lastWhole + IDLE_PASS && !this.anyWaits()) return;
    this.begin(urgentOnly, (run) => {
      this.again ||= urgentOnly;
      this.planCost = run.clock.elapsed();
      this.lastPlan = run.now;
      if (!urgentOnly) this.lastWhole = run.now;
    });
  }

  /** Whether any work could begin if there were room, or is about to. */
  private anyWaits(): boolean {
    if (this.parts.deps.blockedCount > 0) return true;
    for (const job of this.term.cluster.jobs.values()) if (this.term.cluster.isStartable(job)) return true;
    return false;
  }

  private urgentWaits(): boolean {
    const { cluster: estate } = this.term;
    for (const job of estate.jobs.values())
      if (this.parts.fleet.mustStartAtOnce(job.spec) && estate.isStartable(job)) return true;
    return false;
  }

  /** `finished`: told once the whole plan is carried out. */
  private begin(urgentOnly: boolean, finished: ((run: PlanRun) => void) | null): void {
    const { ctx } = this.term;
    const { deps, imaging, fleet } = this.parts;
    const clock = new PlanClock(ctx.stopwatch);
    // Predictions change with what is learned.
    deps.refresh(ctx.now - this.chainsAt > CHAINS_FRESH);
    if (ctx.now - this.chainsAt > CHAINS_FRESH) this.chainsAt = ctx.now;
    const waiting = this.waitingGroups.collect(urgentOnly);
    const groupsUs = clock.elapsed();
    const further = urgentOnly ? [] : [...fleet.kept(), ...fleet.headroom(), ...this.waitingGroups.ahead()];
    const picture = imaging.picture(fleet.rentable(), fleet.kinds());
    const { tuning } = ctx.settings;
    const pictureUs = clock.elapsed();
    const search = new PlacementSearch(
      picture,
      [...waiting.groups, ...further],
      waiting.overflow,
      {
        budgetUs: tuning.searchBudgetUs,
        width: tuning.shortlistSize,
        depth: tuning.rolloutDepth,
        toleranceUs: tuning.makespanToleranceUs,
        skipWhenPlenty: this.comparisonsCutShort,
      },
      () => clock.elapsed() - pictureUs,
    );
    const cost = { groupsUs, searchUs: clock.elapsed() - groupsUs, actUs: 0 };
    this.current = new PlanRun(urgentOnly, waiting, ctx.now, clock, cost, search);
    this.advance(this.current, finished);
  }

  /** A slice of a plan: what it decided is carried out at once, and the rest is gone on with a little later. */
  private advance(run: PlanRun, finished: ((run: PlanRun) => void) | null): void {
    if (!this.term.canDispatch()) {
      // The right or the state service is lost: what is decided by now is carried out by then, and no more of it.
      this.abandon(run);
      return;
    }
    try {
      if (this.decideAndStart(run)) {
        this.finish(run);
        finished?.(run);
        return;
      }
    } catch (e) {
      // No later plan would begin while this one seems to be under way.
      this.abandon(run);
      throw e;
    }
    run.clock.pause();
    this.term.after(SLICE_PAUSE, () => {
      run.clock.resume();
      this.advance(run, finished);
    });
  }

  /** Whether everything is decided. */
  private decideAndStart(run: PlanRun): boolean {
    const done = run.advance();
    const before = run.clock.elapsed();
    this.commit.startAll(run.takeSteps(), run.now);
    run.cost.actUs += run.clock.elapsed() - before;
    return done;
  }

  private abandon(run: PlanRun): void {
    run.release();
    this.current = null;
    this.again = true;
  }

  private finish(run: PlanRun): void {
    const { decision } = run;
    if (!run.urgentOnly) {
      const before = run.clock.elapsed();
      this.parts.clearing.preempt(run.steps);
      this.parts.fleet.rentFor(decision);
      this.needed = run.neededMachines();
      this.comparisonsCutShort = decision.fellBack || (this.comparisonsCutShort && decision.searched === 0);
      run.cost.actUs += run.clock.elapsed() - before;
      this.logPlan(run);
    }
    run.release();
    this.current = null;
  }

  private logPlan(run: PlanRun): void {
    const { decision, waiting } = run;
    if (waiting.groups.length === 0) return;
    this.term.ctx.debug('plan.completed', {
      ...run.cost,
      groups: waiting.groups.length,
      overflow: decision.overflow,
      steps: decision.steps.length,
      searched: decision.searched,
      fellBack: decision.fellBack,
      looks: decision.looks,
      slices: run.slices,
    });
  }
}
