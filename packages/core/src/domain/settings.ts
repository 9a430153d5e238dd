/** Settings of one controller: the platform's file and the operators' file, checked. */
import type { Micros } from './time.js';

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

/** How controllers notice one another (operators' file, when switched on). */
export interface Membership {
  readonly beatUs: Micros;
  /** Beats that must be missing at least before a peer is suspected. */
  readonly suspectBeats: number;
}
