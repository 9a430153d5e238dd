/** What the leader knows in one term, and what it predicts from that. Changes nothing. */
import { latestStart } from './objectives.js';
import type { Attempt, Machine, ActiveJob } from './cluster-model.js';
import { ClusterTotals } from './usage-totals.js';
import { MachineRegistry } from './machine-registry.js';
import type { Context } from '../node/node-context.js';
import { SECOND, type Micros } from '../domain/time.js';
import type { Rights } from './preemption-policy.js';
import { typeAllowed } from '../domain/resources.js';
import { guaranteedJobs, type Usage } from './fair-share.js';
import { Timings } from './runtime-estimates.js';

/** From a decision to start until the task runs, where its image is there. */
const SETUP = 2 * SECOND;
/** From the end of a job's last task until the next job's tasks run: report, record, plan, record, start. */
export const HANDOVER = 3 * SECOND;

export class Estate {
  readonly machines: Map<string, Machine>;
  readonly totals: ClusterTotals;
  readonly jobs = new Map<string, ActiveJob>();
  readonly timings = new Timings();

  constructor(readonly ctx: Context) {
    const machines = new MachineRegistry();
    this.totals = new ClusterTotals(machines, () => ctx.types);
    machines.observer = this.totals;
    this.machines = machines;
  }

  remaining(a: Attempt): Micros {
    const { spec } = a.job;
    if (spec.shape === 'service') return 1e13;
    const credit = a.job.credit.get(spec.shape === 'gang' ? -1 : a.index) ?? 0;
    const elapsed = credit + (a.runningAt === null ? 0 : this.ctx.now - a.runningAt);
    return this.timings.remaining(spec.class, a.machine.type, spec.estimatedRunUs, elapsed);
  }

  usage(): Usage {
    return this.totals.usage();
  }

  startable(job: ActiveJob): boolean {
    if (job.phase !== 'active' || job.broken || job.complete || job.waiting <= 0) return false;
    if (job.unreadable || job.held || job.barred !== null) return false;
    if (job.notBefore > this.ctx.now) return false;
    if (job.spec.shape === 'gang' && job.live.size > 0) return false;
    for (const name of job.unresolved) if (this.machines.get(name)?.unresolved === true) return false;
    return true;
  }

  /**
   * The settings don't say whether money is an aim. Who keeps machines ready pays for capacity anyway; who
   * starts from nothing pays by use.
   */
  thrifty(): boolean {
    const { costSensitivity: thrift } = this.ctx.settings.tuning;
    if (thrift !== 'auto') return thrift === 'on';
    return !this.totals.anyStanding;
  }

  slackOf(job: ActiveJob): Micros | null {
    const { spec } = job;
    const credit = job.credit.get(-1) ?? 0;
    const run = this.timings.remaining(spec.class, spec.machineTypes?.[0] ?? '', spec.estimatedRunUs, credit);
    return latestStart(job, this.ctx.settings.objectives, this.ctx.wallNow, run, SETUP);
  }

  /** From a job's release to its end: its run, its image, and what lies between one job and the next. */
  expectedOf(job: ActiveJob): Micros {
    const { spec } = job;
    const run = this.timings.remaining(spec.class, spec.machineTypes?.[0] ?? '', spec.estimatedRunUs, 0);
    let rate = 0;
    for (const t of this.ctx.types.values())
      if (typeAllowed(spec, t) && t.imagePullGbPerS > 0) rate = Math.max(rate, t.imagePullGbPerS);
    return run + (rate > 0 ? Math.round((spec.imageGb / rate) * SECOND) : 0) + HANDOVER;
  }

  patienceOf(job: ActiveJob): Micros {
    const slack = this.slackOf(job);
    return slack === null ? 60 * SECOND : Math.round(slack / 2);
  }

  /** Work that can wait a while and still meet its aim need not have machines rented for it at once. */
  marginOf(job: ActiveJob): Micros {
    if (!this.thrifty()) return 0;
    const { scaleOutThresholdUs: rentMarginUs } = this.ctx.settings.tuning;
    const slack = this.slackOf(job);
    if (slack === null) return rentMarginUs;
    return rentMarginUs + Math.min(rentMarginUs, Math.round(slack / 4));
  }

  rights(): Rights {
    const { teams } = this.ctx.settings;
    const inside = guaranteedJobs([...this.jobs.values()], teams);
    return { teams, use: this.totals.teamUse(), guaranteed: (job) => inside.has(job) };
  }
}
