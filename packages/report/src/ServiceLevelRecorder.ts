/**
 * Records service-level indicators by class and workspace: time series of the
 * requests that met and missed their target, and latency histograms.
 */
import type {
  ClassId,
  Clock,
  InstanceId,
  LatencyTarget,
  ServiceClass,
  WorkspaceId,
} from '@toucanrouter/common';
import {toWorkspaceId} from '@toucanrouter/common';
import {
  budgetPeriodMs,
  longWindowMs,
  maxWorkspacesPerClass,
  maxWorkspacesPerSnapshot,
  otherWorkspaces,
} from './BurnConstants.js';
import type {LatencyHistogram} from './LatencyHistogram.js';
import {createLatencyHistogram} from './LatencyHistogram.js';
import type {RequestCountSeries} from './RequestCountSeries.js';
import {createRequestCountSeries} from './RequestCountSeries.js';
import type {
  ClassIndicators,
  ServiceLevelIndicators,
  ServiceLevelSnapshot,
} from './ServiceLevelSnapshot.js';

/** How a request ended. `canceled` means that its caller disconnected. */
export type ObservedOutcome = 'canceled' | 'completed' | 'failed' | 'refused';

/** A request that ended, whatever its outcome. */
export interface ServiceLevelObservation {
  readonly serviceClass: Pick<ServiceClass, 'id' | 'target' | 'tier'>;
  readonly workspaceId: WorkspaceId;
  readonly outcome: ObservedOutcome;
  /** Time from arrival to the first token; absent without tokens. */
  readonly firstTokenMs?: number;
  /** Mean gap between tokens; absent with fewer than two. */
  readonly tokenGapMs?: number;
  /** Time from arrival to the end, whatever the outcome. */
  readonly totalMs: number;
}

/** Records the requests of an instance. */
export interface ServiceLevelRecorder {
  record(observation: ServiceLevelObservation): void;
  /** Returns all indicators, serializable as JSON. */
  snapshot(): ServiceLevelSnapshot;
}

/** Options of a recorder. */
export interface ServiceLevelRecorderOptions {
  readonly clock: Clock;
  readonly instanceId: InstanceId;
  /** Workspaces of a class that are counted separately. */
  readonly maxWorkspaces?: number;
}

interface IndicatorRecord {
  readonly counts: RequestCountSeries;
  readonly firstToken: LatencyHistogram;
  readonly tokenGap: LatencyHistogram;
  readonly total: LatencyHistogram;
}

interface ClassRecord {
  serviceClass: ServiceLevelObservation['serviceClass'];
  readonly overall: IndicatorRecord;
  readonly workspaces: Map<WorkspaceId, IndicatorRecord>;
}

/** Creates an empty recorder. */
export function createServiceLevelRecorder(
  options: ServiceLevelRecorderOptions,
): ServiceLevelRecorder {
  const {clock, instanceId} = options;
  const maxWorkspaces = options.maxWorkspaces ?? maxWorkspacesPerClass;
  const sinceWallMs = clock.wallMs();
  const classes = new Map<ClassId, ClassRecord>();

  function getOrCreateClassRecord(
    observation: ServiceLevelObservation,
  ): ClassRecord {
    const {serviceClass} = observation;
    const existing = classes.get(serviceClass.id);
    if (existing !== undefined) {
      existing.serviceClass = serviceClass;
      return existing;
    }
    const record = createClassRecord(serviceClass);
    classes.set(serviceClass.id, record);
    return record;
  }

  return {
    record: observation => {
      const good = meetsTarget(observation);
      if (good === undefined) return;
      const wallMs = clock.wallMs();
      const record = getOrCreateClassRecord(observation);
      const {workspaceId} = observation;
      const workspace = getOrCreateWorkspaceRecord(
        record,
        workspaceId,
        maxWorkspaces,
      );
      for (const indicators of [record.overall, workspace]) {
        indicators.counts.add(good, wallMs);
        recordLatencies(indicators, observation);
      }
    },
    snapshot: () => ({
      takenAtWallMs: clock.wallMs(),
      sources: [{instanceId, sinceWallMs}],
      classes: [...classes.values()].map(record =>
        toClassIndicators(record, clock.wallMs()),
      ),
    }),
  };
}

