/**
 * Placement. The ordinary path scores each candidate first action by rolling a bounded set of waiting work out to
 * completion under earliest predicted finish, and commits the first action only (paper, 10.2-10.4). Past its budget it is
 * earliest predicted finish, which is the same rollout without alternatives for the first step. A search can be suspended
 * between two of its steps and resumed later.
 */
import type { JobSpec } from '../domain/job.js';
import { spreadLimit } from '../domain/resources.js';
import { type Micros, MILLI } from '../domain/time.js';
import { placeBackfill } from './backfill.js';
import { keepFreeCapacity, reservePools } from './free-capacity.js';
import { placeGroup } from './group-placement.js';
import { canStartNow, firstOptions } from './initial-placement.js';
import { PlacementSimulation } from './placement-simulation.js';
import {
  type ClusterSnapshot,
  gpuKind,
  type PlacementOption,
  type PlanStep,
  type TaskGroup,
} from './plan-input.js';
import { isBetter, type Score, simulateCompletion } from './rollout.js';
import { allCanStartNow } from './uncontended-placement.js';

/** Past the budget, so much longer may go into placing what can't begin now: a plan has to end. */
const LATER_PLACEMENT_TIME: Micros = 80 * MILLI;

/** And so much into starting work beyond the groups that are compared. */
const BACKFILL_TIME: Micros = 2 * LATER_PLACEMENT_TIME;

/** And so much into what machines are to be provisioned for beyond those groups. */
const SCALE_OUT_TIME: Micros = 40 * MILLI;

/** Bounds of a search. */
export interface SearchLimits {
  /** Processor time in which candidates are compared. */
  readonly budgetUs: Micros;
  /** Groups whose first actions are compared. */
  readonly width: number;
  /** Groups that a rollout places. */
  readonly depth: number;
  /** Makespans that differ by no more than this count as equal. */
  readonly toleranceUs: Micros;
  /** Where everything can begin now nothing is compared; for plans whose comparisons would exceed the budget. */
  readonly skipWhenUncontended?: boolean;
}

/** The result of a search, and what it cost. */
export interface Decision {
  /** In the order in which they were decided. */
  readonly steps: readonly PlanStep[];
  readonly snapshot: ClusterSnapshot;
  /** Number of candidates that were rolled out. */
  readonly candidatesSearched: number;
  /** The budget ran out while candidates were compared. */
  readonly budgetExceeded: boolean;
  /** Placements examined: what the plan cost, independent of the computer. */
  readonly placementsExamined: number;
  /** Groups placed behind those that were compared. */
  readonly backfilledGroups: number;
}

/** Work behind the groups that are compared. */
export interface BackfillWork {
  /** One description of each kind of task in it. */
  readonly kinds: readonly JobSpec[];
  readonly groups: Iterable<TaskGroup>;
}

/** No work behind the groups that are compared. */
export const NO_BACKFILL: BackfillWork = { kinds: [], groups: [] };

/** A group's first action. */
interface Candidate {
  readonly group: TaskGroup;
  readonly option: PlacementOption;
}

/** How many of a group's tasks to keep capacity for in each of so many zones, so that it fits wherever it may go. */
const tasksPerZone = ({ spec, count }: TaskGroup, zones: number): number => {
  if (spec.sameZone) return count;
  return spec.spreadAcrossZones
    ? Math.max(spreadLimit(spec), Math.ceil(count / 2))
    : Math.ceil(count / zones);
};

/** One search. It changes the snapshot until it is released. */
export class PlacementSearch {
  /** Decided so far. */
  readonly steps: PlanStep[] = [];
  private readonly simulation: PlacementSimulation;
  private searched = 0;
  private fellBack = false;
  private backfilledGroups = 0;
  /** Groups that only hold capacity for later, by need of GPUs. */
  private readonly heldGroups: [number, number] = [0, 0];

