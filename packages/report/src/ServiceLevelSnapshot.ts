/**
 * Snapshots of service-level indicators, which are merged over instances.
 */
import type {
  ClassId,
  LatencyTarget,
  ReportSource,
  Tier,
  WorkspaceId,
} from '@toucanrouter/common';
import type {HistogramSnapshot} from './LatencyHistogram.js';
import {mergeHistograms} from './LatencyHistogram.js';
import type {RequestCountSnapshot} from './RequestCountSeries.js';
import {mergeRequestCounts} from './RequestCountSeries.js';

/** Request counts by time, and latencies of completed requests. */
export interface ServiceLevelIndicators {
  readonly counts: RequestCountSnapshot;
  readonly firstToken: HistogramSnapshot;
  readonly tokenGap: HistogramSnapshot;
  readonly total: HistogramSnapshot;
}

/** Indicators of a workspace within a class. */
export interface WorkspaceIndicators extends ServiceLevelIndicators {
  readonly workspaceId: WorkspaceId;
}

/** Indicators of a class over all of its workspaces. */
export interface ClassIndicators extends ServiceLevelIndicators {
  readonly classId: ClassId;
  readonly tier: Tier;
  readonly target: LatencyTarget;
  /** The workspaces with most misses in the long window. */
  readonly workspaces: readonly WorkspaceIndicators[];
}

/** Indicators of one or more instances; serializable as JSON. */
export interface ServiceLevelSnapshot {
  readonly takenAtWallMs: number;
  readonly sources: readonly ReportSource[];
  readonly classes: readonly ClassIndicators[];
}

/**
 * Merges snapshots of different instances. Of several snapshots of the same
 * instance only the latest is used, so that no request is counted twice.
 */
export function mergeSnapshots(
  snapshots: readonly ServiceLevelSnapshot[],
): ServiceLevelSnapshot {
  const latestFirst = [...snapshots].sort(
    (a, b) => b.takenAtWallMs - a.takenAtWallMs,
  );
  const distinct = dropDuplicateSources(latestFirst);
  return {
    takenAtWallMs: distinct[0]?.takenAtWallMs ?? 0,
    sources: distinct
      .flatMap(({sources}) => sources)
      .sort((a, b) => (a.instanceId < b.instanceId ? -1 : 1)),
    classes: mergeClasses(distinct.flatMap(({classes}) => classes)),
  };
}

function dropDuplicateSources(
  latestFirst: readonly ServiceLevelSnapshot[],
): readonly ServiceLevelSnapshot[] {
  const seen = new Set<string>();
  return latestFirst.filter(({sources}) => {
    const keys = sources.map(sourceKey);
    if (keys.some(key => seen.has(key))) return false;
    keys.forEach(key => seen.add(key));
    return true;
  });
}

function sourceKey({instanceId, sinceWallMs}: ReportSource): string {
  return `${instanceId}@${sinceWallMs}`;
}

/** Takes tier and target from the latest snapshot that has the class. */
function mergeClasses(
  latestFirst: readonly ClassIndicators[],
): readonly ClassIndicators[] {
  return groupBy(latestFirst, ({classId}) => classId).map(group => ({
    classId: group[0].classId,
    tier: group[0].tier,
    target: group[0].target,
    ...mergeIndicators(group),
    workspaces: mergeWorkspaces(group.flatMap(({workspaces}) => workspaces)),
  }));
}

function mergeWorkspaces(
  workspaces: readonly WorkspaceIndicators[],
): readonly WorkspaceIndicators[] {
  return groupBy(workspaces, ({workspaceId}) => workspaceId).map(group => ({
    workspaceId: group[0].workspaceId,
    ...mergeIndicators(group),
  }));
}

function mergeIndicators(
  group: readonly ServiceLevelIndicators[],
): ServiceLevelIndicators {
  return {
    counts: mergeRequestCounts(group.map(({counts}) => counts)),
    firstToken: mergeHistograms(group.map(({firstToken}) => firstToken)),
    tokenGap: mergeHistograms(group.map(({tokenGap}) => tokenGap)),
    total: mergeHistograms(group.map(({total}) => total)),
  };
}

type NonEmpty<T> = [T, ...T[]];

function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): readonly NonEmpty<T>[] {
  const groups = new Map<string, NonEmpty<T>>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group === undefined) groups.set(keyOf(item), [item]);
    else group.push(item);
  }
  return [...groups.values()];
}
