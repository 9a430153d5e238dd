/**
 * Orders waiting jobs by the service-level objectives that they can still meet. Between fair-share turns the order of jobs
 * is discretionary (paper, 11.2): here it follows the operators' objectives, so that few jobs miss the next objective
 * within reach.
 */
import type { JobSpec } from '../domain/job.js';
import type { ServiceLevelObjective } from '../domain/settings.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { ActiveJob } from './cluster-model.js';
import { latestFinish } from './deadline-chain.js';

/** Work that must start within this time can't wait for running tasks to end. */
const IMMEDIATE_START: Micros = 10 * SECOND;

/**
 * Time from now until the latest start that still meets the earliest objective within reach; null if none is within reach. A
 * deadline counts from the job's acceptance, other times from when its dependencies were met. A deadline inherited from
 * dependents counts like the job's own.
 */
export const latestStart = (
  job: ActiveJob,
  objectives: readonly ServiceLevelObjective[],
  now: Micros,
  runTime: Micros,
  setupTime: Micros,
): Micros | null => {
  const age = Math.max(0, now - job.waitingSince);
  let earliest: Micros | null = null;
  const consider = (slack: Micros): void => {
    if (slack >= 0 && (earliest === null || slack < earliest)) earliest = slack;
  };
  for (const objective of objectives) {
    const { kind, withinUs, deadlineFactor } = objective;
    const chain = job.deadlineChain;
    if (chain !== null && kind === 'deadline' && objective.class === chain.last.spec.class)
      consider(latestFinish(chain, deadlineFactor) - now - setupTime - runTime);
    if (objective.class !== job.spec.class) continue;
    if (kind === 'wait' && withinUs !== null && !job.startedBefore) consider(withinUs - age - setupTime);
    else if (kind === 'finished' && withinUs !== null) consider(withinUs - age - setupTime - runTime);
    else if (kind === 'deadline' && job.spec.deadlineUs !== null)
      consider(job.acceptedAt + job.spec.deadlineUs * deadlineFactor - now - setupTime - runTime);
  }
  return earliest;
};

/** The shortest wait that any objective allows the class; null if no objective limits it. */
export const allowedWait = (
  jobClass: string,
  objectives: readonly ServiceLevelObjective[],
): Micros | null => {
  let shortest: Micros | null = null;
  for (const { kind, class: classOf, withinUs } of objectives)
    if (kind === 'wait' && classOf === jobClass && withinUs !== null)
      shortest = shortest === null ? withinUs : Math.min(shortest, withinUs);
  return shortest;
};

/** Whether work is urgent: an objective allows it no time to wait for running tasks to end. */
export const mustStartAtOnce = (spec: JobSpec, objectives: readonly ServiceLevelObjective[]): boolean =>
  (allowedWait(spec.class, objectives) ?? Infinity) < IMMEDIATE_START;

/** A waiting job that competes with others for the same pool of capacity. */
export interface ObjectiveCandidate {
  /** The waiting job. */
  readonly job: ActiveJob;
  /** Latest start from now that meets an objective; null if none can be met any more. */
  readonly latestStart: Micros | null;
  /** Capacity that its waiting tasks need: GPUs in a pool with GPUs, otherwise cores. */
  readonly amount: number;
}

/** The jobs of a pool in the order of placement. */
export interface ObjectiveOrder {
  /** Jobs expected to meet their objective, by latest start. */
  readonly onTime: readonly ObjectiveCandidate[];
  /** Jobs placed after those: expected to miss their objective, or without one within reach. */
  readonly late: readonly ObjectiveCandidate[];
}

const byLatestStart = (one: ObjectiveCandidate, other: ObjectiveCandidate): number =>
  one.latestStart! - other.latestStart! || one.job.acceptedAt - other.job.acceptedAt;

/** Jobs with an objective within reach first, then by amount, then by age. */
const byReachableThenAmount = (one: ObjectiveCandidate, other: ObjectiveCandidate): number =>
  Number(one.latestStart === null) - Number(other.latestStart === null) ||
  one.amount - other.amount ||
  one.job.acceptedAt - other.job.acceptedAt;

const indexOfLargest = (candidates: readonly ObjectiveCandidate[]): number => {
  let largest = 0;
  for (let i = 1; i < candidates.length; i++)
    if (candidates[i]!.amount > candidates[largest]!.amount) largest = i;
  return largest;
};

/**
 * Orders a pool's jobs by the Moore-Hodgson algorithm: by latest start; whenever a job would start too late, the largest job
 * so far is moved to the late ones. `free` is the pool's free capacity now, `rate` the capacity that it frees in each
 * microsecond.
 */
export const orderByObjectives = (
  candidates: readonly ObjectiveCandidate[],
  free: number,
  rate: number,
): ObjectiveOrder => {
  const inReach = candidates.filter((candidate) => candidate.latestStart !== null).sort(byLatestStart);
  const onTime: ObjectiveCandidate[] = [];
  const late = candidates.filter((candidate) => candidate.latestStart === null);
  let demand = 0;
  for (const candidate of inReach) {
    onTime.push(candidate);
    demand += candidate.amount;
    const expectedStart = rate > 0 ? Math.max(0, demand - free) / rate : 0;
    if (expectedStart <= candidate.latestStart!) continue;
    const [largest] = onTime.splice(indexOfLargest(onTime), 1);
    demand -= largest!.amount;
    late.push(largest!);
  }
  late.sort(byReachableThenAmount);
  return { onTime, late };
};

/**
 * Merges the orders of pools that share machines (work without GPUs runs on GPU machines too): jobs expected to meet their
 * objective by latest start, regardless of the pool; then the late ones, in the order of each pool, the pool whose next job
 * is the oldest first.
 */
export const mergeOrders = (orders: readonly ObjectiveOrder[]): ActiveJob[] => {
  const onTime = orders.flatMap((order) => order.onTime).sort(byLatestStart);
  const queues = orders.map((order) => [...order.late]);
  const late: ObjectiveCandidate[] = [];
  for (;;) {
    const waiting = queues.filter((queue) => queue.length > 0);
    if (waiting.length === 0) break;
    const oldest = waiting.reduce((one, other) =>
      other[0]!.job.acceptedAt < one[0]!.job.acceptedAt ? other : one,
    );
    late.push(oldest.shift()!);
  }
  return [...onTime, ...late].map((candidate) => candidate.job);
};
