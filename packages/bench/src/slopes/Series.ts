/**
 * Series of measured points with the lines fitted to them.
 */
import type {LineFit, Point} from './Fit.js';
import {fitLine} from './Fit.js';

/** Points of one cost over growing sizes. */
export interface Series {
  /** Names the series in the capacity model. */
  readonly key: string;
  readonly title: string;
  /** What was varied, with its unit. */
  readonly x: string;
  /** What was measured, with its unit. */
  readonly y: string;
  readonly points: readonly Point[];
}

/** A series with its line. */
export interface FittedSeries extends Series {
  readonly fit: LineFit;
}

/** A measurement of one role; it returns one or more series. */
export interface Measurement {
  readonly name: string;
  readonly description: string;
  readonly run: () => Promise<readonly Series[]>;
}

/** Fits a line to a series. */
export function fitSeries(series: Series): FittedSeries {
  return {...series, fit: fitLine(series.points)};
}

/** Takes one point for each size, in order. */
export async function measurePoints(
  sizes: readonly number[],
  measurePoint: (size: number) => Promise<Point> | Point,
): Promise<readonly Point[]> {
  const points: Point[] = [];
  for (const size of sizes) points.push(await measurePoint(size));
  return points;
}
