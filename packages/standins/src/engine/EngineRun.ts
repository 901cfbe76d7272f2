/**
 * One run of a request on the engine: it keeps every event that it generated,
 * so that a broken stream can be resumed after any of them.
 */
import type {RunJournal} from '../shared/RunJournal.js';
import {tokenText} from './EngineResponses.js';
import type {ChatFormat} from './ChatFormat.js';
import {doneEvent, toEvent} from './ChatFormat.js';
import type {ChatPlan} from './ChatRequest.js';
import type {BatchJob} from './EngineBatch.js';

/** What `GET /runs` tells about a run. */
export interface EngineRunRecord {
  readonly requestId: string;
  readonly promptKey: string;
  /** Tokens that a continuation received with its request. */
  readonly prefixTokens: number;
  readonly priority: number;
  /** True once the run left the queue. */
  started: boolean;
  generatedTokens: number;
  resumed: number;
  cancelled: number;
  finished: boolean;
}

/** Where the events of a run go. */
export interface RunSink {
  /** Receives an event; `tokens` counts the tokens in it. */
  writeEvent(text: string, tokens: number): void;
  end(): void;
}

/** A run, as a job of the batch. */
export interface EngineRun extends BatchJob {
  readonly record: EngineRunRecord;
  readonly plan: ChatPlan;
  readonly format: ChatFormat;
  /** Sends all events after `lastEventId` to `sink`, and those to come. */
  attach(sink: RunSink, lastEventId: number): void;
  detach(): void;
  attachedTo(): RunSink | undefined;
  text(): string;
}

/** Creates a run that has generated nothing. */
export function createEngineRun(
  requestId: string,
  plan: ChatPlan,
  format: ChatFormat,
  journal: RunJournal<EngineRunRecord>,
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
      if (events.length === 0) emit(format.role(), 0);
    },
    onToken: () => {
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