/**
 * Returns whether a request met its target, or undefined when its caller
 * disconnected before the target was missed, since the request may have met it.
 */
export function meetsTarget(
  observation: ServiceLevelObservation,
): boolean | undefined {
  switch (observation.outcome) {
    case 'completed':
      return !isLate(observation);
    case 'canceled':
      return isLate(observation) ? false : undefined;
    case 'failed':
    case 'refused':
      return false;
  }
}

function isWithinTarget(observation: ServiceLevelObservation): boolean {
  const {target} = observation.serviceClass;
  return (
    within(observation.firstTokenMs, target.firstTokenMs) &&
    within(observation.tokenGapMs, target.tokenGapMs) &&
    within(observation.totalMs, target.totalMs)
  );
}

/** Without a first token, the total time counts against its target. */
function isLate(observation: ServiceLevelObservation): boolean {
  const {firstTokenMs, totalMs} = observation;
  return !isWithinTarget({
    ...observation,
    firstTokenMs: firstTokenMs ?? totalMs,
  });
}

function within(
  valueMs: number | undefined,
  limitMs: LatencyTarget[keyof LatencyTarget],
): boolean {
  return valueMs === undefined || limitMs === undefined || valueMs <= limitMs;
}

function createClassRecord(
  serviceClass: ServiceLevelObservation['serviceClass'],
): ClassRecord {
  return {
    serviceClass,
    overall: createIndicatorRecord(budgetPeriodMs),
    workspaces: new Map(),
  };
}

function getOrCreateWorkspaceRecord(
  record: ClassRecord,
  workspaceId: WorkspaceId,
  maxWorkspaces: number,
): IndicatorRecord {
  const {workspaces} = record;
  const existing = workspaces.get(workspaceId);
  if (existing !== undefined) return existing;
  const label =
    workspaces.size < maxWorkspaces
      ? workspaceId
      : toWorkspaceId(otherWorkspaces);
  const workspace =
    workspaces.get(label) ?? createIndicatorRecord(longWindowMs);
  workspaces.set(label, workspace);
  return workspace;
}

function createIndicatorRecord(retentionMs: number): IndicatorRecord {
  return {
    counts: createRequestCountSeries(retentionMs),
    firstToken: createLatencyHistogram(),
    tokenGap: createLatencyHistogram(),
    total: createLatencyHistogram(),
  };
}

/** Skips requests that did not complete, which would distort the latencies. */
function recordLatencies(
  indicators: IndicatorRecord,
  observation: ServiceLevelObservation,
): void {
  if (observation.outcome !== 'completed') return;
  const {firstTokenMs, tokenGapMs, totalMs} = observation;
  if (firstTokenMs !== undefined) indicators.firstToken.record(firstTokenMs);
  if (tokenGapMs !== undefined) indicators.tokenGap.record(tokenGapMs);
  indicators.total.record(totalMs);
}

function toClassIndicators(
  record: ClassRecord,
  wallMs: number,
): ClassIndicators {
  const {id, target, tier} = record.serviceClass;
  return {
    classId: id,
    tier,
    target,
    ...toIndicators(record.overall, wallMs),
    workspaces: worstWorkspaces(record, wallMs).map(
      ([workspaceId, workspace]) => ({
        workspaceId,
        ...toIndicators(workspace, wallMs),
      }),
    ),
  };
}

type WorkspaceEntry = readonly [WorkspaceId, IndicatorRecord];

function worstWorkspaces(
  {workspaces}: ClassRecord,
  wallMs: number,
): readonly WorkspaceEntry[] {
  const entries = [...workspaces];
  if (entries.length <= maxWorkspacesPerSnapshot) return entries;
  return entries
    .map(entry => ({entry, totals: entry[1].counts.totals(wallMs)}))
    .sort(
      ({totals: a}, {totals: b}) =>
        b.bad - a.bad || b.good + b.bad - (a.good + a.bad),
    )
    .slice(0, maxWorkspacesPerSnapshot)
    .map(({entry}) => entry);
}

function toIndicators(
  record: IndicatorRecord,
  wallMs: number,
): ServiceLevelIndicators {
  return {
    counts: record.counts.snapshot(wallMs),
    firstToken: record.firstToken.snapshot(),
    tokenGap: record.tokenGap.snapshot(),
    total: record.total.snapshot(),
  };
}
