/** Evaluates machines for a group's next tasks: when they could run there, how many, and what rank that gets. */
import type { MachineSlot } from '../cluster/machine-slot.js';
import { UNBOUNDED_RUN_TIME } from '../cluster/runtime-estimates.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Amounts } from '../domain/resources.js';
import { fits, timesFits } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { earliestStart } from './capacity-timeline.js';
import type { CapacityOffer, ClusterSnapshot, Placement, PlacementOption, TaskGroup } from './plan-input.js';
import {
  AVOIDANCE_WEIGHT,
  BLOCKING_WEIGHT,
  COST_PENALTY_WEIGHT,
  EXPENSIVE_PRICE_RATIO,
  imagePullTime,
  relativeMachinePrice,
  relativeTaskPrice,
  SMALL_TASK_RATIO,
  wasteOf,
} from './ranking.js';

/** The distinct kinds of tasks, services aside. */
const distinctKinds = (specs: readonly JobSpec[]): JobSpec[] => {
  const kinds = new Map<string, JobSpec>();
  for (const spec of specs) {
    const key = `${spec.cores}|${spec.gpus}|${spec.memoryGb}|${spec.machineTypes?.join('+') ?? '*'}`;
    if (spec.shape !== 'service') kinds.set(key, spec);
  }
  return [...kinds.values()];
};

/** Evaluates placements of one snapshot. */
export class OptionEvaluator {
  /** Number of placements examined: the work bound of a plan, for tests and logs. */
  examined = 0;
  private readonly kinds: readonly JobSpec[];
  private readonly largerKinds = new Map<JobSpec, readonly JobSpec[]>();
  /** The capacity just found; one object for all evaluations, which are too many to allocate one each. */
  private readonly free: Amounts = { cores: 0, gpus: 0, memoryGb: 0 };

  constructor(
    private readonly snapshot: ClusterSnapshot,
    groups: readonly TaskGroup[],
  ) {
    const specs = groups.map((group) => group.spec);
    this.kinds = distinctKinds([...(snapshot.recurringSpecs ?? []), ...specs]);
  }

  /** Predicted run time of one task of the group on the type. */
  runTime(group: TaskGroup, type: MachineType): Micros {
    const { spec, runTimes } = group;
    if (spec.shape === 'service') return UNBOUNDED_RUN_TIME;
    let runTime = runTimes.get(type.name);
    if (runTime === undefined) {
      runTime = this.snapshot.predictor.runTime(spec, type, group.checkpointedProgress);
      runTimes.set(type.name, runTime);
    }
    return runTime;
  }

  /** What the placement offers to the group's next tasks, if its rank is below the bound; else null. */
  evaluate(
    group: TaskGroup,
    placement: Placement,
    offer: CapacityOffer | null,
    bound: Micros,
  ): PlacementOption | null {
    this.examined++;
    const { spec } = group;
    const { slot } = placement;
    const scaleOutPenalty = offer === null ? 0 : this.scaleOutPenalty(group, slot);
    const pullTime = imagePullTime(spec, slot);
    const duration = pullTime + this.runTime(group, slot.type);
    if (slot.readyAt + duration + scaleOutPenalty >= bound) return null;
    const start = earliestStart(slot, spec, duration, this.free, group.notBefore);
    if (start === null) return null;
    const finish = start + duration;
    const gap = this.gapFor(spec, slot.type);
    const price = slot.sunkCost ? 1 : relativeMachinePrice(this.snapshot, group, slot.type, slot.spot);
    const avoidance = slot.machine !== null && group.avoid.has(slot.machine) ? AVOIDANCE_WEIGHT : 0;
    const rank = this.baseRank(group, slot, finish, price, gap) + scaleOutPenalty + avoidance;
    if (rank >= bound) return null;
    const fitting = Math.max(1, timesFits(spec, this.free));
    return {
      placement,
      offer,
      start,
      finish,
      count: gap !== null && gap > 0 ? Math.min(fitting, gap) : fitting,
      rank,
      expensive: price >= EXPENSIVE_PRICE_RATIO || (slot.sunkCost && spec.gpus === 0 && slot.type.gpus > 0),
      warm: pullTime === 0,
    };
  }

  /** What provisioning the machine counts for, in waiting time. */
  private scaleOutPenalty(group: TaskGroup, { type, spot }: MachineSlot): Micros {
    const price = relativeTaskPrice(this.snapshot, group, type, spot);
    return Math.round(group.scaleOutThreshold * Math.max(1, price));
  }

  /** The finish with the penalties that any machine may have. */
  private baseRank(
    group: TaskGroup,
    slot: MachineSlot,
    finish: Micros,
    price: number,
    gap: number | null,
  ): Micros {
    // Where a small task takes no place from a large one, and the machine is busy for as long anyway, it costs nothing,
    // however expensive the machine.
    const fillsGap = gap !== null && gap > 0 && finish <= (slot.changes.at(-1)?.at ?? slot.readyAt);
    const blocking = gap === 0 ? Math.min(group.allowedDelay, BLOCKING_WEIGHT) : 0;
    const costPenalty = slot.sunkCost || fillsGap ? 0 : this.costPenalty(group, slot);
    const waste = fillsGap ? 0 : wasteOf(group.spec, slot, finish, price, group.allowedDelay);
    return finish + waste + blocking + costPenalty;
  }

  /** On a machine that could be scaled in, work that needs little of what is expensive about it blocks the rest. */
  private costPenalty(group: TaskGroup, { type, spot }: MachineSlot): Micros {
    const excess = Math.max(0, relativeTaskPrice(this.snapshot, group, type, spot) - 1);
    return Math.min(group.allowedDelay, Math.round(COST_PENALTY_WEIGHT * excess));
  }

  /** Kinds of tasks so much larger that a small one in the wrong place keeps them out. */
  private kindsLargerThan(spec: JobSpec): readonly JobSpec[] {
    let larger = this.largerKinds.get(spec);
    if (larger === undefined) {
      larger = spec.gpus > 0 ? [] : this.kinds.filter((kind) => kind.cores >= SMALL_TASK_RATIO * spec.cores);
      this.largerKinds.set(spec, larger);
    }
    return larger;
  }

  /**
   * How many of a small task fit into the capacity just found beside as many large ones as would fit there: null if no
   * larger ones are expected here.
   */
  private gapFor(spec: JobSpec, type: MachineType): number | null {
    const { free } = this;
    let gap: number | null = null;
    for (const large of this.kindsLargerThan(spec)) {
      if (!fits(large, type) || (large.machineTypes !== null && !large.machineTypes.includes(type.name)))
        continue;
      const largeCount = timesFits(large, free);
      const rest = {
        cores: free.cores - largeCount * large.cores,
        gpus: free.gpus,
        memoryGb: free.memoryGb - largeCount * large.memoryGb,
      };
      const count = timesFits(spec, rest);
      if (gap === null || count < gap) gap = count;
    }
    return gap;
  }
}
