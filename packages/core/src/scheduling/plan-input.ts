/** Data of a plan: groups of waiting tasks, machines that exist or may be provisioned, and the resulting steps. */
import type { MachineSlot } from '../cluster/machine-slot.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import type { TotalCapacity } from './total-capacity.js';

/** A combination of machine type, zone and purchase option that may be provisioned from the cloud. */
export interface CapacityOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Maximum number of machines that one plan may provision from this offer. */
  readonly limit: number;
  /** Maximum number of machines that a gang may count on, provisioned over several plans; `limit` if undefined. */
  readonly gangLimit?: number;
}

/** Identical waiting tasks of one job, with the limits on where and when they may start. */
export interface TaskGroup {
  /** The job as submitted, but with its effective priority. */
  readonly spec: JobSpec;
  /** Number of tasks to place. */
  readonly count: number;
  /** Number of the job's live tasks in each zone. */
  readonly zones: ReadonlyMap<string, number>;
  /** Machines that these tasks should avoid. */
  readonly avoidedMachines: ReadonlySet<string>;
  /** Checkpointed progress from which a restarted task continues. */
  readonly checkpointedProgress: Micros;
  /** Minimum time saved by a new machine that justifies provisioning it for the group; scaled by the relative price. */
  readonly scaleOutThreshold: Micros;
  /** How long the group may wait for a cheaper machine without endangering its next objective. */
  readonly allowedDelay: Micros;
  /** The machines on which capacity is being freed for the group, which are then the only ones to use; null: any. */
  readonly allowedMachines: ReadonlySet<string> | null;
  /**
   * Whether capacity is reserved for the group while it can't start, so that groups behind it don't take it: due to its
   * fair-share turn, a preemption reservation or its priority.
   */
  readonly reservesCapacity: boolean;
  /** Whether the group stands for no actual tasks, but for capacity kept for arrivals or upcoming stages. */
  readonly hypothetical: boolean;
  /** Of a hypothetical group: capacity that is free now is reserved for urgent arrivals. */
  readonly reservedForUrgent?: boolean;
  /** Earliest time at which the group may start. */
  readonly notBefore?: Micros;
  /** Whether a placement must keep its capacity from its start on, whatever else is planned there for later. */
  readonly excludesLaterWork?: boolean;
  /** Cache of relative prices by machine type and purchase option. */
  readonly relativePrices: Map<string, number>;
  /** Cache of predicted run times by machine type. */
  readonly runTimes: Map<string, Micros>;
}

/** A decision of a plan: `count` tasks of a group run on a machine from `start` to `finish`. */
export interface PlanStep {
  readonly group: TaskGroup;
  readonly placement: Placement;
  /** The slot of the placement. */
  readonly slot: MachineSlot;
  readonly count: number;
  readonly start: Micros;
  readonly finish: Micros;
}

/** Predicts how long tasks will run. */
export interface Predictor {
  /** Expected run time of one task of the job on the type, given its checkpointed progress. */
  runTime(spec: JobSpec, type: MachineType, checkpointedProgress: Micros): Micros;
}

/** The state of the cluster that a plan works on. A simulation modifies it and rolls its changes back. */
export interface ClusterSnapshot {
  readonly now: Micros;
  /** Existing machines, followed by those that the plan provisions. */
  slots: MachineSlot[];
  /** Machines that may be provisioned from the cloud. */
  readonly offers: readonly CapacityOffer[];
  /** What the machines and offers hold at the same time; the machines that the plan provisions don't change it. */
  readonly totalCapacity: TotalCapacity;
  /** Number of machines that the plan provisions, by offer. */
  provisioned: Map<CapacityOffer, number>;
  /** Predicts the run times of waiting tasks. */
  readonly predictor: Predictor;
  /** All known machine types, including those that the cloud refuses now. */
  readonly types: Iterable<MachineType>;
  /** Recurring kinds of tasks; small tasks are placed so that they don't block the large ones among these. */
  readonly recurringSpecs?: readonly JobSpec[];
}

/** A machine and a time at which the next tasks of a group could run. */
export interface PlacementOption {
  readonly placement: Placement;
  /** The offer to provision the machine from; null if it exists or the plan already provisions it. */
  readonly offer: CapacityOffer | null;
  /** Earliest start of the tasks there. */
  readonly start: Micros;
  /** Predicted finish, including the image pull. */
  readonly finish: Micros;
  /** Number of tasks that can start there at that time. */
  readonly count: number;
  /** Finish time plus all penalties, in microseconds; lower is better. */
  readonly rank: number;
  /** Whether the machine costs several times the job's cheapest one, or has a sunk cost and GPUs unused by the job. */
  readonly expensive: boolean;
  /** Whether the job's image is cached there. */
  readonly imageCached: boolean;
}

/** A machine slot with an estimate of when it has free capacity. */
export interface Placement {
  readonly slot: MachineSlot;
  /** Lower bound on when any work of the plan fits, by `GpuKind`. */
  readonly earliestFit: [Micros, Micros];
  /** Idle machines of the same class are interchangeable; `NO_EQUIVALENT` if there are no equivalent machines. */
  equivalenceClass: number;
}

/** Equivalence class of a placement without equivalent machines. */
export const NO_EQUIVALENT = -1;

/** Index into pairs that distinguish work without GPUs (0) and with GPUs (1). */
export type GpuKind = 0 | 1;

/** Both values of `GpuKind`, for iteration. */
export const GPU_KINDS: readonly GpuKind[] = [0, 1];

/** The `GpuKind` of the job: 1 if its tasks need GPUs, otherwise 0. */
export const gpuKind = (spec: JobSpec): GpuKind => (spec.gpus > 0 ? 1 : 0);
