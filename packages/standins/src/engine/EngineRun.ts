/**
 * One run of a request on the engine. It retains every generated event so that
 * a broken stream can be resumed after any of them.
 */
import type {RunJournal} from '../shared/RunJournal.js';
import type {ChatFormat} from './ChatFormat.js';
import {doneEvent, toEvent} from './ChatFormat.js';
import type {ChatPlan} from './ChatRequest.js';
import type {BatchJob} from './EngineBatch.js';
import {tokenText} from './EngineResponses.js';

/** Record of a run, as returned by `GET /runs`. */
export interface EngineRunRecord {
  readonly requestId: string;
  readonly promptKey: string;
  /** Complete tokens in the prefix that a continuation request sent. */
  readonly prefixTokens: number;
  readonly priority: number;
  /** True once the run has left the queue. */
  started: boolean;
  generatedTokens: number;
  resumed: number;
  cancelled: number;
  finished: boolean;
}

/** Destination of the events of a run. */
export interface RunSink {
  /** Writes an event that contains `tokens` tokens. */
  writeEvent(text: string, tokens: number): void;
  end(): void;
}

/** A run, which is a job of the batch. */
export interface EngineRun extends BatchJob {
  readonly record: EngineRunRecord;
  readonly plan: ChatPlan;
  readonly format: ChatFormat;
  /**
   * Replays all events after `lastEventId` to `sink`, then streams later ones.
   */
  attach(sink: RunSink, lastEventId: number): void;
  detach(): void;
  attachedTo(): RunSink | undefined;
  text(): string;
}

/** A crash that a run causes in place of its next token. */
export interface RunCrash {
  readonly afterTokens: number;
  readonly crash: () => void;
}

/**
 * Creates a run that has not generated any token. One that crashes in place of
 * its first token sends no event.
 */
export function createEngineRun(
  requestId: string,
  plan: ChatPlan,
  format: ChatFormat,
  journal: RunJournal<EngineRunRecord>,
  runCrash: RunCrash | undefined,
): EngineRun {
  const texts: string[] = [];
  const events: {text: string; tokens: number}[] = [];
  let sink: RunSink | undefined;
  const record: EngineRunRecord = {
    requestId,
    promptKey: plan.promptKey,
    prefixTokens: plan.from.tokenIndex,
    priority: plan.priority,
    started: false,
    generatedTokens: 0,
    resumed: 0,
    cancelled: 0,
    finished: false,
  };

  function emit(data: string, tokens: number): void {
    const event = {text: toEvent(events.length, data), tokens};
    events.push(event);
    sink?.writeEvent(event.text, event.tokens);
  }

  function generate(): void {
    const index = plan.from.tokenIndex + texts.length;
    const offset = texts.length === 0 ? plan.from.offset : 0;
    const text = tokenText(plan.promptKey, index).slice(offset);
    texts.push(text);
    record.generatedTokens = texts.length;
    emit(format.token(text), 1);
  }

  function finish(): void {
    record.finished = true;
    journal.write(record);
    emit(format.finish(), 0);
    if (plan.includeUsage) emit(format.usage(texts.length), 0);
    sink?.writeEvent(doneEvent, 0);
    sink?.end();
  }

  return {
    record,
    plan,
    format,
    priority: plan.priority,
    prefillTokens: plan.promptTokens,
    onStart: () => {
      record.started = true;
      journal.write(record);
      const isFirstStart = events.length === 0;
      if (isFirstStart && runCrash?.afterTokens !== 0) emit(format.role(), 0);
    },
    onToken: () => {
      if (runCrash !== undefined && texts.length >= runCrash.afterTokens) {
        runCrash.crash();
        return true;
      }
      const total = plan.endToken - plan.from.tokenIndex;
      if (texts.length < total) generate();
      if (texts.length < total) return false;
      finish();
      return true;
    },
    attach: (next, lastEventId) => {
      sink = next;
      for (const event of events.slice(lastEventId + 1)) {
        next.writeEvent(event.text, event.tokens);
      }
      if (!record.finished) return;
      next.writeEvent(doneEvent, 0);
      next.end();
    },
    detach: () => {
      sink = undefined;
    },
    attachedTo: () => sink,
    text: () => texts.join(''),
  };
}
