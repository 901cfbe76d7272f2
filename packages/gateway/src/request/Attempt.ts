/**
 * One request at one upstream: it watches the answer, tells whose it is, and
 * reports how the attempt ended. It decides nothing about further attempts.
 */
import type {Clock} from '@toucanrouter/common';
import type {Choice} from '../upstreams/UpstreamChoice.js';
import type {UpstreamOutcome} from '../upstreams/UpstreamCondition.js';
import type {
  UpstreamConnections,
  UpstreamExchange,
} from '../upstreams/UpstreamConnections.js';
import type {Dialect, UpstreamAnswer} from './Dialect.js';
import type {EventBoundaries, WholeEvents} from './EventBoundaries.js';
import {createEventBoundaries} from './EventBoundaries.js';

/** How an attempt ended. */
export type AttemptEnd =
  /** The request did not leave this instance. */
  | {readonly kind: 'unsent'; readonly reason: string}
  /** Another upstream has the address. */
  | {readonly kind: 'misdirected'; readonly reason: string}
  /** The upstream states that it did not run the request. */
  | {readonly kind: 'not_run'; readonly status: number}
  /** The request may have run; its answer is missing or useless. */
  | {
      readonly kind: 'broken';
      readonly reason: string;
      /** True when it was given up because the upstream sent nothing. */
      readonly silent?: boolean;
    }
  /** A whole answer that was not streamed. */
  | {
      readonly kind: 'answered';
      readonly answer: UpstreamAnswer;
      readonly body: Buffer;
    }
  /** The stream ended, and all of it was passed on. */
  | {readonly kind: 'streamed'; readonly answer: UpstreamAnswer};

/** Statuses from this one on are failures of the upstream itself. */
export const firstServerError = 500;

/** What an end tells of the upstream; a misdirected request tells nothing. */
export function outcomeOf(
  end: Exclude<AttemptEnd, {kind: 'misdirected'}>,
): UpstreamOutcome {
  switch (end.kind) {
    case 'unsent':
      return 'unreachable';
    case 'not_run':
      return 'refused';
    case 'broken':
      return end.silent === true ? 'silent' : 'failed';
    case 'answered':
      return end.answer.status >= firstServerError ? 'failed' : 'served';
    case 'streamed':
      return 'served';
  }
}

/** Receives events of a stream as they arrive. */
export interface StreamReceiver {
  /** Takes whole events; false when the caller reads too slowly. */
  events(answer: UpstreamAnswer, whole: WholeEvents): boolean;
  /** Calls `run` when the caller reads again. */
  onDrain(run: () => void): void;
}

/** What an attempt needs. */
export interface AttemptOptions {
  readonly clock: Clock;
  readonly connections: UpstreamConnections;
  readonly dialect: Dialect;
  readonly choice: Choice;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly streams: boolean;
  readonly maxIdleMs: number;
  /** Gives up on silence; undefined when the request may not be repeated. */
  readonly silence: SilenceBound | undefined;
  readonly receiver: StreamReceiver;
}

/** How long an upstream may be silent on a request that may be repeated. */
export interface SilenceBound {
  readonly firstAnswerMs: number;
  readonly betweenEventsMs: number;
}

/** A running attempt. */
export interface Attempt {
  readonly end: Promise<AttemptEnd>;
  /** Id of the last event that was passed on. */
  lastEventId(): string | undefined;
  wasSent(): boolean;
  cancel(reason: string): void;
}

/** Larger answers would fill the memory of an instance. */
const maxWholeAnswerBytes = 8 * 1024 * 1024;
const maxPendingEventBytes = 1024 * 1024;

