/** Job specifications as submitted, and job state as shown to users. */
import type { Micros } from './time.js';

/**
 * Kind of a job. `array`: independent tasks; `gang`: all tasks run at the same time or none does; `service`: replicas that run
 * until cancelled.
 */
export type JobShape = 'array' | 'gang' | 'service';

/** Priority of a job. 0: best effort, 1: normal, 2: high, 3: production. */
export type Priority = 0 | 1 | 2 | 3;

/** Maximum number of tasks of a job. */
export const MAX_TASKS_PER_JOB = 100_000;

/** Whether a job may have so many tasks. */
export const isTaskCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isInteger(value) && value >= 1 && value <= MAX_TASKS_PER_JOB;

/** A job as submitted. Cores, GPUs and memory are per task. */
export interface JobSpec {
  /** Unique id, chosen by the submitter. */
  readonly id: string;
  /** Class of the job, by which objectives and runtime estimates are kept. */
  readonly class: string;
  /** Team whose quota the job uses. */
  readonly team: string;
  /** Determines how the tasks are scheduled together. */
  readonly shape: JobShape;
  /** Affects the queue order; tasks of a higher priority may preempt those of a lower one. */
  readonly priority: Priority;
  /** Number of tasks, indexed from 0. */
  readonly tasks: number;
  /** CPU cores per task; may be fractional. */
  readonly cores: number;
  /** GPUs per task. */
  readonly gpus: number;
  /** Memory per task. */
  readonly memoryGb: number;
  /** Container image that a machine pulls before it runs a task. */
  readonly image: string;
  /** Size of the image. */
  readonly imageGb: number;
  /** Machine types that may run the job; null for any. */
  readonly machineTypes: readonly string[] | null;
  /** Zone that the job must run in; null for any. */
  readonly zone: string | null;
  /** All tasks have to run in the same zone. */
  readonly sameZone: boolean;
  /** At most half of the tasks, rounded up, may run in one zone. */
  readonly spreadAcrossZones: boolean;
  /** Whether tasks may run on spot machines. */
  readonly spot: boolean;
  /** The owner's estimate of the run time of a task. */
  readonly estimatedRunUs: Micros;
  /** Interval at which a task can save a checkpoint; 0 if it can't. */
  readonly checkpointIntervalUs: Micros;
  /** Time that a task needs to save a checkpoint when it is stopped with a grace period. */
  readonly checkpointDurationUs: Micros;
  /** Deadline relative to the submission; null for none. */
  readonly deadlineUs: Micros | null;
  /** Ids of the jobs that must be done before any task of this job starts. */
  readonly dependsOn: readonly string[];
}

/** State of a job as shown to users. */
export type JobStage = 'queued' | 'running' | 'done' | 'cancelled';

/** Summary of a job as shown to users. */
export interface JobView {
  /** Id from the job's specification. */
  readonly id: string;
  /** State at the time of the response. */
  readonly stage: JobStage;
  /** Number of tasks that are done. */
  readonly done: number;
  /** Number of tasks that are running. */
  readonly running: number;
}
