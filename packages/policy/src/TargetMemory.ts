/**
 * Targets of the classes that ran in a shard lately. The limits keep room for
 * a class whose jobs come and go within seconds.
 */
import type {ClassId, LatencyTarget} from '@toucanrouter/common';

interface RememberedTarget {
  readonly target: LatencyTarget;
  readonly startedAtMs: number;
}

/** The targets that limits have to respect. */
export interface TargetMemory {
  started(classId: ClassId, target: LatencyTarget, nowMs: number): void;
  /** Tightest token gap of all remembered classes. */
  tightestGapMs(nowMs: number): number | undefined;
}

/** Creates a memory that keeps a target for `memoryMs` after its last job. */
export function createTargetMemory(memoryMs: number): TargetMemory {
  const targets = new Map<ClassId, RememberedTarget>();

  function forget(nowMs: number): void {
    for (const [classId, remembered] of targets) {
      if (nowMs - remembered.startedAtMs > memoryMs) targets.delete(classId);
    }
  }

  return {
    started: (classId, target, nowMs) => {
      targets.set(classId, {target, startedAtMs: nowMs});
    },
    tightestGapMs: nowMs => {
      forget(nowMs);
      let tightest: number | undefined;
      for (const {target} of targets.values()) {
        if (target.tokenGapMs === undefined) continue;
        tightest = Math.min(tightest ?? Infinity, target.tokenGapMs);
      }
      return tightest;
    },
  };
}
