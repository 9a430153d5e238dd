/**
 * Placement. The ordinary path scores each candidate first action by playing a bounded set of waiting
 * work out to completion under earliest predicted finish, and commits the first action only (paper,
 * 10.2-10.4). Past its budget it is earliest predicted finish, which is the same play-out without
 * alternatives for the first step. A search can be left between two of its steps and gone on with later.
 */
import { beginsNow, firstOptions } from './initial-placement.js';
import { placeBackfill } from './backfill.js';
import { placeGroup } from './group-placement.js';
import {
  gpuKind,
  type TaskGroup,
  type PlacementOption,
  type ClusterSnapshot,
  type PlanStep,
} from './plan-input.js';
import { isBetter, simulateCompletion, type Score } from './rollout.js';
import { allBeginNow } from './uncontended-placement.js';
import { PlacementSimulation } from './placement-simulation.js';
import type { JobSpec } from '../domain/job.js';
import type { Micros } from '../domain/time.js';
import { spreadLimit } from '../domain/resources.js';

/** After the budget, so much longer may go into placing what can't begin now: a plan has to end. */
const PLACING: Micros = 80_000;

/** And so much into what machines are to be rented for beyond the groups that are compared. */
const RENTING: Micros = 40_000;

export interface SearchLimits {
  readonly budgetUs: Micros;
  readonly width: number;
  readonly depth: number;
  readonly toleranceUs: Micros;
  /** Where everything can begin now nothing is compared; for plans whose comparisons would go past the budget. */
  readonly skipWhenPlenty?: boolean;
}

export interface Decision {
  readonly steps: readonly PlanStep[];
  readonly picture: ClusterSnapshot;
  readonly searched: number;
  readonly fellBack: boolean;
  /** Places looked at: what the plan cost, whatever the machine. */
  readonly looks: number;
  /** Groups placed behind those that were compared. */
  readonly overflow: number;
}

/** What of a job's room is kept in each of so many zones, so that it finds enough wherever it may go. */
const shareOf = ({ spec, count }: TaskGroup, zones: number): number => {
  if (spec.sameZone) return count;
  return spec.spreadAcrossZones
    ? Math.max(spreadLimit(spec), Math.ceil(count / 2))
    : Math.ceil(count / zones);
};

/** Work behind the groups that are compared. */
export interface BackfillWork {
  /** One description of each kind of task in it. */
  readonly kinds: readonly JobSpec[];
  readonly groups: Iterable<TaskGroup>;
}

export const NO_BACKFILL: BackfillWork = { kinds: [], groups: [] };

interface Candidate {
  readonly group: TaskGroup;
  readonly option: PlacementOption;
}

export class PlacementSearch {
  /** Decided so far. */
  readonly steps: PlanStep[] = [];
  private readonly simulation: PlacementSimulation;
  private searched = 0;
  private fellBack = false;
  private overflowPlaced = 0;
  /** Groups that only hold room for later, by need of GPUs. */
  private readonly held = [0, 0];

  /**
   * `groups` come in the order of turns. `overflow` is more of the same order, placed only where it can begin now, and of
   * no other kinds than its own.
   * `elapsed` tells the processor time that the search has had so far.
   */
  constructor(
    private readonly picture: ClusterSnapshot,
    private readonly groups: readonly TaskGroup[],
    private readonly overflow: BackfillWork,
    private readonly limits: SearchLimits,
    private readonly elapsed: () => Micros,
  ) {
    this.simulation = new PlacementSimulation(picture, groups, overflow.kinds);
  }

  /**
   * Chooses first actions one after the other, each committed into the picture before the next is searched. Between two
   * values that it yields the picture holds nothing but what was decided.
   */
  *run(): Generator<void> {
    const real = this.groups.filter((g) => !g.hypothetical);
    const kept = this.groups.filter((g) => g.kept === true);
    const reserved = yield* this.settleReserved(real);
    const left = real.filter((g) => !reserved.has(g));
    if (kept.length === 0) yield* this.place(left);
    else {
      // What has to start at once comes before the room that is kept for more of it, all else after that.
      const urgent = Math.min(...kept.map((g) => g.spec.priority));
      yield* this.place(left.filter((g) => g.spec.priority >= urgent));
      this.keepRoom(kept);
      yield* this.place(left.filter((g) => g.spec.priority < urgent));
    }
    const overflow = placeBackfill(this.simulation, this.overflow.groups, {
      forStarts: this.timeFor(2 * PLACING),
      forRenting: this.timeFor(RENTING),
    });
    for (const steps of overflow) {
      this.steps.push(...steps);
      this.overflowPlaced++;
      yield;
    }
    for (const phantom of this.groups)
      if (phantom.hypothetical && phantom.kept !== true) placeGroup(this.simulation, phantom);
  }

