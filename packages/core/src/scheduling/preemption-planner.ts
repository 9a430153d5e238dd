/** Preempts some work for other work: which waiting jobs have a right to that, when, and what it costs. */
import type { ActiveJob, TaskAttempt } from '../cluster/cluster-model.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { PlanStep } from './plan-input.js';
import { MIN_RUN_BEFORE_STOP, PreemptionCandidates, type PreemptionChoice } from './preemption-candidates.js';

/** A stopped task waits for about this share of how long others of its class wait: it was in order before. */
const REQUEUE_SHARE = 0.4;
/** What a stopped task loses at least: it saves, waits for another machine, and pulls its image there. */
const MIN_LOSS: Micros = 30 * SECOND;
/** A wait that is never worth stopping others for, and the one that is where no objective can be met any more. */
const MIN_WAIT: Micros = 8 * SECOND;
const WAIT_WITHOUT_OBJECTIVE: Micros = 60 * SECOND;
/** From the decision to stop others until the job runs in their place, with time for a second try. */
const PREEMPTION_TIME: Micros = 20 * SECOND;
/** Attempts that one plan stops for others, about. */
const MAX_VICTIMS = 60;
/** Tasks of one array that one plan stops others for. */
const MAX_ARRAY_TASKS = 16;
/** Beyond the longest checkpoint, freed capacity stays reserved for so long. */
const RESERVATION_TIME: Micros = 6 * SECOND;
/** Beyond its checkpoint, a stopped task has so much time to exit. */
const STOP_GRACE: Micros = SECOND;
/** Where no objective depends on its start, an attempt runs for so many times its checkpoint before it is stopped. */
const MIN_RUN_IN_CHECKPOINTS = 2;
/** And at least for this long. */
const MIN_RUN: Micros = 5 * SECOND;

/** How long jobs of a class have waited so far. */
interface ClassWait {
  jobs: number;
  total: Micros;
}

/** Decides on preemption after a plan. */
export class PreemptionPlanner {
  private readonly context: NodeContext;

  constructor(
    private readonly cluster: ClusterState,
    private readonly stopAttempt: (attempt: TaskAttempt, graceUs: Micros) => void,
  ) {
    this.context = cluster.context;
  }

  /**
   * Stops what work of higher priority, or a guarantee, has a right to, if it would wait much longer. `stepsByJob` is the
   * plan.
   */
  preempt(stepsByJob: ReadonlyMap<ActiveJob, readonly PlanStep[]>): void {
    // Looking for victims goes through all machines: only where there may be some, and a few times a plan.
    const mayHaveVictims = this.victimFilter();
    const { now } = this.context;
    let candidates: PreemptionCandidates | null = null;
    let stopped = 0;
    for (const [job, steps] of stepsByJob) {
      if (stopped >= MAX_VICTIMS) break;
      if (job.liveAttempts.size > 0 || job.phase !== 'active' || job.reservedUntil > now) continue;
      if (!mayHaveVictims(job)) continue;
      const start = Math.max(...steps.map((step) => step.start));
      if (start <= now + this.waitBeforeStopping(job)) continue;
      candidates ??= this.candidates();
      const count = job.spec.shape === 'gang' ? job.spec.tasks : Math.min(job.waitingCount, MAX_ARRAY_TASKS);
      const choice = candidates.take(job, count);
      if (choice === null || choice.victims.length === 0) continue;
      stopped += choice.victims.length;
      this.stopFor(job, choice);
    }
  }

  /** Whether there may be anything that the job has a right to preempt. */
  private victimFilter(): (job: ActiveJob) => boolean {
    const { teams } = this.context.settings;
    const hasGuarantees =
      teams.length > 1 && teams.some((team) => team.guaranteedCores > 0 || team.guaranteedGpus > 0);
    const lowest = this.cluster.usageTotals.lowestRunning();
    return (job) => hasGuarantees || job.priority > lowest;
  }

  private stopFor(job: ActiveJob, { victims, machines }: PreemptionChoice): void {
    job.reservedMachines = machines;
    // What is being freed is for this job: others must not take it before all of it is there.
    const longestCheckpoint = Math.max(...victims.map((victim) => victim.job.spec.checkpointDurationUs));
    job.reservedUntil = this.context.now + longestCheckpoint + RESERVATION_TIME;
    this.context.debug('task.preempted', () => ({
      job: job.id,
      victims: victims.map((victim) => `${victim.job.id}/${victim.index}`),
    }));
    for (const victim of victims) this.stopAttempt(victim, victim.job.spec.checkpointDurationUs + STOP_GRACE);
  }

