/** Evaluates machines for a group's next tasks: when they could run there, how many of them, and with what rank. */
import type { MachineSlot } from '../cluster/machine-slot.js';
import { UNBOUNDED_RUN_TIME } from '../cluster/runtime-estimates.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Amounts } from '../domain/resources.js';
import { countFits, fits } from '../domain/resources.js';
import type { Micros } from '../domain/time.js';
import { earliestStart } from './capacity-timeline.js';
import type { CapacityOffer, ClusterSnapshot, Placement, PlacementOption, TaskGroup } from './plan-input.js';
import {
  AVOIDANCE_PENALTY,
  BLOCKING_PENALTY,
  COST_PENALTY,
  EXPENSIVE_PRICE_RATIO,
  imagePullTime,
  relativeMachinePrice,
  relativeTaskPrice,
  SMALL_TASK_RATIO,
  wastePenalty,
} from './ranking.js';

/** One job specification for each distinct kind of task, except services. */
const distinctKinds = (specs: readonly JobSpec[]): JobSpec[] => {
  const kinds = new Map<string, JobSpec>();
  for (const spec of specs) {
    const key = `${spec.cores}|${spec.gpus}|${spec.memoryGb}|${spec.machineTypes?.join('+') ?? '*'}`;
    if (spec.shape !== 'service') kinds.set(key, spec);
  }
  return [...kinds.values()];
};

/** Evaluates the placements of one snapshot, and caches predicted run times. */
export class OptionEvaluator {
  /** Number of placements examined: a measure of the plan's cost, for tests and logs. */
  examined = 0;
  private readonly kinds: readonly JobSpec[];
  private readonly largerKinds = new Map<JobSpec, readonly JobSpec[]>();
  /** Capacity available to the option being evaluated; reused, since there are too many evaluations to allocate one each. */
  private readonly availableCapacity: Amounts = { cores: 0, gpus: 0, memoryGb: 0 };

  constructor(
    private readonly snapshot: ClusterSnapshot,
    groups: readonly TaskGroup[],
  ) {
    const specs = groups.map((group) => group.spec);
    this.kinds = distinctKinds([...(snapshot.recurringSpecs ?? []), ...specs]);
  }

  /** Predicted run time of one task of the group on the machine type; unbounded for a service. */
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

  /** The option that the placement offers to the group's next tasks; null if its rank is not below the bound. */
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
    const occupiedFor = group.excludesLaterWork === true ? Infinity : duration;
    const start = earliestStart(slot, spec, occupiedFor, this.availableCapacity, group.notBefore);
    if (start === null) return null;
    // Capacity behind a service never becomes free, so that a gang that counts on it would hold its other machines in vain.
    if (spec.shape === 'gang' && start >= UNBOUNDED_RUN_TIME) return null;
    const finish = start + duration;
    const gap = this.tasksInGap(spec, slot.type);
    const price = slot.sunkCost ? 1 : relativeMachinePrice(this.snapshot, group, slot.type, slot.spot);
    const avoidance =
      slot.machine !== null && group.avoidedMachines.has(slot.machine) ? AVOIDANCE_PENALTY : 0;
    const rank = this.baseRank(group, slot, finish, price, gap) + scaleOutPenalty + avoidance;
    if (rank >= bound) return null;
    const fitting = Math.max(1, countFits(spec, this.availableCapacity));
    return {
      placement,
      offer,
      start,
      finish,
      count: gap !== null && gap > 0 ? Math.min(fitting, gap) : fitting,
      rank,
      expensive: price >= EXPENSIVE_PRICE_RATIO || (slot.sunkCost && spec.gpus === 0 && slot.type.gpus > 0),
      imageCached: pullTime === 0,
    };
  }

  /** The penalty for provisioning the machine, in waiting time. */
  private scaleOutPenalty(group: TaskGroup, { type, spot }: MachineSlot): Micros {
    const price = relativeTaskPrice(this.snapshot, group, type, spot);
    return Math.round(group.scaleOutThreshold * Math.max(1, price));
  }

  /** The finish time plus the penalties that apply to existing and provisioned machines alike. */
  private baseRank(
    group: TaskGroup,
    slot: MachineSlot,
    finish: Micros,
    price: number,
    gap: number | null,
  ): Micros {
    // A small task that displaces no large one, on a machine that is busy until its finish anyway, adds no cost, however
    // expensive the machine is.
    const fillsGap = gap !== null && gap > 0 && finish <= (slot.changes.at(-1)?.at ?? slot.readyAt);
    const blocking = gap === 0 ? Math.min(group.allowedDelay, BLOCKING_PENALTY) : 0;
    const costPenalty = slot.sunkCost || fillsGap ? 0 : this.costPenalty(group, slot);
    const waste = fillsGap ? 0 : wastePenalty(group.spec, slot, finish, price, group.allowedDelay);
    return finish + waste + blocking + costPenalty;
  }

  /** The penalty for a costly machine that could be scaled in: a task that needs little of it keeps all of it running. */
  private costPenalty(group: TaskGroup, { type, spot }: MachineSlot): Micros {
    const excess = Math.max(0, relativeTaskPrice(this.snapshot, group, type, spot) - 1);
    return Math.min(group.allowedDelay, Math.round(COST_PENALTY * excess));
  }

  /** Kinds of tasks so much larger than the job's that a badly placed task of the job could block them. */
  private kindsLargerThan(spec: JobSpec): readonly JobSpec[] {
    let larger = this.largerKinds.get(spec);
    if (larger === undefined) {
      larger = spec.gpus > 0 ? [] : this.kinds.filter((kind) => kind.cores >= SMALL_TASK_RATIO * spec.cores);
      this.largerKinds.set(spec, larger);
    }
    return larger;
  }

  /**
   * Number of the job's tasks that fit into the capacity that is left beside as many large tasks as fit there; null if no
   * larger tasks are expected on this type.
   */
  private tasksInGap(spec: JobSpec, type: MachineType): number | null {
    const { availableCapacity: free } = this;
    let gap: number | null = null;
    for (const large of this.kindsLargerThan(spec)) {
      if (!fits(large, type) || (large.machineTypes !== null && !large.machineTypes.includes(type.name)))
        continue;
      const largeCount = countFits(large, free);
      const rest = {
        cores: free.cores - largeCount * large.cores,
        gpus: free.gpus,
        memoryGb: free.memoryGb - largeCount * large.memoryGb,
      };
      const count = countFits(spec, rest);
      if (gap === null || count < gap) gap = count;
    }
    return gap;
  }
}
