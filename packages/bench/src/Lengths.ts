/**
 * Samples and moments of length distributions.
 */
import type {RandomSource} from '@toucanrouter/common';
import {createSeededRandom} from '@toucanrouter/common';
import type {LengthSpec} from './Workload.js';

function sampleNormal(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Draws one length. */
export function sampleLength(spec: LengthSpec, random: RandomSource): number {
  const length = spec.median * Math.exp(spec.sigma * sampleNormal(random));
  return Math.round(Math.min(spec.max, Math.max(1, length)));
}

/** First and second moments of a length distribution. */
export interface LengthMoments {
  readonly mean: number;
  readonly meanSquare: number;
}

const momentSampleCount = 20_000;
const momentSeed = 1;

/** Estimates the moments of a distribution from a sample with a fixed seed. */
export function estimateMoments(spec: LengthSpec): LengthMoments {
  const random = createSeededRandom(momentSeed);
  let sum = 0;
  let sumOfSquares = 0;
  for (let i = 0; i < momentSampleCount; i++) {
    const length = sampleLength(spec, random);
    sum += length;
    sumOfSquares += length * length;
  }
  return {
    mean: sum / momentSampleCount,
    meanSquare: sumOfSquares / momentSampleCount,
  };
}
