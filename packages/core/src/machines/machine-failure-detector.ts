/** Who does not report: leases that ran out, machines to be deleted, and when the network is at fault. */
import type { TaskAttempt, Machine } from '../cluster/cluster-model.js';
import { CLOCK_DRIFT } from '../leadership/cancellation-freshness.js';
import { MILLI, SECOND, type Micros } from '../domain/time.js';
import type { MachineLifecycle } from './machine-lifecycle.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

interface Count {
  all: number;
  overdue: number;
}

export class MachineFailureDetector {
  private hadRight = true;

  constructor(
    private readonly term: LeaderTerm,
    private readonly park: MachineLifecycle,
    private readonly end: (a: TaskAttempt) => void,
  ) {}

  /** Silence counts anew from when the right came back: meanwhile nobody was answered. */
  recordLeaseState(entitled: boolean): void {
    if (entitled && !this.hadRight) this.term.leaseHeldSince = this.term.ctx.now;
    this.hadRight = entitled;
  }

  /** A worker that was not answered for its lease, drift and all, has dropped its tasks. */
  expireLeases(): void {
    const { ctx, cluster: estate } = this.term;
    const length = Math.ceil(ctx.settings.workerLeaseUs * (1 + 2 * CLOCK_DRIFT)) + 300 * MILLI;
    for (const m of estate.machines.values()) {
      if (ctx.now <= m.leaseRenewedAt + length) continue;
      if (!m.up && !m.awaitingReconciliation) continue;
      ctx.info('machine.lease_expired', { machine: m.name, tasks: m.attempts.size });
      m.up = false;
      m.awaitingReconciliation = false;
      m.unknownTaskCount = 0;
      // Later reports of the ended session, should any still arrive, tell nothing new.
      m.lastSequence = Number.MAX_SAFE_INTEGER;
      for (const a of [...m.attempts.values()]) this.end(a);
      this.term.schedulePass();
    }
  }

  private silentFor(m: Machine): Micros {
    return this.term.ctx.now - Math.max(m.lastHeartbeatAt, this.term.leaseHeldSince);
  }

  /**
   * A silent machine is deleted: the cloud's answer proves that everything on it is gone, much sooner
   * than its lease. Not so when much is silent at once: then the network is at fault, or this node.
   */
  retireSilentMachines(): void {
    const { ctx, cluster: estate, election: leadership } = this.term;
    // Two reports may be late or lost before a machine is suspected.
    const { heartbeatIntervalUs: reportUs } = ctx.settings;
    const silentUs = Math.max(ctx.settings.tuning.machineSuspicionUs, 2.5 * reportUs);
    // Who is merely overdue counts too: machines of a zone that is cut off become silent one after the
    // other, and the first third of them would be deleted before the rest shows that it is the network.
    const overdueUs = 1.3 * reportUs;
    const zones = new Map<string, { ordinary: Count; any: Count }>();
    let up = 0;
    let quiet = 0;
    for (const m of estate.machines.values()) {
      if (!m.up && !m.awaitingReconciliation) continue;
      const z = zones.get(m.zone) ?? { ordinary: { all: 0, overdue: 0 }, any: { all: 0, overdue: 0 } };
      zones.set(m.zone, z);
      const silent = this.silentFor(m);
      for (const c of m.spot ? [z.any] : [z.any, z.ordinary]) {
        c.all++;
        if (silent > overdueUs) c.overdue++;
      }
      up++;
      if (silent > silentUs * 0.75) quiet++;
    }
    // Who resigned for this a while ago stays now: if all machines died at once, no node hears of them, and the
    // leaders would follow each other for ever without any staying until the machines' leases have run out.
    const { resignedAt } = leadership;
    const again = resignedAt !== null && ctx.now - resignedAt < 4 * ctx.settings.workerLeaseUs;
    if (up >= 3 && quiet === up && !again && ctx.settings.peers.length > 0) {
      leadership.resign(20 * SECOND, 'no worker reaches this node');
      return;
    }
    for (const m of [...estate.machines.values()]) {
      if (
        (!m.up && !m.awaitingReconciliation) ||
        m.retirementReason !== null ||
        this.silentFor(m) <= silentUs
      )
        continue;
      // Spot machines are taken in waves; the ordinary ones of a zone tell better whether it is cut off.
      const z = zones.get(m.zone)!;
      const c = z.ordinary.all >= 3 ? z.ordinary : z.any;
      if (c.overdue <= Math.max(1, Math.floor(c.all / 3))) this.park.retire(m, 'silent');
    }
  }
}
