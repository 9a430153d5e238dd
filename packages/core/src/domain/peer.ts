/** Messages between controllers. */
import type { Micros } from './time.js';

/** How many tasks of a job are done and running. */
export interface JobProgress {
  readonly id: string;
  readonly done: number;
  readonly running: number;
}

/** Counts that a leader publishes for display; sent without any, it announces the leader. */
export interface ProgressUpdate {
  readonly kind: 'progress';
  readonly member: string;
  readonly term: number;
  readonly jobs: readonly JobProgress[];
}

/** A controller's status as its peers receive it. */
export interface PeerStatus {
  readonly member: string;
  /** Number of the process: raised with each restart. */
  readonly incarnation: number;
  /** The term that it leads and may act in; null: none. */
  readonly term: number | null;
  /** Time since the store gave it a good answer; null: it never did. */
  readonly storeAnswerAgeUs: Micros | null;
  /** How late its timers fire. */
  readonly timerDelayUs: Micros;
  /** Workers whose heartbeats reached it lately. */
  readonly workerCount: number;
}

/** A controller's heartbeat to its peers, with what it knows of the others. */
export interface PeerHeartbeat extends PeerStatus {
  readonly kind: 'beat';
  /** Counts the heartbeats of this process: a delayed one with a lower number is ignored. */
  readonly sequence: number;
  readonly peers: readonly {
    readonly member: string;
    readonly incarnation: number;
    readonly ageUs: Micros;
    readonly suspected: boolean;
  }[];
}

/** A message between controllers. */
export type PeerMessage = ProgressUpdate | PeerHeartbeat;
