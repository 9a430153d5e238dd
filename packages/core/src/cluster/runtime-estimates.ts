/**
 * Learned run times: distributions of real over estimated run time per class and machine type. Groups with few samples
 * borrow from broader ones; stopped runs are censored observations, not short runs. (Paper, 9.3: stratified empirical
 * distributions with shrinkage, residuals from survival.)
 */
import { bytesOf } from '../codecs/value-size.js';
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';

/** Services never finish: they count as running for this long. */
export const UNBOUNDED_RUN_TIME: Micros = 1e13;

interface Sample {
  /** Real over estimated run time. */
  readonly ratio: number;
  /** The run was stopped: it would have taken longer. */
  readonly censored: boolean;
}

interface WeightedSamples {
  readonly samples: readonly Sample[];
  /** Of each sample. */
  readonly weight: number;
}

/** A step of an estimated survival function: the share of runs that end at this ratio. */
interface SurvivalStep {
  readonly ratio: number;
  readonly mass: number;
}

/** Samples that are kept of a group. */
const MAX_SAMPLES = 48;
/** The newest of these that are written to the store. */
const MAX_STORED_SAMPLES = 24;
/** A group with this many own samples borrows nothing. */
const SUFFICIENT_SAMPLES = 10;
/** What is assumed of an owner's estimate before anything was observed. */
const PRIOR: readonly Sample[] = [0.5, 0.7, 0.85, 1, 1.2, 1.5, 2.2].map((ratio) => ({
  ratio,
  censored: false,
}));
/** The most that the prior weighs, in samples. */
const MAX_PRIOR_WEIGHT = 3;
/** Stopped runs shorter than this tell nothing. */
const MIN_CENSORED_RATIO = 0.05;
/** Runs beyond the last sample are taken to end at this many times its ratio. */
const TAIL_FACTOR = 1.5;
/** Less mass than this beyond the last sample is rounding. */
const MIN_TAIL_MASS = 1e-6;
/** With less mass than this beyond the elapsed time, the run is longer than everything observed. */
const MIN_REMAINING_MASS = 1e-9;
/** Of such a run, the elapsed time divided by this is still expected. */
const ELAPSED_DIVISOR = 3;
/** And at least this share of the estimate. */
const MIN_REMAINING_RATIO = 0.2;
/** Stored ratios have three decimals. */
const STORED_PRECISION = 1000;

const groupKey = (jobClass: string, machineType: string): string => `${jobClass}|${machineType}`;

/** Kaplan-Meier over weighted samples; the mass beyond the last sample sits half again as far out. */
const survivalSteps = (groups: readonly WeightedSamples[]): SurvivalStep[] => {
  const all = groups.flatMap(({ samples, weight }) => samples.map((sample) => ({ ...sample, weight })));
  all.sort((one, other) => one.ratio - other.ratio || Number(one.censored) - Number(other.censored));
  let atRisk = all.reduce((sum, sample) => sum + sample.weight, 0);
  let alive = 1;
  const steps: SurvivalStep[] = [];
  for (const { ratio, censored, weight } of all) {
    if (!censored && atRisk > 0) {
      const mass = alive * (weight / atRisk);
      steps.push({ ratio, mass });
      alive -= mass;
    }
    atRisk -= weight;
  }
  const last = all.at(-1);
  if (alive > MIN_TAIL_MASS && last !== undefined)
    steps.push({ ratio: last.ratio * TAIL_FACTOR, mass: alive });
  return steps;
};

/** Learns from runs that ended, and predicts those that go on. */
export class RuntimeEstimates {
  /** By class and type, by class, and all under the empty key; the newest last. */
  private readonly groups = new Map<string, Sample[]>();
  private readonly cachedSteps = new Map<string, SurvivalStep[]>();

  /** Adds a run that completed or was stopped after `runTime`, which includes progress from earlier attempts. */
  recordRun(
    jobClass: string,
    machineType: string,
    estimate: Micros,
    runTime: Micros,
    completed: boolean,
  ): void {
    const ratio = runTime / Math.max(estimate, SECOND);
    if (!completed && ratio < MIN_CENSORED_RATIO) return;
    for (const key of [groupKey(jobClass, machineType), jobClass, '']) {
      let samples = this.groups.get(key);
      if (samples === undefined) this.groups.set(key, (samples = []));
      samples.push({ ratio, censored: !completed });
      if (samples.length > MAX_SAMPLES) samples.shift();
    }
    this.cachedSteps.clear();
  }

