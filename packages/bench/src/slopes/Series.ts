/**
 * Series of measured points with the lines fitted to them.
 */
import type {LineFit, Point} from './Fit.js';
import {fitLine} from './Fit.js';

/** Points of one cost over increasing sizes. */
export interface Series {
  /** Key by which the capacity model looks up the series. */
  readonly key: string;
  readonly title: string;
  /** What was varied, with its unit. */
  readonly x: string;
  /** What was measured, with its unit. */
  readonly y: string;
  readonly points: readonly Point[];
}

/** A series with its fitted line. */
export interface FittedSeries extends Series {
  readonly fit: LineFit;
}

/** A measurement that produces one or more series. */
export interface Measurement {
  readonly name: string;
  readonly description: string;
  readonly run: () => Promise<readonly Series[]>;
}

/** Fits a line to a series. */
export function fitSeries(series: Series): FittedSeries {
  return {...series, fit: fitLine(series.points)};
}

/** Measures one point for each size, one after the other. */
export async function measurePoints(
  sizes: readonly number[],
  measurePoint: (size: number) => Promise<Point> | Point,
): Promise<readonly Point[]> {
  const points: Point[] = [];
  for (const size of sizes) points.push(await measurePoint(size));
  return points;
}
