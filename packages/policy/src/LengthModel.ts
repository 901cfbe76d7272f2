/**
 * Learns output lengths online, by class and workspace.
 */
import type {ClassId, WorkspaceId} from '@toucanrouter/common';
import {
  maxHistograms,
  minClassSamples,
  minWorkspaceSamples,
} from './LengthModelConstants.js';
import {createLengthHistogram} from './LengthHistogram.js';
import type {LengthHistogram} from './LengthHistogram.js';

/** Quantiles of output length in tokens. */
export interface LengthModel {
  observe(classId: ClassId, workspaceId: WorkspaceId, tokens: number): void;
  /** Undefined until enough lengths were seen. */
  quantile(
    classId: ClassId,
    workspaceId: WorkspaceId,
    fraction: number,
  ): number | undefined;
}

/** Histograms by key, bounded in number. */
interface HistogramTable {
  find(key: string): LengthHistogram | undefined;
  obtain(key: string): LengthHistogram;
}

function createHistogramTable(): HistogramTable {
  // A Map iterates in insertion order, so the first key is the oldest in use.
  const histograms = new Map<string, LengthHistogram>();

  function touch(key: string, histogram: LengthHistogram): void {
    histograms.delete(key);
    histograms.set(key, histogram);
  }

  function evictOldest(): void {
    for (const key of histograms.keys()) {
      if (histograms.size <= maxHistograms) return;
      histograms.delete(key);
    }
  }

  return {
    find: key => histograms.get(key),
    obtain: key => {
      const histogram = histograms.get(key) ?? createLengthHistogram();
      touch(key, histogram);
      evictOldest();
      return histogram;
    },
  };
}

function pairKey(classId: ClassId, workspaceId: WorkspaceId): string {
  return `${classId}\u0000${workspaceId}`;
}

/**
 * Creates a model without observations. A workspace with too few lengths of its
 * own is answered for from all lengths of its class.
 */
export function createLengthModel(): LengthModel {
  const byClass = createHistogramTable();
  const byPair = createHistogramTable();

  function enough(
    histogram: LengthHistogram | undefined,
    minSamples: number,
  ): histogram is LengthHistogram {
    return histogram !== undefined && histogram.count() >= minSamples;
  }

  return {
    observe: (classId, workspaceId, tokens) => {
      byClass.obtain(classId).add(tokens);
      byPair.obtain(pairKey(classId, workspaceId)).add(tokens);
    },
    quantile: (classId, workspaceId, fraction) => {
      const own = byPair.find(pairKey(classId, workspaceId));
      if (enough(own, minWorkspaceSamples)) return own.quantile(fraction);
      const whole = byClass.find(classId);
      if (enough(whole, minClassSamples)) return whole.quantile(fraction);
      return undefined;
    },
  };
}
