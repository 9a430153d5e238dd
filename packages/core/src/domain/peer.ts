/** Messages between controllers. */
import type { Micros } from './time.js';

export interface JobProgress {
  readonly id: string;
  readonly done: number;
  readonly running: number;
}

/** A leader's counts for display. */
export interface ProgressUpdate {
  readonly kind: 'progress';
  readonly member: string;
  readonly term: number;
  readonly jobs: readonly JobProgress[];
}

/** What a node says of itself to the others. */
export interface PeerStatus {
  readonly member: string;
  /** Number of the process: a restarted one has a higher one. */
  readonly incarnation: number;
  /** Of the office that it holds and has the right to; null if it has none. */
  readonly term: number | null;
  /** Since the state service gave it a good answer; null: it never did. */
  readonly storeAnswerAgeUs: Micros | null;
  /** How late its timers fire. */
  readonly timerDelayUs: Micros;
  /** Workers that reported to it lately. */
  readonly workerCount: number;
}

/** A sign of life, every `beatUs`, with what the node hears of the others. */
export interface PeerHeartbeat extends PeerStatus {
  readonly kind: 'beat';
  /** Counts this process's beats: what is held back on its way tells nothing new. */
  readonly sequence: number;
  readonly peers: readonly {
    readonly member: string;
    readonly incarnation: number;
    readonly ageUs: Micros;
    readonly suspected: boolean;
  }[];
}

export type PeerMessage = ProgressUpdate | PeerHeartbeat;
