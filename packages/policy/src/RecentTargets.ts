/**
 * Targets of the classes that recently ran in a shard, so that limits also
 * respect a class whose jobs start and end within seconds.
 */
import type {ClassId, LatencyTarget} from '@toucanrouter/common';

interface RecentTarget {
  readonly target: LatencyTarget;
  readonly startedAtMs: number;
}

/** The targets that limits have to respect. */
export interface RecentTargets {
  recordStart(classId: ClassId, target: LatencyTarget, nowMs: number): void;
  /** Tightest token gap target of all recent classes. */
  tightestGapMs(nowMs: number): number | undefined;
}

/** Keeps a target for `retentionMs` after the last job of its class started. */
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
    tightestGapMs: nowMs => {
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