  constructor(
    private readonly snapshot: ClusterSnapshot,
    /** In queue order. */
    private readonly groups: readonly TaskGroup[],
    /** More of the same order, placed only where it can begin now, and of no other kinds than its own. */
    private readonly backfill: BackfillWork,
    private readonly limits: SearchLimits,
    /** Processor time that the search has had so far. */
    private readonly elapsed: () => Micros,
  ) {
    this.simulation = new PlacementSimulation(snapshot, groups, backfill.kinds);
  }

  /**
   * Chooses first actions one after the other, each committed to the simulation before the next is searched. Whenever it
   * yields, the simulation holds nothing but what was decided.
   */
  *run(): Generator<void> {
    const real = this.groups.filter((group) => !group.hypothetical);
    const reserved = yield* this.placeReserved(real);
    yield* this.placeAroundHolders(real.filter((group) => !reserved.has(group)));
    yield* this.placeBackfill();
    for (const group of this.groups)
      if (group.hypothetical && group.reservedForUrgent !== true) placeGroup(this.simulation, group);
  }

  /** The result so far. */
  decision(): Decision {
    return {
      steps: this.steps,
      snapshot: this.snapshot,
      candidatesSearched: this.searched,
      budgetExceeded: this.fellBack,
      placementsExamined: this.simulation.placementsExamined,
      backfilledGroups: this.backfilledGroups,
    };
  }

  /** Takes everything out of the snapshot again, whose slots may then serve another plan. */
  release(): void {
    this.simulation.rollback(0);
  }

  /** Whether there is time left, so much past the budget. */
  private hasTime(beyondBudget: Micros): boolean {
    return this.elapsed() <= this.limits.budgetUs + beyondBudget;
  }

  private commit(group: TaskGroup, first: PlacementOption | null): void {
    const steps = placeGroup(this.simulation, group, first);
    if (steps !== null) this.steps.push(...steps);
  }

  /**
   * Whether a group that can't begin now is left to the next plan. What machines can't be provisioned for either only holds
   * capacity for later: of that as many groups are placed as a rollout places, in queue order.
   */
  private isDeferred(group: TaskGroup): boolean {
    const kind = gpuKind(group.spec);
    if (this.heldGroups[kind] >= this.limits.depth && !this.simulation.options.canScaleOut(group))
      return true;
    this.heldGroups[kind]++;
    return !this.hasTime(LATER_PLACEMENT_TIME);
  }

  /**
   * Places the groups that capacity is reserved for and that can't begin now; returns them. Else the first actions of
   * others, which are all that is compared later, would take the capacity that is being freed for these, a task at a time,
   * for ever.
   */
  private *placeReserved(groups: readonly TaskGroup[]): Generator<void, ReadonlySet<TaskGroup>> {
    const placed = new Set<TaskGroup>();
    for (const group of groups) {
      if (!group.reserve || canStartNow(this.simulation, group)) continue;
      // Else each machine that becomes free would go to smaller work of lower priority, for as long as more
      // waits above it than one plan considers: on a full-size day 40 gangs waited so behind arrays.
      if (this.isDeferred(group)) reservePools(this.simulation, group);
      else this.commit(group, null);
      placed.add(group);
      yield;
    }
    return placed;
  }

  /** Places groups around those that only hold free capacity. */
  private *placeAroundHolders(groups: readonly TaskGroup[]): Generator<void> {
    const holders = this.groups.filter((group) => group.reservedForUrgent === true);
    if (holders.length === 0) {
      yield* this.place(groups);
      return;
    }
    // What has to start at once comes before the capacity that is kept for more of it, all else after that.
    const urgent = Math.min(...holders.map((group) => group.spec.priority));
    yield* this.place(groups.filter((group) => group.spec.priority >= urgent));
    this.keepCapacity(holders);
    yield* this.place(groups.filter((group) => group.spec.priority < urgent));
  }

