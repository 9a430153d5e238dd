/** One plan from its picture to its last step, in slices: between two of them the node gets to its other work. */
import type { ActiveJob } from '../cluster/cluster-model.js';
import type { PlanStep } from '../scheduling/plan-input.js';
import type { Decision, PlacementSearch } from '../scheduling/placement-search.js';
import { MILLI, type Micros } from '../domain/time.js';
import type { StepsByJob } from './placement-commit.js';
import type { Waiting } from './waiting-groups.js';

/** A slice ends with the first of its decisions after that: what waits behind it is answered within a few of these. */
const SLICE: Micros = 30 * MILLI;

/** Processor time of a plan's parts, in microseconds. */
export interface PlanCost {
  readonly groupsUs: Micros;
  searchUs: Micros;
  actUs: Micros;
}

/** Processor time that a plan has had; it stands still between slices. */
export class PlanClock {
  private before: Micros = 0;
  private began: Micros;

  constructor(private readonly stopwatch: () => Micros) {
    this.began = stopwatch();
  }

  readonly elapsed = (): Micros => this.before + this.stopwatch() - this.began;

  pause(): void {
    this.before = this.elapsed();
  }

  resume(): void {
    this.began = this.stopwatch();
  }
}

export class PlanRun {
  private readonly stepsByJob = new Map<ActiveJob, PlanStep[]>();
  private readonly iterator: Generator<void>;
  private committed = 0;
  slices = 0;

  constructor(
    /** Only what must start at once is planned for, and nothing is stopped or rented for it. */
    readonly urgentOnly: boolean,
    readonly waiting: Waiting,
    readonly now: Micros,
    readonly clock: PlanClock,
    readonly cost: PlanCost,
    private readonly search: PlacementSearch,
  ) {
    this.iterator = search.run();
  }

  get decision(): Decision {
    return this.search.decision();
  }

  /** All steps so far. */
  get steps(): StepsByJob {
    return this.stepsByJob;
  }

  /** Decides until the slice is over: whether everything is decided. */
  advance(): boolean {
    const began = this.clock.elapsed();
    // The first one has made the picture already.
    const end = (this.slices++ === 0 ? 0 : began) + SLICE;
    let done = false;
    while (!done && this.clock.elapsed() < end) done = this.iterator.next().done === true;
    this.cost.searchUs += this.clock.elapsed() - began;
    return done;
  }

  /** Steps that were decided since this was last asked for. */
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

  /** Machines that the plan counts on. */
  neededMachines(): ReadonlySet<string> {
    const needed = new Set<string>();
    for (const { used, machine } of this.decision.picture.slots)
      if (used && machine !== null) needed.add(machine);
    return needed;
  }

  /** The picture's slots may serve another plan from now on. */
  release(): void {
    this.search.release();
  }
}

const append = (steps: Map<ActiveJob, PlanStep[]>, job: ActiveJob, step: PlanStep): void => {
  const list = steps.get(job);
  if (list === undefined) steps.set(job, [step]);
  else list.push(step);
};
