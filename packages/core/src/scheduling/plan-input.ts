/** What a plan works with: groups of waiting tasks, machines that exist or may be provisioned, and the steps it decides. */
import type { MachineSlot } from '../cluster/machine-slot.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';

/** A kind of machine that may be provisioned from the cloud. */
export interface CapacityOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** The most machines of it that one plan may provision. */
  readonly limit: number;
}

/** Identical waiting tasks of one job. */
export interface TaskGroup {
  readonly spec: JobSpec;
  readonly count: number;
  /** Number of the job's tasks in each zone already. */
  readonly zones: ReadonlyMap<string, number>;
  /** Machines that these tasks had better avoid. */
  readonly avoid: ReadonlySet<string>;
  /** Checkpointed progress that a restart continues from. */
  readonly checkpointedProgress: Micros;
  /** How much sooner the group has to finish on a machine for that to be provisioned, before the price is weighed. */
  readonly scaleOutThreshold: Micros;
  /** How long it may wait for a cheaper machine without risk to its next objective. */
  readonly allowedDelay: Micros;
  /** The only machines to consider, where capacity is being freed for the group. Null: any. */
  readonly allowedMachines: ReadonlySet<string> | null;
  /**
   * Its fair-share turn, its reservation or its priority protects it: if it can't begin now, what it will need is kept
   * from the groups behind it.
   */
  readonly reserve: boolean;
  /** No real work: capacity kept for arrivals, or for stages to come. */
  readonly hypothetical: boolean;
  /** Of a hypothetical group: capacity that is free now is kept for it. */
  readonly reservedForUrgent?: boolean;
  /** It can't begin before. */
  readonly notBefore?: Micros;
  /** Relative prices by type and kind, filled in on demand. */
  readonly costPenalties: Map<string, number>;
  /** Predicted run times by type, filled in on demand. */
  readonly runTimes: Map<string, Micros>;
}

/** `count` tasks of a group begin on a machine at a time. */
export interface PlanStep {
  readonly group: TaskGroup;
  readonly placement: Placement;
  readonly slot: MachineSlot;
  readonly count: number;
  readonly start: Micros;
  readonly finish: Micros;
}

/** Predicts run times. */
export interface Predictor {
  /** Expected run time of one task of the job on the type, given its checkpointed progress. */
  runTime(spec: JobSpec, type: MachineType, checkpointedProgress: Micros): Micros;
}

/** The cluster as one plan sees it. A simulation changes it and rolls its changes back. */
export interface ClusterSnapshot {
  readonly now: Micros;
  /** Machines that exist, and behind them those that the plan provisions. */
  slots: MachineSlot[];
  /** Kinds of machines that may be provisioned. */
  readonly offers: readonly CapacityOffer[];
  /** Number of machines that the plan provisions, by offer. */
  provisioned: Map<CapacityOffer, number>;
  readonly predictor: Predictor;
  readonly types: Iterable<MachineType>;
  /** Recurring kinds of tasks: small ones had better leave whole machines for the large ones among them. */
  readonly recurringSpecs?: readonly JobSpec[];
}

/** Where and when the next tasks of a group could run. */
export interface PlacementOption {
  readonly placement: Placement;
  /** The offer that the machine would be provisioned from; null: it exists, or the plan has counted it already. */
  readonly offer: CapacityOffer | null;
  readonly start: Micros;
  readonly finish: Micros;
  /** Number of tasks that can start there then. */
  readonly count: number;
  /** Finish with all penalties, in microseconds; the lowest is the best. */
  readonly rank: number;
  /** On a machine that costs several times what its job could do with. */
  readonly expensive: boolean;
  /** The job's image is cached there. */
  readonly warm: boolean;
}

/** A slot with what is known of when it may have free capacity. */
export interface Placement {
  readonly slot: MachineSlot;
  /** No work of the plan fits before that, by need of GPUs (0 without, 1 with). Never later than the truth. */
  readonly earliestFit: [Micros, Micros];
  /** Idle machines with the same number are interchangeable; `NO_EQUIVALENT`: like no other. */
  equivalenceClass: number;
}

/** Equivalence class of a placement that is like no other. */
export const NO_EQUIVALENT = -1;

/** Index into pairs that are kept by need of GPUs: 0 without, 1 with. */
export type GpuKind = 0 | 1;

/** Both indices. */
export const GPU_KINDS: readonly GpuKind[] = [0, 1];

/** What a task needs and where it may go, as text: equal for tasks that fit on the same machines. */
export const taskKind = (spec: JobSpec): string =>
  [
    spec.cores,
    spec.gpus,
    spec.memoryGb,
    spec.zone ?? '*',
    spec.spot,
    spec.machineTypes?.join('+') ?? '*',
  ].join('|');

/** Whether a task of the job needs GPUs, as an index. */
export const gpuKind = (spec: JobSpec): GpuKind => (spec.gpus > 0 ? 1 : 0);
