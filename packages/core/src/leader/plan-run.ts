/** One plan, from its snapshot to its last step, in slices: between two of them the node does its other work. */
import type { ActiveJob } from '../cluster/cluster-model.js';
import { type Micros, MILLI } from '../domain/time.js';
import type { Decision, PlacementSearch } from '../scheduling/placement-search.js';
import type { PlanStep } from '../scheduling/plan-input.js';
import type { StepsByJob } from './placement-commit.js';
import type { WaitingWork } from './waiting-groups.js';

/** A slice ends with the first decision after that; inputs that wait behind it are handled within a few of these. */
const SLICE_LENGTH: Micros = 30 * MILLI;

/** Processor time of a plan's parts, in microseconds. */
export interface PlanCost {
  readonly groupsUs: Micros;
  searchUs: Micros;
  commitUs: Micros;
}

/** Processor time of a plan; the clock stands still between slices. */
export class PlanClock {
  private before: Micros = 0;
  private began: Micros;

  constructor(private readonly stopwatch: () => Micros) {
    this.began = stopwatch();
  }

  /** Processor time so far. */
  readonly elapsed = (): Micros => this.before + this.stopwatch() - this.began;

  /** A slice has ended. */
  pause(): void {
    this.before = this.elapsed();
  }

  /** The next slice begins. */
  resume(): void {
    this.began = this.stopwatch();
  }
}

/** A plan under way. */
export class PlanRun {
  private readonly stepsByJob = new Map<ActiveJob, PlanStep[]>();
  private readonly iterator: Generator<void>;
  private committed = 0;
  /** Slices that have begun. */
  sliceCount = 0;

  constructor(
    /** Only urgent work is planned, and nothing is preempted or scaled out for it. */
    readonly urgentOnly: boolean,
    readonly waiting: WaitingWork,
    readonly now: Micros,
    readonly clock: PlanClock,
    readonly cost: PlanCost,
    private readonly search: PlacementSearch,
  ) {
    this.iterator = search.run();
  }

  /** What the search has decided so far. */
  get decision(): Decision {
    return this.search.decision();
  }

  /** All steps so far. */
  get steps(): StepsByJob {
    return this.stepsByJob;
  }

  /** Decides until the slice is over; returns whether everything is decided. */
  advance(): boolean {
    const began = this.clock.elapsed();
    // The time that the snapshot took counts towards the first slice.
    const end = (this.sliceCount++ === 0 ? 0 : began) + SLICE_LENGTH;
    let done = false;
    while (!done && this.clock.elapsed() < end) done = this.iterator.next().done === true;
    this.cost.searchUs += this.clock.elapsed() - began;
    return done;
  }

  /** Steps that were decided since the last call. */
  takeSteps(): StepsByJob {
    const { steps } = this.search;
    const taken = new Map<ActiveJob, PlanStep[]>();
    for (; this.committed < steps.length; this.committed++) {
      const step = steps[this.committed]!;
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

  /** The snapshot's slots may serve another plan from now on. */
  releaseSlots(): void {
    this.search.release();
  }
}

const append = (steps: Map<ActiveJob, PlanStep[]>, job: ActiveJob, step: PlanStep): void => {
  const list = steps.get(job);
  if (list === undefined) steps.set(job, [step]);
  else list.push(step);
};
