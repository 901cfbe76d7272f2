/**
 * Records how requests fared against the targets of their classes: counts of
 * good and bad requests by time, and latency histograms by class and workspace.
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
import type {CountSeries} from './CountSeries.js';
import {createCountSeries} from './CountSeries.js';
import type {LatencyHistogram} from './LatencyHistogram.js';
import {createLatencyHistogram} from './LatencyHistogram.js';
import type {
  ClassLevels,
  RecordedLevels,
  ServiceLevelSnapshot,
} from './ServiceLevelSnapshot.js';

/** How a request ended. `canceled` means that its caller left. */
export type ObservedOutcome = 'canceled' | 'completed' | 'failed' | 'refused';

/** One finished request. */
export interface ServiceLevelObservation {
  readonly serviceClass: Pick<ServiceClass, 'id' | 'target' | 'tier'>;
  readonly workspaceId: WorkspaceId;
  readonly outcome: ObservedOutcome;
  /** From arrival to the first token, when there was one. */
  readonly firstTokenMs?: number;
  /** Mean gap between tokens, when there were two. */
  readonly tokenGapMs?: number;
  /** From arrival to the end, whatever the outcome. */
  readonly totalMs: number;
}

/** Records finished requests of one instance. */
export interface ServiceLevelRecorder {
  record(observation: ServiceLevelObservation): void;
  /** Returns all counts, serialisable as JSON. */
  snapshot(): ServiceLevelSnapshot;
}

/** What a recorder needs. */
export interface ServiceLevelRecorderOptions {
  readonly clock: Clock;
  readonly instanceId: InstanceId;
  /** Workspaces of a class that are counted apart. */
  readonly maxWorkspaces?: number;
}

interface LevelRecord {
  readonly counts: CountSeries;
  readonly firstToken: LatencyHistogram;
  readonly tokenGap: LatencyHistogram;
  readonly total: LatencyHistogram;
}

interface ClassRecord {
  serviceClass: ServiceLevelObservation['serviceClass'];
  readonly all: LevelRecord;
  readonly workspaces: Map<WorkspaceId, LevelRecord>;
}

/** Creates a recorder that counts from now on. */
export function createServiceLevelRecorder(
  options: ServiceLevelRecorderOptions,
): ServiceLevelRecorder {
  const {clock, instanceId} = options;
  const maxWorkspaces = options.maxWorkspaces ?? maxWorkspacesPerClass;
  const sinceWallMs = clock.wallMs();
  const classes = new Map<ClassId, ClassRecord>();

  function recordOf(observation: ServiceLevelObservation): ClassRecord {
    const {serviceClass} = observation;
    const known = classes.get(serviceClass.id);
    if (known !== undefined) {
      known.serviceClass = serviceClass;
      return known;
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
      const record = recordOf(observation);
      const {workspaceId} = observation;
      const workspace = workspaceOf(record, workspaceId, maxWorkspaces);
      for (const level of [record.all, workspace]) {
        level.counts.add(good, wallMs);
        recordLatencies(level, observation);
      }
    },
    snapshot: () => ({
      takenAtWallMs: clock.wallMs(),
      sources: [{instanceId, sinceWallMs}],
      classes: [...classes.values()].map(record =>
        toClassLevels(record, clock.wallMs()),
      ),
    }),
  };
}

/**
 * Tells whether a request met its target; undefined when its caller left before
 * the target was missed, since nothing can be said of such a request.
 */
export function meetsTarget(
  observation: ServiceLevelObservation,
): boolean | undefined {
  switch (observation.outcome) {
    case 'completed':
      return isWithinTarget(observation);
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

/** Without a first token, the whole wait counts against its target. */
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
    all: createLevelRecord(budgetPeriodMs),
    workspaces: new Map(),
  };
}

function workspaceOf(
  record: ClassRecord,
  workspaceId: WorkspaceId,
  maxWorkspaces: number,
): LevelRecord {
  const {workspaces} = record;
  const known = workspaces.get(workspaceId);
  if (known !== undefined) return known;
  const label =
    workspaces.size < maxWorkspaces
      ? workspaceId
      : toWorkspaceId(otherWorkspaces);
  const workspace = workspaces.get(label) ?? createLevelRecord(longWindowMs);
  workspaces.set(label, workspace);
  return workspace;
}

function createLevelRecord(keepMs: number): LevelRecord {
  return {
    counts: createCountSeries(keepMs),
    firstToken: createLatencyHistogram(),
    tokenGap: createLatencyHistogram(),
    total: createLatencyHistogram(),
  };
}

/** Latencies of requests that did not complete would blur those of answers. */
function recordLatencies(
  level: LevelRecord,
  observation: ServiceLevelObservation,
): void {
  if (observation.outcome !== 'completed') return;
  const {firstTokenMs, tokenGapMs, totalMs} = observation;
  if (firstTokenMs !== undefined) level.firstToken.record(firstTokenMs);
  if (tokenGapMs !== undefined) level.tokenGap.record(tokenGapMs);
  level.total.record(totalMs);
}

function toClassLevels(record: ClassRecord, wallMs: number): ClassLevels {
  const {id, target, tier} = record.serviceClass;
  return {
    classId: id,
    tier,
    target,
    ...toRecordedLevels(record.all, wallMs),
    workspaces: worstWorkspaces(record, wallMs).map(([workspaceId, level]) => ({
      workspaceId,
      ...toRecordedLevels(level, wallMs),
    })),
  };
}

type WorkspaceEntry = readonly [WorkspaceId, LevelRecord];

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

function toRecordedLevels(level: LevelRecord, wallMs: number): RecordedLevels {
  return {
    counts: level.counts.snapshot(wallMs),
    firstToken: level.firstToken.snapshot(),
    tokenGap: level.tokenGap.snapshot(),
    total: level.total.snapshot(),
  };
}
