/** Domain types shared by every part of the core. Wire names live in `src/protocol/` only. */

/** A point or span of time in whole microseconds. */
export type Micros = number;
export const SECOND: Micros = 1_000_000;
export const MILLI: Micros = 1_000;

export type Shape = 'array' | 'gang' | 'service';
/** 0 best effort, 1 normal, 2 high, 3 production. */
export type Priority = 0 | 1 | 2 | 3;

export interface JobSpec {
  readonly id: string;
  /** The class of jobs it belongs to. */
  readonly class: string;
  readonly team: string;
  readonly shape: Shape;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cores: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly sameZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateUs: Micros;
  readonly checkpointUs: Micros;
  readonly saveUs: Micros;
  readonly deadlineUs: Micros | null;
  /** Jobs that have to be done before any task of this one starts. */
  readonly needs: readonly string[];
}

export type Stage = 'queued' | 'running' | 'done' | 'cancelled';

export interface JobView {
  readonly id: string;
  readonly stage: Stage;
  readonly done: number;
  readonly running: number;
}

export interface MachineType {
  readonly name: string;
  readonly cores: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  /** Per hour. */
  readonly price: number;
  readonly spotPrice: number;
  readonly bootUs: Micros;
  readonly zones: readonly string[];
}

export interface Team {
  readonly name: string;
  readonly cores: number;
  readonly coresMax: number;
  readonly gpus: number;
  readonly gpusMax: number;
}

export interface Objective {
  readonly kind: string;
  readonly class: string | null;
  readonly withinUs: Micros | null;
  readonly share: number | null;
  /** For deadlines: how many times the job's own deadline. */
  readonly times: number;
}

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

export interface ListedMachine {
  readonly name: string;
  readonly address: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly state: 'booting' | 'running' | 'failed';
  readonly ageUs: Micros;
}

/** What the platform's file and the operators' own file say, checked. */
export interface Settings {
  readonly member: string;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly { readonly member: string; readonly address: string }[];
  readonly cloudAddress: string;
  readonly stateAddress: string;
  readonly members: number;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly reportUs: Micros;
  readonly leaseUs: Micros;
  readonly gangWaitUs: Micros;
  readonly gangPeerUs: Micros;
  readonly cancelUs: Micros;
  /** Limits of the state service: the smaller of those of now and those announced. */
  readonly stateRps: number;
  readonly stateWriteRps: number;
  readonly valueBytes: number;
  readonly txnOps: number;
  /** The limit on values that the version before went by. */
  readonly formerValueBytes: number;
  readonly cloudRps: number;
  readonly listLagUs: Micros;
  readonly maxConnections: number;
  readonly tuning: Tuning;
  /** Null: switched off, nothing is sent. */
  readonly membership: Membership | null;
}

/** The operators' own settings (YAML), each with a default. */
export interface Tuning {
  /** Time to live of the leader's lease. */
  readonly leaderLeaseUs: Micros;
  /** Silence after which a machine is suspected. */
  readonly silentUs: Micros;
  /** Budget of one search. */
  readonly searchBudgetUs: Micros;
  /** Waiting tasks (groups) on the shortlist of a search. */
  readonly searchWidth: number;
  /** Waiting groups played out to completion behind each candidate. */
  readonly searchDepth: number;
  /** Waiting groups that one plan places, with and without GPUs each; the rest wait for the next. */
  readonly searchGroups: number;
  /** Makespans closer than this count as equal. */
  readonly searchToleranceUs: Micros;
  /** How long starts pause on machines that drain for the oldest task. */
  readonly turnWaitUs: Micros;
  /** How often each team's oldest job gets a turn ahead of the order by aims. */
  readonly turnEveryUs: Micros;
  /** Idle time after which a machine is returned where money is an aim. */
  readonly idleReturnUs: Micros;
  /** How much sooner a rented machine must finish work where money is an aim. */
  readonly rentMarginUs: Micros;
  /** Whether capacity is saved; `auto`: where no machine stood ready before the service rented any. */
  readonly thrift: 'auto' | 'on' | 'off';
  /** How often counts of progress are written. */
  readonly progressUs: Micros;
}

