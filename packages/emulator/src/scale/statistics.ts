/** Small statistics for measurements: quantiles, and a straight line through points with its residual. */

export interface Summary {
  readonly count: number;
  readonly total: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** The value below which the given share of the sorted values lies; 0 where there are none. */
const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

/** Values in any unit; the summary has the same. */
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

export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Root of the mean squared distance of the points from the line, in the unit of y. */
  readonly residual: number;
}

/** Least squares. With a single point the line is flat. */
export const fitLine = (points: readonly Point[]): Line => {
  const n = points.length;
  const meanX = points.reduce((sum, p) => sum + p.x, 0) / n;
  const meanY = points.reduce((sum, p) => sum + p.y, 0) / n;
  const spread = points.reduce((sum, p) => sum + (p.x - meanX) ** 2, 0);
  const common = points.reduce((sum, p) => sum + (p.x - meanX) * (p.y - meanY), 0);
  const slope = spread > 0 ? common / spread : 0;
  const intercept = meanY - slope * meanX;
  const squares = points.reduce((sum, p) => sum + (p.y - intercept - slope * p.x) ** 2, 0);
  return { intercept, slope, residual: Math.sqrt(squares / n) };
};
