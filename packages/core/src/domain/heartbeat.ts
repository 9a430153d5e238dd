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
  readonly saved: boolean;
}

export interface Report {
  readonly machine: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly session: number;
  readonly seq: number;
  readonly token: number;
  readonly noticeUs: Micros | null;
  readonly tasks: readonly ReportedTask[];
}

export type Order =
  | { readonly op: 'start'; readonly job: string; readonly index: number; readonly attempt: number }
  | {
      readonly op: 'stop';
      readonly job: string;
      readonly index: number;
      readonly attempt: number;
      readonly graceUs: Micros;
    }
  | { readonly op: 'forget'; readonly job: string; readonly index: number; readonly attempt: number };

export interface OrdersReply {
  /** `executed`, `refused` (nothing executed), or `lost`: nobody can tell. */
  readonly kind: 'executed' | 'refused' | 'lost';
  readonly report: Report | null;
}

export type WorkerAnswer =
  | { readonly kind: 'accepted'; readonly token: number; readonly orders: readonly Order[] }
  | { readonly kind: 'redirect'; readonly leader: string | null }
  | { readonly kind: 'unavailable' };
