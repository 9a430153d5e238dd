/** Validated settings of one controller, from the platform's file and the operators' file. */
import type { Micros } from './time.js';

/** A team and its quota. */
export interface Team {
  /** Name that job specifications refer to. */
  readonly name: string;
  /** Cores that are guaranteed to the team. */
  readonly guaranteedCores: number;
  /** Cores that the team may use at a time; 0 for no limit. */
  readonly maxCores: number;
  /** GPUs that are guaranteed to the team. */
  readonly guaranteedGpus: number;
  /** GPUs that the team may use at a time; 0 for no limit. */
  readonly maxGpus: number;
}

/** A service level objective for jobs of a class. Fields that a kind does not use are null. */
export interface ServiceLevelObjective {
  /** `wait`: tasks start within a time; `finished`: jobs end within a time; `deadline`: jobs meet their deadline; and others. */
  readonly kind: string;
  /** Class of the jobs that the objective applies to. */
  readonly class: string | null;
  /** Time limit of kinds that have one. */
  readonly withinUs: Micros | null;
  /** Share as configured, for kinds that have one. */
  readonly share: number | null;
  /** For deadlines: multiple of the job's own deadline that must be met. */
  readonly deadlineFactor: number;
}

/** All settings of one controller. */
export interface Settings {
  /** Name of this controller. */
  readonly member: string;
  /** Address for clients and workers, as host and port. */
  readonly listen: string;
  /** Address for other controllers, as host and port. */
  readonly peerListen: string;
  /** The other controllers of the cluster. */
  readonly peers: readonly { readonly member: string; readonly address: string }[];
  /** Endpoint of the cloud API. */
  readonly cloudAddress: string;
  /** Endpoint of the key-value store. */
  readonly storeAddress: string;
  /** Number of controllers, including this one. */
  readonly memberCount: number;
  /** Teams with their quotas. */
  readonly teams: readonly Team[];
  /** Objectives by which jobs are ordered and machines are scaled. */
  readonly objectives: readonly ServiceLevelObjective[];
  /** Interval at which workers send heartbeats. */
  readonly heartbeatIntervalUs: Micros;
  /** A worker drops its tasks when no heartbeat of it was accepted for this time. */
  readonly workerLeaseUs: Micros;
  /** Members of a gang exit after waiting this long for the others to start. */
  readonly gangStartTimeoutUs: Micros;
  /** Time within which the members of a running gang detect the loss of one of them. */
  readonly gangPeerTimeoutUs: Micros;
  /** Time after a confirmed cancellation by which all tasks of the job must have stopped. */
  readonly cancellationDeadlineUs: Micros;
  /** Request rate limit of the key-value store; each store limit is the smaller of the current and the announced one. */
  readonly storeRequestsPerS: number;
  /** Write rate limit of the store. */
  readonly storeWritesPerS: number;
  /** Maximum size of a stored value. */
  readonly maxValueBytes: number;
  /** Maximum number of operations per transaction. */
  readonly maxTransactionOperations: number;
  /** The value size limit that the previous version used. */
  readonly formerMaxValueBytes: number;
  /** Request rate limit of the cloud. */
  readonly cloudRequestsPerS: number;
  /** Maximum staleness of the cloud's machine list. */
  readonly cloudListLagUs: Micros;
  /** Maximum number of connections that this controller may have open; 0 for no limit. */
  readonly maxConnections: number;
  /** Settings from the operators' file. */
  readonly tuning: Tuning;
  /** Failure detection between controllers; null if it is disabled. */
  readonly membership: MembershipSettings | null;
}

/** The operators' own settings (YAML), each with a default. */
export interface Tuning {
  /** Time to live of the leader's lease. */
  readonly leaderLeaseUs: Micros;
  /** Time without a heartbeat after which a machine is suspected to have failed. */
  readonly machineSuspicionUs: Micros;
  /** CPU time budget of one placement search. */
  readonly searchBudgetUs: Micros;
  /** Number of task groups on the shortlist of a placement search. */
  readonly shortlistSize: number;
  /** Number of further task groups whose completion is simulated after each candidate. */
  readonly rolloutDepth: number;
  /** Number of task groups that one plan compares, separately with and without GPUs; the others are backfilled. */
  readonly maxGroupsPerPlan: number;
  /** Makespans that differ by less than this are treated as equal. */
  readonly makespanToleranceUs: Micros;
  /** Maximum time for which machines are drained for the job whose fair-share turn it is. */
  readonly fairShareDrainUs: Micros;
  /** Interval at which each team's oldest job gets a turn ahead of the order by objectives. */
  readonly fairShareTurnIntervalUs: Micros;
  /** Idle time after which a machine is returned to the cloud if cost matters. */
  readonly idleScaleInUs: Micros;
  /** Minimum time saved by a new machine that justifies scaling out if cost matters. */
  readonly scaleOutThresholdUs: Micros;
  /** Whether cost matters; `auto` means that it does if no machine was pre-provisioned. */
  readonly costSensitivity: 'auto' | 'on' | 'off';
  /** Interval at which the progress of jobs is stored. */
  readonly progressIntervalUs: Micros;
}

/** Failure detection between controllers, enabled in the operators' file. */
export interface MembershipSettings {
  /** Interval of the heartbeats between controllers. */
  readonly heartbeatIntervalUs: Micros;
  /** Minimum number of consecutive missed heartbeats before a peer is suspected. */
  readonly suspectAfterMissed: number;
}
