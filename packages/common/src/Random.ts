/**
 * An injectable source of random numbers. Code that decides at random takes a
 * `RandomSource`, so that a seed reproduces a run.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of uniformly distributed numbers. */
export interface RandomSource {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next(): number;
}

/** Creates a reproducible source from a seed. */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {next: () => uniformFloat64(generator)};
}

/** Creates a source whose numbers differ in each process. */
export function createProcessRandom(): RandomSource {
  return {next: () => Math.random()};
}
