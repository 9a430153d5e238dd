/** Failure detection for workers: leases that have expired, silent machines to delete, and when the network is at fault. */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { type Micros, MILLI } from '../domain/time.js';
import { CLOCK_DRIFT } from '../leadership/cancellation-freshness.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { MachineLifecycle } from './machine-lifecycle.js';

/** Beyond a worker's lease and the clocks' drift, before its tasks count as dropped. */
const LEASE_MARGIN: Micros = 300 * MILLI;
/** Two heartbeats may be late or lost before a machine is suspected. */
const SUSPICION_INTERVALS = 2.5;
/** A machine whose heartbeat is later than so many intervals is overdue. */
const OVERDUE_INTERVALS = 1.3;
/** Machines count towards a node that no worker reaches after this share of the time until suspicion. */
const QUIET_SHARE = 0.75;
/** With fewer machines up, missing heartbeats of all of them show nothing of this node. */
const MIN_MACHINES_TO_RESIGN = 3;
/** On-demand machines of a zone from which on they are judged without its spot machines. */
const MIN_ON_DEMAND_SAMPLE = 3;
/** Of a zone's machines at most one in so many may be overdue, or the zone counts as cut off. */
const MAX_OVERDUE_DIVISOR = 3;

/** Machines of one zone, and how many of them are overdue. */
interface OverdueCount {
  total: number;
  overdue: number;
}

interface ZoneCounts {
  readonly onDemand: OverdueCount;
  readonly all: OverdueCount;
}

/** How many machines are overdue, by zone, and on the whole. */
interface OverdueSurvey {
  readonly zones: ReadonlyMap<string, ZoneCounts>;
  /** Machines that are expected to send heartbeats. */
  readonly expected: number;
  /** Those of them whose last heartbeat is nearly old enough to suspect them. */
  readonly quiet: number;
}

const isExpected = (machine: Machine): boolean => machine.up || machine.awaitingReconciliation;

/** Ends the attempts of machines whose lease has expired, and retires machines that have fallen silent. */
export class MachineFailureDetector {
  private heldLease = true;

  /** `endAttempt` records that an attempt is surely not on its machine any more. */
  constructor(
    private readonly term: LeaderTerm,
    private readonly machineLifecycle: MachineLifecycle,
    private readonly endAttempt: (attempt: TaskAttempt) => void,
  ) {}

  /** The age of heartbeats counts anew from when the leader lease was regained: meanwhile no worker was answered. */
  recordLeaseState(holdsLease: boolean): void {
    if (holdsLease && !this.heldLease) this.term.leaseHeldSince = this.term.context.now;
    this.heldLease = holdsLease;
  }

  /** A worker that was not answered for its lease, clock drift included, has dropped its tasks. */
  expireLeases(): void {
    const { context: ctx, cluster } = this.term;
    const leaseUs = Math.ceil(ctx.settings.workerLeaseUs * (1 + 2 * CLOCK_DRIFT)) + LEASE_MARGIN;
    for (const machine of cluster.machines.values()) {
      if (ctx.now <= machine.leaseRenewedAt + leaseUs || !isExpected(machine)) continue;
      ctx.info('machine.lease_expired', { machine: machine.name, tasks: machine.attempts.size });
      machine.up = false;
      machine.awaitingReconciliation = false;
      machine.unknownTaskCount = 0;
      // Later heartbeats of the ended epoch, should any still arrive, show nothing new.
      machine.lastSequence = Number.MAX_SAFE_INTEGER;
      for (const attempt of [...machine.attempts.values()]) this.endAttempt(attempt);
      this.term.schedulePass();
    }
  }

  /**
   * A silent machine is deleted: the cloud's answer proves that everything on it is gone, much sooner than its lease does. Not
   * so when many are silent at once: then the network is at fault, or this node.
   */
  retireUnresponsiveMachines(): void {
    const { context: ctx, cluster, election } = this.term;
    const { heartbeatIntervalUs, tuning } = ctx.settings;
    const suspicionUs = Math.max(tuning.machineSuspicionUs, SUSPICION_INTERVALS * heartbeatIntervalUs);
    const survey = this.surveyOverdue(suspicionUs);
    if (this.shouldResign(survey)) {
      election.resign('no worker reaches this node');
      return;
    }
    for (const machine of [...cluster.machines.values()]) {
      if (
        !isExpected(machine) ||
        machine.retirementReason !== null ||
        this.heartbeatAge(machine) <= suspicionUs
      )
        continue;
      if (!isCutOff(survey.zones.get(machine.zone)!)) this.machineLifecycle.retire(machine, 'silent');
    }
  }

  /** Time since the last heartbeat, as far as it was this leader that should have received one. */
  private heartbeatAge(machine: Machine): Micros {
    return this.term.context.now - Math.max(machine.lastHeartbeatAt, this.term.leaseHeldSince);
  }

  private surveyOverdue(suspicionUs: Micros): OverdueSurvey {
    // Machines that are merely overdue count too: those of a zone that is cut off become silent one after the other, and the
    // first third of them would be deleted before the rest shows that it is the network.
    const overdueUs = OVERDUE_INTERVALS * this.term.context.settings.heartbeatIntervalUs;
    const zones = new Map<string, ZoneCounts>();
    let expected = 0;
    let quiet = 0;
    for (const machine of this.term.cluster.machines.values()) {
      if (!isExpected(machine)) continue;
      let zone = zones.get(machine.zone);
      if (zone === undefined) {
        zone = { onDemand: { total: 0, overdue: 0 }, all: { total: 0, overdue: 0 } };
        zones.set(machine.zone, zone);
      }
      const heartbeatAgeUs = this.heartbeatAge(machine);
      const isOverdue = heartbeatAgeUs > overdueUs;
      count(zone.all, isOverdue);
      if (!machine.spot) count(zone.onDemand, isOverdue);
      expected++;
      if (heartbeatAgeUs > suspicionUs * QUIET_SHARE) quiet++;
    }
    return { zones, expected, quiet };
  }

  /**
   * Whether all machines are silent, so that this node seems to be cut off. A leader that resigned for this a while ago stays
   * now: if all machines died at once, no node receives heartbeats, and the leaders would follow each other for ever without
   * any staying until the machines' leases have run out.
   */
  private shouldResign({ expected, quiet }: OverdueSurvey): boolean {
    const { context: ctx, election } = this.term;
    const { resignedAt, resignationInterval } = election;
    const resignedLately = resignedAt !== null && ctx.now - resignedAt < resignationInterval;
    return (
      expected >= MIN_MACHINES_TO_RESIGN &&
      quiet === expected &&
      !resignedLately &&
      ctx.settings.peers.length > 0
    );
  }
}

const count = (counts: OverdueCount, isOverdue: boolean): void => {
  counts.total++;
  if (isOverdue) counts.overdue++;
};

/** Spot machines are preempted in waves; the on-demand ones of a zone show better whether it is cut off. */
const isCutOff = ({ onDemand, all }: ZoneCounts): boolean => {
  const { total, overdue } = onDemand.total >= MIN_ON_DEMAND_SAMPLE ? onDemand : all;
  return overdue > Math.max(1, Math.floor(total / MAX_OVERDUE_DIVISOR));
};
