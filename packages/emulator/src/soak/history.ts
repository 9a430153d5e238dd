/** Events of a soak run as observed by users, workers and the operating system; the only input of the checkers. */
import type { JobSpec } from '@shaleyoke/core/domain/job';

import type { PlacedTask } from '../loopback-workers.js';

/** Kinds of user requests. */
export type RequestKind = 'submit' | 'poll' | 'cancel';

/** A user's request that got a response or timed out. Times are in milliseconds since the run's start. */
export interface RequestEvent {
  readonly kind: 'request';
  readonly at: number;
  readonly sentAt: number;
  readonly job: string;
  readonly request: RequestKind;
  readonly controller: string;
  /** HTTP status of the response; null: no response. */
  readonly status: number | null;
  readonly stage: string | null;
}

/** A task occupies a machine from its `arrived` event to its `left` event. */
export interface TaskEvent extends PlacedTask {
  readonly kind: 'arrived' | 'left';
  readonly at: number;
  /** Whether the task has completed; false for `arrived`. */
  readonly done: boolean;
}

/** A controller's process has exited without being killed by the run. */
export interface ControllerExitedEvent {
  readonly kind: 'controllerExited';
  readonly at: number;
  readonly controller: string;
  readonly code: number | null;
}

/** A controller has logged an error, or has written a line that is not a log entry. */
export interface ErrorLoggedEvent {
  readonly kind: 'errorLogged';
  readonly at: number;
  readonly controller: string;
  readonly event: string;
  readonly line: string;
}

/** Jobs wait although a suitable machine has free capacity and their team is below its limit. */
export interface WaitingDespiteCapacityEvent {
  readonly kind: 'waitingDespiteCapacity';
  readonly at: number;
  readonly jobs: readonly string[];
}

/** All faults have been removed; none follow. */
export interface FaultsEndedEvent {
  readonly kind: 'faultsEnded';
  readonly at: number;
}

/** Any observed event of a soak run. */
export type SoakEvent =
  | RequestEvent
  | TaskEvent
  | ControllerExitedEvent
  | ErrorLoggedEvent
  | WaitingDespiteCapacityEvent
  | FaultsEndedEvent;

/** Properties of a machine that restrict which jobs may use it. */
export interface MachineProperties {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** All observations of one run, in order of time, with the submitted jobs and the limits that apply. */
export interface SoakHistory {
  readonly events: readonly SoakEvent[];
  /** Submitted jobs that can run. */
  readonly jobs: ReadonlyMap<string, JobSpec>;
  /** Submitted jobs that no machine can run. */
  readonly impossibleJobs: ReadonlySet<string>;
  readonly machines: ReadonlyMap<string, MachineProperties>;
  /** Limit on the cores that the tasks of each team use. */
  readonly teamCores: ReadonlyMap<string, number>;
  /** Grace period of the tasks of a cancelled job, in milliseconds. */
  readonly cancelGraceMs: number;
  /** When the run ended, in milliseconds since its start. */
  readonly endedAt: number;
}