/** Starts an attempt. */
export function startAttempt(options: AttemptOptions): Attempt {
  const {choice, clock, connections, dialect, receiver} = options;
  const {condition, entry} = choice.candidate;
  const startedAtMs = clock.nowMs();
  const work = {promptTokens: choice.tokensToRead};
  const boundaries: EventBoundaries = createEventBoundaries();
  const chunks: Buffer[] = [];
  let wholeBytes = 0;
  let lastEventAtMs: number | undefined;
  let answer: UpstreamAnswer | undefined;
  let streaming = false;
  let sent = false;
  let firstAnswered = false;
  let settled = false;
  let cancelSilence = (): void => undefined;
  let resolveEnd: (end: AttemptEnd) => void = () => undefined;
  const end = new Promise<AttemptEnd>(resolve => {
    resolveEnd = resolve;
  });

  function settle(result: AttemptEnd): void {
    if (settled) return;
    settled = true;
    cancelSilence();
    condition.ended(work, firstAnswered);
    resolveEnd(result);
  }

  function abandon(result: AttemptEnd, reason: string): void {
    settle(result);
    exchange.abort(reason);
  }

  function watchSilence(boundMs: number): void {
    cancelSilence();
    if (options.silence === undefined) return;
    cancelSilence = clock.after(boundMs, () => {
      const reason = `silent for ${Math.round(boundMs)} ms`;
      abandon(
        sent
          ? {kind: 'broken', reason, silent: true}
          : {kind: 'unsent', reason},
        reason,
      );
    });
  }

  function noteFirstAnswer(): void {
    if (firstAnswered) return;
    firstAnswered = true;
    const observedMs = clock.nowMs() - startedAtMs;
    condition.firstAnswer(work, observedMs, choice.expectedMs);
  }

  function noteGap(): void {
    const nowMs = clock.nowMs();
    if (lastEventAtMs !== undefined) {
      condition.eventGap(nowMs - lastEventAtMs, nowMs);
    }
    lastEventAtMs = nowMs;
  }

  function faultOf(head: UpstreamAnswer): string | undefined {
    if (head.requestId !== undefined && head.requestId !== options.requestId) {
      return `the answer belongs to request ${head.requestId}`;
    }
    if (head.otherUpstream || head.notRun) return undefined;
    if (head.requestId === undefined) return 'the answer names no request';
    if (!head.genuine)
      return `status ${head.status} without the upstream's mark`;
    if (head.encoded) return 'the answer has a content encoding';
    return undefined;
  }

  function takeChunk(chunk: Buffer): void {
    if (settled || answer === undefined) return;
    if (!streaming) {
      chunks.push(chunk);
      wholeBytes += chunk.length;
      if (wholeBytes > maxWholeAnswerBytes) {
        const reason = `the answer exceeds ${maxWholeAnswerBytes} bytes`;
        abandon({kind: 'broken', reason}, reason);
      }
      return;
    }
    if (options.silence !== undefined) {
      watchSilence(options.silence.betweenEventsMs);
    }
    const whole = boundaries.push(chunk);
    if (boundaries.pendingBytes() > maxPendingEventBytes) {
      const reason = `an event exceeds ${maxPendingEventBytes} bytes`;
      abandon({kind: 'broken', reason}, reason);
      return;
    }
    if (whole === undefined) return;
    noteFirstAnswer();
    noteGap();
    if (receiver.events(answer, whole)) return;
    exchange.pause();
    cancelSilence();
    receiver.onDrain(() => exchange.resume());
  }

  function takeEnd(): void {
    if (settled || answer === undefined) return;
    if (answer.otherUpstream) {
      settle({kind: 'misdirected', reason: 'another upstream answered'});
    } else if (answer.notRun) {
      settle({kind: 'not_run', status: answer.status});
    } else if (!streaming) {
      noteFirstAnswer();
      settle({kind: 'answered', answer, body: Buffer.concat(chunks)});
    } else if (boundaries.pendingBytes() > 0) {
      settle({kind: 'broken', reason: 'the stream ended within an event'});
    } else {
      settle({kind: 'streamed', answer});
    }
  }

  condition.started(work);
  const exchange: UpstreamExchange = connections.send(
    {
      host: entry.host,
      port: entry.port,
      method: options.method,
      target: options.target,
      headers: options.headers,
      body: options.body,
      maxIdleMs: options.maxIdleMs,
    },
    {
      sent: () => {
        sent = true;
      },
      started: (status, headers, rawHeaders) => {
        const head = dialect.readAnswer(status, headers, rawHeaders);
        const fault = faultOf(head);
        if (fault !== undefined) {
          abandon({kind: 'broken', reason: fault}, fault);
          return;
        }
        answer = head;
        streaming = options.streams && status >= 200 && status < 300;
      },
      data: takeChunk,
      ended: takeEnd,
      failed: error =>
        settle(
          sent
            ? {kind: 'broken', reason: error.message}
            : {kind: 'unsent', reason: error.message},
        ),
    },
  );
  if (options.silence !== undefined) {
    watchSilence(options.silence.firstAnswerMs);
  }
  return {
    end,
    lastEventId: boundaries.lastId,
    wasSent: () => sent,
    cancel: reason => abandon({kind: 'broken', reason}, reason),
  };
}
