/** What a plan works with: groups of waiting tasks, machines that exist or may be rented, and steps that it decides. */
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine.js';
import type { Micros } from '../domain/time.js';
import type { MachineSlot } from '../cluster/machine-slot.js';

/** A kind of machine that may be rented. */
export interface CapacityOffer {
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly limit: number;
}

/** Identical waiting tasks of one job. */
export interface TaskGroup {
  readonly spec: JobSpec;
  readonly count: number;
  /** Tasks of the job in each zone already. */
  readonly zones: ReadonlyMap<string, number>;
  /** Machines that these tasks had better avoid. */
  readonly avoid: ReadonlySet<string>;
  /** Progress that a restart continues from. */
  readonly checkpointedProgress: Micros;
  /** Weight of the wait for a rented machine, 1 where the job has no tight aim. */
  readonly scaleOutThreshold: Micros;
  /** How long it may wait for a cheaper place without risk to its next aim. */
  readonly allowedDelay: Micros;
  /** The only machines to look at, where room is being made for the group. */
  readonly allowedMachines: ReadonlySet<string> | null;
  /**
   * Its turn, its promise or its priority protects it: if it can't begin now, what it will need is kept
   * from the groups behind it.
   */
  readonly reserve: boolean;
  /** No real work: room kept for arrivals, or for stages to come. */
  readonly hypothetical: boolean;
  /** Phantom: room that is free now is kept for it. */
  readonly kept?: boolean;
  /** It can't begin before. */
  readonly notBefore?: Micros;
  /** Relative prices by type and kind, filled in as they are asked for. */
  readonly costPenalties: Map<string, number>;
  /** Predicted run times by type, filled in as they are asked for. */
  readonly runTimes: Map<string, Micros>;
}

/** `count` tasks of a group begin on a slot at a time. */
export interface PlanStep {
  readonly group: TaskGroup;
  readonly placement: Placement;
  readonly slot: MachineSlot;
  readonly count: number;
  readonly start: Micros;
  readonly finish: Micros;
}

export interface Predictor {
  runTime(spec: JobSpec, type: MachineType, credit: Micros): Micros;
}

export interface ClusterSnapshot {
  readonly now: Micros;
  slots: MachineSlot[];
  readonly rentable: readonly CapacityOffer[];
  rented: Map<CapacityOffer, number>;
  readonly predictor: Predictor;
  readonly types: Iterable<MachineType>;
  /** Tasks that come again and again: small ones had better leave whole places for the large ones among them. */
  readonly kinds?: readonly JobSpec[];
}

export interface PlacementOption {
  readonly seat: Placement;
  readonly rentable: CapacityOffer | null;
  readonly start: Micros;
  readonly finish: Micros;
  readonly count: number;
  readonly rank: number;
  /** On a machine that costs several times what its job could do with. */
  readonly dear: boolean;
  readonly warm: boolean;
}

/** A slot with what is known of when it may have room. */
export interface Placement {
  readonly slot: MachineSlot;
  /** No work of the plan fits before that, by need of GPUs (0 without, 1 with). Never later than the truth. */
  readonly floor: [Micros, Micros];
  /** Idle seats with the same number are alike; -1: like no other. */
  alike: number;
}

/** What a task needs and where it may go, as text: equal for tasks that find room on the same machines. */
export const taskKind = (spec: JobSpec): string =>
  [
    spec.cores,
    spec.gpus,
    spec.memoryGb,
    spec.zone ?? '*',
    spec.spot,
    spec.machineTypes?.join('+') ?? '*',
  ].join('|');

export const gpuKind = (spec: JobSpec): 0 | 1 => (spec.gpus > 0 ? 1 : 0);
