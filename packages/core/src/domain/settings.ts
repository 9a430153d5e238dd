/** Settings of one controller: the platform's file and the operators' file, checked. */
import type { Micros } from './time.js';

/** A team of users, with its quota. A maximum of 0 means no limit. */
export interface Team {
  readonly name: string;
  readonly guaranteedCores: number;
  readonly maxCores: number;
  readonly guaranteedGpus: number;
  readonly maxGpus: number;
}

/** What the operators want to hold for a class of jobs. Fields that a kind does not use are null. */
export interface ServiceLevelObjective {
  /** `wait`: tasks begin within a time; `finished`: jobs end within a time; `deadline`: jobs keep their deadline; and others. */
  readonly kind: string;
  readonly class: string | null;
  readonly withinUs: Micros | null;
  readonly share: number | null;
  /** For deadlines: a multiple of the job's own deadline. */
  readonly deadlineFactor: number;
}

/** All settings of one controller. */
export interface Settings {
  /** Name of this controller. */
  readonly member: string;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly { readonly member: string; readonly address: string }[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  readonly memberCount: number;
  readonly teams: readonly Team[];
  readonly objectives: readonly ServiceLevelObjective[];
  /** How often workers send heartbeats. */
  readonly heartbeatIntervalUs: Micros;
  /** A worker whose heartbeat was not accepted for that long drops its tasks. */
  readonly workerLeaseUs: Micros;
  /** A gang's members that have waited that long for the others exit. */
  readonly gangStartTimeoutUs: Micros;
  /** Within that time the members of a running gang notice that one of them is lost. */
  readonly gangPeerTimeoutUs: Micros;
  /** Within that time of a confirmed cancellation no task of the job may run any more. */
  readonly cancellationDeadlineUs: Micros;
  /** Limits of the key-value store: the smaller of those in force and those announced. */
  readonly storeRequestsPerS: number;
  readonly storeWritesPerS: number;
  readonly maxValueBytes: number;
  readonly maxTransactionOperations: number;
  /** The limit on values that the version before used. */
  readonly formerMaxValueBytes: number;
  readonly cloudRequestsPerS: number;
  /** How old the cloud's list of machines may be. */
  readonly cloudListLagUs: Micros;
  /** Connections that this controller may have open; 0: no limit. */
  readonly maxConnections: number;
  readonly tuning: Tuning;
  /** Null: heartbeats between controllers are switched off. */
  readonly membership: MembershipSettings | null;
}

/** The operators' own settings (YAML), each with a default. */
export interface Tuning {
  /** Time to live of the leader's lease. */
  readonly leaderLeaseUs: Micros;
  /** A machine without a heartbeat for that long is suspected. */
  readonly machineSuspicionUs: Micros;
  /** Processor time of one search. */
  readonly searchBudgetUs: Micros;
  /** Task groups on the shortlist of a search. */
  readonly shortlistSize: number;
  /** Task groups whose completion is simulated behind each candidate. */
  readonly rolloutDepth: number;
  /** Task groups that one plan compares, with and without GPUs each; the rest is backfilled. */
  readonly maxGroupsPerPlan: number;
  /** Makespans closer than this count as equal. */
  readonly makespanToleranceUs: Micros;
  /** How long machines are drained for the job whose fair-share turn it is. */
  readonly fairShareDrainUs: Micros;
  /** How often each team's oldest job gets a turn ahead of the order by objectives. */
  readonly fairShareTurnIntervalUs: Micros;
  /** Idle time after which a machine is scaled in where cost matters. */
  readonly idleScaleInUs: Micros;
  /** How much sooner work must end on a new machine to scale out where cost matters. */
  readonly scaleOutThresholdUs: Micros;
  /** Whether cost matters; `auto`: it does where no machine was pre-provisioned. */
  readonly costSensitivity: 'auto' | 'on' | 'off';
  /** How often the progress of jobs is stored. */
  readonly progressIntervalUs: Micros;
}

/** Failure detection between controllers (operators' file, when switched on). */
export interface MembershipSettings {
  readonly heartbeatIntervalUs: Micros;
  /** The fewest heartbeats in a row that a suspected peer has missed. */
  readonly suspectAfterMissed: number;
}
