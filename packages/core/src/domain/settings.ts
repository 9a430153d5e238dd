/** Settings of one controller: the platform's file and the operators' file, checked. */
import type { Micros } from './time.js';

export interface Team {
  readonly name: string;
  readonly guaranteedCores: number;
  readonly maxCores: number;
  readonly guaranteedGpus: number;
  readonly maxGpus: number;
}

export interface ServiceLevelObjective {
  readonly kind: string;
  readonly class: string | null;
  readonly withinUs: Micros | null;
  readonly share: number | null;
  /** For deadlines: how many times the job's own deadline. */
  readonly deadlineFactor: number;
}

/** What the platform's file and the operators' own file say, checked. */
export interface Settings {
  readonly member: string;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly { readonly member: string; readonly address: string }[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  readonly memberCount: number;
  readonly teams: readonly Team[];
  readonly objectives: readonly ServiceLevelObjective[];
  readonly heartbeatIntervalUs: Micros;
  readonly workerLeaseUs: Micros;
  readonly gangStartTimeoutUs: Micros;
  readonly gangPeerTimeoutUs: Micros;
  readonly cancellationDeadlineUs: Micros;
  /** Limits of the state service: the smaller of those of now and those announced. */
  readonly storeRequestsPerS: number;
  readonly storeWritesPerS: number;
  readonly maxValueBytes: number;
  readonly maxTransactionOperations: number;
  /** The limit on values that the version before went by. */
  readonly formerMaxValueBytes: number;
  readonly cloudRequestsPerS: number;
  readonly cloudListLagUs: Micros;
  readonly maxConnections: number;
  readonly tuning: Tuning;
  /** Null: switched off, nothing is sent. */
  readonly membership: MembershipSettings | null;
}

/** The operators' own settings (YAML), each with a default. */
export interface Tuning {
  /** Time to live of the leader's lease. */
  readonly leaderLeaseUs: Micros;
  /** Silence after which a machine is suspected. */
  readonly machineSuspicionUs: Micros;
  /** Budget of one search. */
  readonly searchBudgetUs: Micros;
  /** Waiting tasks (groups) on the shortlist of a search. */
  readonly shortlistSize: number;
  /** Waiting groups played out to completion behind each candidate. */
  readonly rolloutDepth: number;
  /** Waiting groups that one plan places, with and without GPUs each; the rest wait for the next. */
  readonly maxGroupsPerPlan: number;
  /** Makespans closer than this count as equal. */
  readonly makespanToleranceUs: Micros;
  /** How long starts pause on machines that drain for the oldest task. */
  readonly fairShareDrainUs: Micros;
  /** How often each team's oldest job gets a turn ahead of the order by aims. */
  readonly fairShareTurnIntervalUs: Micros;
  /** Idle time after which a machine is returned where money is an aim. */
  readonly idleScaleInUs: Micros;
  /** How much sooner a rented machine must finish work where money is an aim. */
  readonly scaleOutThresholdUs: Micros;
  /** Whether capacity is saved; `auto`: where no machine stood ready before the service rented any. */
  readonly costSensitivity: 'auto' | 'on' | 'off';
  /** How often counts of progress are written. */
  readonly progressIntervalUs: Micros;
}

/** How controllers notice one another (operators' file, when switched on). */
export interface MembershipSettings {
  readonly heartbeatIntervalUs: Micros;
  /** Beats that must be missing at least before a peer is suspected. */
  readonly suspectAfterMissed: number;
}
