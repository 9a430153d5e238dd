/** A plan in progress, computed in slices so that the node can do other work between them. */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { type Micros, MILLISECOND } from '../domain/time.js';
import type { PlacementSearch, SearchResult } from '../scheduling/placement-search.js';
import type { PlanStep } from '../scheduling/plan-input.js';
import type { StepsByJob } from './placement-commit.js';
import type { WaitingWork } from './waiting-groups.js';

/** A slice ends with the first decision after this time, so that queued inputs wait for at most a few slices. */
const SLICE_LENGTH: Micros = 30 * MILLISECOND;

/** Processor time of the phases of a plan, in microseconds. */
export interface PlanCost {
  /** Collecting the waiting work. */
  readonly groupsUs: Micros;
  /** Building the snapshot and searching placements. */
  searchUs: Micros;
  /** Starting attempts, preempting and scaling out. */
  commitUs: Micros;
}

/** Measures the processor time of a plan, without the pauses between its slices. */
export class PlanClock {
  private accumulated: Micros = 0;
  private resumedAt: Micros;

  constructor(private readonly stopwatch: () => Micros) {
    this.resumedAt = stopwatch();
  }

  /** Processor time spent so far. */
  readonly elapsed = (): Micros => this.accumulated + this.stopwatch() - this.resumedAt;

  /** Stops the clock at the end of a slice. */
  pause(): void {
    this.accumulated = this.elapsed();
  }

  /** Continues the clock at the start of the next slice. */
  resume(): void {
    this.resumedAt = this.stopwatch();
  }
}

/** State of one plan, from its snapshot to its last step. */
export class PlanRun {
  private readonly stepsByJob = new Map<ActiveJob, PlanStep[]>();
  private readonly iterator: Generator<void>;
  private takenStepCount = 0;
  /** Number of slices started so far. */
  sliceCount = 0;

  constructor(
    /** Whether the plan covers only urgent work; such a plan neither preempts nor scales out. */
    readonly urgentOnly: boolean,
    readonly waiting: WaitingWork,
    readonly now: Micros,
    readonly clock: PlanClock,
    readonly cost: PlanCost,
    private readonly search: PlacementSearch,
  ) {
    this.iterator = search.run();
  }

  /** The search's decision so far. */
  get decision(): SearchResult {
    return this.search.decision();
  }

  /** All steps so far. */
  get steps(): StepsByJob {
    return this.stepsByJob;
  }

  /** Searches until the slice is over; returns whether the plan is complete. */
  runSlice(): boolean {
    const began = this.clock.elapsed();
    // Building the snapshot counts towards the first slice.
    const end = (this.sliceCount++ === 0 ? 0 : began) + SLICE_LENGTH;
    let done = false;
    while (!done && this.clock.elapsed() < end) done = this.iterator.next().done === true;
    this.cost.searchUs += this.clock.elapsed() - began;
    return done;
  }

  /** Returns the steps decided since the last call. */
  takeSteps(): StepsByJob {
    const { steps } = this.search;
    const taken = new Map<ActiveJob, PlanStep[]>();
    for (; this.takenStepCount < steps.length; this.takenStepCount++) {
      const step = steps[this.takenStepCount]!;
      const job = this.waiting.jobOf(step.group);
      if (job === undefined) continue;
      append(taken, job, step);
      append(this.stepsByJob, job, step);
    }
    return taken;
  }

  /** Names of the machines that the plan uses. */
  neededMachines(): ReadonlySet<string> {
    const needed = new Set<string>();
    for (const { used, machine } of this.decision.snapshot.slots)
      if (used && machine !== null) needed.add(machine);
    return needed;
  }

  /** Releases the slots of the snapshot for reuse by another plan. */
  releaseSlots(): void {
    this.search.release();
  }
}

const append = (steps: Map<ActiveJob, PlanStep[]>, job: ActiveJob, step: PlanStep): void => {
  const list = steps.get(job);
  if (list === undefined) steps.set(job, [step]);
  else list.push(step);
};
