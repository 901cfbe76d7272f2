/**
 * How many events the answers of each class usually have. Lengths are not
 * known in advance, so they are learned from complete answers.
 */
import type {ClassId} from '@toucanrouter/common';
import type {Prompt} from './Prompt.js';

/** Learned lengths by class. */
export interface AnswerLengths {
  /** Learned, or else guessed from what the request allows. */
  usualEvents(classId: ClassId, prompt: Prompt): number;
  completed(classId: ClassId, events: number): void;
}

const averageWeight = 0.05;
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
  return {
    usualEvents: (classId, prompt) =>
      byClass.get(classId) ?? guessedEvents(prompt),
    completed: (classId, events) => {
      const before = byClass.get(classId) ?? events;
      byClass.set(classId, before + (events - before) * averageWeight);
    },
  };
}
