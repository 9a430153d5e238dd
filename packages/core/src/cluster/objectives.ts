/**
 * Which waiting job can still meet which aim. Between turns the order of jobs is discretionary (paper,
 * 11.2): here it follows the operators' objectives, so that few jobs miss the next one that they can meet.
 */
import type { ActiveJob } from './cluster-model.js';
import { latestFinish } from './deadline-chain.js';
import type { JobSpec } from '../domain/job.js';
import type { ServiceLevelObjective } from '../domain/settings.js';
import { SECOND, type Micros } from '../domain/time.js';

/**
 * Latest start that still meets the earliest aim within reach, from now; null when no aim is. `due_s` counts
 * from the submission, the other times from when the job waits for no other any more; and it has to be done
 * in time for the last of those that need it.
 */
export const latestStart = (
  job: ActiveJob,
  objectives: readonly ServiceLevelObjective[],
  now: Micros,
  run: Micros,
  setup: Micros,
): Micros | null => {
  const age = Math.max(0, now - job.waitingSince);
  let best: Micros | null = null;
  const aim = (left: Micros): void => {
    if (left >= 0 && (best === null || left < best)) best = left;
  };
  for (const o of objectives) {
    if (job.deadlineChain !== null && o.kind === 'deadline' && o.class === job.deadlineChain.last.spec.class)
      aim(latestFinish(job.deadlineChain, o.deadlineFactor) - now - setup - run);
    if (o.class !== job.spec.class) continue;
    if (o.kind === 'wait' && o.withinUs !== null && !job.startedBefore) aim(o.withinUs - age - setup);
    else if (o.kind === 'finished' && o.withinUs !== null) aim(o.withinUs - age - setup - run);
    else if (o.kind === 'deadline' && job.spec.deadlineUs !== null)
      aim(job.acceptedAt + job.spec.deadlineUs * o.deadlineFactor - now - setup - run);
  }
  return best;
};

/** Who must start within that can't wait for the next tasks to end. */
const AT_ONCE: Micros = 10 * SECOND;

/** The shortest wait that an aim allows the class; null: none speaks of it. */
export const allowedWait = (cls: string, objectives: readonly ServiceLevelObjective[]): Micros | null => {
  let within: Micros | null = null;
  for (const o of objectives)
    if (o.kind === 'wait' && o.class === cls && o.withinUs !== null)
      within = within === null ? o.withinUs : Math.min(within, o.withinUs);
  return within;
};

/** Urgent work: it can't wait for the next tasks to end. */
export const mustStartAtOnce = (spec: JobSpec, objectives: readonly ServiceLevelObjective[]): boolean =>
  (allowedWait(spec.class, objectives) ?? Infinity) < AT_ONCE;

export interface ObjectiveCandidate {
  readonly job: ActiveJob;
  /** Microseconds from now; null: no aim can be met any more. */
  readonly latest: Micros | null;
  /** Room that it needs, in the scarce unit of its pool. */
  readonly amount: number;
}

export interface ObjectiveOrder {
  readonly kept: readonly ObjectiveCandidate[];
  readonly back: readonly ObjectiveCandidate[];
}

/**
 * Moore and Hodgson's rule on a pool that frees `rate` of its unit a microsecond and has `free` now: by
 * latest start, and whenever one would come too late, the largest so far goes to the back.
 */
export const orderByObjectives = (
  contenders: readonly ObjectiveCandidate[],
  free: number,
  rate: number,
): ObjectiveOrder => {
  const byLatest = contenders
    .filter((c) => c.latest !== null)
    .sort((a, b) => a.latest! - b.latest! || a.job.acceptedAt - b.job.acceptedAt);
  const kept: ObjectiveCandidate[] = [];
  const back: ObjectiveCandidate[] = contenders.filter((c) => c.latest === null);
  let sum = 0;
  for (const c of byLatest) {
    kept.push(c);
    sum += c.amount;
    const begins = rate > 0 ? Math.max(0, sum - free) / rate : 0;
    if (begins <= c.latest!) continue;
    let largest = 0;
    for (let i = 1; i < kept.length; i++) if (kept[i]!.amount > kept[largest]!.amount) largest = i;
    const [out] = kept.splice(largest, 1);
    sum -= out!.amount;
    back.push(out!);
  }
  back.sort(
    (a, b) =>
      Number(a.latest === null) - Number(b.latest === null) ||
      a.amount - b.amount ||
      a.job.acceptedAt - b.job.acceptedAt,
  );
  return { kept, back };
};

/**
 * One order of several pools that share machines: what can still meet its aim by latest start, whatever
 * its pool, for work without GPUs runs on GPU machines too; then the rest, each pool's own order kept.
 */
export const mergeOrders = (orders: readonly ObjectiveOrder[]): ActiveJob[] => {
  const kept = orders
    .flatMap((o) => o.kept)
    .sort((a, b) => a.latest! - b.latest! || a.job.acceptedAt - b.job.acceptedAt);
  const backs = orders.map((o) => [...o.back]);
  const back: ObjectiveCandidate[] = [];
  for (;;) {
    const heads = backs.filter((b) => b.length > 0);
    if (heads.length === 0) break;
    back.push(heads.reduce((x, y) => (y[0]!.job.acceptedAt < x[0]!.job.acceptedAt ? y : x)).shift()!);
  }
  return [...kept, ...back].map((c) => c.job);
};
