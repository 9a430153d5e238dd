/**
 * Placement search. Each candidate first action is scored by a rollout: a bounded set of waiting groups is placed to
 * completion under earliest predicted finish. Only the best first action is committed (paper, 10.2-10.4). Once the budget
 * is used up, groups are placed by earliest predicted finish, which is the same rollout without alternatives for the first
 * action. A search can be suspended between two steps and resumed later.
 */
import type { JobSpec } from '../domain/job.js';
import { maxTasksPerZone } from '../domain/resources.js';
import { type Micros, MILLISECOND } from '../domain/time.js';
import { placeBackfill } from './backfill.js';
import { reserveFreeCapacity, reservePools } from './free-capacity.js';
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

/** How far past the budget groups that can't start now are still placed; bounds the duration of a plan. */
const LATER_START_OVERRUN: Micros = 80 * MILLISECOND;

/** How far past the budget backfill may still start work. */
const BACKFILL_OVERRUN: Micros = 2 * LATER_START_OVERRUN;

/** How far past the budget backfill may still plan for machines to be provisioned. */
const SCALE_OUT_OVERRUN: Micros = 40 * MILLISECOND;

/** Limits on the time and breadth of a search. */
export interface SearchLimits {
  /** Processor time for comparing candidates. */
  readonly budgetUs: Micros;
  /** Maximum number of groups whose first actions are compared. */
  readonly width: number;
  /** Maximum number of groups that a rollout places. */
  readonly depth: number;
  /** Makespans that differ by no more than this count as equal. */
  readonly toleranceUs: Micros;
  /** Skips the comparison when all groups can start now; for plans whose comparisons would exceed the budget. */
  readonly skipWhenUncontended?: boolean;
}

/** The result of a search, with its cost. */
export interface SearchResult {
  /** In the order in which they were decided. */
  readonly steps: readonly PlanStep[];
  /** The snapshot that the search worked on, including the machines that it provisions. */
  readonly snapshot: ClusterSnapshot;
  /** Number of candidates scored by a rollout. */
  readonly candidatesSearched: number;
  /** Whether the budget ran out while candidates were compared. */
  readonly budgetExceeded: boolean;
  /** Number of placements examined: the cost of the plan, independent of the computer's speed. */
  readonly placementsExamined: number;
  /** Number of groups handled by backfill. */
  readonly backfilledGroups: number;
}

/** Waiting work after the groups that are compared. */
export interface BackfillWork {
  /** One job specification for each distinct kind of task in `groups`. */
  readonly kinds: readonly JobSpec[];
  /** In queue order; may be generated lazily. */
  readonly groups: Iterable<TaskGroup>;
}

/** Backfill without any work. */
export const NO_BACKFILL: BackfillWork = { kinds: [], groups: [] };

/** A candidate first action: the group to place first, and where its first tasks go. */
interface Candidate {
  readonly group: TaskGroup;
  readonly option: PlacementOption;
}

/** Number of tasks to reserve capacity for in each zone, so that the group fits under its zone constraints. */
const tasksPerZone = ({ spec, count }: TaskGroup, zones: number): number => {
  if (spec.sameZone) return count;
  return spec.spreadAcrossZones
    ? Math.max(maxTasksPerZone(spec), Math.ceil(count / 2))
    : Math.ceil(count / zones);
};

/** A single search. The snapshot stays modified until `release` is called. */
export class PlacementSearch {
  /** Steps decided so far. */
  readonly steps: PlanStep[] = [];
  private readonly simulation: PlacementSimulation;
  private candidatesSearched = 0;
  private budgetExceeded = false;
  private backfilledGroups = 0;
  /** Number of placed groups that can't start now, without and with GPUs. */
  private readonly laterStartCounts: [number, number] = [0, 0];

  constructor(
    private readonly snapshot: ClusterSnapshot,
    /** Groups to compare, in queue order. */
    private readonly groups: readonly TaskGroup[],
    /** Work after `groups` in queue order, started only where it fits now. */
    private readonly backfill: BackfillWork,
    private readonly limits: SearchLimits,
    /** Processor time spent on the search so far. */
    private readonly elapsed: () => Micros,
  ) {
    this.simulation = new PlacementSimulation(snapshot, groups, backfill.kinds);
  }

