/**
 * Follows how many engines the demand for a service needs: now, at its recent
 * peak, and when engines that are ordered now will serve. Load patterns: demand
 * that swings by half within some seconds, and bursts of a multiple of the usual.
 */
import type {EngineDemand} from '@toucanrouter/policy';
import {enginesNeeded, enginesToKeepUp} from '@toucanrouter/policy';

/** Engines that the demand needs. */
export interface EngineNeed {
  /** For all work, at the recent peak and as far as a rise can be foreseen. */
  readonly total: number;
  /** Below which work piles up now, without any reserve. */
  readonly least: number;
  /** For the interactive work of the recent peak. */
  readonly interactive: number;
  /** Time since the first demand; undefined before it. */
  readonly observedMs: number | undefined;
}

/** Follows the need. */
export interface EngineNeedTracker {
  observe(demand: EngineDemand, slots: number, nowMs: number): void;
  need(nowMs: number): EngineNeed;
}

/** A rise is taken to go on for this time at least, and for the boot time. */
const minForecastMs = 1_000;
/** Largest factor by which a rise is extrapolated. */
const maxForecastFactor = 1.5;
/** Span over which a rise is measured; shorter ones show single arrivals. */
const riseSpanMs = 2_000;

/** Time for which the least need counts; engines for it may be dear. */
const leastPeakMs = 4_000;
/** Demand below this share of its recent peak is not a new rise. */
const newPeakShare = 0.95;

interface Sample {
  readonly atMs: number;
  readonly total: number;
  readonly interactive: number;
  readonly least: number;
}

/** Options of {@link createEngineNeedTracker}. */
export interface EngineNeedOptions {
  /** Time for which a peak counts. */
  readonly peakMs: number;
  readonly bootMs: () => number;
}

/** Creates a tracker without observations. */
export function createEngineNeedTracker(
  options: EngineNeedOptions,
): EngineNeedTracker {
  let samples: Sample[] = [];
  let firstDemandAtMs: number | undefined;

  function highest(figureOf: (sample: Sample) => number): number {
    return samples.reduce(
      (peak, sample) => Math.max(peak, figureOf(sample)),
      0,
    );
  }

  /**
   * Extrapolates the rise of the last moments over the boot time, unless the
   * demand only returns to where it has been.
   */
  function forecast(nowMs: number): number {
    const latest = samples.at(-1);
    const earlier = samples.findLast(({atMs}) => atMs <= nowMs - riseSpanMs);
    if (latest === undefined || earlier === undefined) return 0;
    const peak = highest(({total}) => total);
    if (latest.total < peak * newPeakShare) return peak;
    const spanMs = latest.atMs - earlier.atMs;
    const risePerMs = Math.max(0, latest.total - earlier.total) / spanMs;
    const aheadMs = Math.max(minForecastMs, options.bootMs());
    return Math.min(
      latest.total + risePerMs * aheadMs,
      latest.total * maxForecastFactor,
    );
  }

  return {
    observe: (demand, slots, nowMs) => {
      const interactive = enginesNeeded('interactive', demand, slots);
      const total = interactive + enginesNeeded('prompt', demand, slots);
      if (total > 0) firstDemandAtMs ??= nowMs;
      samples = samples.filter(({atMs}) => atMs > nowMs - options.peakMs);
      samples.push({
        atMs: nowMs,
        total,
        interactive,
        least: enginesToKeepUp(demand, slots),
      });
    },
    need: nowMs => ({
      total: Math.max(
        highest(({total}) => total),
        forecast(nowMs),
      ),
      least: samples
        .filter(({atMs}) => atMs > nowMs - leastPeakMs)
        .reduce((peak, {least}) => Math.max(peak, least), 0),
      interactive: highest(({interactive}) => interactive),
      observedMs:
        firstDemandAtMs === undefined ? undefined : nowMs - firstDemandAtMs,
    }),
  };
}