  private keepCapacity(holders: readonly TaskGroup[]): void {
    const { zones } = this.simulation;
    for (const group of holders)
      for (const zone of zones)
        keepFreeCapacity(this.simulation, group, zone, tasksPerZone(group, zones.length));
  }

  private *placeBackfill(): Generator<void> {
    const groups = placeBackfill(this.simulation, this.backfill.groups, {
      hasTimeForStarts: () => this.hasTime(BACKFILL_TIME),
      hasTimeForScaleOut: () => this.hasTime(SCALE_OUT_TIME),
    });
    for (const steps of groups) {
      this.steps.push(...steps);
      this.backfilledGroups++;
      yield;
    }
  }

  /** Chooses and commits first actions while there is a choice; then places what is left in order. */
  private *place(groups: readonly TaskGroup[]): Generator<void> {
    const compares = this.limits.skipWhenUncontended !== true || !allCanStartNow(this.simulation, groups);
    let left = groups;
    while (compares && left.length > 0) {
      const represented = left.slice(0, this.limits.depth);
      const candidates = this.candidates(represented);
      // Nothing can begin now: there is no first action to choose, only what to wait for and to provision.
      if (candidates.length === 0) break;
      const chosen = yield* this.choose(represented, candidates);
      if (this.fellBack) break;
      const chosenGroup = chosen?.group ?? left[0]!;
      this.commit(chosenGroup, chosen?.option ?? null);
      left = left.filter((group) => group !== chosenGroup);
      yield;
    }
    for (const group of left) {
      if (canStartNow(this.simulation, group) || !this.isDeferred(group)) this.commit(group, null);
      yield;
    }
  }

  private candidates(represented: readonly TaskGroup[]): Candidate[] {
    const candidates: Candidate[] = [];
    let groupsWithOptions = 0;
    for (const group of represented) {
      const options = firstOptions(this.simulation, group);
      for (const option of options) candidates.push({ group, option });
      if (options.length > 0) groupsWithOptions++;
      if (groupsWithOptions >= this.limits.width) break;
    }
    return candidates;
  }

  /** The best first action of several; null: there was nothing to compare, or no time for it. */
  private *choose(
    represented: readonly TaskGroup[],
    candidates: readonly Candidate[],
  ): Generator<void, Candidate | null> {
    if (represented.length === 1)
      return candidates.reduce((one, other) => (other.option.rank < one.option.rank ? other : one));
    if (candidates.length === 1) return null;
    let best: { candidate: Candidate; score: Score } | null = null;
    for (const candidate of candidates) {
      if (!this.hasTime(0)) {
        this.fellBack = true;
        return null;
      }
      const score = this.score(candidate, represented);
      if (score !== null && (best === null || isBetter(score, best.score, this.limits.toleranceUs)))
        best = { candidate, score };
      yield;
    }
    return best?.candidate ?? null;
  }

  /** Rolls the others out behind the candidate; null if that can't be placed. Leaves no trace. */
  private score({ group, option }: Candidate, represented: readonly TaskGroup[]): Score | null {
    const mark = this.simulation.mark();
    const opening = placeGroup(this.simulation, group, option);
    let score: Score | null = null;
    if (opening !== null) {
      this.searched++;
      const others = represented.filter((other) => other !== group);
      score = simulateCompletion(this.simulation, others, opening);
    }
    this.simulation.rollback(mark);
    return score;
  }
}

/** Runs a search in one go. The snapshot is changed. */
export const search = (
  snapshot: ClusterSnapshot,
  groups: readonly TaskGroup[],
  limits: SearchLimits,
  stopwatch: () => Micros,
  backfill: BackfillWork = NO_BACKFILL,
): Decision => {
  const startedAt = stopwatch();
  const run = new PlacementSearch(snapshot, groups, backfill, limits, () => stopwatch() - startedAt);
  const pauses = run.run();
  let isDone = false;
  while (!isDone) isDone = pauses.next().done === true;
  return run.decision();
};