  decision(): Decision {
    return {
      steps: this.steps,
      picture: this.picture,
      searched: this.searched,
      fellBack: this.fellBack,
      looks: this.simulation.looks,
      overflow: this.overflowPlaced,
    };
  }

  /** Takes everything out of the picture again, whose slots may then serve another plan. */
  release(): void {
    this.simulation.rollback(0);
  }

  /** Whether the search may still take its time, so much past its budget. */
  private timeFor(beyondBudget: Micros): () => boolean {
    return () => this.elapsed() <= this.limits.budgetUs + beyondBudget;
  }

  private settle(group: TaskGroup, first: PlacementOption | null): void {
    const made = placeGroup(this.simulation, group, first);
    if (made !== null) this.steps.push(...made);
  }

  /**
   * What can't begin now, nor have machines rented for it, only holds room for later: of that as many are
   * placed as a candidate is played out with, in the order of turns. The others wait for the next plan.
   */
  private tooLate(group: TaskGroup): boolean {
    const kind = gpuKind(group.spec);
    if (this.held[kind]! >= this.limits.depth && !this.simulation.mayRent(group)) return true;
    this.held[kind]!++;
    return this.elapsed() > this.limits.budgetUs + PLACING;
  }

  /**
   * Else the first actions of others, which are all that is compared later, would take the room that is being made for
   * these, a task at a time, for ever.
   */
  private *settleReserved(groups: readonly TaskGroup[]): Generator<void, ReadonlySet<TaskGroup>> {
    const settled = new Set<TaskGroup>();
    for (const group of groups) {
      if (!group.reserve || beginsNow(this.simulation, group)) continue;
      // Else each place that becomes free would go to smaller work of lower priority, for as long as more
      // waits above it than one plan looks at: on a full-size day 40 gangs waited so behind arrays.
      if (this.tooLate(group)) this.simulation.keepFor(group);
      else this.settle(group, null);
      settled.add(group);
      yield;
    }
    return settled;
  }

  private keepRoom(kept: readonly TaskGroup[]): void {
    const { zones } = this.simulation;
    for (const group of kept)
      for (const zone of zones) this.simulation.keepRoom(group, zone, shareOf(group, zones.length));
  }

  private *place(groups: readonly TaskGroup[]): Generator<void> {
    const compares = this.limits.skipWhenPlenty !== true || !allBeginNow(this.simulation, groups);
    let left = groups;
    while (compares && left.length > 0) {
      const represented = left.slice(0, this.limits.depth);
      const candidates = this.candidates(represented);
      // Nothing can begin now: there is no first action to choose, only what to wait for and to rent.
      if (candidates.length === 0) break;
      const chosen = yield* this.choose(represented, candidates);
      if (this.fellBack) break;
      const group = chosen?.group ?? left[0]!;
      this.settle(group, chosen?.option ?? null);
      left = left.filter((g) => g !== group);
      yield;
    }
    for (const group of left) {
      if (beginsNow(this.simulation, group) || !this.tooLate(group)) this.settle(group, null);
      yield;
    }
  }

  private candidates(represented: readonly TaskGroup[]): Candidate[] {
    const candidates: Candidate[] = [];
    let listed = 0;
    for (const group of represented) {
      const options = firstOptions(this.simulation, group);
      for (const option of options) candidates.push({ group, option });
      if (options.length > 0) listed++;
      if (listed >= this.limits.width) break;
    }
    return candidates;
  }

  /** The best first action of several; null: there was nothing to compare, or no time for it. */
  private *choose(
    represented: readonly TaskGroup[],
    candidates: readonly Candidate[],
  ): Generator<void, Candidate | null> {
    if (represented.length === 1) return candidates.reduce((x, y) => (y.option.rank < x.option.rank ? y : x));
    if (candidates.length === 1) return null;
    let best: { candidate: Candidate; score: Score } | null = null;
    for (const candidate of candidates) {
      if (this.elapsed() > this.limits.budgetUs) {
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

  private score({ group, option }: Candidate, represented: readonly TaskGroup[]): Score | null {
    const mark = this.simulation.mark();
    const opening = placeGroup(this.simulation, group, option);
    let score: Score | null = null;
    if (opening !== null) {
      this.searched++;
      const others = represented.filter((g) => g !== group);
      score = simulateCompletion(this.simulation, others, opening);
    }
    this.simulation.rollback(mark);
    return score;
  }
}

/** A search in one go. The picture is changed. */
export const search = (
  picture: ClusterSnapshot,
  groups: readonly TaskGroup[],
  limits: SearchLimits,
  stopwatch: () => Micros,
  overflow: BackfillWork = NO_BACKFILL,
): Decision => {
  const began = stopwatch();
  const run = new PlacementSearch(picture, groups, overflow, limits, () => stopwatch() - began);
  for (const pause of run.run()) void pause;
  return run.decision();
};
