/** What the leader knows in one term, and what it predicts from that. Changes nothing. */
import { latestStart } from './objectives.js';
import type { TaskAttempt, Machine, ActiveJob } from './cluster-model.js';
import { UsageTotals } from './usage-totals.js';
import { MachineRegistry } from './machine-registry.js';
import type { NodeContext } from '../node/node-context.js';
import { SECOND, type Micros } from '../domain/time.js';
import type { PreemptionPolicy } from './preemption-policy.js';
import { typeAllowed } from '../domain/resources.js';
import { guaranteedJobs, type QuotaUsage } from './fair-share.js';
import { RuntimeEstimates } from './runtime-estimates.js';

/** From a decision to start until the task runs, where its image is there. */
const SETUP = 2 * SECOND;
/** From the end of a job's last task until the next job's tasks run: report, record, plan, record, start. */
export const STAGE_HANDOVER = 3 * SECOND;

export class ClusterState {
  readonly machines: Map<string, Machine>;
  readonly usageTotals: UsageTotals;
  readonly jobs = new Map<string, ActiveJob>();
  readonly runtimeEstimates = new RuntimeEstimates();

  constructor(readonly ctx: NodeContext) {
    const machines = new MachineRegistry();
    this.usageTotals = new UsageTotals(machines, () => ctx.types);
    machines.observer = this.usageTotals;
    this.machines = machines;
  }

  remainingRunTime(a: TaskAttempt): Micros {
    const { spec } = a.job;
    if (spec.shape === 'service') return 1e13;
    const credit = a.job.checkpointedProgress.get(spec.shape === 'gang' ? -1 : a.index) ?? 0;
    const elapsed = credit + (a.runningAt === null ? 0 : this.ctx.now - a.runningAt);
    return this.runtimeEstimates.remaining(spec.class, a.machine.type, spec.estimatedRunUs, elapsed);
  }

  usage(): QuotaUsage {
    return this.usageTotals.usage();
  }

  isStartable(job: ActiveJob): boolean {
    if (job.phase !== 'active' || job.gangBroken || job.isComplete || job.waitingCount <= 0) return false;
    if (job.progressUnreadable || job.blockedOnDependencies || job.admissionHold !== null) return false;
    if (job.retryNotBefore > this.ctx.now) return false;
    if (job.spec.shape === 'gang' && job.liveAttempts.size > 0) return false;
    for (const name of job.unreconciledMachines)
      if (this.machines.get(name)?.awaitingReconciliation === true) return false;
    return true;
  }

  /**
   * The settings don't say whether money is an aim. Who keeps machines ready pays for capacity anyway; who
   * starts from nothing pays by use.
   */
  isCostSensitive(): boolean {
    const { costSensitivity: thrift } = this.ctx.settings.tuning;
    if (thrift !== 'auto') return thrift === 'on';
    return !this.usageTotals.anyPreprovisioned;
  }

  slackOf(job: ActiveJob): Micros | null {
    const { spec } = job;
    const credit = job.checkpointedProgress.get(-1) ?? 0;
    const run = this.runtimeEstimates.remaining(
      spec.class,
      spec.machineTypes?.[0] ?? '',
      spec.estimatedRunUs,
      credit,
    );
    return latestStart(job, this.ctx.settings.objectives, this.ctx.wallNow, run, SETUP);
  }

  /** From a job's release to its end: its run, its image, and what lies between one job and the next. */
  expectedDuration(job: ActiveJob): Micros {
    const { spec } = job;
    const run = this.runtimeEstimates.remaining(
      spec.class,
      spec.machineTypes?.[0] ?? '',
      spec.estimatedRunUs,
      0,
    );
    let rate = 0;
    for (const t of this.ctx.types.values())
      if (typeAllowed(spec, t) && t.imagePullGbPerS > 0) rate = Math.max(rate, t.imagePullGbPerS);
    return run + (rate > 0 ? Math.round((spec.imageGb / rate) * SECOND) : 0) + STAGE_HANDOVER;
  }

  allowedDelay(job: ActiveJob): Micros {
    const slack = this.slackOf(job);
    return slack === null ? 60 * SECOND : Math.round(slack / 2);
  }

  /** Work that can wait a while and still meet its aim need not have machines rented for it at once. */
  scaleOutThreshold(job: ActiveJob): Micros {
    if (!this.isCostSensitive()) return 0;
    const { scaleOutThresholdUs: rentMarginUs } = this.ctx.settings.tuning;
    const slack = this.slackOf(job);
    if (slack === null) return rentMarginUs;
    return rentMarginUs + Math.min(rentMarginUs, Math.round(slack / 4));
  }

  preemptionPolicy(): PreemptionPolicy {
    const { teams } = this.ctx.settings;
    const inside = guaranteedJobs([...this.jobs.values()], teams);
    return { teams, use: this.usageTotals.teamUsage(), guaranteed: (job) => inside.has(job) };
  }
}
