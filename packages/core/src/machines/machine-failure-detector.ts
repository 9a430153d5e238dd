/** Failure detection for machines: expired worker leases, unresponsive machines, and network partitions. */
import type { Machine, TaskAttempt } from '../cluster/cluster-model.js';
import { type Micros, MILLISECOND } from '../domain/time.js';
import { CLOCK_DRIFT_MARGIN } from '../leadership/cancellation-freshness.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { MachineLifecycle } from './machine-lifecycle.js';

/** Margin beyond a worker's lease and clock drift before its tasks are assumed to have stopped. */
const LEASE_MARGIN: Micros = 300 * MILLISECOND;
/** Heartbeat intervals until a machine is suspected; allows for two late or lost heartbeats. */
const SUSPICION_INTERVALS = 2.5;
/** Heartbeat intervals after which a machine is overdue. */
const OVERDUE_INTERVALS = 1.3;
/** A machine is nearly suspected after this share of the time until suspicion; a leader resigns if all machines are. */
const NEAR_SUSPICION_SHARE = 0.75;
/** With fewer machines, missing heartbeats of all of them are no evidence that this node is cut off. */
const MIN_MACHINES_TO_RESIGN = 3;
/** Number of on-demand machines from which a zone is judged by them alone, without its spot machines. */
const MIN_ON_DEMAND_SAMPLE = 3;
/** A zone counts as cut off if more than one in this many of its machines is overdue. */
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

/** Counts of overdue machines by zone, and of nearly suspected ones overall. */
interface OverdueSurvey {
  readonly zones: ReadonlyMap<string, ZoneCounts>;
  /** Machines that are expected to send heartbeats. */
  readonly expected: number;
  /** Expected machines whose last heartbeat is almost old enough for suspicion. */
  readonly nearlySuspected: number;
}

const isExpected = (machine: Machine): boolean => machine.up || machine.awaitingReconciliation;

/** Ends attempts on machines whose worker lease has expired, and retires unresponsive machines. */
export class MachineFailureDetector {
  private heldLeaseBefore = true;

  /** `endAttempt` records that an attempt is certainly no longer on its machine. */
  constructor(
    private readonly term: LeaderTerm,
    private readonly machineLifecycle: MachineLifecycle,
    private readonly endAttempt: (attempt: TaskAttempt) => void,
  ) {}

  /** Restarts the age of heartbeats when the leader lease is regained, since no worker was answered without it. */
  recordLeaseState(holdsLease: boolean): void {
    if (holdsLease && !this.heldLeaseBefore) this.term.leaseHeldSince = this.term.context.now;
    this.heldLeaseBefore = holdsLease;
  }

  /** Ends the attempts of workers whose lease has expired, clock drift included: they have stopped their tasks. */
  expireLeases(): void {
    const { context, cluster } = this.term;
    const leaseUs = Math.ceil(context.settings.workerLeaseUs * (1 + 2 * CLOCK_DRIFT_MARGIN)) + LEASE_MARGIN;
    for (const machine of cluster.machines.values()) {
      if (context.now <= machine.leaseRenewedAt + leaseUs || !isExpected(machine)) continue;
      context.info('machine.lease_expired', { machine: machine.name, tasks: machine.attempts.size });
      machine.up = false;
      machine.awaitingReconciliation = false;
      machine.unknownTaskCount = 0;
      // Ignore any later heartbeats of the agent epoch that ended.
      machine.lastSequence = Number.MAX_SAFE_INTEGER;
      for (const attempt of [...machine.attempts.values()]) this.endAttempt(attempt);
      this.term.schedulePass();
    }
  }

  /**
   * Deletes unresponsive machines: the cloud's answer proves that everything on them is gone, much sooner than the expiry of
   * their lease. If many are unresponsive at once, the cause is the network or this node, and none is deleted.
   */
  retireUnresponsiveMachines(): void {
    const { context, cluster, election } = this.term;
    const { heartbeatIntervalUs, tuning } = context.settings;
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

  /** Time since the last heartbeat, limited to the time for which this leader has held the lease. */
  private heartbeatAge(machine: Machine): Micros {
    return this.term.context.now - Math.max(machine.lastHeartbeatAt, this.term.leaseHeldSince);
  }

  private surveyOverdue(suspicionUs: Micros): OverdueSurvey {
    // Counts overdue machines, not just suspected ones: in a zone that is cut off, machines become suspected one after the
    // other, and the first third would be deleted before the others reveal a network failure.
    const overdueUs = OVERDUE_INTERVALS * this.term.context.settings.heartbeatIntervalUs;
    const zones = new Map<string, ZoneCounts>();
    let expected = 0;
    let nearlySuspected = 0;
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
      if (heartbeatAgeUs > suspicionUs * NEAR_SUSPICION_SHARE) nearlySuspected++;
    }
    return { zones, expected, nearlySuspected };
  }

  /**
   * Whether all machines are nearly suspected, so that this node seems to be cut off. A leader that resigned recently does not
   * resign again: if all machines failed at once, no node receives heartbeats, and leaders would keep replacing each other
   * without any of them leading until the machines' leases expire.
   */
  private shouldResign({ expected, nearlySuspected }: OverdueSurvey): boolean {
    const { context, election } = this.term;
    const { resignedAt, minResignationInterval } = election;
    const resignedLately = resignedAt !== null && context.now - resignedAt < minResignationInterval;
    return (
      expected >= MIN_MACHINES_TO_RESIGN &&
      nearlySuspected === expected &&
      !resignedLately &&
      context.settings.peers.length > 0
    );
  }
}

const count = (counts: OverdueCount, isOverdue: boolean): void => {
  counts.total++;
  if (isOverdue) counts.overdue++;
};

/** Prefers on-demand machines as evidence, since spot machines of a zone are often preempted together. */
const isCutOff = ({ onDemand, all }: ZoneCounts): boolean => {
  const { total, overdue } = onDemand.total >= MIN_ON_DEMAND_SAMPLE ? onDemand : all;
  return overdue > Math.max(1, Math.floor(total / MAX_OVERDUE_DIVISOR));
};