  /**
   * Chooses first actions one after the other; each is committed to the simulation before the search for the next one.
   * At each yield, the simulation contains only decided steps.
   */
  *run(): Generator<void> {
    const realGroups = this.groups.filter((group) => !group.hypothetical);
    const reserved = yield* this.placeReserved(realGroups);
    yield* this.placeAroundUrgentReservations(realGroups.filter((group) => !reserved.has(group)));
    yield* this.placeBackfill();
    for (const group of this.groups)
      if (group.hypothetical && group.reservedForUrgent !== true) this.placeHypothetical(group);
  }

  /** Places capacity for expected work, but no more than machines and offers hold at the same time. */
  private placeHypothetical(group: TaskGroup): void {
    const count = Math.min(group.count, this.snapshot.totalCapacity.tasksAtOnce(group.spec));
    if (count > 0) placeGroup(this.simulation, { ...group, count });
  }

  /** The result of the search so far. */
  decision(): SearchResult {
    return {
      steps: this.steps,
      snapshot: this.snapshot,
      candidatesSearched: this.candidatesSearched,
      budgetExceeded: this.budgetExceeded,
      placementsExamined: this.simulation.placementsExamined,
      backfilledGroups: this.backfilledGroups,
    };
  }

  /** Undoes all changes to the snapshot, so that another plan can use its slots. */
  release(): void {
    this.simulation.rollback(0);
  }

  /** Whether the elapsed time is within the budget plus the allowed overrun. */
  private hasTime(allowedOverrun: Micros): boolean {
    return this.elapsed() <= this.limits.budgetUs + allowedOverrun;
  }

  private commit(group: TaskGroup, first: PlacementOption | null): void {
    const steps = placeGroup(this.simulation, group, first);
    if (steps !== null) this.steps.push(...steps);
  }

  /**
   * Whether a group that can't start now is left to the next plan: because the time is used up, or because no machine can
   * be provisioned for it and `depth` groups (with and without GPUs counted apart) already hold capacity for a later start.
   */
  private isDeferred(group: TaskGroup): boolean {
    const kind = gpuKind(group.spec);
    if (this.laterStartCounts[kind] >= this.limits.depth && !this.simulation.options.canScaleOut(group))
      return true;
    this.laterStartCounts[kind]++;
    return !this.hasTime(LATER_START_OVERRUN);
  }

  /**
   * Places the groups with `reserve` set that can't start now, and returns them. Otherwise the first actions of other
   * groups, which are compared later, would keep taking the capacity that is being freed for these, one task at a
   * time, and starve them.
   */
  private *placeReserved(groups: readonly TaskGroup[]): Generator<void, ReadonlySet<TaskGroup>> {
    const placed = new Set<TaskGroup>();
    for (const group of groups) {
      if (!group.reservesCapacity || canStartNow(this.simulation, group)) continue;
      // Otherwise smaller work of lower priority takes each machine that becomes free while more groups wait
      // than one plan considers: on a full-size day 40 gangs waited behind arrays.
      if (this.isDeferred(group)) reservePools(this.simulation, group);
      else this.commit(group, null);
      placed.add(group);
      yield;
    }
    return placed;
  }

  /** Places groups around the free capacity that is reserved for urgent work. */
  private *placeAroundUrgentReservations(groups: readonly TaskGroup[]): Generator<void> {
    const reservations = this.groups.filter((group) => group.reservedForUrgent === true);
    if (reservations.length === 0) {
      yield* this.place(groups);
      return;
    }
    // Urgent groups are placed before capacity is reserved for further urgent arrivals, all other groups after that.
    const urgentPriority = Math.min(...reservations.map((group) => group.spec.priority));
    yield* this.place(groups.filter((group) => group.spec.priority >= urgentPriority));
    this.reserveForUrgent(reservations);
    yield* this.place(groups.filter((group) => group.spec.priority < urgentPriority));
  }

