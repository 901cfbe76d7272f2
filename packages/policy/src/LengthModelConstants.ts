/**
 * Constants of the length model.
 */

/** Buckets per doubling of the length; 4 limit the error of a bucket to 19%. */
export const bucketsPerDoubling = 4;

/** Buckets of a histogram, which covers lengths up to 2^18 tokens. */
export const bucketCount = 18 * bucketsPerDoubling;

/** Total at which all counts are halved, so that old lengths lose weight. */
export const maxSampleCount = 4096;

/** Lengths of a workspace from which its own quantile is used. */
export const minWorkspaceSamples = 50;

/** Lengths of a class from which its quantile is used. */
export const minClassSamples = 20;

/** Histograms kept; the one updated least recently is evicted first. */
export const maxHistograms = 4096;
