/** Jobs as their owners describe them, and as they are shown to users. */
import type { Micros } from './time.js';

/**
 * `array`: independent tasks; `gang`: all tasks run at the same time or none; `service`: replicas that run until cancelled.
 */
export type JobShape = 'array' | 'gang' | 'service';

/** 0: best effort, 1: normal, 2: high, 3: production. */
export type Priority = 0 | 1 | 2 | 3;

/** A job as it was submitted. Amounts of cores, GPUs and memory are for each task. */
export interface JobSpec {
  readonly id: string;
  /** The class of jobs it belongs to. */
  readonly class: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cores: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  /** The only machine types that may run it; null: any. */
  readonly machineTypes: readonly string[] | null;
  /** The only zone that it may run in; null: any. */
  readonly zone: string | null;
  /** All tasks run in one zone. */
  readonly sameZone: boolean;
  /** At most half of the tasks, rounded up, run in one zone. */
  readonly spreadAcrossZones: boolean;
  /** Its tasks may run on spot machines. */
  readonly spot: boolean;
  /** The owner's estimate of a task's run time. */
  readonly estimatedRunUs: Micros;
  /** How often a task can checkpoint; 0: it can't. */
  readonly checkpointIntervalUs: Micros;
  /** What a checkpoint takes when a task is stopped with grace. */
  readonly checkpointDurationUs: Micros;
  /** From the submission on; null: no deadline. */
  readonly deadlineUs: Micros | null;
  /** Ids of the jobs that have to be done before any task of this one starts. */
  readonly dependsOn: readonly string[];
}

/** A job's state as users see it. */
export type JobStage = 'queued' | 'running' | 'done' | 'cancelled';

/** A job as it is shown to users: its state, and how many of its tasks are done and running. */
export interface JobView {
  readonly id: string;
  readonly stage: JobStage;
  readonly done: number;
  readonly running: number;
}
