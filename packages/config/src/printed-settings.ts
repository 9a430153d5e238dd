/** Settings as `check-config` prints them. The printed names are documented and stay when fields of `Settings` are renamed. */
import type { MembershipSettings, Settings, Team, Tuning } from '@shaleyoke/core/domain/settings';

const printedTeam = (team: Team): unknown => ({
  name: team.name,
  cores: team.guaranteedCores,
  coresMax: team.maxCores,
  gpus: team.guaranteedGpus,
  gpusMax: team.maxGpus,
});

const printedMembership = (membership: MembershipSettings): unknown => ({
  beatUs: membership.heartbeatIntervalUs,
  suspectBeats: membership.suspectAfterMissed,
});

const printedTuning = (tuning: Tuning): unknown => ({
  leaderLeaseUs: tuning.leaderLeaseUs,
  silentUs: tuning.machineSuspicionUs,
  searchBudgetUs: tuning.searchBudgetUs,
  searchWidth: tuning.shortlistSize,
  searchDepth: tuning.rolloutDepth,
  searchGroups: tuning.maxGroupsPerPlan,
  searchToleranceUs: tuning.makespanToleranceUs,
  turnWaitUs: tuning.fairShareDrainUs,
  turnEveryUs: tuning.fairShareTurnIntervalUs,
  idleReturnUs: tuning.idleScaleInUs,
  rentMarginUs: tuning.scaleOutThresholdUs,
  thrift: tuning.costSensitivity,
  progressUs: tuning.progressIntervalUs,
});

/** Converts the settings of one controller to the printed form. */
export const printedSettings = (settings: Settings): unknown => ({
  member: settings.member,
  listen: settings.listen,
  peerListen: settings.peerListen,
  peers: settings.peers,
  cloudAddress: settings.cloudAddress,
  stateAddress: settings.storeAddress,
  members: settings.memberCount,
  teams: settings.teams.map(printedTeam),
  objectives: settings.objectives.map((objective) => ({
    kind: objective.kind,
    class: objective.class,
    withinUs: objective.withinUs,
    share: objective.share,
    times: objective.deadlineFactor,
  })),
  reportUs: settings.heartbeatIntervalUs,
  leaseUs: settings.workerLeaseUs,
  gangWaitUs: settings.gangStartTimeoutUs,
  gangPeerUs: settings.gangPeerTimeoutUs,
  cancelUs: settings.cancellationDeadlineUs,
  stateRps: settings.storeRequestsPerS,
  stateWriteRps: settings.storeWritesPerS,
  valueBytes: settings.maxValueBytes,
  txnOps: settings.maxTransactionOperations,
  formerValueBytes: settings.formerMaxValueBytes,
  cloudRps: settings.cloudRequestsPerS,
  listLagUs: settings.cloudListLagUs,
  maxConnections: settings.maxConnections,
  membership: settings.membership === null ? null : printedMembership(settings.membership),
  tuning: printedTuning(settings.tuning),
});
