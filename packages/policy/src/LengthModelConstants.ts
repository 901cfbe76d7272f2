/**
 * Constants of the length model.
 */

/** Buckets per doubling of the length; 4 limit the error of a bucket to 19%. */
export const bucketsPerDoubling = 4;

/** Buckets of a histogram, which covers lengths up to 2^18 tokens. */
export const bucketCount = 18 * bucketsPerDoubling;

/** Total at which all counts are halved, so that old lengths lose weight. */
export const maxSampleCount = 4096;

/** A workspace with fewer lengths gets the quantile of its class. */
export const minWorkspaceSamples = 50;

/** A class with fewer lengths has no quantile. */
export const minClassSamples = 20;

/** Histograms kept; the one updated least recently is evicted first. */
export const maxHistograms = 4096;
