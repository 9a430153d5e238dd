/** Inputs and effects of the controller's deterministic state machine. */
import type { ClientRequest, ClientResponse } from './client-api.js';
import type { CloudOperation, CloudReply } from './cloud.js';
import type { CommandReply, Heartbeat, HeartbeatResponse, WorkerCommand } from './heartbeat.js';
import type { StoreOperation, StoreReply } from './key-value-store.js';
import type { LogEvent } from './log-events.js';
import type { PeerMessage } from './peer.js';
import type { Micros } from './time.js';

/** Urgency of a request, 0 being the highest: 0 for lease renewals, 1 for work that users wait for, 2 for the rest. */
export type RequestUrgency = 0 | 1 | 2;

/** An external event; `step` processes one at a time. */
export type Input =
  | { readonly kind: 'start'; readonly wallUs: Micros }
  | { readonly kind: 'timer' }
  | { readonly kind: 'storeReply'; readonly call: number; readonly reply: StoreReply }
  | { readonly kind: 'cloudReply'; readonly call: number; readonly reply: CloudReply }
  | { readonly kind: 'commandReply'; readonly call: number; readonly reply: CommandReply }
  | {
      readonly kind: 'clientRequest';
      readonly request: number;
      readonly body: ClientRequest;
      readonly wallUs: Micros;
    }
  | { readonly kind: 'heartbeat'; readonly request: number; readonly heartbeat: Heartbeat }
  /** A request from a feature's client; only the feature interprets `body`. */
  | {
      readonly kind: 'featureRequest';
      readonly feature: string;
      readonly request: number;
      readonly body: unknown;
      readonly wallUs: Micros;
    }
  | { readonly kind: 'peerMessage'; readonly message: PeerMessage };

/** Severity of a log event. */
export type LogLevel = 'debug' | 'info' | 'error';

/** Structured fields of a log event. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A side effect that the core requests; the controller's process executes it and passes any result back as an input. */
export type CoreEffect =
  | {
      readonly kind: 'storeRequest';
      readonly call: number;
      readonly op: StoreOperation;
      readonly urgency: RequestUrgency;
    }
  | {
      readonly kind: 'cloudRequest';
      readonly call: number;
      readonly op: CloudOperation;
      readonly urgency: RequestUrgency;
    }
  | {
      readonly kind: 'workerCommands';
      readonly call: number;
      readonly address: string;
      readonly fencingToken: number;
      readonly agentEpoch: number;
      readonly commands: readonly WorkerCommand[];
    }
  | { readonly kind: 'clientResponse'; readonly request: number; readonly answer: ClientResponse }
  | { readonly kind: 'heartbeatResponse'; readonly request: number; readonly answer: HeartbeatResponse }
  /** One of possibly several responses to the same request; `last` marks the final one. */
  | {
      readonly kind: 'featureResponse';
      readonly feature: string;
      readonly request: number;
      readonly answer: unknown;
      readonly last: boolean;
    }
  | { readonly kind: 'peerMessage'; readonly member: string; readonly message: PeerMessage }
  | { readonly kind: 'wake'; readonly at: Micros }
  /** Leadership has changed; the leader gets the larger share of the request budget that the controllers divide. */
  | { readonly kind: 'role'; readonly leader: boolean }
  | { readonly kind: 'log'; readonly level: LogLevel; readonly event: LogEvent; readonly fields: LogFields };
