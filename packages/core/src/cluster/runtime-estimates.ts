/**
 * Learned run times: distributions of the ratio of actual to estimated run time by job class and machine type. Groups with
 * few samples borrow from broader ones; stopped runs are censored observations, not short runs. (Paper, 9.3: stratified
 * empirical distributions with shrinkage, residuals from survival.)
 */
import { jsonByteLength } from '../codecs/value-size.js';
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';

/** Run time assumed for services, which never finish. */
export const UNBOUNDED_RUN_TIME: Micros = 1e13;

interface Sample {
  /** Ratio of actual to estimated run time. */
  readonly ratio: number;
  /** Whether the run was stopped, so that its full run time would have been longer. */
  readonly censored: boolean;
}

interface WeightedSamples {
  readonly samples: readonly Sample[];
  /** Weight of each sample. */
  readonly weight: number;
}

/** A step of the estimated survival function: `mass` is the share of runs that end at this ratio. */
interface SurvivalStep {
  readonly ratio: number;
  readonly mass: number;
}

/** Maximum number of samples kept for a group. */
const MAX_SAMPLES = 48;
/** Maximum number of a group's samples, the newest ones, that are written to the store. */
const MAX_STORED_SAMPLES = 24;
/** A group with this many samples of its own doesn't borrow from others. */
const SUFFICIENT_SAMPLES = 10;
/** Prior distribution of the ratio, used until enough runs are observed. */
const PRIOR: readonly Sample[] = [0.5, 0.7, 0.85, 1, 1.2, 1.5, 2.2].map((ratio) => ({
  ratio,
  censored: false,
}));
/** Maximum total weight of the prior, in samples. */
const MAX_PRIOR_WEIGHT = 3;
/** Stopped runs with a smaller ratio carry no information and are ignored. */
const MIN_CENSORED_RATIO = 0.05;
/** Runs that outlast all samples are assumed to end at this multiple of the largest ratio. */
const TAIL_FACTOR = 1.5;
/** Mass beyond the last sample below this is a rounding error. */
const MIN_TAIL_MASS = 1e-6;
/** With less mass than this beyond the elapsed time, the run has outlasted everything observed. */
const MIN_REMAINING_MASS = 1e-9;
/** Expected remaining time of such a run: the elapsed time divided by this. */
const ELAPSED_DIVISOR = 3;
/** Minimum expected remaining time of such a run, as a share of the estimate. */
const MIN_REMAINING_RATIO = 0.2;
/** Stored ratios are rounded to three decimals. */
const STORED_PRECISION = 1000;

const groupKey = (jobClass: string, machineType: string): string => `${jobClass}|${machineType}`;

/** Kaplan-Meier estimator over weighted samples; mass beyond the last sample is placed at `TAIL_FACTOR` times its ratio. */
const survivalSteps = (groups: readonly WeightedSamples[]): SurvivalStep[] => {
  const all = groups.flatMap(({ samples, weight }) => samples.map((sample) => ({ ...sample, weight })));
  all.sort((one, other) => one.ratio - other.ratio || Number(one.censored) - Number(other.censored));
  let atRisk = all.reduce((sum, sample) => sum + sample.weight, 0);
  let survivingShare = 1;
  const steps: SurvivalStep[] = [];
  for (const { ratio, censored, weight } of all) {
    if (!censored && atRisk > 0) {
      const mass = survivingShare * (weight / atRisk);
      steps.push({ ratio, mass });
      survivingShare -= mass;
    }
    atRisk -= weight;
  }
  const last = all.at(-1);
  if (survivingShare > MIN_TAIL_MASS && last !== undefined)
    steps.push({ ratio: last.ratio * TAIL_FACTOR, mass: survivingShare });
  return steps;
};

/** Learns run times from runs that ended, and predicts the run times of others. */
export class RuntimeEstimates {
  /** Samples by class and type, by class, and of all runs under the empty key; newest last. */
  private readonly groups = new Map<string, Sample[]>();
  /** Survival functions by group key, cleared when samples are added. */
  private readonly cachedSteps = new Map<string, SurvivalStep[]>();

  /** Records a run that completed or was stopped after `runTime`, which includes progress of earlier attempts. */
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

  private survivalStepsFor(jobClass: string, machineType: string): SurvivalStep[] {
    const key = groupKey(jobClass, machineType);
    let steps = this.cachedSteps.get(key);
    if (steps === undefined) {
      steps = survivalSteps(this.samplesFor(key, jobClass));
      this.cachedSteps.set(key, steps);
    }
    return steps;
  }

  /** The group's own samples, supplemented from broader groups and the prior up to `SUFFICIENT_SAMPLES`. */
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

  /** Expected remaining run time of a run that has not completed after `elapsed`; whole microseconds. */
  remaining(jobClass: string, machineType: string, estimate: Micros, elapsed: Micros): Micros {
    const base = Math.max(estimate, SECOND);
    const elapsedRatio = elapsed / base;
    let mass = 0;
    let sum = 0;
    for (const step of this.survivalStepsFor(jobClass, machineType)) {
      if (step.ratio <= elapsedRatio) continue;
      mass += step.mass;
      sum += step.mass * (step.ratio - elapsedRatio);
    }
    // The run has outlasted everything observed: assume that a third of its elapsed time is still to come.
    const ratio =
      mass > MIN_REMAINING_MASS ? sum / mass : Math.max(MIN_REMAINING_RATIO, elapsedRatio / ELAPSED_DIVISOR);
    return Math.round(ratio * base);
  }

  /** The run time within which a `share` of runs complete; whole microseconds. */
  quantile(jobClass: string, machineType: string, estimate: Micros, share: number): Micros {
    const base = Math.max(estimate, SECOND);
    const steps = this.survivalStepsFor(jobClass, machineType);
    let mass = 0;
    for (const step of steps) {
      mass += step.mass;
      if (mass >= share) return Math.round(step.ratio * base);
    }
    return Math.round((steps.at(-1)?.ratio ?? 1) * base);
  }

  /**
   * Returns the samples in their stored form, for the next leader: by group, pairs of the ratio and 1 for a censored sample
   * or 0 for a completed one. The result is reduced to at most `maxBytes`.
   */
  toStored(maxBytes: number): Record<string, [number, number][]> {
    const stored: Record<string, [number, number][]> = {};
    for (let count = MAX_STORED_SAMPLES; count >= 1; count = Math.floor(count / 2)) {
      for (const [key, samples] of this.groups)
        stored[key] = samples
          .slice(-count)
          .map(({ ratio, censored }) => [
            Math.round(ratio * STORED_PRECISION) / STORED_PRECISION,
            censored ? 1 : 0,
          ]);
      if (jsonByteLength(stored) <= maxBytes) return stored;
    }
    // Too many groups: drop the narrowest first, since the broader ones can replace them.
    const narrowestFirst = Object.keys(stored).sort(
      (one, other) => other.split('|').length - one.split('|').length,
    );
    for (const key of narrowestFirst) {
      if (jsonByteLength(stored) <= maxBytes) break;
      // eslint-disable-next-line @typescript-eslint/no-dynamic-delete
      delete stored[key];
    }
    return stored;
  }

  /** Loads the result of `summary`; malformed entries are skipped. */
  restore(stored: unknown): void {
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
