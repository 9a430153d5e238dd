/** Demand forecast: how much room to keep for jobs that have yet to arrive, from the arrivals of the last minutes. */
import { allowedWait, mustStartAtOnce } from '../cluster/objectives.js';
import type { JobSpec } from '../domain/job.js';
import { typeAllowed } from '../domain/resources.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { TaskGroup } from '../scheduling/plan-input.js';

/** Window over which arrivals are counted. */
const ARRIVAL_WINDOW: Micros = 150 * SECOND;
/** Arrivals of a class that are kept at most. */
const MAX_ARRIVALS = 200;
/** A class that is known for less is counted as known for this long. */
const MIN_HEADROOM_SPAN: Micros = 30 * SECOND;
/** Quantile of the normal distribution that headroom is sized by; about nine arrivals in ten. */
const HEADROOM_QUANTILE = 1.3;
/** Weight of the newest job in the moving mean of a class's tasks. */
const MEAN_WEIGHT = 0.2;
/** Delay that a hypothetical group may take for a cheaper place. */
const HYPOTHETICAL_DELAY: Micros = 60 * SECOND;

/** Jobs of a class that came lately. */
interface Arrivals {
  /** When they came, oldest first. */
  readonly times: Micros[];
  /** The largest of them. */
  largest: JobSpec;
  /** Tasks of one job, as a moving mean. */
  meanTasks: number;
  /** When the first job of the class came. */
  readonly since: Micros;
}

/** Counts the arrivals of each class of jobs, and sizes the room to keep for more of them. */
export class DemandForecast {
  private readonly arrivals = new Map<string, Arrivals>();

  constructor(
    private readonly ctx: NodeContext,
    private readonly isCostSensitive: () => boolean,
  ) {}

  /** A job arrived that may begin at once. */
  recordArrival(spec: JobSpec): void {
    const { now } = this.ctx;
    let arrivals = this.arrivals.get(spec.class);
    if (arrivals === undefined) {
      arrivals = { times: [], largest: spec, meanTasks: spec.tasks, since: now };
      this.arrivals.set(spec.class, arrivals);
    }
    const { times } = arrivals;
    times.push(now);
    while (times.length > MAX_ARRIVALS || (times[0] !== undefined && times[0] < now - ARRIVAL_WINDOW))
      times.shift();
    arrivals.meanTasks = (1 - MEAN_WEIGHT) * arrivals.meanTasks + MEAN_WEIGHT * spec.tasks;
    if (spec.tasks >= arrivals.largest.tasks) arrivals.largest = spec;
  }

  /** The largest recent job of each class that came lately. */
  recentSpecs(): JobSpec[] {
    const specs: JobSpec[] = [];
    for (const { times, largest } of this.arrivals.values())
      if ((times.at(-1) ?? -Infinity) > this.ctx.now - ARRIVAL_WINDOW) specs.push(largest);
    return specs;
  }

  /**
   * Room for arrivals of classes that must start sooner than a machine boots: the spread of the difference between arrivals
   * and completions while one boots.
   */
  headroom(): TaskGroup[] {
    const groups: TaskGroup[] = [];
    for (const [jobClass, arrivals] of this.arrivals) {
      const count = this.headroomTasks(jobClass, arrivals);
      if (count === 0) continue;
      const spec: JobSpec = {
        ...arrivals.largest,
        shape: 'array',
        tasks: count,
        sameZone: false,
        spreadAcrossZones: false,
      };
      groups.push(this.hypotheticalGroup(spec, count));
    }
    return groups;
  }

  private headroomTasks(jobClass: string, { times, largest, meanTasks, since }: Arrivals): number {
    const { now, settings } = this.ctx;
    const maxWait = allowedWait(jobClass, settings.objectives);
    if (maxWait === null || largest.shape === 'service' || this.mustStartAtOnce(largest)) return 0;
    const bootUs = this.shortestBoot(largest);
    if (bootUs === null || bootUs <= maxWait) return 0;
    while (times[0] !== undefined && times[0] < now - ARRIVAL_WINDOW) times.shift();
    const span = Math.max(MIN_HEADROOM_SPAN, Math.min(ARRIVAL_WINDOW, now - since));
    const expected = (times.length * bootUs) / span;
    // Arrivals and completions while a machine boots: two Poisson counts, so their difference has twice the variance.
    const jobs = HEADROOM_QUANTILE * Math.sqrt(2 * expected);
    return Math.ceil(jobs * meanTasks);
  }

  private shortestBoot(spec: JobSpec): Micros | null {
    let shortest: Micros | null = null;
    for (const type of this.ctx.types.values())
      if (typeAllowed(spec, type))
        shortest = shortest === null ? type.bootUs : Math.min(shortest, type.bootUs);
    return shortest;
  }

  /**
   * Room kept free for work that must start sooner than the tasks end that others would put there. What ends gives room again
   * all the time, so the largest job that came lately is enough, or as many as come within the time they may wait. Without it
   * such a service trickled in: a third of those that came to full machines had tasks waiting for longer than their objective
   * (adresy-pomorze steady).
   */
  reservedForUrgent(): TaskGroup[] {
    const groups: TaskGroup[] = [];
    for (const arrivals of this.arrivals.values()) {
      const { times, largest } = arrivals;
      const isRecent = (times.at(-1) ?? -Infinity) >= this.ctx.now - ARRIVAL_WINDOW;
      if (!isRecent || !this.mustStartAtOnce(largest)) continue;
      groups.push({
        ...this.hypotheticalGroup(largest, this.urgentTasks(arrivals)),
        reservedForUrgent: true,
      });
    }
    return groups;
  }

  /** Tasks of a class that come within the time that they may wait, and those of its largest job at least. */
  private urgentTasks({ times, largest, meanTasks }: Arrivals): number {
    const { now, settings } = this.ctx;
    const span = Math.max(SECOND, now - (times[0] ?? now));
    const maxWait = allowedWait(largest.class, settings.objectives) ?? 0;
    // The rate is counted from the first arrival on: one alone gives none.
    return Math.max(largest.tasks, Math.ceil((meanTasks * (times.length - 1) * maxWait) / span));
  }

  /** Whether this is work that can't wait for the next tasks to end. */
  mustStartAtOnce(spec: JobSpec): boolean {
    return mustStartAtOnce(spec, this.ctx.settings.objectives);
  }

  private hypotheticalGroup(spec: JobSpec, count: number): TaskGroup {
    return {
      spec,
      count,
      zones: new Map(),
      avoid: new Set(),
      checkpointedProgress: 0,
      scaleOutThreshold: this.isCostSensitive() ? HYPOTHETICAL_DELAY : 0,
      allowedDelay: HYPOTHETICAL_DELAY,
      allowedMachines: null,
      reserve: false,
      hypothetical: true,
      runTimes: new Map(),
      costPenalties: new Map(),
    };
  }
}
