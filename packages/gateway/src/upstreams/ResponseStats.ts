/**
 * Moving averages of the event count and event gap of each class, and of the
 * response duration. The length of a response is not known in advance, so it is
 * estimated from completed responses.
 */
import type {ClassId} from '@toucanrouter/common';
import type {Prompt} from './Prompt.js';

/** Averages over the responses that this instance received. */
export interface ResponseStats {
  /** Average event count, or an estimate from the maximum output at first. */
  expectedEvents(classId: ClassId, prompt: Prompt): number;
  /** Average time that a streamed response occupies a slot. */
  averageResponseMs(): number;
  /** Recent average time between the events of a class. */
  averageEventGapMs(classId: ClassId): number;
  recordEventGap(classId: ClassId, gapMs: number): void;
  recordCompleted(classId: ClassId, events: number, durationMs: number): void;
}

const smoothingFactor = 0.05;
/** Lower than for responses, because all streams contribute many gaps. */
const eventGapSmoothingFactor = 0.01;
/** Event gap of a class before the first observation. */
const initialEventGapMs = 40;
/** Response duration before the first observation. */
const initialResponseMs = 1_500;
/** Share of the maximum output that is expected before any observation. */
const expectedOutputShare = 0.5;
/** Engines send 5 to 10 tokens per event. */
const tokensPerEvent = 6;

function estimateEvents({maxOutputTokens}: Prompt): number {
  return (maxOutputTokens * expectedOutputShare) / tokensPerEvent;
}

/** Creates averages without observations. */
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
