/**
 * Which waiting job can still meet which service-level objective. Between fair-share turns the order of jobs is
 * discretionary (paper, 11.2): here it follows the operators' objectives, so that few jobs miss the next one that they
 * can meet.
 */
import type { JobSpec } from '../domain/job.js';
import type { ServiceLevelObjective } from '../domain/settings.js';
import { type Micros, SECOND } from '../domain/time.js';
import type { ActiveJob } from './cluster-model.js';
import { latestFinish } from './deadline-chain.js';

/** Work that must start within that can't wait for the next tasks to end. */
const IMMEDIATE_START: Micros = 10 * SECOND;

/**
 * Latest start that still meets the earliest objective within reach, from now; null when none is. A deadline counts from
 * the submission, the other times from when the job no longer waits for others; and it has to be done in time for the
 * last of those that depend on it.
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

/** The shortest wait that an objective allows the class; null: no objective limits it. */
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

/** Whether work is urgent: it can't wait for the next tasks to end. */
export const mustStartAtOnce = (spec: JobSpec, objectives: readonly ServiceLevelObjective[]): boolean =>
  (allowedWait(spec.class, objectives) ?? Infinity) < IMMEDIATE_START;

/** A waiting job among others that compete for the same pool of capacity. */
export interface ObjectiveCandidate {
  readonly job: ActiveJob;
  /** Microseconds from now; null: no objective can be met any more. */
  readonly latestStart: Micros | null;
  /** Capacity that it needs, in the scarce unit of its pool. */
  readonly amount: number;
}

/** A pool's jobs in the order in which they are placed. */
export interface ObjectiveOrder {
  /** Expected to meet their objective, by latest start. */
  readonly onTime: readonly ObjectiveCandidate[];
  /** Behind all of those: expected to miss it, or without one within reach. */
  readonly late: readonly ObjectiveCandidate[];
}

const byLatestStart = (one: ObjectiveCandidate, other: ObjectiveCandidate): number =>
  one.latestStart! - other.latestStart! || one.job.acceptedAt - other.job.acceptedAt;

/** Those with an objective within reach first, then the smallest, then the oldest. */
const byReachThenAmount = (one: ObjectiveCandidate, other: ObjectiveCandidate): number =>
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
 * Moore and Hodgson's rule on a pool that frees `rate` of its unit a microsecond and has `free` now: by latest start, and
 * whenever one would start too late, the largest so far goes to the late ones.
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
  late.sort(byReachThenAmount);
  return { onTime, late };
};

/**
 * One order of several pools that share machines: what can still meet its objective by latest start, whatever its pool,
 * for work without GPUs runs on GPU machines too; then the late ones, each pool's own order kept.
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
