/** Messages between the controllers of a cluster. */
import type { Micros } from './time.js';

/** Task counts of a job. */
export interface JobProgress {
  /** Id of the job. */
  readonly id: string;
  /** Number of tasks that are done. */
  readonly done: number;
  /** Number of tasks that are running. */
  readonly running: number;
}

/** Task counts that a leader publishes so that its peers can display them. An update without jobs announces the leader. */
export interface ProgressUpdate {
  /** Discriminates peer messages. */
  readonly kind: 'progress';
  /** Name of the controller that leads. */
  readonly member: string;
  /** Term in which it leads. */
  readonly term: number;
  /** Jobs whose counts are published. */
  readonly jobs: readonly JobProgress[];
}

/** Status that a controller sends to its peers. */
export interface PeerStatus {
  /** Name of the controller. */
  readonly member: string;
  /** Incarnation of its process, increased with each restart. */
  readonly incarnation: number;
  /** Term in which it leads and may act; null if it doesn't. */
  readonly term: number | null;
  /** Time since its last successful store request; null if there was none. */
  readonly storeAnswerAgeUs: Micros | null;
  /** Delay with which its timers fire. */
  readonly timerDelayUs: Micros;
  /** Number of workers whose heartbeats it received recently. */
  readonly workerCount: number;
}

/** Heartbeat of a controller to its peers, with its view of the other controllers. */
export interface PeerHeartbeat extends PeerStatus {
  /** Discriminates peer messages. */
  readonly kind: 'beat';
  /** Increases with each heartbeat of this process; a delayed heartbeat with a lower number is ignored. */
  readonly sequence: number;
  /** The other controllers as this one sees them; `ageUs` is the time since their last heartbeat. */
  readonly peers: readonly {
    readonly member: string;
    readonly incarnation: number;
    readonly ageUs: Micros;
    readonly suspected: boolean;
  }[];
}

/** Any message between controllers. */
export type PeerMessage = ProgressUpdate | PeerHeartbeat;
