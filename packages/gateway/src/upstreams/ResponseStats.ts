/**
 * How many events the answers of each class usually have, and how long answers
 * take. Lengths are not known in advance, so they are learned from complete
 * answers.
 */
import type {ClassId} from '@toucanrouter/common';
import type {Prompt} from './Prompt.js';

/** Learned lengths by class. */
export interface ResponseStats {
  /** Learned, or else guessed from what the request allows. */
  expectedEvents(classId: ClassId, prompt: Prompt): number;
  /** Usual time that a streamed answer occupies a slot. */
  averageResponseMs(): number;
  /** Usual time between the events of a class at present. */
  averageEventGapMs(classId: ClassId): number;
  recordEventGap(classId: ClassId, gapMs: number): void;
  recordCompleted(classId: ClassId, events: number, durationMs: number): void;
}

const smoothingFactor = 0.05;
/** Many events arrive from all streams, so each one weighs little. */
const eventGapSmoothingFactor = 0.01;
/** Time between events before any is known, from the sheets. */
const initialEventGapMs = 40;
/** Time of an answer before any is known, from the sheets. */
const initialResponseMs = 1_500;
/** Part of the allowed output that an answer has, before any is known. */
const expectedOutputShare = 0.5;
/** Tokens of an event on the sheets are 5 to 10. */
const tokensPerEvent = 6;

function estimateEvents({maxOutputTokens}: Prompt): number {
  return (maxOutputTokens * expectedOutputShare) / tokensPerEvent;
}

/** Creates lengths without knowledge. */
export function createResponseStats(): ResponseStats {
  const eventsByClass = new Map<ClassId, number>();
  const eventGapsByClass = new Map<ClassId, number>();
  let responseMs = initialResponseMs;
  return {
    averageResponseMs: () => responseMs,
    averageEventGapMs: classId =>
      eventGapsByClass.get(classId) ?? initialEventGapMs,
    recordEventGap: (classId, gapMs) => {
      const average = eventGapsByClass.get(classId) ?? initialEventGapMs;
      eventGapsByClass.set(
        classId,
        average + (gapMs - average) * eventGapSmoothingFactor,
      );
    },
    expectedEvents: (classId, prompt) =>
      eventsByClass.get(classId) ?? estimateEvents(prompt),
    recordCompleted: (classId, events, durationMs) => {
      responseMs += (durationMs - responseMs) * smoothingFactor;
      const average = eventsByClass.get(classId) ?? events;
      eventsByClass.set(
        classId,
        average + (events - average) * smoothingFactor,
      );
    },
  };
}