/** Operations on the state service, and what comes back. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}
export type Write =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown; readonly lease?: number }
  | { readonly kind: 'delete'; readonly key: string };
export type StateOp =
  | { readonly kind: 'get'; readonly key: string }
  | { readonly kind: 'list'; readonly prefix: string; readonly after?: string; readonly limit: number }
  | { readonly kind: 'txn'; readonly conditions: readonly Condition[]; readonly writes: readonly Write[] }
  | { readonly kind: 'grant'; readonly ttlMs: number }
  | { readonly kind: 'renew'; readonly lease: number }
  | { readonly kind: 'revoke'; readonly lease: number }
  | { readonly kind: 'watch'; readonly prefix: string; readonly after: number; readonly waitMs: number };

export interface Item {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
  readonly lease: number | null;
}
export type StateEvent =
  | { readonly kind: 'put'; readonly key: string; readonly value: unknown; readonly version: number }
  | { readonly kind: 'delete'; readonly key: string; readonly version: number };
/** `silent`: no answer; `refused`: it said that it can't; `busy`: too many requests, by its word or our own count. */
export type FailureCause = 'silent' | 'refused' | 'busy';
export type StateReply =
  | { readonly kind: 'item'; readonly item: Item }
  | { readonly kind: 'missing'; readonly revision: number }
  | {
      readonly kind: 'items';
      readonly items: readonly Item[];
      readonly more: boolean;
      readonly revision: number;
    }
  | { readonly kind: 'ok'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly failed: readonly string[]; readonly revision: number }
  | { readonly kind: 'noLease' }
  | { readonly kind: 'granted'; readonly lease: number }
  | { readonly kind: 'events'; readonly events: readonly StateEvent[]; readonly revision: number }
  | { readonly kind: 'tooOld' }
  /** Not executed, and never will be as it is: too large, too many, or malformed. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** `executed` is false when the request surely wasn't executed, null when nobody can tell. */
  | {
      readonly kind: 'failed';
      readonly executed: false | null;
      readonly cause: FailureCause;
      readonly reason: string;
    };

export type CloudOp =
  | { readonly kind: 'types' }
  | {
      readonly kind: 'rent';
      readonly request: string;
      readonly type: string;
      readonly zone: string;
      readonly spot: boolean;
      readonly count: number;
    }
  | { readonly kind: 'delete'; readonly machines: readonly string[] }
  | { readonly kind: 'list'; readonly after: string; readonly limit: number };
export type CloudReply =
  | { readonly kind: 'types'; readonly types: readonly MachineType[] }
  | { readonly kind: 'rented'; readonly machines: readonly string[] }
  | { readonly kind: 'noCapacity' }
  | { readonly kind: 'deleted' }
  | { readonly kind: 'listed'; readonly machines: readonly ListedMachine[]; readonly more: boolean }
  | { readonly kind: 'failed'; readonly reason: string };

export interface OrdersReply {
  /** `executed`, `refused` (nothing executed), or `lost`: nobody can tell. */
  readonly kind: 'executed' | 'refused' | 'lost';
  readonly report: Report | null;
}

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

/** How controllers notice one another (operators' file, when switched on). */
export interface Membership {
  readonly beatUs: Micros;
  /** Beats that must be missing at least before a peer is suspected. */
  readonly suspectBeats: number;
}

/** Put together with a job's record, in the same transaction, or not at all. */
export interface Beside {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
}

export type UserRequest =
  | {
      readonly kind: 'submit';
      /** The id, when at least that could be read. */
      readonly id: string | null;
      readonly spec: JobSpec | null;
      readonly problem: string | null;
      /** Never from the users' own interface. */
      readonly beside?: Beside;
    }
  | { readonly kind: 'poll'; readonly id: string }
  | { readonly kind: 'cancel'; readonly id: string }
  | { readonly kind: 'health' };

export type UserAnswer =
  | {
      readonly kind: 'view';
      readonly created: boolean;
      readonly view: JobView;
      /** Of the transaction that accepted it just now. */
      readonly revision?: number;
    }
  | { readonly kind: 'malformed'; readonly problem: string }
  | { readonly kind: 'impossible'; readonly problem: string }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable'; readonly retryAfterS: number; readonly problem: string }
  | { readonly kind: 'healthy' };

/** What a feature is told that asked on a client's behalf; `taken`: keys of `beside` that were there already. */
export type InnerAnswer = UserAnswer | { readonly kind: 'taken'; readonly keys: readonly string[] };

export type WorkerAnswer =
  | { readonly kind: 'accepted'; readonly token: number; readonly orders: readonly Order[] }
  | { readonly kind: 'redirect'; readonly leader: string | null }
  | { readonly kind: 'unavailable' };

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
