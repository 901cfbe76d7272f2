/**
 * Benchmark scenarios: the load over time, as a multiple of capacity, and the
 * engine faults.
 */

/** A period in which one engine is down or slow. */
export interface EngineFault {
  readonly kind: 'crash' | 'slow';
  readonly engine: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Multiplies the duration of each step; not used for a crash. */
  readonly slowdownFactor: number;
}

/** A load profile with engine faults. */
export interface Scenario {
  readonly name: string;
  readonly durationMs: number;
  /** Requests that arrive before this time are excluded from the figures. */
  readonly warmupMs: number;
  readonly peakLoad: number;
  readonly load: (atMs: number) => number;
  readonly faults: readonly EngineFault[];
  /** The period of the peak figures. */
  readonly peak: {readonly fromMs: number; readonly toMs: number};
}

const durationMs = 120_000;
const warmupMs = 20_000;

function createSteadyScenario(
  name: string,
  load: number,
  faults: readonly EngineFault[] = [],
): Scenario {
  return {
    name,
    durationMs,
    warmupMs,
    peakLoad: load,
    load: () => load,
    faults,
    peak: {fromMs: warmupMs, toMs: durationMs},
  };
}

const swingFromMs = 50_000;
const swingToMs = 75_000;
const swingRampMs = 2000;
const swingBaseLoad = 0.6;
const swingPeakLoad = 2.5;

/** Ramps from below capacity to `swingPeakLoad` and later back. */
function swingLoad(atMs: number): number {
  const rise = (atMs - swingFromMs) / swingRampMs;
  const fall = (swingToMs - atMs) / swingRampMs;
  const rampShare = Math.min(1, Math.max(0, Math.min(rise, fall)));
  return swingBaseLoad + rampShare * (swingPeakLoad - swingBaseLoad);
}

const slowEngine: EngineFault = {
  kind: 'slow',
  engine: 0,
  fromMs: 40_000,
  toMs: 80_000,
  slowdownFactor: 10,
};

/** All scenarios, in the order in which they are reported. */
export const scenarios: readonly Scenario[] = [
  createSteadyScenario('capacity', 1),
  createSteadyScenario('double', 2),
  createSteadyScenario('triple', 3),
  {
    ...createSteadyScenario('swing', swingPeakLoad),
    load: swingLoad,
    peak: {fromMs: swingFromMs, toMs: swingToMs},
  },
  {
    ...createSteadyScenario('slow', 2, [slowEngine]),
    peak: {fromMs: slowEngine.fromMs, toMs: slowEngine.toMs},
  },
  {
    ...createSteadyScenario('crash', 1, [
      {
        kind: 'crash',
        engine: 1,
        fromMs: 50_000,
        toMs: 70_000,
        slowdownFactor: 1,
      },
    ]),
    peak: {fromMs: 50_000, toMs: 70_000},
  },
];
