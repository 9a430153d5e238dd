/** Parses and checks the platform's settings file (TOML) and the operators' files (YAML). */
import type {
  MembershipSettings,
  ServiceLevelObjective,
  Settings,
  Team,
  Tuning,
} from '@shaleyoke/core/domain/settings';
import { type Micros, SECOND } from '@shaleyoke/core/domain/time';
import { Schema } from 'effect';
import { parse as parseToml } from 'smol-toml';
import { parse as parseYaml } from 'yaml';

import { decodeOrThrow, parseOrThrow } from './schema-decoding.js';

/** Converts seconds, as in the files, to whole microseconds. */
const micros = (seconds: number): Micros => Math.round(seconds * SECOND);

const BYTES_PER_KB = 1024;

const Address = Schema.String.pipe(
  Schema.pattern(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, { message: () => 'expected IP:PORT' }),
);
const Positive = Schema.Number.pipe(Schema.positive(), Schema.finite());
const NonNegative = Schema.Number.pipe(Schema.nonNegative(), Schema.finite());
const zero = { default: () => 0 };

const PlatformFile = Schema.Struct({
  member: Schema.NonEmptyString,
  site: Schema.String,
  listen: Address,
  cluster_listen: Address,
  peers: Schema.optionalWith(
    Schema.Array(Schema.Struct({ member: Schema.NonEmptyString, address: Address })),
    {
      default: () => [],
    },
  ),
  endpoints: Schema.Struct({ cloud: Address, state: Address }),
  cluster: Schema.Struct({
    initial_size: Schema.optional(Positive),
    teams: Schema.optionalWith(
      Schema.Array(
        Schema.Struct({
          name: Schema.NonEmptyString,
          cpus: Schema.optionalWith(NonNegative, zero),
          cpus_max: Schema.optionalWith(NonNegative, zero),
          gpus: Schema.optionalWith(NonNegative, zero),
          gpus_max: Schema.optionalWith(NonNegative, zero),
        }),
      ),
      { default: () => [] },
    ),
    objectives: Schema.optionalWith(
      Schema.Array(
        Schema.Struct({
          kind: Schema.String,
          class: Schema.optional(Schema.String),
          within_s: Schema.optional(NonNegative),
          share: Schema.optional(NonNegative),
          times: Schema.optional(Positive),
        }),
      ),
      { default: () => [] },
    ),
    workers: Schema.Struct({
      report_s: Positive,
      lease_s: Positive,
      gang_wait_s: Positive,
      gang_peer_s: Positive,
      cancel_s: Positive,
    }),
    state: Schema.Struct({
      rps: Positive,
      write_rps: Positive,
      value_kb: Positive,
      txn_ops: Positive,
      // Announced limits that replace the present ones at an unknown later time, without notice.
      next: Schema.optional(
        Schema.Struct({
          rps: Schema.optional(Positive),
          write_rps: Schema.optional(Positive),
          value_kb: Schema.optional(Positive),
          txn_ops: Schema.optional(Positive),
        }),
      ),
    }),
    cloud: Schema.Struct({ rps: Positive, list_lag_s: NonNegative }),
    machine_limits: Schema.optionalWith(
      Schema.Struct({ max_connections: Schema.optionalWith(NonNegative, zero) }),
      { default: () => ({ max_connections: 0 }) },
    ),
  }),
});

const OperatorsFile = Schema.Struct({
  leader_lease_s: Schema.optionalWith(Positive, { default: () => 6 }),
  silent_s: Schema.optionalWith(Positive, { default: () => 10 }),
  search_budget_ms: Schema.optionalWith(Positive, { default: () => 20 }),
  search_width: Schema.optionalWith(Positive, { default: () => 6 }),
  search_depth: Schema.optionalWith(Positive, { default: () => 12 }),
  search_groups: Schema.optionalWith(Positive, { default: () => 64 }),
  search_tolerance_s: Schema.optionalWith(NonNegative, { default: () => 1 }),
  turn_wait_s: Schema.optionalWith(NonNegative, { default: () => 60 }),
  turn_every_s: Schema.optionalWith(Positive, { default: () => 12 }),
  idle_return_s: Schema.optionalWith(NonNegative, { default: () => 20 }),
  rent_margin_s: Schema.optionalWith(NonNegative, { default: () => 20 }),
  thrift: Schema.optionalWith(Schema.Literal('auto', 'on', 'off'), { default: () => 'auto' as const }),
  progress_s: Schema.optionalWith(Positive, { default: () => 2 }),
});

const MembershipFile = Schema.Struct({
  version: Schema.Literal(1),
  beat_s: Schema.optionalWith(Schema.Number.pipe(Schema.between(0.1, 30)), { default: () => 1 }),
  suspect_after_beats: Schema.optionalWith(Schema.Number.pipe(Schema.between(2, 100)), { default: () => 3 }),
});

/** A settings file is invalid; the message names each invalid field. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

const settingsError = (message: string): SettingsError => new SettingsError(message);

/** The shortest lease of the leader, whatever the other settings are. */
const MIN_LEADER_LEASE: Micros = SECOND;

