/**
 * Scheduling policies of the configured classes.
 */
import type {
  ClassId,
  LatencyTarget,
  ServiceClass,
  Tier,
} from '@toucanrouter/common';

/** The part of a class that scheduling depends on. */
export interface ClassPolicy {
  readonly tier: Tier;
  readonly target: LatencyTarget;
  readonly maxWaitMs: number;
}

/** Identifies a class, with the tier to use while the class is unknown. */
export interface ClassReference {
  readonly classId: ClassId;
  readonly fallbackTier: Tier;
}

/** Looks up classes by id. */
export interface SchedulerClasses {
  set(classes: readonly ServiceClass[]): void;
  policyOf(reference: ClassReference): ClassPolicy;
}

/** Creates an empty table; unknown classes wait up to `unknownMaxWaitMs`. */
export function createSchedulerClasses(
  unknownMaxWaitMs: number,
): SchedulerClasses {
  let classesById = new Map<ClassId, ServiceClass>();
  return {
    set: classes => {
      classesById = new Map(classes.map(entry => [entry.id, entry]));
    },
    policyOf: ({classId, fallbackTier}) =>
      classesById.get(classId) ?? {
        tier: fallbackTier,
        target: {},
        maxWaitMs: unknownMaxWaitMs,
      },
  };
}

/** Returns the wait after which a request of the class misses its target. */
export function targetWaitMs(policy: ClassPolicy): number {
  return (
    policy.target.firstTokenMs ?? policy.target.totalMs ?? policy.maxWaitMs
  );
}