  private reserveForUrgent(reservations: readonly TaskGroup[]): void {
    const { zones } = this.simulation;
    for (const group of reservations)
      for (const zone of zones)
        reserveFreeCapacity(this.simulation, group, zone, tasksPerZone(group, zones.length));
  }

  private *placeBackfill(): Generator<void> {
    const groups = placeBackfill(this.simulation, this.backfill.groups, {
      hasTimeForStarts: () => this.hasTime(BACKFILL_OVERRUN),
      hasTimeForScaleOut: () => this.hasTime(SCALE_OUT_OVERRUN),
    });
    for (const steps of groups) {
      this.steps.push(...steps);
      this.backfilledGroups++;
      yield;
    }
  }

  /** Compares and commits first actions while any group can start now; then places the remaining groups in order. */
  private *place(groups: readonly TaskGroup[]): Generator<void> {
    const compares = this.limits.skipWhenUncontended !== true || !allCanStartNow(this.simulation, groups);
    let remaining = groups;
    while (compares && remaining.length > 0) {
      const rolloutGroups = remaining.slice(0, this.limits.depth);
      const candidates = this.candidates(rolloutGroups);
      // No group can start now, so there is no first action to choose.
      if (candidates.length === 0) break;
      const chosen = yield* this.choose(rolloutGroups, candidates);
      if (this.budgetExceeded) break;
      const chosenGroup = chosen?.group ?? remaining[0]!;
      this.commit(chosenGroup, chosen?.option ?? null);
      remaining = remaining.filter((group) => group !== chosenGroup);
      yield;
    }
    for (const group of remaining) {
      if (canStartNow(this.simulation, group) || !this.isDeferred(group)) this.commit(group, null);
      yield;
    }
  }

  private candidates(rolloutGroups: readonly TaskGroup[]): Candidate[] {
    const candidates: Candidate[] = [];
    let groupsWithOptions = 0;
    for (const group of rolloutGroups) {
      const options = firstOptions(this.simulation, group);
      for (const option of options) candidates.push({ group, option });
      if (options.length > 0) groupsWithOptions++;
      if (groupsWithOptions >= this.limits.width) break;
    }
    return candidates;
  }

  /** The best first action; null if there is only one, none can be placed, or the budget is exceeded. */
  private *choose(
    rolloutGroups: readonly TaskGroup[],
    candidates: readonly Candidate[],
  ): Generator<void, Candidate | null> {
    if (rolloutGroups.length === 1)
      return candidates.reduce((one, other) => (other.option.rank < one.option.rank ? other : one));
    if (candidates.length === 1) return null;
    let best: { candidate: Candidate; score: Score } | null = null;
    for (const candidate of candidates) {
      if (!this.hasTime(0)) {
        this.budgetExceeded = true;
        return null;
      }
      const score = this.score(candidate, rolloutGroups);
      if (score !== null && (best === null || isBetter(score, best.score, this.limits.toleranceUs)))
        best = { candidate, score };
      yield;
    }
    return best?.candidate ?? null;
  }

  /** Scores a rollout of the other groups after the candidate, then rolls it back; null if it can't be placed. */
  private score({ group, option }: Candidate, rolloutGroups: readonly TaskGroup[]): Score | null {
    const mark = this.simulation.mark();
    const firstSteps = placeGroup(this.simulation, group, option);
    let score: Score | null = null;
    if (firstSteps !== null) {
      this.candidatesSearched++;
      const others = rolloutGroups.filter((other) => other !== group);
      score = simulateCompletion(this.simulation, others, firstSteps);
    }
    this.simulation.rollback(mark);
    return score;
  }
}

/** Runs a search to its end without suspending it. The snapshot stays modified. */
export const search = (
  snapshot: ClusterSnapshot,
  groups: readonly TaskGroup[],
  limits: SearchLimits,
  stopwatch: () => Micros,
  backfill: BackfillWork = NO_BACKFILL,
): SearchResult => {
  const startedAt = stopwatch();
  const run = new PlacementSearch(snapshot, groups, backfill, limits, () => stopwatch() - startedAt);
  const slices = run.run();
  let isDone = false;
  while (!isDone) isDone = slices.next().done === true;
  return run.decision();
};
