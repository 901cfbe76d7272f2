/**
 * How many events the answers of each class usually have, and how long answers
 * take. Lengths are not known in advance, so they are learned from complete
 * answers.
 */
import type {ClassId} from '@toucanrouter/common';
import type {Prompt} from './Prompt.js';

/** Learned lengths by class. */
export interface AnswerLengths {
  /** Learned, or else guessed from what the request allows. */
  usualEvents(classId: ClassId, prompt: Prompt): number;
  /** Usual time that a streamed answer occupies a slot. */
  usualAnswerMs(): number;
  /** Usual time between the events of a class at present. */
  usualGapMs(classId: ClassId): number;
  eventGap(classId: ClassId, gapMs: number): void;
  completed(classId: ClassId, events: number, durationMs: number): void;
}

const averageWeight = 0.05;
/** Many events arrive from all streams, so each one weighs little. */
const gapWeight = 0.01;
/** Time between events before any is known, from the sheets. */
const initialGapMs = 40;
/** Time of an answer before any is known, from the sheets. */
const initialAnswerMs = 1_500;
/** Part of the allowed output that an answer has, before any is known. */
const usualOutputShare = 0.5;
/** Tokens of an event on the sheets are 5 to 10. */
const tokensPerEvent = 6;

function guessedEvents({maxOutputTokens}: Prompt): number {
  return (maxOutputTokens * usualOutputShare) / tokensPerEvent;
}

/** Creates lengths without knowledge. */
export function createAnswerLengths(): AnswerLengths {
  const byClass = new Map<ClassId, number>();
  const gapsByClass = new Map<ClassId, number>();
  let answerMs = initialAnswerMs;
  return {
    usualAnswerMs: () => answerMs,
    usualGapMs: classId => gapsByClass.get(classId) ?? initialGapMs,
    eventGap: (classId, gapMs) => {
      const before = gapsByClass.get(classId) ?? initialGapMs;
      gapsByClass.set(classId, before + (gapMs - before) * gapWeight);
    },
    usualEvents: (classId, prompt) =>
      byClass.get(classId) ?? guessedEvents(prompt),
    completed: (classId, events, durationMs) => {
      answerMs += (durationMs - answerMs) * averageWeight;
      const before = byClass.get(classId) ?? events;
      byClass.set(classId, before + (events - before) * averageWeight);
    },
  };
}
