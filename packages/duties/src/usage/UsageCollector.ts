/**
 * Adds up the counts that instances report. Reports are cumulative and may be
 * lost, repeated or late, so the highest count of each process counts. What is
 * kept of a process that has ended stands until its windows are reported.
 */
import type {WorkspaceId} from '@toucanrouter/common';
import type {WindowIndex} from '../PlatformApi.js';
import {windowEndMs} from './UsageCounter.js';

/** Identifies one process of an instance. */
export interface ProcessId {
  /** A hash of the instance's id. */
  readonly instance: number;
  /** Start of the process by its wall clock. */
  readonly startedAtMs: number;
}

/** A count of one process. */
export interface UsageCount {
  readonly window: WindowIndex;
  readonly workspaceId: WorkspaceId;
  readonly count: number;
}

/** What one process counted. */
export interface ProcessUsage extends ProcessId {
  /** Fleet time at which the process counted so. */
  readonly countedAtMs: number;
  readonly counts: readonly UsageCount[];
}

/** The counts of the fleet. */
export interface UsageCollector {
  receive(usage: ProcessUsage): void;
  totalsOf(window: WindowIndex): ReadonlyMap<WorkspaceId, number>;
  /** True if all processes that still report have counted to its end. */
  isComplete(window: WindowIndex): boolean;
  /** True if a process that is known ran when the window began. */
  isObserved(window: WindowIndex): boolean;
}

/** Windows that are kept, as the counters of the instances do. */
const keptWindows = 8;
/** Bounds memory: processes that are known at the same time. */
const maxProcesses = 4_096;
/**
 * Processes of one instance: more do not start in the time for which windows are
 * kept, and a false report must not use up the room of the others.
 */
const maxProcessesPerInstance = 16;
/** Bounds memory: counts of all processes; 400 instances have some 80,000. */
const maxCounts = 1_000_000;
/** Bounds memory: counts of one process. */
const maxCountsPerProcess = 32_768;
/** A process that is silent for this time does not hold a window up. */
const silentAfterMs = 2_000;

interface KnownProcess {
  readonly instance: number;
  readonly startedAtMs: number;
  countedAtMs: number;
  receivedAtMs: number;
  readonly counts: Map<WindowIndex, Map<WorkspaceId, number>>;
}

/** Creates a collector without counts; `nowMs` is the fleet time. */
export function createUsageCollector(
  windowMs: number,
  nowMs: () => number,
): UsageCollector {
  const processes = new Map<string, KnownProcess>();
  let countTotal = 0;

  function processOf(usage: ProcessUsage): KnownProcess | undefined {
    const key = `${usage.instance} ${usage.startedAtMs}`;
    const known = processes.get(key);
    if (known !== undefined) return known;
    dropOldProcesses();
    if (processes.size >= maxProcesses) return undefined;
    const ofInstance = [...processes.values()].filter(
      ({instance}) => instance === usage.instance,
    );
    if (ofInstance.length >= maxProcessesPerInstance) return undefined;
    const created = {
      instance: usage.instance,
      startedAtMs: usage.startedAtMs,
      countedAtMs: usage.countedAtMs,
      receivedAtMs: nowMs(),
      counts: new Map(),
    };
    processes.set(key, created);
    return created;
  }

  function dropOldProcesses(): void {
    const oldestMs = nowMs() - keptWindows * windowMs;
    for (const [key, {counts, receivedAtMs}] of processes) {
      if (receivedAtMs >= oldestMs) continue;
      processes.delete(key);
      for (const {size} of counts.values()) countTotal -= size;
    }
  }

  function dropOldWindows({counts}: KnownProcess): void {
    const oldest = Math.floor(nowMs() / windowMs) - keptWindows;
    for (const [window, {size}] of counts) {
      if (window > oldest) continue;
      counts.delete(window);
      countTotal -= size;
    }
  }

  function add(
    process: KnownProcess,
    {count, window, workspaceId}: UsageCount,
  ) {
    const newest = Math.floor(nowMs() / windowMs) + 1;
    if (window <= newest - keptWindows || window > newest) return;
    const counts = process.counts.get(window) ?? new Map<WorkspaceId, number>();
    process.counts.set(window, counts);
    const known = counts.get(workspaceId);
    if (known === undefined) {
      if (counts.size * keptWindows >= maxCountsPerProcess) return;
      if (countTotal >= maxCounts) return;
      countTotal += 1;
    }
    counts.set(workspaceId, Math.max(known ?? 0, count));
  }

  return {
    receive: usage => {
      const process = processOf(usage);
      if (process === undefined) return;
      process.countedAtMs = Math.max(process.countedAtMs, usage.countedAtMs);
      process.receivedAtMs = nowMs();
      dropOldWindows(process);
      for (const count of usage.counts) add(process, count);
    },
    totalsOf: window => {
      const totals = new Map<WorkspaceId, number>();
      for (const {counts} of processes.values()) {
        for (const [workspaceId, count] of counts.get(window) ?? []) {
          totals.set(workspaceId, (totals.get(workspaceId) ?? 0) + count);
        }
      }
      return totals;
    },
    isComplete: window => {
      const endMs = windowEndMs(window, windowMs);
      return [...processes.values()].every(
        ({countedAtMs, receivedAtMs}) =>
          countedAtMs >= endMs || nowMs() - receivedAtMs > silentAfterMs,
      );
    },
    isObserved: window =>
      [...processes.values()].some(
        ({startedAtMs}) => startedAtMs <= window * windowMs,
      ),
  };
}
