/**
 * Seeded open-loop arrivals, identical for all variants of a scenario.
 */
import type {RandomSource} from '@toucanrouter/common';
import {createSeededRandom} from '@toucanrouter/common';
import type {Capacity} from './Capacity.js';
import {sampleLength} from './Lengths.js';
import type {Scenario} from './Scenarios.js';
import type {ClassSpec, Workload} from './Workload.js';

/** Arrival of one request. */
export interface Arrival {
  readonly index: number;
  readonly atMs: number;
  readonly spec: ClassSpec;
  readonly workspace: number;
  readonly entry: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

function pickWeighted(
  weights: readonly number[],
  random: RandomSource,
): number {
  const total = weights.reduce((a, b) => a + b, 0);
  let left = random.next() * total;
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return index;
  }
  return weights.length - 1;
}

/** Draws the arrival times of one class by thinning a Poisson process. */
function arrivalTimes(
  ratePerMs: number,
  scenario: Scenario,
  random: RandomSource,
): number[] {
  const peakRate = ratePerMs * scenario.peakLoad;
  const times: number[] = [];
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random.next()) / peakRate;
    if (atMs >= scenario.durationMs) return times;
    if (random.next() * scenario.peakLoad < scenario.load(atMs)) {
      times.push(atMs);
    }
  }
}

/** Draws the arrivals of a scenario, in order of time. */
export function drawArrivals(
  workload: Workload,
  capacity: Capacity,
  scenario: Scenario,
  seed: number,
): Arrival[] {
  const drawn = workload.classes.flatMap((spec, index) => {
    const random = createSeededRandom(seed * 1000 + index);
    const rate = capacity.requestsPerMs[index]!;
    return arrivalTimes(rate, scenario, random).map(atMs => ({
      atMs,
      spec,
      workspace: pickWeighted(workload.workspaceWeights, random),
      entry: Math.floor(random.next() * workload.entries),
      promptTokens: sampleLength(spec.promptTokens, random),
      outputTokens: sampleLength(spec.outputTokens, random),
    }));
  });
  drawn.sort((a, b) => a.atMs - b.atMs);
  return drawn.map((arrival, index) => ({...arrival, index}));
}
