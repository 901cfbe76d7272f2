/**
 * Least-squares fit of a straight line through measured points.
 */

/** One measurement: the varied size and the cost at that size. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to points. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variation of `y` that the line explains, from 0 to 1. */
  readonly determination: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Fits a line; needs two points that differ in `x`. */
export function fitLine(points: readonly Point[]): LineFit {
  const meanX = mean(points.map(point => point.x));
  const meanY = mean(points.map(point => point.y));
  let sumXx = 0;
  let sumXy = 0;
  let sumYy = 0;
  for (const {x, y} of points) {
    sumXx += (x - meanX) ** 2;
    sumXy += (x - meanX) * (y - meanY);
    sumYy += (y - meanY) ** 2;
  }
  if (!(sumXx > 0)) {
    throw new Error('a line needs two points that differ in x');
  }
  const slope = sumXy / sumXx;
  const determination = sumYy === 0 ? 1 : (slope * sumXy) / sumYy;
  return {slope, intercept: meanY - slope * meanX, determination};
}

/** Returns the cost at a size; negative values become zero. */
export function costAt(fit: LineFit, x: number): number {
  return Math.max(0, fit.intercept + fit.slope * x);
}
