/** The leader's view of the cluster in one term, and predictions based on it. */
import { isMachineTypeAllowed } from '../domain/resources.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { ActiveJob, Machine, TaskAttempt } from './cluster-model.js';
import { guaranteedJobs, type QuotaUsage } from './fair-share.js';
import { MachineRegistry } from './machine-registry.js';
import { latestStart } from './objectives.js';
import type { PreemptionPolicy } from './preemption-policy.js';
import { RuntimeEstimates, UNBOUNDED_RUN_TIME } from './runtime-estimates.js';
import { GANG_PROGRESS_KEY } from './task-attempt.js';
import { UsageTotals } from './usage-totals.js';

/** Time from the decision to start a task until it runs, if its image is cached. */
const TASK_SETUP_TIME: Micros = 2 * SECOND;

/** Time from the end of a job's last task until a dependent's tasks run: heartbeat, record, plan, record, start. */
export const STAGE_HANDOVER_TIME: Micros = 3 * SECOND;

/** How long a job may wait for a cheaper machine when it can't meet any objective. */
const MAX_DELAY_WITHOUT_OBJECTIVE: Micros = 60 * SECOND;

/** Share of a job's slack that it may spend waiting for a cheaper machine. */
const DELAY_SHARE_OF_SLACK = 1 / 2;

/** Share of a job's slack that is added to the threshold for scaling out. */
const THRESHOLD_SHARE_OF_SLACK = 1 / 4;

/** Jobs, machines and learned run times of one leader term. Its methods don't change them. */
export class ClusterState {
  /** Known machines by name. */
  readonly machines: Map<string, Machine>;
  /** Sums over the machines and their attempts. */
  readonly usageTotals: UsageTotals;
  /** Active jobs by id. */
  readonly jobs = new Map<string, ActiveJob>();
  /** Run times learned from attempts that ended. */
  readonly runtimeEstimates = new RuntimeEstimates();

  constructor(
    /** The node's clock, settings and machine types. */
    readonly context: NodeContext,
  ) {
    const machines = new MachineRegistry();
    this.usageTotals = new UsageTotals(machines, () => context.machineTypes);
    machines.observer = this.usageTotals;
    this.machines = machines;
  }

  /** Expected time until the attempt ends; unbounded for a service. */
  remainingRunTime(attempt: TaskAttempt): Micros {
    const { job, runningAt } = attempt;
    const { spec } = job;
    if (spec.shape === 'service') return UNBOUNDED_RUN_TIME;
    const progressKey = spec.shape === 'gang' ? GANG_PROGRESS_KEY : attempt.index;
    const checkpointed = job.checkpointedProgress.get(progressKey) ?? 0;
    const elapsed = checkpointed + (runningAt === null ? 0 : this.context.now - runningAt);
    return this.runtimeEstimates.remaining(spec.class, attempt.machine.type, spec.estimatedRunUs, elapsed);
  }

  /** Usage by team, to which a plan adds its own starts. */
  usage(): QuotaUsage {
    return this.usageTotals.usage();
  }

  /** Whether the state of the job allows its tasks to start now, regardless of capacity. */
  isStartable(job: ActiveJob): boolean {
    if (job.phase !== 'active' || job.isComplete || job.waitingCount <= 0) return false;
    if (job.progressUnreadable || job.blockedOnDependencies || job.admissionHold !== null) return false;
    if (job.retryNotBefore > this.context.now) return false;
    if (job.spec.shape === 'gang' && job.liveAttempts.size > 0) return false;
    for (const name of job.unreconciledMachines)
      if (this.machines.get(name)?.awaitingReconciliation === true) return false;
    return true;
  }

  /**
   * Whether plans weigh the price of machines. With `auto`, the default, that depends on whether any machine is
   * pre-provisioned: operators who keep machines pre-provisioned pay for the capacity anyway; those who don't pay by use.
   */
  isCostSensitive(): boolean {
    const { costSensitivity } = this.context.settings.tuning;
    if (costSensitivity !== 'auto') return costSensitivity === 'on';
    return !this.usageTotals.anyPreprovisioned;
  }

  /** Time that remains until the latest start that meets the job's next objective; null if it can't meet any. */
  slackOf(job: ActiveJob): Micros | null {
    const checkpointed = job.checkpointedProgress.get(GANG_PROGRESS_KEY) ?? 0;
    const runTime = this.expectedRunTime(job, checkpointed);
    return latestStart(job, this.context.settings.objectives, this.context.wallNow, runTime, TASK_SETUP_TIME);
  }

  /** Expected time from when a job may start to the start of its dependents: image pull, run and handover. */
  expectedDuration(job: ActiveJob): Micros {
    const { spec } = job;
    const runTime = this.expectedRunTime(job, 0);
    let pullRate = 0;
    for (const type of this.context.machineTypes.values())
      if (isMachineTypeAllowed(spec, type) && type.imagePullGbPerS > 0)
        pullRate = Math.max(pullRate, type.imagePullGbPerS);
    const pullTime = pullRate > 0 ? Math.round((spec.imageGb / pullRate) * SECOND) : 0;
    return runTime + pullTime + STAGE_HANDOVER_TIME;
  }

  /** Expected remaining run time of a task of the job after `elapsed`, on the first machine type that it requests. */
  expectedRunTime({ spec }: ActiveJob, elapsed: Micros): Micros {
    const type = spec.machineTypes?.[0] ?? '';
    return this.runtimeEstimates.remaining(spec.class, type, spec.estimatedRunUs, elapsed);
  }

  /** How long the job may wait for a cheaper machine without endangering its next objective. */
  allowedDelay(job: ActiveJob): Micros {
    const slack = this.slackOf(job);
    return slack === null ? MAX_DELAY_WITHOUT_OBJECTIVE : Math.round(slack * DELAY_SHARE_OF_SLACK);
  }

  /** Minimum time saved that justifies provisioning a machine for the job; grows with the job's slack, up to double. */
  scaleOutThreshold(job: ActiveJob): Micros {
    if (!this.isCostSensitive()) return 0;
    const { scaleOutThresholdUs } = this.context.settings.tuning;
    const slack = this.slackOf(job);
    if (slack === null) return scaleOutThresholdUs;
    return scaleOutThresholdUs + Math.min(scaleOutThresholdUs, Math.round(slack * THRESHOLD_SHARE_OF_SLACK));
  }

  /** The preemption policy for the current usage and jobs. */
  preemptionPolicy(): PreemptionPolicy {
    const { teams } = this.context.settings;
    const guaranteed = guaranteedJobs([...this.jobs.values()], teams);
    return { teams, usage: this.usageTotals.teamUsage(), isGuaranteed: (job) => guaranteed.has(job) };
  }
}
