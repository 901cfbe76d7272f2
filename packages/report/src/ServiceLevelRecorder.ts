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
  otherWorkspaces,
} from './BurnConstants.js';
import type {CountSeries} from './CountSeries.js';
import {createCountSeries} from './CountSeries.js';
import type {LatencyHistogram} from './LatencyHistogram.js';
import {createLatencyHistogram} from './LatencyHistogram.js';
import type {
  ClassLevels,
  ServiceLevelSnapshot,
  WorkspaceLevels,
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

interface WorkspaceRecord {
  readonly workspaceId: WorkspaceId;
  readonly counts: CountSeries;
  readonly firstToken: LatencyHistogram;
  readonly tokenGap: LatencyHistogram;
  readonly total: LatencyHistogram;
}

interface ClassRecord {
  serviceClass: ServiceLevelObservation['serviceClass'];
  readonly counts: CountSeries;
  readonly workspaces: Map<WorkspaceId, WorkspaceRecord>;
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
      record.counts.add(good, wallMs);
      const workspace = workspaceOf(
        record,
        observation.workspaceId,
        maxWorkspaces,
      );
      workspace.counts.add(good, wallMs);
      recordLatencies(workspace, observation);
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
    counts: createCountSeries(budgetPeriodMs),
    workspaces: new Map(),
  };
}

function workspaceOf(
  record: ClassRecord,
  workspaceId: WorkspaceId,
  maxWorkspaces: number,
): WorkspaceRecord {
  const {workspaces} = record;
  const known = workspaces.get(workspaceId);
  if (known !== undefined) return known;
  const label =
    workspaces.size < maxWorkspaces
      ? workspaceId
      : toWorkspaceId(otherWorkspaces);
  const workspace = workspaces.get(label) ?? createWorkspaceRecord(label);
  workspaces.set(label, workspace);
  return workspace;
}

function createWorkspaceRecord(workspaceId: WorkspaceId): WorkspaceRecord {
  return {
    workspaceId,
    counts: createCountSeries(longWindowMs),
    firstToken: createLatencyHistogram(),
    tokenGap: createLatencyHistogram(),
    total: createLatencyHistogram(),
  };
}

/** Latencies of requests that did not complete would blur those of answers. */
function recordLatencies(
  workspace: WorkspaceRecord,
  observation: ServiceLevelObservation,
): void {
  if (observation.outcome !== 'completed') return;
  const {firstTokenMs, tokenGapMs, totalMs} = observation;
  if (firstTokenMs !== undefined) workspace.firstToken.record(firstTokenMs);
  if (tokenGapMs !== undefined) workspace.tokenGap.record(tokenGapMs);
  workspace.total.record(totalMs);
}

function toClassLevels(record: ClassRecord, wallMs: number): ClassLevels {
  const {id, target, tier} = record.serviceClass;
  return {
    classId: id,
    tier,
    target,
    counts: record.counts.snapshot(wallMs),
    workspaces: [...record.workspaces.values()].map(workspace =>
      toWorkspaceLevels(workspace, wallMs),
    ),
  };
}

function toWorkspaceLevels(
  workspace: WorkspaceRecord,
  wallMs: number,
): WorkspaceLevels {
  return {
    workspaceId: workspace.workspaceId,
    counts: workspace.counts.snapshot(wallMs),
    firstToken: workspace.firstToken.snapshot(),
    tokenGap: workspace.tokenGap.snapshot(),
    total: workspace.total.snapshot(),
  };
}