  private stepsOf(jobClass: string, machineType: string): SurvivalStep[] {
    const key = groupKey(jobClass, machineType);
    let steps = this.cachedSteps.get(key);
    if (steps === undefined) {
      steps = survivalSteps(this.samplesFor(key, jobClass));
      this.cachedSteps.set(key, steps);
    }
    return steps;
  }

  /** The group's own samples, and as much from broader groups as it lacks. */
  private samplesFor(key: string, jobClass: string): WeightedSamples[] {
    const groups: WeightedSamples[] = [];
    let missing = SUFFICIENT_SAMPLES;
    for (const samples of [this.groups.get(key), this.groups.get(jobClass), this.groups.get(''), PRIOR]) {
      if (missing <= 0 || samples === undefined || samples.length === 0) continue;
      const available = Math.min(samples.length, missing);
      const total = samples === PRIOR ? Math.min(available, MAX_PRIOR_WEIGHT) : available;
      groups.push({ samples, weight: total / samples.length });
      missing -= samples.length;
    }
    return groups;
  }

  /** Expected time still to run, given that it ran `elapsed` without completing; whole microseconds. */
  remaining(jobClass: string, machineType: string, estimate: Micros, elapsed: Micros): Micros {
    const base = Math.max(estimate, SECOND);
    const elapsedRatio = elapsed / base;
    let mass = 0;
    let sum = 0;
    for (const step of this.stepsOf(jobClass, machineType)) {
      if (step.ratio <= elapsedRatio) continue;
      mass += step.mass;
      sum += step.mass * (step.ratio - elapsedRatio);
    }
    // Beyond everything observed: as if a third of what it already ran were still to come.
    const ratio =
      mass > MIN_REMAINING_MASS ? sum / mass : Math.max(MIN_REMAINING_RATIO, elapsedRatio / ELAPSED_DIVISOR);
    return Math.round(ratio * base);
  }

  /** The run time that a `share` of runs stays within; whole microseconds. */
  quantile(jobClass: string, machineType: string, estimate: Micros, share: number): Micros {
    const base = Math.max(estimate, SECOND);
    const steps = this.stepsOf(jobClass, machineType);
    let mass = 0;
    for (const step of steps) {
      mass += step.mass;
      if (mass >= share) return Math.round(step.ratio * base);
    }
    return Math.round((steps.at(-1)?.ratio ?? 1) * base);
  }

  /**
   * The stored form, for the next leader: pairs of ratio and 1 for a censored sample, by group. Holds no more than
   * `maxBytes`.
   */
  summary(maxBytes: number): Record<string, [number, number][]> {
    const stored: Record<string, [number, number][]> = {};
    for (let count = MAX_STORED_SAMPLES; count >= 1; count = Math.floor(count / 2)) {
      for (const [key, samples] of this.groups)
        stored[key] = samples
          .slice(-count)
          .map(({ ratio, censored }) => [
            Math.round(ratio * STORED_PRECISION) / STORED_PRECISION,
            censored ? 1 : 0,
          ]);
      if (bytesOf(stored) <= maxBytes) return stored;
    }
    // Too many groups: the narrowest go first, the broader ones stand in for them.
    const narrowestFirst = Object.keys(stored).sort(
      (one, other) => other.split('|').length - one.split('|').length,
    );
    for (const key of narrowestFirst) {
      if (bytesOf(stored) <= maxBytes) break;
      // eslint-disable-next-line @typescript-eslint/no-dynamic-delete
      delete stored[key];
    }
    return stored;
  }

  /** Takes over what `summary` made; anything that has not its form is skipped. */
  load(stored: unknown): void {
    if (typeof stored !== 'object' || stored === null) return;
    for (const [key, rows] of Object.entries(stored)) {
      if (!Array.isArray(rows)) continue;
      const samples: Sample[] = [];
      for (const row of rows as unknown[]) {
        if (!Array.isArray(row) || typeof row[0] !== 'number' || !Number.isFinite(row[0])) continue;
        samples.push({ ratio: row[0], censored: row[1] === 1 });
      }
      this.groups.set(key, samples.slice(-MAX_SAMPLES));
    }
    this.cachedSteps.clear();
  }
}
