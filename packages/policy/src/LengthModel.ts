/**
 * Online estimates of output length quantiles, by class and workspace.
 */
import type {ClassId, WorkspaceId} from '@toucanrouter/common';
import {createLengthHistogram} from './LengthHistogram.js';
import type {LengthHistogram} from './LengthHistogram.js';
import {
  maxHistograms,
  minClassSamples,
  minWorkspaceSamples,
} from './LengthModelConstants.js';

/** Quantiles of output length, in tokens. */
export interface LengthModel {
  observe(classId: ClassId, workspaceId: WorkspaceId, tokens: number): void;
  /** Returns undefined until enough lengths have been observed. */
  quantile(
    classId: ClassId,
    workspaceId: WorkspaceId,
    fraction: number,
  ): number | undefined;
}

/** A bounded number of histograms by key. */
interface HistogramTable {
  find(key: string): LengthHistogram | undefined;
  getOrCreate(key: string): LengthHistogram;
}

function createHistogramTable(): HistogramTable {
  // A Map iterates in insertion order, so its first key was updated the longest
  // time ago.
  const histograms = new Map<string, LengthHistogram>();

  function moveToNewest(key: string, histogram: LengthHistogram): void {
    histograms.delete(key);
    histograms.set(key, histogram);
  }

  function evictLeastRecent(): void {
    for (const key of histograms.keys()) {
      if (histograms.size <= maxHistograms) return;
      histograms.delete(key);
    }
  }

  return {
    find: key => histograms.get(key),
    getOrCreate: key => {
      const histogram = histograms.get(key) ?? createLengthHistogram();
      moveToNewest(key, histogram);
      evictLeastRecent();
      return histogram;
    },
  };
}

function pairKey(classId: ClassId, workspaceId: WorkspaceId): string {
  return `${classId}\u0000${workspaceId}`;
}

/**
 * Creates a model without observations. For a workspace with too few lengths of
 * its own, the quantile is that of its whole class.
 */
export function createLengthModel(): LengthModel {
  const byClass = createHistogramTable();
  const byPair = createHistogramTable();

  function hasEnoughSamples(
    histogram: LengthHistogram | undefined,
    minSamples: number,
  ): histogram is LengthHistogram {
    return histogram !== undefined && histogram.sampleCount() >= minSamples;
  }

  return {
    observe: (classId, workspaceId, tokens) => {
      byClass.getOrCreate(classId).add(tokens);
      byPair.getOrCreate(pairKey(classId, workspaceId)).add(tokens);
    },
    quantile: (classId, workspaceId, fraction) => {
      const ofPair = byPair.find(pairKey(classId, workspaceId));
      if (hasEnoughSamples(ofPair, minWorkspaceSamples))
        return ofPair.quantile(fraction);
      const ofClass = byClass.find(classId);
      if (hasEnoughSamples(ofClass, minClassSamples))
        return ofClass.quantile(fraction);
      return undefined;
    },
  };
}