  /**
   * A stopped task saves, waits, and pulls its image elsewhere: that is done only once waiting on would endanger the
   * objective of the job that wants the capacity. On full-size days arrays were else stopped thousands of times for gangs
   * that had time, and missed half of their deadlines.
   */
  private waitBeforeStopping(job: ActiveJob): Micros {
    const slack = this.cluster.slackOf(job);
    return slack === null ? WAIT_WITHOUT_OBJECTIVE : Math.max(MIN_WAIT, slack - PREEMPTION_TIME);
  }

  private candidates(): PreemptionCandidates {
    const { settings, types } = this.context;
    const reserved = this.reservedMachines();
    // A start counts for an objective on waiting only if it is not stopped at once; where there is no such objective,
    // stopping costs what has not been saved yet, which is nothing, and the time to save.
    const classesWithWaitObjective = new Set(
      settings.objectives
        .filter((objective) => objective.kind === 'wait')
        .map((objective) => objective.class),
    );
    const waits = this.waitsByClass();
    return new PreemptionCandidates(
      [...this.cluster.machines.values()].filter((machine) => !reserved.has(machine.name)),
      types,
      this.cluster.preemptionPolicy(),
      (attempt) =>
        this.hasRunEnough(attempt, classesWithWaitObjective) &&
        !this.endangersDeadline(attempt, lossFor(attempt.job, waits)),
    );
  }

  /** Machines on which capacity is being freed for one job: it is not freed for another. */
  private reservedMachines(): Set<string> {
    const reserved = new Set<string>();
    for (const { reservedUntil, reservedMachines } of this.cluster.jobs.values())
      if (reservedUntil > this.context.now) for (const name of reservedMachines ?? []) reserved.add(name);
    return reserved;
  }

  /** How long jobs with deadlines wait now: a stopped task waits about as long as others of its class. */
  private waitsByClass(): Map<string, ClassWait> {
    const waits = new Map<string, ClassWait>();
    for (const job of this.cluster.jobs.values()) {
      const { spec } = job;
      if (spec.deadlineUs === null || job.phase !== 'active' || job.blockedOnDependencies) continue;
      if (job.admissionHold !== null || job.waitingCount <= 0) continue;
      const wait = waits.get(spec.class) ?? { jobs: 0, total: 0 };
      waits.set(spec.class, wait);
      wait.jobs++;
      wait.total += this.context.wallNow - job.acceptedAt;
    }
    return waits;
  }

  private hasRunEnough(attempt: TaskAttempt, classesWithWaitObjective: ReadonlySet<string | null>): boolean {
    const { spec } = attempt.job;
    const least = classesWithWaitObjective.has(spec.class)
      ? MIN_RUN_BEFORE_STOP
      : Math.max(spec.checkpointDurationUs * MIN_RUN_IN_CHECKPOINTS, MIN_RUN);
    return attempt.runningAt !== null && this.context.now - attempt.runningAt >= least;
  }

  /** Whether its job can still meet a deadline, but hardly so if it is stopped and has to wait again. */
  private endangersDeadline(attempt: TaskAttempt, loss: Micros): boolean {
    const { spec, acceptedAt } = attempt.job;
    if (spec.deadlineUs === null) return false;
    const left = this.cluster.remainingRunTime(attempt);
    for (const objective of this.context.settings.objectives) {
      if (objective.kind !== 'deadline' || objective.class !== spec.class) continue;
      const slack = spec.deadlineUs * objective.deadlineFactor - (this.context.wallNow - acceptedAt) - left;
      if (slack >= 0 && slack < loss) return true;
    }
    return false;
  }
}

/** Time that a job's task loses when it is stopped. */
const lossFor = (job: ActiveJob, waits: ReadonlyMap<string, ClassWait>): Micros => {
  const wait = waits.get(job.spec.class);
  return Math.max(MIN_LOSS, wait === undefined ? 0 : REQUEUE_SHARE * (wait.total / wait.jobs));
};
