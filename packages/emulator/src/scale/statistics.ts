/** Statistics of measurements: quantiles, and a linear fit with its residual. */

/** Number, sum and quantiles of a set of values. */
export interface Summary {
  readonly count: number;
  readonly total: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** The value below which the given share of the sorted values lies; 0 if there are none. */
const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

/** Summarizes values; the summary is in the unit of the values. */
export const summarize = (values: readonly number[]): Summary => {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    count: sorted.length,
    total: sorted.reduce((sum, value) => sum + value, 0),
    p50: quantile(sorted, 0.5),
    p99: quantile(sorted, 0.99),
    max: sorted.at(-1) ?? 0,
  };
};

/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted through points. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Root mean square of the points' vertical distances from the line, in the unit of y. */
  readonly residual: number;
}

/** Fits a line by least squares; a single point yields a horizontal line. */
export const fitLine = (points: readonly Point[]): Line => {
  const count = points.length;
  const meanX = points.reduce((sum, p) => sum + p.x, 0) / count;
  const meanY = points.reduce((sum, p) => sum + p.y, 0) / count;
  const squaredDeviationsX = points.reduce((sum, p) => sum + (p.x - meanX) ** 2, 0);
  const deviationProducts = points.reduce((sum, p) => sum + (p.x - meanX) * (p.y - meanY), 0);
  const slope = squaredDeviationsX > 0 ? deviationProducts / squaredDeviationsX : 0;
  const intercept = meanY - slope * meanX;
  const squares = points.reduce((sum, p) => sum + (p.y - intercept - slope * p.x) ** 2, 0);
  return { intercept, slope, residual: Math.sqrt(squares / count) };
};
