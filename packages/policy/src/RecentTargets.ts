/**
 * Targets of the classes that ran in a shard lately. The limits keep room for
 * a class whose jobs come and go within seconds.
 */
import type {ClassId, LatencyTarget} from '@toucanrouter/common';

interface RecentTarget {
  readonly target: LatencyTarget;
  readonly startedAtMs: number;
}

/** The targets that limits have to respect. */
export interface RecentTargets {
  recordStart(classId: ClassId, target: LatencyTarget, nowMs: number): void;
  /** Tightest token gap of all remembered classes. */
  tightestTokenGapMs(nowMs: number): number | undefined;
}

/** Creates a memory that keeps a target for `memoryMs` after its last job. */
export function createRecentTargets(retentionMs: number): RecentTargets {
  const targets = new Map<ClassId, RecentTarget>();

  function evictExpired(nowMs: number): void {
    for (const [classId, recent] of targets) {
      if (nowMs - recent.startedAtMs > retentionMs) targets.delete(classId);
    }
  }

  return {
    recordStart: (classId, target, nowMs) => {
      targets.set(classId, {target, startedAtMs: nowMs});
    },
    tightestTokenGapMs: nowMs => {
      evictExpired(nowMs);
      let tightest: number | undefined;
      for (const {target} of targets.values()) {
        if (target.tokenGapMs === undefined) continue;
        tightest = Math.min(tightest ?? Infinity, target.tokenGapMs);
      }
      return tightest;
    },
  };
}
