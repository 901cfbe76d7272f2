/**
 * How many events the answers of each class usually have. Lengths are not
 * known in advance, so they are learned from complete answers.
 */
import type {ClassId} from '@toucanrouter/common';

/** Learned lengths by class. */
export interface AnswerLengths {
  usualEvents(classId: ClassId): number;
  completed(classId: ClassId, events: number): void;
}

const averageWeight = 0.05;
/** Length of a middling answer on the sheets, before any is known. */
const initialEvents = 50;

/** Creates lengths without knowledge. */
export function createAnswerLengths(): AnswerLengths {
  const byClass = new Map<ClassId, number>();
  const usualEvents = (classId: ClassId) =>
    byClass.get(classId) ?? initialEvents;
  return {
    usualEvents,
    completed: (classId, events) => {
      const before = usualEvents(classId);
      byClass.set(classId, before + (events - before) * averageWeight);
    },
  };
}
