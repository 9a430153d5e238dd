/** Messages between controllers. */
import type { Micros } from './time.js';

export interface ProgressNote {
  readonly id: string;
  readonly done: number;
  readonly running: number;
}

/** A leader's counts for display. */
export interface Progress {
  readonly kind: 'progress';
  readonly member: string;
  readonly term: number;
  readonly notes: readonly ProgressNote[];
}

/** What a node says of itself to the others. */
export interface BeatOf {
  readonly member: string;
  /** Number of the process: a restarted one has a higher one. */
  readonly incarnation: number;
  /** Of the office that it holds and has the right to; null if it has none. */
  readonly term: number | null;
  /** Since the state service gave it a good answer; null: it never did. */
  readonly stateAgeUs: Micros | null;
  /** How late its timers fire. */
  readonly lateUs: Micros;
  /** Workers that reported to it lately. */
  readonly workers: number;
}

/** A sign of life, every `beatUs`, with what the node hears of the others. */
export interface Beat extends BeatOf {
  readonly kind: 'beat';
  /** Counts this process's beats: what is held back on its way tells nothing new. */
  readonly seq: number;
  readonly others: readonly {
    readonly member: string;
    readonly incarnation: number;
    readonly ageUs: Micros;
    readonly suspected: boolean;
  }[];
}

export type PeerMessage = Progress | Beat;