/** Parses the operators' file (YAML); null: all defaults. Throws `SettingsError`. */
export const parseTuning = (yaml: string | null): Tuning => {
  const file = 'operators settings';
  const value = yaml === null ? {} : (parseOrThrow(parseYaml, yaml, file, settingsError) ?? {});
  const operators = decodeOrThrow(OperatorsFile, value, file, settingsError);
  return {
    leaderLeaseUs: micros(operators.leader_lease_s),
    machineSuspicionUs: micros(operators.silent_s),
    searchBudgetUs: micros(operators.search_budget_ms / 1000),
    shortlistSize: operators.search_width,
    rolloutDepth: operators.search_depth,
    maxGroupsPerPlan: operators.search_groups,
    makespanToleranceUs: micros(operators.search_tolerance_s),
    fairShareDrainUs: micros(operators.turn_wait_s),
    fairShareTurnIntervalUs: micros(operators.turn_every_s),
    idleScaleInUs: micros(operators.idle_return_s),
    scaleOutThresholdUs: micros(operators.rent_margin_s),
    costSensitivity: operators.thrift,
    progressIntervalUs: micros(operators.progress_s),
  };
};

/** Parses the operators' file (YAML) that enables heartbeats between controllers. Throws `SettingsError`. */
export const parseMembership = (yaml: string, file: string): MembershipSettings => {
  const value = parseOrThrow(parseYaml, yaml, file, settingsError);
  const membership = decodeOrThrow(MembershipFile, value, file, settingsError, true);
  return {
    heartbeatIntervalUs: micros(membership.beat_s),
    suspectAfterMissed: membership.suspect_after_beats,
  };
};

type Cluster = typeof PlatformFile.Type.cluster;

const teamsOf = ({ teams }: Cluster): Team[] =>
  teams.map((team) => ({
    name: team.name,
    guaranteedCores: team.cpus,
    maxCores: team.cpus_max,
    guaranteedGpus: team.gpus,
    maxGpus: team.gpus_max,
  }));

const objectivesOf = ({ objectives }: Cluster): ServiceLevelObjective[] =>
  objectives.map((objective) => ({
    kind: objective.kind,
    class: objective.class ?? null,
    withinUs: objective.within_s === undefined ? null : micros(objective.within_s),
    share: objective.share ?? null,
    deadlineFactor: objective.times ?? 1,
  }));

/** Limits of the store and the cloud; of each present limit and its announced successor the smaller one applies. */
const limitsOf = ({
  state,
  cloud,
}: Cluster): Pick<
  Settings,
  | 'storeRequestsPerS'
  | 'storeWritesPerS'
  | 'maxValueBytes'
  | 'maxTransactionOperations'
  | 'formerMaxValueBytes'
  | 'cloudRequestsPerS'
> => {
  const { next } = state;
  const maxValueKb = Math.min(state.value_kb, next?.value_kb ?? Infinity);
  const maxOperations = Math.min(state.txn_ops, next?.txn_ops ?? Infinity);
  return {
    storeRequestsPerS: Math.min(state.rps, next?.rps ?? Infinity),
    storeWritesPerS: Math.min(state.write_rps, next?.write_rps ?? Infinity),
    maxValueBytes: Math.floor(maxValueKb * BYTES_PER_KB),
    maxTransactionOperations: Math.max(1, Math.floor(maxOperations)),
    formerMaxValueBytes: Math.floor(state.value_kb * BYTES_PER_KB),
    cloudRequestsPerS: cloud.rps,
  };
};

/**
 * Limits the leader's lease to half of the difference between `cancel_s` and `lease_s`. A leader that is cut off from the store must
 * step down, and its workers' leases must expire, before the deadline of a cancellation that it does not know of.
 */
const boundedLeaderLease = (leaderLeaseUs: Micros, { workers }: Cluster): Micros => {
  const maxLease = Math.floor((micros(workers.cancel_s) - micros(workers.lease_s)) / 2);
  return Math.max(MIN_LEADER_LEASE, Math.min(leaderLeaseUs, maxLease));
};

/** Parses the platform's file (TOML) and combines it with the operators' settings. Throws `SettingsError`. */
export const parseSettings = (
  toml: string,
  yaml: string | null,
  membership: MembershipSettings | null = null,
): Settings => {
  const file = 'settings';
  const platform = decodeOrThrow(
    PlatformFile,
    parseOrThrow(parseToml, toml, file, settingsError),
    file,
    settingsError,
  );
  const { cluster } = platform;
  const { workers } = cluster;
  const tuning = parseTuning(yaml);
  return {
    member: platform.member,
    listen: platform.listen,
    peerListen: platform.cluster_listen,
    peers: platform.peers,
    cloudAddress: platform.endpoints.cloud,
    storeAddress: platform.endpoints.state,
    memberCount: platform.peers.length + 1,
    teams: teamsOf(cluster),
    objectives: objectivesOf(cluster),
    heartbeatIntervalUs: micros(workers.report_s),
    workerLeaseUs: micros(workers.lease_s),
    gangStartTimeoutUs: micros(workers.gang_wait_s),
    gangPeerTimeoutUs: micros(workers.gang_peer_s),
    cancellationDeadlineUs: micros(workers.cancel_s),
    ...limitsOf(cluster),
    cloudListLagUs: micros(cluster.cloud.list_lag_s),
    maxConnections: cluster.machine_limits.max_connections,
    membership,
    tuning: { ...tuning, leaderLeaseUs: boundedLeaderLease(tuning.leaderLeaseUs, cluster) },
  };
};
