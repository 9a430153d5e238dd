/** What workers report, and the commands that they are given. */
import type { Micros } from './time.js';

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'noRoom' | 'busy' | 'unknown';

export interface ReportedTask {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
  readonly state: TaskState;
  readonly cause: ExitCause | null;
  readonly checkpointed: boolean;
}

export interface Heartbeat {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly agentEpoch: number;
  readonly sequence: number;
  readonly fencingToken: number;
  readonly terminationNoticeUs: Micros | null;
  readonly tasks: readonly ReportedTask[];
}

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

export interface CommandReply {
  /** `executed`, `refused` (nothing executed), or `lost`: nobody can tell. */
  readonly kind: 'executed' | 'refused' | 'lost';
  readonly heartbeat: Heartbeat | null;
}

export type HeartbeatResponse =
  | { readonly kind: 'accepted'; readonly fencingToken: number; readonly commands: readonly WorkerCommand[] }
  | { readonly kind: 'redirect'; readonly leader: string | null }
  | { readonly kind: 'unavailable' };
