/** Percentiles of a series of values, in the unit of the values. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Computes percentiles by nearest rank; all are 0 for an empty series. */
export function percentilesOf(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
  return {
    count: sorted.length,
    p50: round(at(0.5)),
    p90: round(at(0.9)),
    p99: round(at(0.99)),
    max: round(at(1)),
  };
}

/** Rounds to three decimal places. Fitted slopes can be too small for that and are printed unrounded. */
export function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** A least-squares line `y = intercept + slope × x` and the largest vertical distance of a point from it. */
export interface LineFit {
  readonly intercept: number;
  readonly slope: number;
  readonly maxResidual: number;
}

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** Fits a line through at least two points with different `x`. */
export function fitLine(points: readonly Point[]): LineFit {
  const n = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / n;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / n;
  const covariance = points.reduce(
    (sum, { x, y }) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({ x, y }) =>
    Math.abs(y - intercept - slope * x)
  );
  return { intercept, slope, maxResidual: Math.max(...residuals) };
}
