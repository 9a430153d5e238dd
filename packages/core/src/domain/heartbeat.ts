/** Heartbeats of workers with their status, and the commands that workers are sent. */
import type { Micros } from './time.js';

/**
 * `fetching`: its image is being pulled; `waiting`: for the other members of its gang; `saving`: it writes a checkpoint before it
 * stops.
 */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * `peers`: a member of its running gang was lost; `alone`: its gang was not complete in time; `noRoom`: the machine was full; `busy`: the
 * machine still kept an earlier attempt; `unknown`: no such job or task.
 */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'noRoom' | 'busy' | 'unknown';

/** One task's attempt as its machine reports it. */
export interface ReportedTask {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly state: TaskState;
  /** Null unless it has exited. */
  readonly cause: ExitCause | null;
  /** It wrote a checkpoint before it stopped. */
  readonly checkpointed: boolean;
}

/** A worker's heartbeat: who it is, and all tasks that are on its machine. */
export interface Heartbeat {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Starts at 1 and is raised each time the worker's lease expires, with which it drops its tasks. */
  readonly agentEpoch: number;
  /** Raised with every heartbeat and every reply to commands: of two, the one with the higher epoch and sequence is newer. */
  readonly sequence: number;
  /** The highest fencing token that the worker has seen: it refuses commands with a lower one. */
  readonly fencingToken: number;
  /** Time left before the machine is taken away; null: no notice was given. */
  readonly terminationNoticeUs: Micros | null;
  readonly tasks: readonly ReportedTask[];
}

/** What a worker is told to do with one attempt; `forget`: its result need not be kept any more. */
export type WorkerCommand =
  | { readonly op: 'start'; readonly job: string; readonly index: number; readonly attempt: number }
  | {
      readonly op: 'stop';
      readonly job: string;
      readonly index: number;
      readonly attempt: number;
      readonly graceUs: Micros;
    }
  | { readonly op: 'forget'; readonly job: string; readonly index: number; readonly attempt: number };

/** What came of commands that were sent to a worker directly. */
export interface CommandReply {
  /** `refused`: nothing was executed; `lost`: whether anything was executed is not known. */
  readonly kind: 'executed' | 'refused' | 'lost';
  readonly heartbeat: Heartbeat | null;
}

/** The response to a heartbeat. Only `accepted` renews the worker's lease. */
export type HeartbeatResponse =
  | { readonly kind: 'accepted'; readonly fencingToken: number; readonly commands: readonly WorkerCommand[] }
  | { readonly kind: 'redirect'; readonly leader: string | null }
  | { readonly kind: 'unavailable' };
