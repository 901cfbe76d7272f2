/**
 * Start-time fair queueing between the workspaces of a class, by the slot time
 * that they use. A job is charged an estimate when it starts and the difference
 * from the actual slot time while it runs and when it ends.
 */
import type {ClassId, WorkspaceId} from '@toucanrouter/common';
import {createBoundedMap} from './BoundedMap.js';

/** Slot time charged to the workspaces of each class. */
export interface SlotUsage {
  /**
   * Slot time of a workspace. A workspace without charges starts at the highest
   * start tag of its class.
   */
  usedMs(classId: ClassId, workspaceId: WorkspaceId): number;
  /** Charges slot time; negative to correct an estimate. */
  charge(classId: ClassId, workspaceId: WorkspaceId, slotMs: number): void;
  /** Advances the start tag of the class to that of a job that starts. */
  recordJobStart(classId: ClassId, workspaceId: WorkspaceId): void;
  /**
   * Raises a workspace whose queue was empty to the start tag of its class. If
   * its unused share of the idle time were credited, it could later take every
   * slot.
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
