/** Jobs as their owners describe them, and as they are shown. */
import type { Micros } from './time.js';

export type JobShape = 'array' | 'gang' | 'service';

/** 0 best effort, 1 normal, 2 high, 3 production. */
export type Priority = 0 | 1 | 2 | 3;

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
  readonly machineTypes: readonly string[] | null;
  readonly zone: string | null;
  readonly sameZone: boolean;
  readonly spreadAcrossZones: boolean;
  readonly spot: boolean;
  readonly estimatedRunUs: Micros;
  readonly checkpointIntervalUs: Micros;
  readonly checkpointDurationUs: Micros;
  readonly deadlineUs: Micros | null;
  /** Jobs that have to be done before any task of this one starts. */
  readonly dependsOn: readonly string[];
}

export type JobStage = 'queued' | 'running' | 'done' | 'cancelled';

export interface JobView {
  readonly id: string;
  readonly stage: JobStage;
  readonly done: number;
  readonly running: number;
}
