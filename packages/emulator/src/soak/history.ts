/** What users, workers and the operating system saw of a soak: the checkers know nothing else. */
import type { JobSpec } from '@shaleyoke/core/domain/job';

import type { PlacedTask } from '../loopback-workers.js';

/** How users ask. */
export type RequestKind = 'submit' | 'poll' | 'cancel';

/** A user has asked a controller, and was answered or has given up. Times are milliseconds since the beginning. */
export interface AskedEvent {
  readonly kind: 'asked';
  readonly at: number;
  readonly askedAt: number;
  readonly job: string;
  readonly request: RequestKind;
  readonly controller: string;
  /** Null: no answer. */
  readonly status: number | null;
  readonly stage: string | null;
}

/** A task is on a machine from `arrived` to `left`. */
export interface TaskEvent extends PlacedTask {
  readonly kind: 'arrived' | 'left';
  readonly at: number;
  /** It has completed. */
  readonly done: boolean;
}

/** A controller's process has ended by itself. */
export interface ControllerEndedEvent {
  readonly kind: 'controllerEnded';
  readonly at: number;
  readonly controller: string;
  readonly code: number | null;
}

/** A controller has logged an error. */
export interface ErrorLoggedEvent {
  readonly kind: 'errorLogged';
  readonly at: number;
  readonly controller: string;
  readonly event: string;
  readonly line: string;
}

/** A job waits though a machine that fits has room and its team is under its limit. */
export interface WaitingBesideRoomEvent {
  readonly kind: 'waitingBesideRoom';
  readonly at: number;
  readonly jobs: readonly string[];
}

/** All troubles are over. */
export interface TroublesOverEvent {
  readonly kind: 'troublesOver';
  readonly at: number;
}

/** An event of a soak. */
export type SoakEvent =
  | AskedEvent
  | TaskEvent
  | ControllerEndedEvent
  | ErrorLoggedEvent
  | WaitingBesideRoomEvent
  | TroublesOverEvent;

/** What a machine is. */
export interface MachineFacts {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Everything that was seen in one run. */
export interface SoakHistory {
  readonly events: readonly SoakEvent[];
  /** Jobs that users submitted and that can run. */
  readonly jobs: ReadonlyMap<string, JobSpec>;
  /** Jobs that users submitted though they can't run. */
  readonly impossibleJobs: ReadonlySet<string>;
  readonly machines: ReadonlyMap<string, MachineFacts>;
  /** Cores that the tasks of a team may use. */
  readonly teamCores: ReadonlyMap<string, number>;
  /** Time that the tasks of a cancelled job have, in milliseconds. */
  readonly cancelMs: number;
  /** When the run ended. */
  readonly endedAt: number;
}
