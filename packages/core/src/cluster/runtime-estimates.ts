/**
 * Learned timings: distributions of real over estimated run time per class and machine type. Thin
 * groups borrow from broader ones; stopped runs are censored observations, not short runs.
 * (Paper, 9.3: stratified empirical distributions with shrinkage, residuals from survival.)
 */
import type { Micros } from '../domain/time.js';
import { SECOND } from '../domain/time.js';
import { bytesOf } from '../codecs/value-size.js';

interface Sample {
  readonly ratio: number;
  readonly censored: boolean;
}

/** A step of an estimated survival function: the share of runs that end at this ratio. */
interface Step {
  readonly ratio: number;
  readonly mass: number;
}

const KEEP = 48;
/** Of these the last go into the state service. */
const KEPT = 24;
/** A group with this many own samples borrows nothing. */
const FULL = 10;
/** What is believed of an owner's estimate before anything was seen. */
const PRIOR: readonly Sample[] = [0.5, 0.7, 0.85, 1, 1.2, 1.5, 2.2].map((ratio) => ({
  ratio,
  censored: false,
}));

/** Kaplan-Meier over weighted samples; the mass beyond the last sample sits half again as far out. */
const survival = (groups: readonly { samples: readonly Sample[]; weight: number }[]): Step[] => {
  const all = groups.flatMap((g) => g.samples.map((s) => ({ ...s, weight: g.weight })));
  all.sort((a, b) => a.ratio - b.ratio || Number(a.censored) - Number(b.censored));
  let atRisk = all.reduce((sum, s) => sum + s.weight, 0);
  let alive = 1;
  const steps: Step[] = [];
  for (const s of all) {
    if (!s.censored && atRisk > 0) {
      const mass = alive * (s.weight / atRisk);
      steps.push({ ratio: s.ratio, mass });
      alive -= mass;
    }
    atRisk -= s.weight;
  }
  const last = all.at(-1);
  if (alive > 1e-6 && last !== undefined) steps.push({ ratio: last.ratio * 1.5, mass: alive });
  return steps;
};

export class RuntimeEstimates {
  private readonly groups = new Map<string, Sample[]>();
  private readonly cache = new Map<string, Step[]>();

  /** `ran` counts progress saved by earlier attempts too. */
  recordRun(cls: string, type: string, estimate: Micros, ran: Micros, completed: boolean): void {
    const ratio = ran / Math.max(estimate, SECOND);
    if (!completed && ratio < 0.05) return;
    for (const key of [`${cls}|${type}`, cls, '']) {
      let g = this.groups.get(key);
      if (g === undefined) this.groups.set(key, (g = []));
      g.push({ ratio, censored: !completed });
      if (g.length > KEEP) g.shift();
    }
    this.cache.clear();
  }

  private steps(cls: string, type: string): Step[] {
    const key = `${cls}|${type}`;
    let s = this.cache.get(key);
    if (s === undefined) {
      const parts: { samples: readonly Sample[]; weight: number }[] = [];
      let missing = FULL;
      for (const samples of [this.groups.get(key), this.groups.get(cls), this.groups.get(''), PRIOR]) {
        if (missing <= 0 || samples === undefined || samples.length === 0) continue;
        const weight = Math.min(samples.length, missing);
        parts.push({ samples, weight: (samples === PRIOR ? Math.min(weight, 3) : weight) / samples.length });
        missing -= samples.length;
      }
      s = survival(parts);
      this.cache.set(key, s);
    }
    return s;
  }

  /** Expected time still to run, given that it ran `elapsed` without completing. */
  remaining(cls: string, type: string, estimate: Micros, elapsed: Micros): Micros {
    const base = Math.max(estimate, SECOND);
    const e = elapsed / base;
    let mass = 0;
    let sum = 0;
    for (const s of this.steps(cls, type)) {
      if (s.ratio <= e) continue;
      mass += s.mass;
      sum += s.mass * (s.ratio - e);
    }
    // Beyond everything seen: as if a third of what it already ran were still to come.
    const ratio = mass > 1e-9 ? sum / mass : Math.max(0.2, e / 3);
    return Math.round(ratio * base);
  }

  /** The run time that a share `q` of runs stays within, by what was learned; whole microseconds. */
  quantile(cls: string, type: string, estimate: Micros, q: number): Micros {
    const steps = this.steps(cls, type);
    let mass = 0;
    for (const s of steps) {
      mass += s.mass;
      if (mass >= q) return Math.round(s.ratio * Math.max(estimate, SECOND));
    }
    return Math.round((steps.at(-1)?.ratio ?? 1) * Math.max(estimate, SECOND));
  }

  /** For a new leader: enough to start with, in a few numbers per group, and no more than `limit` bytes. */
  summary(limit: number): Record<string, [number, number][]> {
    const out: Record<string, [number, number][]> = {};
    for (let keep = KEPT; keep >= 1; keep = Math.floor(keep / 2)) {
      for (const [key, g] of this.groups)
        out[key] = g.slice(-keep).map((s) => [Math.round(s.ratio * 1000) / 1000, s.censored ? 1 : 0]);
      if (bytesOf(out) <= limit) return out;
    }
    // Too many groups: the narrowest go first, the broader ones stand in for them.
    for (const key of Object.keys(out).sort((a, b) => b.split('|').length - a.split('|').length)) {
      if (bytesOf(out) <= limit) break;
      // eslint-disable-next-line @typescript-eslint/no-dynamic-delete
      delete out[key];
    }
    return out;
  }

  load(value: unknown): void {
    if (typeof value !== 'object' || value === null) return;
    for (const [key, rows] of Object.entries(value)) {
      if (!Array.isArray(rows)) continue;
      const g: Sample[] = [];
      for (const r of rows as unknown[]) {
        if (!Array.isArray(r) || typeof r[0] !== 'number' || !Number.isFinite(r[0])) continue;
        g.push({ ratio: r[0], censored: r[1] === 1 });
      }
      this.groups.set(key, g.slice(-KEEP));
    }
    this.cache.clear();
  }
}
