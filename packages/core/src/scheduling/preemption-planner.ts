/** Preemption: decides which waiting jobs may preempt other work, when, and at what cost. */
import type { ActiveJob, TaskAttempt } from '../cluster/cluster-model.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { PlanStep } from './plan-input.js';
import { MIN_RUN_BEFORE_STOP, PreemptionCandidates, type PreemptionChoice } from './preemption-candidates.js';

/** Expected wait of a stopped task, as a share of the mean wait of its class: it was queued earlier than the others. */
const REQUEUE_WAIT_SHARE = 0.4;
/** Minimum loss of a stopped task: it saves its progress, waits for another machine and pulls its image there. */
const MIN_PREEMPTION_LOSS: Micros = 30 * SECOND;
/** No attempts are stopped for a shorter predicted wait than this. */
const MIN_WAIT_BEFORE_PREEMPTION: Micros = 8 * SECOND;
/** Predicted wait that justifies preemption for a job that can't meet any objective. */
const WAIT_WITHOUT_OBJECTIVE: Micros = 60 * SECOND;
/** Time from the decision to stop attempts until the job runs in their place, with time for a second try. */
const PREEMPTION_TIME: Micros = 20 * SECOND;
/** Number of victims after which a plan preempts for no further job. */
const MAX_VICTIMS = 60;
/** Maximum number of tasks of one array that a plan preempts other work for. */
const MAX_ARRAY_TASKS = 16;
/** How long freed capacity stays reserved, in addition to the longest checkpoint duration. */
const RESERVATION_TIME: Micros = 6 * SECOND;
/** Time that a stopped task has to exit, in addition to its checkpoint duration. */
const STOP_GRACE: Micros = SECOND;
/** Minimum run time of an attempt of a class without an objective on waiting, in multiples of its checkpoint duration. */
const MIN_RUN_IN_CHECKPOINTS = 2;
/** Absolute minimum run time of such an attempt. */
const MIN_RUN_TIME: Micros = 5 * SECOND;

/** Number of waiting jobs of a class, and the sum of their waits so far. */
interface ClassWait {
  jobs: number;
  totalWait: Micros;
}

/** Decides after each plan which attempts to stop for jobs that would wait too long. */
export class PreemptionPlanner {
  private readonly context: NodeContext;

  constructor(
    private readonly cluster: ClusterState,
    private readonly stopAttempt: (attempt: TaskAttempt, graceUs: Micros) => void,
  ) {
    this.context = cluster.context;
  }

  /**
   * Stops attempts for jobs of higher priority, or within a guarantee, that would otherwise wait too long. `stepsByJob` is
   * the plan.
   */
  preempt(stepsByJob: ReadonlyMap<ActiveJob, readonly PlanStep[]>): void {
    // The search for victims scans all machines, so it is done only where there may be any, and a few times a plan.
    const mayHaveVictims = this.victimFilter();
    const { now } = this.context;
    let candidates: PreemptionCandidates | null = null;
    let stopped = 0;
    for (const [job, steps] of stepsByJob) {
      if (stopped >= MAX_VICTIMS) break;
      if (job.liveAttempts.size > 0 || job.phase !== 'active' || job.reservedUntil > now) continue;
      if (!mayHaveVictims(job)) continue;
      const start = Math.max(...steps.map((step) => step.start));
      if (start <= now + this.waitBeforePreemption(job)) continue;
      candidates ??= this.candidates();
      const count = job.spec.shape === 'gang' ? job.spec.tasks : Math.min(job.waitingCount, MAX_ARRAY_TASKS);
      const choice = candidates.take(job, count);
      if (choice === null || choice.victims.length === 0) continue;
      stopped += choice.victims.length;
      this.stopFor(job, choice);
    }
  }

  /** Returns a cheap check of whether there may be attempts that the job may preempt. */
  private victimFilter(): (job: ActiveJob) => boolean {
    const { teams } = this.context.settings;
    const hasGuarantees =
      teams.length > 1 && teams.some((team) => team.guaranteedCores > 0 || team.guaranteedGpus > 0);
    const lowestPriority = this.cluster.usageTotals.lowestLivePriority();
    return (job) => hasGuarantees || job.priority > lowestPriority;
  }

  private stopFor(job: ActiveJob, { victims, machines }: PreemptionChoice): void {
    job.reservedMachines = machines;
    // Other jobs must not take the freed capacity before all of it is available.
    const longestCheckpoint = Math.max(...victims.map((victim) => victim.job.spec.checkpointDurationUs));
    job.reservedUntil = this.context.now + longestCheckpoint + RESERVATION_TIME;
    this.context.debug('task.preempted', () => ({
      job: job.id,
      victims: victims.map((victim) => `${victim.job.id}/${victim.index}`),
    }));
    for (const victim of victims) this.stopAttempt(victim, victim.job.spec.checkpointDurationUs + STOP_GRACE);
  }

