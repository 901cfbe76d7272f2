/**
 * Fairness between the workspaces of a class by the slot time that they use:
 * start-time fair queueing, where a job is charged an estimate when it starts
 * and the difference while it runs and when it ends.
 */
import type {ClassId, WorkspaceId} from '@toucanrouter/common';
import {createBoundedMap} from './BoundedMap.js';

/** Slot time used by the workspaces of each class. */
export interface SlotUsage {
  /** Used slot time of a workspace on its class's common scale. */
  usedMs(classId: ClassId, workspaceId: WorkspaceId): number;
  /** Adds to a workspace's use; negative to correct an estimate. */
  charge(classId: ClassId, workspaceId: WorkspaceId, slotMs: number): void;
  /** Called when a job starts: idle workspaces resume from here. */
  recordJobStart(classId: ClassId, workspaceId: WorkspaceId): void;
  /**
   * Called when a workspace that had nothing waiting queues a request. Its
   * unused share of the idle time is not credited, or it could later take
   * every slot.
   */
  recordBacklogStart(classId: ClassId, workspaceId: WorkspaceId): void;
}

/** Creates a record of at most `capacity` pairs of class and workspace. */
export function createSlotUsage(capacity: number): SlotUsage {
  const used = createBoundedMap<string, number>(capacity);
  const startTags = createBoundedMap<ClassId, number>(capacity);

  const keyOf = (classId: ClassId, workspaceId: WorkspaceId): string =>
    `${classId}/${workspaceId}`;

  function usedMs(classId: ClassId, workspaceId: WorkspaceId): number {
    return used.get(keyOf(classId, workspaceId)) ?? startTags.get(classId) ?? 0;
  }

  return {
    usedMs,
    charge: (classId, workspaceId, slotMs) => {
      const total = usedMs(classId, workspaceId) + slotMs;
      used.set(keyOf(classId, workspaceId), total);
    },
    recordJobStart: (classId, workspaceId) => {
      const startTagMs = Math.max(
        startTags.get(classId) ?? 0,
        usedMs(classId, workspaceId),
      );
      startTags.set(classId, startTagMs);
    },
    recordBacklogStart: (classId, workspaceId) => {
      const startTagMs = startTags.get(classId) ?? 0;
      if (usedMs(classId, workspaceId) >= startTagMs) return;
      used.set(keyOf(classId, workspaceId), startTagMs);
    },
  };
}
