/** Settings as `check-config` prints them. The printed names are documented: they stay when fields of the domain are renamed. */
import type { Membership, Settings, Team, Tuning } from '@shaleyoke/core/domain/settings';

const printedTeam = (team: Team): unknown => ({
  name: team.name,
  cores: team.cores,
  coresMax: team.coresMax,
  gpus: team.gpus,
  gpusMax: team.gpusMax,
});

const printedMembership = (membership: Membership): unknown => ({
  beatUs: membership.beatUs,
  suspectBeats: membership.suspectBeats,
});

const printedTuning = (tuning: Tuning): unknown => ({
  leaderLeaseUs: tuning.leaderLeaseUs,
  silentUs: tuning.silentUs,
  searchBudgetUs: tuning.searchBudgetUs,
  searchWidth: tuning.searchWidth,
  searchDepth: tuning.searchDepth,
  searchGroups: tuning.searchGroups,
  searchToleranceUs: tuning.searchToleranceUs,
  turnWaitUs: tuning.turnWaitUs,
  turnEveryUs: tuning.turnEveryUs,
  idleReturnUs: tuning.idleReturnUs,
  rentMarginUs: tuning.rentMarginUs,
  thrift: tuning.thrift,
  progressUs: tuning.progressUs,
});

/** The settings of one controller under the names that are printed. */
export const printedSettings = (settings: Settings): unknown => ({
  member: settings.member,
  listen: settings.listen,
  peerListen: settings.peerListen,
  peers: settings.peers,
  cloudAddress: settings.cloudAddress,
  stateAddress: settings.stateAddress,
  members: settings.members,
  teams: settings.teams.map(printedTeam),
  objectives: settings.objectives.map((objective) => ({
    kind: objective.kind,
    class: objective.class,
    withinUs: objective.withinUs,
    share: objective.share,
    times: objective.times,
  })),
  reportUs: settings.reportUs,
  leaseUs: settings.leaseUs,
  gangWaitUs: settings.gangWaitUs,
  gangPeerUs: settings.gangPeerUs,
  cancelUs: settings.cancelUs,
  stateRps: settings.stateRps,
  stateWriteRps: settings.stateWriteRps,
  valueBytes: settings.valueBytes,
  txnOps: settings.txnOps,
  formerValueBytes: settings.formerValueBytes,
  cloudRps: settings.cloudRps,
  listLagUs: settings.listLagUs,
  maxConnections: settings.maxConnections,
  membership: settings.membership === null ? null : printedMembership(settings.membership),
  tuning: printedTuning(settings.tuning),
});