  /**
   * The predicted wait beyond which other work is stopped for the job. Stopping is costly: the task saves its progress,
   * waits, and pulls its image elsewhere. So it is done only once further waiting would endanger the job's objective.
   * Without this limit, on full-size days arrays were stopped thousands of times for gangs that had time, and missed half
   * of their deadlines.
   */
  private waitBeforePreemption(job: ActiveJob): Micros {
    const slack = this.cluster.slackOf(job);
    return slack === null
      ? WAIT_WITHOUT_OBJECTIVE
      : Math.max(MIN_WAIT_BEFORE_PREEMPTION, slack - PREEMPTION_TIME);
  }

  private candidates(): PreemptionCandidates {
    const { settings, machineTypes } = this.context;
    const reserved = this.reservedMachines();
    // With an objective on waiting, a start counts only if the attempt is not stopped soon after. Without one, stopping
    // costs only the time to save, since a stopped task saves its progress first.
    const classesWithWaitObjective = new Set(
      settings.objectives
        .filter((objective) => objective.kind === 'wait')
        .map((objective) => objective.class),
    );
    const waits = this.waitsByClass();
    return new PreemptionCandidates(
      [...this.cluster.machines.values()].filter((machine) => !reserved.has(machine.name)),
      machineTypes,
      this.cluster.preemptionPolicy(),
      (attempt) =>
        this.hasRunEnough(attempt, classesWithWaitObjective) &&
        !this.endangersDeadline(attempt, preemptionLoss(attempt.job, waits)),
    );
  }

  /** Machines on which capacity is already being freed for a job; it must not be freed for another one. */
  private reservedMachines(): Set<string> {
    const reserved = new Set<string>();
    for (const { reservedUntil, reservedMachines } of this.cluster.jobs.values())
      if (reservedUntil > this.context.now) for (const name of reservedMachines ?? []) reserved.add(name);
    return reserved;
  }

  /** Current waits of jobs with deadlines, by class: an estimate of how long a stopped task waits again. */
  private waitsByClass(): Map<string, ClassWait> {
    const waits = new Map<string, ClassWait>();
    for (const job of this.cluster.jobs.values()) {
      const { spec } = job;
      if (spec.deadlineUs === null || job.phase !== 'active' || job.blockedOnDependencies) continue;
      if (job.admissionHold !== null || job.waitingCount <= 0) continue;
      const wait = waits.get(spec.class) ?? { jobs: 0, totalWait: 0 };
      waits.set(spec.class, wait);
      wait.jobs++;
      wait.totalWait += this.context.wallNow - job.acceptedAt;
    }
    return waits;
  }

  private hasRunEnough(attempt: TaskAttempt, classesWithWaitObjective: ReadonlySet<string | null>): boolean {
    const { spec } = attempt.job;
    const minRun = classesWithWaitObjective.has(spec.class)
      ? MIN_RUN_BEFORE_STOP
      : Math.max(spec.checkpointDurationUs * MIN_RUN_IN_CHECKPOINTS, MIN_RUN_TIME);
    return attempt.runningAt !== null && this.context.now - attempt.runningAt >= minRun;
  }

  /** Whether the attempt's job can still meet a deadline, but would miss it if the attempt lost `loss`. */
  private endangersDeadline(attempt: TaskAttempt, loss: Micros): boolean {
    const { spec, acceptedAt } = attempt.job;
    if (spec.deadlineUs === null) return false;
    const remaining = this.cluster.remainingRunTime(attempt);
    for (const objective of this.context.settings.objectives) {
      if (objective.kind !== 'deadline' || objective.class !== spec.class) continue;
      const slack =
        spec.deadlineUs * objective.deadlineFactor - (this.context.wallNow - acceptedAt) - remaining;
      if (slack >= 0 && slack < loss) return true;
    }
    return false;
  }
}

/** Expected time that a task of the job loses if it is stopped. */
const preemptionLoss = (job: ActiveJob, waits: ReadonlyMap<string, ClassWait>): Micros => {
  const wait = waits.get(job.spec.class);
  return Math.max(
    MIN_PREEMPTION_LOSS,
    wait === undefined ? 0 : REQUEUE_WAIT_SHARE * (wait.totalWait / wait.jobs),
  );
};
