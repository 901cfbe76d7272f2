/**
 * Counts the requests that upstreams began to run, by window and workspace, on
 * one instance.
 */
import type {WorkspaceId} from '@toucanrouter/common';
import type {WindowIndex} from '../PlatformApi.js';
import {toWindowIndex} from '../PlatformApi.js';

/** Counts of one window; they only grow. */
export type WindowCounts = ReadonlyMap<WorkspaceId, number>;

/** Counts of one instance. */
export interface UsageCounter {
  record(workspaceId: WorkspaceId, atMs: number): void;
  countsOf(window: WindowIndex): WindowCounts;
  /** The windows that are kept and changed at `sinceMs` or later. */
  changedSince(sinceMs: number): readonly WindowIndex[];
}

/** Windows that are kept; a new owner may have to report the latest ones. */
const keptWindows = 8;
/** Bounds memory; the operators configure far fewer workspaces. */
const maxWorkspaces = 4_096;

const noCounts: WindowCounts = new Map();

/** Returns the window that a time belongs to. */
export function windowAt(timeMs: number, windowMs: number): WindowIndex {
  return toWindowIndex(Math.floor(timeMs / windowMs));
}

/** Returns the end of a window. */
export function windowEndMs(window: WindowIndex, windowMs: number): number {
  return (window + 1) * windowMs;
}

interface CountedWindow {
  readonly counts: Map<WorkspaceId, number>;
  changedAtMs: number;
}

/** Creates a counter without counts. */
export function createUsageCounter(windowMs: number): UsageCounter {
  const windows = new Map<WindowIndex, CountedWindow>();

  function openWindow(window: WindowIndex, atMs: number): CountedWindow {
    const counted = {counts: new Map<WorkspaceId, number>(), changedAtMs: atMs};
    windows.set(window, counted);
    for (const old of windows.keys()) {
      if (old <= window - keptWindows) windows.delete(old);
    }
    return counted;
  }

  return {
    record: (workspaceId, atMs) => {
      const window = windowAt(atMs, windowMs);
      const counted = windows.get(window) ?? openWindow(window, atMs);
      const {counts} = counted;
      if (!counts.has(workspaceId) && counts.size >= maxWorkspaces) return;
      counts.set(workspaceId, (counts.get(workspaceId) ?? 0) + 1);
      counted.changedAtMs = atMs;
    },
    countsOf: window => windows.get(window)?.counts ?? noCounts,
    changedSince: sinceMs =>
      [...windows].flatMap(([window, {changedAtMs}]) =>
        changedAtMs >= sinceMs ? [window] : [],
      ),
  };
}
