/** Inputs and effects of the state machine. */
import type { UserAnswer, UserRequest } from './client-api.js';
import type { CloudOp, CloudReply } from './cloud.js';
import type { Order, OrdersReply, Report, WorkerAnswer } from './heartbeat.js';
import type { StateOp, StateReply } from './key-value-store.js';
import type { PeerMessage } from './peer.js';
import type { Micros } from './time.js';

/** 0 is the most urgent: lease renewal, then answers to users, then the rest. */
export type Urgency = 0 | 1 | 2;

export type Input =
  | { readonly kind: 'start'; readonly wallUs: Micros }
  | { readonly kind: 'timer' }
  | { readonly kind: 'state'; readonly call: number; readonly reply: StateReply }
  | { readonly kind: 'cloud'; readonly call: number; readonly reply: CloudReply }
  | { readonly kind: 'orders'; readonly call: number; readonly reply: OrdersReply }
  | { readonly kind: 'user'; readonly request: number; readonly body: UserRequest; readonly wallUs: Micros }
  | { readonly kind: 'report'; readonly request: number; readonly report: Report }
  /** Of a client of a feature; the feature alone knows what `body` is. */
  | {
      readonly kind: 'asked';
      readonly feature: string;
      readonly request: number;
      readonly body: unknown;
      readonly wallUs: Micros;
    }
  | { readonly kind: 'peer'; readonly message: PeerMessage };

export type LogLevel = 'debug' | 'info' | 'error';

export type LogFields = Readonly<Record<string, unknown>>;

/** What the core wants done; the runtime does it and feeds back what came of it. */
export type CoreEffect =
  | { readonly kind: 'state'; readonly call: number; readonly op: StateOp; readonly urgency: Urgency }
  | { readonly kind: 'cloud'; readonly call: number; readonly op: CloudOp; readonly urgency: Urgency }
  | {
      readonly kind: 'orders';
      readonly call: number;
      readonly address: string;
      readonly token: number;
      readonly session: number;
      readonly orders: readonly Order[];
    }
  | { readonly kind: 'answerUser'; readonly request: number; readonly answer: UserAnswer }
  | { readonly kind: 'answerWorker'; readonly request: number; readonly answer: WorkerAnswer }
  /** One of several for the same request, until `last`. */
  | {
      readonly kind: 'answerAsked';
      readonly feature: string;
      readonly request: number;
      readonly answer: unknown;
      readonly last: boolean;
    }
  | { readonly kind: 'peer'; readonly member: string; readonly message: PeerMessage }
  | { readonly kind: 'wake'; readonly at: Micros }
  /** The leader gets the larger part of the request budget that the nodes share. */
  | { readonly kind: 'role'; readonly leader: boolean }
  | { readonly kind: 'log'; readonly level: LogLevel; readonly event: string; readonly fields: LogFields };
