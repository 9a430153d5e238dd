/** Demand forecast: sizes the spare capacity for future jobs from the arrivals of the last minutes. */
import { allowedWait, mustStartAtOnce } from '../cluster/objectives.js';
import type { JobSpec } from '../domain/job.js';
import { isMachineTypeAllowed } from '../domain/resources.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { NodeContext } from '../node/node-context.js';
import type { TaskGroup } from '../scheduling/plan-input.js';

/** Window over which arrivals are counted. */
const ARRIVAL_WINDOW: Micros = 150 * SECOND;
/** Maximum number of arrivals kept per job class. */
const MAX_ARRIVALS = 200;
/** Shortest span over which the arrival rate of a class is computed. */
const MIN_HEADROOM_SPAN: Micros = 30 * SECOND;
/** Headroom in standard deviations of a normal distribution; 1.3 covers about 90 % of the cases. */
const HEADROOM_QUANTILE = 1.3;
/** Maximum number of tasks of one job that count, and of tasks that capacity is kept for in a class. */
const MAX_COUNTED_TASKS = 1_000;
/** Weight of the newest job in the exponential moving average of tasks per job. */
const MEAN_WEIGHT = 0.2;
/** Delay accepted for a hypothetical group in exchange for a cheaper placement. */
const HYPOTHETICAL_DELAY: Micros = 60 * SECOND;

/** Recent arrivals of one job class. */
interface Arrivals {
  /** Arrival times, oldest first. */
  readonly times: Micros[];
  /** The job with the most tasks. */
  largest: JobSpec;
  /** Exponential moving average of tasks per job. */
  meanTasks: number;
  /** When the first job of the class arrived. */
  readonly since: Micros;
}

/** Counts the arrivals of each job class and sizes the spare capacity for further ones. */
export class DemandForecast {
  private readonly arrivals = new Map<string, Arrivals>();

  constructor(
    private readonly context: NodeContext,
    private readonly isCostSensitive: () => boolean,
  ) {}

  /** Counts a newly arrived job; the job must be startable. */
  recordArrival(spec: JobSpec): void {
    const { now } = this.context;
    const tasks = Math.min(spec.tasks, MAX_COUNTED_TASKS);
    let arrivals = this.arrivals.get(spec.class);
    if (arrivals === undefined) {
      arrivals = { times: [], largest: spec, meanTasks: tasks, since: now };
      this.arrivals.set(spec.class, arrivals);
    }
    const { times } = arrivals;
    times.push(now);
    while (times.length > MAX_ARRIVALS || (times[0] !== undefined && times[0] < now - ARRIVAL_WINDOW))
      times.shift();
    arrivals.meanTasks = (1 - MEAN_WEIGHT) * arrivals.meanTasks + MEAN_WEIGHT * tasks;
    if (spec.tasks >= arrivals.largest.tasks) arrivals.largest = spec;
  }

  /** The largest job of each class with recent arrivals. */
  recentSpecs(): JobSpec[] {
    const specs: JobSpec[] = [];
    for (const { times, largest } of this.arrivals.values())
      if ((times.at(-1) ?? -Infinity) > this.context.now - ARRIVAL_WINDOW) specs.push(largest);
    return specs;
  }

  /**
   * Spare capacity for expected arrivals of classes that must start sooner than a machine boots, sized by the standard
   * deviation of arrivals minus completions during one boot time.
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
    const { now, settings } = this.context;
    const maxWait = allowedWait(jobClass, settings.objectives);
    if (maxWait === null || largest.shape === 'service' || this.mustStartAtOnce(largest)) return 0;
    const bootUs = this.shortestBoot(largest);
    if (bootUs === null || bootUs <= maxWait) return 0;
    while (times[0] !== undefined && times[0] < now - ARRIVAL_WINDOW) times.shift();
    const span = Math.max(MIN_HEADROOM_SPAN, Math.min(ARRIVAL_WINDOW, now - since));
    const expected = (times.length * bootUs) / span;
    // Arrivals and completions during a boot are two Poisson counts, so their difference has twice the variance.
    const jobs = HEADROOM_QUANTILE * Math.sqrt(2 * expected);
    return Math.min(MAX_COUNTED_TASKS, Math.ceil(jobs * meanTasks));
  }

  private shortestBoot(spec: JobSpec): Micros | null {
    let shortest: Micros | null = null;
    for (const type of this.context.machineTypes.values())
      if (isMachineTypeAllowed(spec, type))
        shortest = shortest === null ? type.bootUs : Math.min(shortest, type.bootUs);
    return shortest;
  }

  /**
   * Capacity kept free for urgent work, which can't wait until tasks of other jobs end. Tasks end all the time and free
   * capacity, so it is enough to cover the largest recent job, or the arrivals expected within the allowed wait. Without this
   * reserve, urgent services started task by task: a third of those that arrived at full machines had tasks waiting for
   * longer than their objective (in one simulated deployment).
   */
  reservedForUrgent(): TaskGroup[] {
    const groups: TaskGroup[] = [];
    for (const arrivals of this.arrivals.values()) {
      const { times, largest } = arrivals;
      const isRecent = (times.at(-1) ?? -Infinity) >= this.context.now - ARRIVAL_WINDOW;
      if (!isRecent || !this.mustStartAtOnce(largest)) continue;
      groups.push({
        ...this.hypotheticalGroup(largest, this.urgentTasks(arrivals)),
        reservedForUrgent: true,
      });
    }
    return groups;
  }

  /** Tasks of a class expected to arrive within its allowed wait, but at least those of its largest job. */
  private urgentTasks({ times, largest, meanTasks }: Arrivals): number {
    const { now, settings } = this.context;
    const span = Math.max(SECOND, now - (times[0] ?? now));
    const maxWait = allowedWait(largest.class, settings.objectives) ?? 0;
    // The rate is computed from the first arrival on, so a single arrival gives a rate of 0.
    const expected = Math.ceil((meanTasks * (times.length - 1) * maxWait) / span);
    return Math.min(MAX_COUNTED_TASKS, Math.max(largest.tasks, expected));
  }

  /** Whether a job is urgent: it can't wait until running tasks end. */
  mustStartAtOnce(spec: JobSpec): boolean {
    return mustStartAtOnce(spec, this.context.settings.objectives);
  }

  private hypotheticalGroup(spec: JobSpec, count: number): TaskGroup {
    return {
      spec,
      count,
      zones: new Map(),
      avoidedMachines: new Set(),
      checkpointedProgress: 0,
      scaleOutThreshold: this.isCostSensitive() ? HYPOTHETICAL_DELAY : 0,
      allowedDelay: HYPOTHETICAL_DELAY,
      allowedMachines: null,
      reservesCapacity: false,
      hypothetical: true,
      runTimes: new Map(),
      relativePrices: new Map(),
    };
  }
}
