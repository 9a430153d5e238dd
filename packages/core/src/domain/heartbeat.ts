/** Worker heartbeats with task status, and the commands that are sent to workers. */
import type { Micros } from './time.js';

/**
 * State of a task on a worker. `fetching`: its image is being pulled; `waiting`: it waits for the other members of its gang;
 * `saving`: it writes a checkpoint before it stops.
 */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why a task exited. `peers`: a member of its running gang was lost; `alone`: its gang was not complete in time; `noRoom`: the
 * machine was full; `busy`: the machine still retained an earlier attempt; `unknown`: no such job or task.
 */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'noRoom' | 'busy' | 'unknown';

/** A task attempt as reported by its machine. */
export interface ReportedTask {
  /** Id of the task's job. */
  readonly job: string;
  /** Index of the task in its job. */
  readonly index: number;
  /** Attempt number that the start command carried. */
  readonly attempt: number;
  /** State when the heartbeat was created. */
  readonly state: TaskState;
  /** Null unless the task has exited. */
  readonly cause: ExitCause | null;
  /** Whether the task wrote a checkpoint before it stopped. */
  readonly checkpointed: boolean;
}

/** A worker's heartbeat: the attributes of its machine and all tasks on it. */
export interface Heartbeat {
  /** Name of the machine. */
  readonly machine: string;
  /** Host and port of the worker. */
  readonly address: string;
  /** Name of the machine type. */
  readonly type: string;
  /** Availability zone. */
  readonly zone: string;
  /** Whether the cloud may preempt the machine. */
  readonly spot: boolean;
  /** Starts at 1 and increases each time the worker's lease expires, at which point it drops its tasks. */
  readonly agentEpoch: number;
  /** Increases with every heartbeat and every reply to commands; heartbeats are ordered by epoch, then sequence. */
  readonly sequence: number;
  /** Highest fencing token that the worker has seen; it refuses commands with a lower one. */
  readonly fencingToken: number;
  /** Time left until the cloud terminates the machine; null if no termination was announced. */
  readonly terminationNoticeUs: Micros | null;
  /** All tasks on the machine, including retained exits. */
  readonly tasks: readonly ReportedTask[];
}

/** A command to a worker about one attempt. `forget`: the worker need no longer retain the attempt's exit. */
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

/** Result of commands that were sent to a worker directly, not in the response to a heartbeat. */
export interface CommandReply {
  /** `refused`: no command was executed; `lost`: it is unknown whether any was. */
  readonly kind: 'executed' | 'refused' | 'lost';
  /** Heartbeat in the reply, created after the commands were executed; null if there is none. */
  readonly heartbeat: Heartbeat | null;
}

/** Response to a heartbeat. Only `accepted` renews the worker's lease; `redirect` names the leader if it is known. */
export type HeartbeatResponse =
  | { readonly kind: 'accepted'; readonly fencingToken: number; readonly commands: readonly WorkerCommand[] }
  | { readonly kind: 'redirect'; readonly leader: string | null }
  | { readonly kind: 'unavailable' };
