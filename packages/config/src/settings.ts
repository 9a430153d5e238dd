/** The platform's file (TOML) and the operators' own file (YAML), checked into `Settings`. */
import { Schema } from 'effect';
import { parse as parseToml } from 'smol-toml';
import { parse as parseYaml } from 'yaml';
import type { MembershipSettings, Settings, Tuning } from '@shaleyoke/core/domain/settings';
import { check, read } from './checked.js';

const us = (s: number): number => Math.round(s * 1e6);

const Address = Schema.String.pipe(
  Schema.pattern(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, { message: () => 'expected IP:PORT' }),
);
const Positive = Schema.Number.pipe(Schema.positive(), Schema.finite());
const NonNegative = Schema.Number.pipe(Schema.nonNegative(), Schema.finite());
const zero = { default: () => 0 };

const Platform = Schema.Struct({
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
      // Limits that will hold from some moment on, without notice.
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

const Operators = Schema.Struct({
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

export class SettingsError extends Error {}

const fail = (message: string): SettingsError => new SettingsError(message);

export const parseTuning = (yaml: string | null): Tuning => {
  const value = yaml === null ? {} : (read(parseYaml, yaml, 'operators settings', fail) ?? {});
  const o = check(Operators, value, 'operators settings', fail);
  return {
    leaderLeaseUs: us(o.leader_lease_s),
    machineSuspicionUs: us(o.silent_s),
    searchBudgetUs: us(o.search_budget_ms / 1000),
    shortlistSize: o.search_width,
    rolloutDepth: o.search_depth,
    maxGroupsPerPlan: o.search_groups,
    makespanToleranceUs: us(o.search_tolerance_s),
    fairShareDrainUs: us(o.turn_wait_s),
    fairShareTurnIntervalUs: us(o.turn_every_s),
    idleScaleInUs: us(o.idle_return_s),
    scaleOutThresholdUs: us(o.rent_margin_s),
    costSensitivity: o.thrift,
    progressIntervalUs: us(o.progress_s),
  };
};

/** The operators' file that switches the beats between controllers on. Throws `SettingsError` naming each wrong field. */
export const parseMembership = (yaml: string, what: string): MembershipSettings => {
  const m = check(MembershipFile, read(parseYaml, yaml, what, fail), what, fail, true);
  return { heartbeatIntervalUs: us(m.beat_s), suspectAfterMissed: m.suspect_after_beats };
};

export const parseSettings = (
  toml: string,
  yaml: string | null,
  membership: MembershipSettings | null = null,
): Settings => {
  const p = check(Platform, read(parseToml, toml, 'settings', fail), 'settings', fail);
  const c = p.cluster;
  const { next } = c.state;
  const tuning = parseTuning(yaml);
  const leaseUs = us(c.workers.lease_s);
  const cancelUs = us(c.workers.cancel_s);
  // A leader cut off from the state service must stop, and its workers' leases run out, in time for
  // cancellations it can't know of: the lease never outgrows what `cancel_s` leaves.
  const roomUs = Math.floor((cancelUs - leaseUs) / 2);
  return {
    member: p.member,
    listen: p.listen,
    peerListen: p.cluster_listen,
    peers: p.peers,
    cloudAddress: p.endpoints.cloud,
    storeAddress: p.endpoints.state,
    memberCount: p.peers.length + 1,
    teams: c.teams.map((t) => ({
      name: t.name,
      guaranteedCores: t.cpus,
      maxCores: t.cpus_max,
      guaranteedGpus: t.gpus,
      maxGpus: t.gpus_max,
    })),
    objectives: c.objectives.map((o) => ({
      kind: o.kind,
      class: o.class ?? null,
      withinUs: o.within_s === undefined ? null : us(o.within_s),
      share: o.share ?? null,
      deadlineFactor: o.times ?? 1,
    })),
    heartbeatIntervalUs: us(c.workers.report_s),
    workerLeaseUs: leaseUs,
    gangStartTimeoutUs: us(c.workers.gang_wait_s),
    gangPeerTimeoutUs: us(c.workers.gang_peer_s),
    cancellationDeadlineUs: cancelUs,
    storeRequestsPerS: Math.min(c.state.rps, next?.rps ?? Infinity),
    storeWritesPerS: Math.min(c.state.write_rps, next?.write_rps ?? Infinity),
    maxValueBytes: Math.floor(Math.min(c.state.value_kb, next?.value_kb ?? Infinity) * 1024),
    maxTransactionOperations: Math.max(1, Math.floor(Math.min(c.state.txn_ops, next?.txn_ops ?? Infinity))),
    formerMaxValueBytes: Math.floor(c.state.value_kb * 1024),
    cloudRequestsPerS: c.cloud.rps,
    cloudListLagUs: us(c.cloud.list_lag_s),
    maxConnections: c.machine_limits.max_connections,
    membership,
    tuning: {
      ...tuning,
      leaderLeaseUs: Math.max(1_000_000, Math.min(tuning.leaderLeaseUs, roomUs)),
    },
  };
};
