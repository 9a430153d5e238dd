/** Stopping some work for other work: which waiting jobs have a right to that, when, and what it costs. */
import type { PlanStep } from './plan-input.js';
import type { TaskAttempt, ActiveJob } from '../cluster/cluster-model.js';
import type { NodeContext } from '../node/node-context.js';
import type { ClusterState } from '../cluster/cluster-state.js';
import { SECOND, type Micros } from '../domain/time.js';
import { Clearings, SETTLED } from './preemption.js';

/** A stopped task waits for about this share of how long others of its class wait: it was in order before. */
const REQUEUE_SHARE = 0.4;
/** What a stopped task loses at least: it saves, waits for another place, and fetches its image there. */
const PRESSED = 30 * SECOND;
/** A wait that is never worth stopping others for, and the one that is where no aim can be met any more. */
const LEAST_WAIT = 8 * SECOND;
const HOPELESS_WAIT = 60 * SECOND;
/** From the decision to stop others until the job runs in their place, with time for a second try. */
const CLEARING_TIME = 20 * SECOND;
/** Attempts that one plan stops for others, about. */
const MAX_VICTIMS = 60;

export class PreemptionPlanner {
  private readonly ctx: NodeContext;

  constructor(
    private readonly estate: ClusterState,
    private readonly stopAttempt: (a: TaskAttempt, graceUs: Micros) => void,
  ) {
    this.ctx = estate.ctx;
  }

  /** Stops what work of higher priority, or a guarantee, has a right to, if it would wait much longer. */
  preempt(byJob: ReadonlyMap<ActiveJob, readonly PlanStep[]>): void {
    // Looking for victims goes through all machines: only where there may be some, and a few times a plan.
    const { teams } = this.ctx.settings;
    const guarantees = teams.length > 1 && teams.some((t) => t.guaranteedCores > 0 || t.guaranteedGpus > 0);
    const lowest = this.estate.usageTotals.lowestRunning();
    const { now } = this.ctx;
    let clearings: Clearings | null = null;
    let stopped = 0;
    for (const [job, steps] of byJob) {
      if (stopped >= MAX_VICTIMS) break;
      if (job.liveAttempts.size > 0 || job.phase !== 'active' || job.reservedUntil > now) continue;
      if (!guarantees && job.priority <= lowest) continue;
      const start = Math.max(...steps.map((s) => s.start));
      if (start <= now + this.waitBeforeStopping(job)) continue;
      clearings ??= this.clearings();
      const count = job.spec.shape === 'gang' ? job.spec.tasks : Math.min(job.waitingCount, 16);
      const clearing = clearings.take(job, count);
      if (clearing === null || clearing.victims.length === 0) continue;
      const { victims } = clearing;
      job.reservedMachines = clearing.machines;
      stopped += victims.length;
      // What is being freed is for this job: others must not slip in before all of it is there.
      job.reservedUntil =
        this.ctx.now + Math.max(...victims.map((v) => v.job.spec.checkpointDurationUs)) + 6 * SECOND;
      this.ctx.debug('task.preempted', () => ({
        job: job.id,
        victims: victims.map((v) => `${v.job.id}/${v.index}`),
      }));
      for (const v of victims) this.stopAttempt(v, v.job.spec.checkpointDurationUs + SECOND);
    }
  }

  /**
   * A stopped task saves, waits, and fetches its image elsewhere: that is done only once waiting on would
   * endanger the aim of the job that wants the room. On full-size days arrays were else stopped thousands of
   * times for gangs that had time, and missed half of their deadlines.
   */
  private waitBeforeStopping(job: ActiveJob): Micros {
    const slack = this.estate.slackOf(job);
    return slack === null ? HOPELESS_WAIT : Math.max(LEAST_WAIT, slack - CLEARING_TIME);
  }

  private clearings(): Clearings {
    const { now, settings, types } = this.ctx;
    // Room that is being made for one job is not made for another.
    const promised = new Set<string>();
    for (const j of this.estate.jobs.values())
      if (j.reservedUntil > now) for (const name of j.reservedMachines ?? []) promised.add(name);
    // A start counts for an aim on waiting only if it is not stopped at once; where there is no such aim,
    // stopping costs what has not been saved yet, which is nothing, and the time to save.
    const awaited = new Set(settings.objectives.filter((o) => o.kind === 'wait').map((o) => o.class));
    // A stopped task waits about as long as others of its class wait now.
    const waits = new Map<string, { jobs: number; age: Micros }>();
    for (const j of this.estate.jobs.values()) {
      if (
        j.spec.deadlineUs === null ||
        j.phase !== 'active' ||
        j.blockedOnDependencies ||
        j.admissionHold !== null ||
        j.waitingCount <= 0
      )
        continue;
      const w = waits.get(j.spec.class) ?? { jobs: 0, age: 0 };
      waits.set(j.spec.class, w);
      w.jobs++;
      w.age += this.ctx.wallNow - j.acceptedAt;
    }
    const loss = (job: ActiveJob): Micros => {
      const w = waits.get(job.spec.class);
      return Math.max(PRESSED, w === undefined ? 0 : REQUEUE_SHARE * (w.age / w.jobs));
    };
    return new Clearings(
      [...this.estate.machines.values()].filter((m) => !promised.has(m.name)),
      types,
      this.estate.preemptionPolicy(),
      (a) => {
        const least = awaited.has(a.job.spec.class)
          ? SETTLED
          : Math.max(a.job.spec.checkpointDurationUs * 2, 5 * SECOND);
        return a.runningAt !== null && now - a.runningAt >= least && !this.pressed(a, loss(a.job));
      },
    );
  }

  /** Whether its job can still meet a deadline, but hardly so if it is stopped and has to wait again. */
  private pressed(a: TaskAttempt, loss: Micros): boolean {
    const { spec, acceptedAt: at } = a.job;
    if (spec.deadlineUs === null) return false;
    const left = this.estate.remainingRunTime(a);
    for (const o of this.ctx.settings.objectives) {
      if (o.kind !== 'deadline' || o.class !== spec.class) continue;
      const slack = spec.deadlineUs * o.deadlineFactor - (this.ctx.wallNow - at) - left;
      if (slack >= 0 && slack < loss) return true;
    }
    return false;
  }
}
