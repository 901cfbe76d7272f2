/**
 * Constants of the length model.
 */

/** Buckets per doubling of the length; four bound the error of a bucket to 19%. */
export const bucketsPerDoubling = 4;

/** Enough buckets for lengths up to 2^18 tokens. */
export const bucketCount = 18 * bucketsPerDoubling;

/** Counts are halved at this total, so that old lengths lose weight. */
export const maxSampleCount = 4096;

/** A workspace answers from its own lengths from this count on. */
export const minWorkspaceSamples = 50;

/** A class answers from this count on. */
export const minClassSamples = 20;

/** Histograms kept at once; the one used least recently is dropped first. */
export const maxHistograms = 4096;
