/**
 * One attempt to serve a request on one upstream. It checks that the response
 * belongs to the request, watches for stalls, and reports how the attempt ended.
 * Retries are decided elsewhere.
 */
import type {BufferBudget, Clock} from '@toucanrouter/common';
import type {Choice} from '../upstreams/UpstreamChoice.js';
import type {UpstreamOutcome} from '../upstreams/UpstreamHealth.js';
import type {
  UpstreamConnections,
  UpstreamExchange,
} from '../upstreams/UpstreamConnections.js';
import type {BufferedBody} from './BufferedBody.js';
import {createBufferedBody, isRejection} from './BufferedBody.js';
import type {Dialect, UpstreamResponse} from './Dialect.js';
import {minServerErrorStatus} from './Dialect.js';
import {createEventProgress} from './EventProgress.js';
import type {CompleteEvents, EventSplitter} from './EventSplitter.js';
import {createEventSplitter} from './EventSplitter.js';
import {createResponseFlow} from './ResponseFlow.js';
import type {StallLimits} from './StallWatch.js';
import {createStallWatch} from './StallWatch.js';

/** How an attempt ended. */
export type AttemptResult =
  /** The request did not leave this instance. */
  | {readonly kind: 'unsent'; readonly reason: string}
  /** The request was not sent because the upstream asked for a pause. */
  | {readonly kind: 'withdrawn'; readonly reason: string}
  /** Another upstream responded at the address. */
  | {readonly kind: 'misdirected'; readonly reason: string}
  /** The upstream states that it did not run the request. */
  | {readonly kind: 'not_run'; readonly status: number}
  /** The request may have run; its response is missing or invalid. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** A complete response that was not streamed. */
  | {
      readonly kind: 'answered';
      readonly response: UpstreamResponse;
      readonly body: Buffer;
      readonly endedByClose: boolean;
    }
  /** The stream completed, and all of its events were passed on. */
  | {
      readonly kind: 'streamed';
      readonly response: UpstreamResponse;
      /** True if only the end of the connection marked the end. */
      readonly endedByClose: boolean;
    };

/**
 * Returns the outcome that counts for the upstream's health. A misdirected
 * request has none, since another upstream responded, and neither has one that
 * was withdrawn.
 */
export function outcomeOf(
  result: Exclude<AttemptResult, {kind: 'misdirected' | 'withdrawn'}>,
): UpstreamOutcome {
  switch (result.kind) {
    case 'unsent':
      return 'unreachable';
    case 'not_run':
      return 'refused';
    case 'broken':
      return 'failed';
    case 'answered':
      return result.response.status >= minServerErrorStatus
        ? 'failed'
        : 'served';
    case 'streamed':
      return 'served';
  }
}

/**
 * Returns the result of a response whose body did not end, if its head states
 * that the request did not run. Nothing more is concluded from such a response:
 * the upstream is not taken for another one.
 */
function resultOfHead(
  head: UpstreamResponse | undefined,
): AttemptResult | undefined {
  return head !== undefined && isRejection(head)
    ? {kind: 'not_run', status: head.status}
    : undefined;
}

/** Receives events of a stream as they arrive. */
export interface StreamReceiver {
  /**
   * Receives complete events and the time since the previous ones, if the
   * upstream determined it. False asks to pause until the drain.
   */
  events(
    response: UpstreamResponse,
    completed: CompleteEvents,
    gapMs: number | undefined,
  ): boolean;
  /** Calls `run` once the caller accepts data again. */
  onDrain(run: () => void): void;
}

/** Options of an attempt. */
export interface AttemptOptions {
  readonly clock: Clock;
  readonly connections: UpstreamConnections;
  /** Bounds the bytes that all attempts buffer together. */
  readonly responseBuffers: BufferBudget;
  readonly dialect: Dialect;
  readonly choice: Choice;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  /** True when a successful response should be a stream of server-sent events. */
  readonly streams: boolean;
  /** Id of the last event that the caller received from earlier attempts. */
  readonly passedOnEventId: string | undefined;
  /** Longest idle time of a connection that may carry the request. */
  readonly maxIdleMs: number;
  readonly stallLimits: StallLimits;
  /** Returns why the request must not be sent any more, or undefined. */
  readonly withdrawalReason: () => string | undefined;
  /**
   * Called with the head of a response that belongs to the request, and the time
   * at which the request was sent.
   */
  readonly onResponseHead: (head: UpstreamResponse, sentAtMs: number) => void;
  /** Called when a sent request makes no progress, and again while it lasts. */
  readonly onStalled: (lastEventId: string | undefined) => void;
  /** Called with the time to the first event, or to a plain response. */
  readonly onFirstResponse: (observedMs: number) => void;
  readonly receiver: StreamReceiver;
}

/** A running attempt. */
export interface Attempt {
  readonly result: Promise<AttemptResult>;
  /** Id of the last event that was passed on. */
  lastEventId(): string | undefined;
  wasSent(): boolean;
  wasCanceled(): boolean;
  cancel(reason: string): void;
}

/** Starts an attempt. */
export function startAttempt(options: AttemptOptions): Attempt {
  const {choice, clock, connections, dialect, receiver} = options;
  const {health, entry} = choice.candidate;
  const startedAtMs = clock.nowMs();
  const work = {promptTokens: choice.uncachedPromptTokens};
  const splitter: EventSplitter = createEventSplitter(options.passedOnEventId);
  const eventProgress = createEventProgress();
  let body: BufferedBody | undefined;
  let response: UpstreamResponse | undefined;
  let sent = false;
  let sentAtMs = startedAtMs;
  let withdrawn = false;
  let firstResponseRecorded = false;
  let finished = false;
  let canceled = false;
  let resolveResult: (result: AttemptResult) => void = () => undefined;
  const result = new Promise<AttemptResult>(resolve => {
    resolveResult = resolve;
  });

  function finish(result: AttemptResult): void {
    if (finished) return;
    finished = true;
    stallWatch.close();
    flow.close();
    buffered.close();
    health.requestEnded(work, firstResponseRecorded);
    resolveResult(result);
  }

  function abort(result: AttemptResult, reason: string): void {
    finish(result);
    exchange.abort(reason);
  }

  function onStalled(silentMs: number): boolean {
    if (finished) return true;
    const reason = `no progress for ${Math.round(silentMs)} ms`;
    if (!sent) {
      abort({kind: 'unsent', reason}, reason);
      return true;
    }
    const rejection = resultOfHead(response);
    if (rejection !== undefined) {
      abort(rejection, reason);
      return true;
    }
    options.onStalled(splitter.lastEventId());
    return finished;
  }

  function recordFirstResponse(): void {
    if (firstResponseRecorded) return;
    firstResponseRecorded = true;
    const observedMs = clock.nowMs() - startedAtMs;
    health.recordFirstResponse(work, observedMs, choice.expectedMs);
    options.onFirstResponse(observedMs);
  }

  function isFromRequest(head: UpstreamResponse, isReused: boolean): boolean {
    return head.requestId === undefined
      ? !isReused
      : head.requestId === options.requestId;
  }

  /**
   * On a reused connection, a late second response to the previous request may
   * come first. Only the request id shows whose response it is, so a statement
   * without an id that the request did not run cannot be trusted there.
   */
  function invalidReason(
    head: UpstreamResponse,
    isReused: boolean,
  ): string | undefined {
    if (head.requestId !== undefined && head.requestId !== options.requestId) {
      return `the response belongs to request ${head.requestId}`;
    }
    const isAnonymous = head.requestId === undefined && isReused;
    if ((head.misdirected || head.notRun) && !isAnonymous) return undefined;
    if (head.requestId === undefined) return 'the response has no request id';
    if (!head.stamped) return `status ${head.status} without an upstream stamp`;
    if (head.contentEncoded) return 'the response has a content encoding';
    return undefined;
  }

  function handleBodyChunk(bufferedBody: BufferedBody, chunk: Buffer): void {
    const reason = bufferedBody.add(chunk);
    buffered.resize(bufferedBody.sizeBytes);
    if (finished || reason === undefined) return;
    abort(resultOfHead(response) ?? {kind: 'broken', reason}, reason);
  }

  function handleChunk(chunk: Buffer): void {
    if (finished || response === undefined) return;
    flow.pieceReceived();
    if (body !== undefined) {
      handleBodyChunk(body, chunk);
      return;
    }
    const completed = splitter.push(chunk);
    const pendingBytes = splitter.pendingBytes();
    buffered.resize(pendingBytes);
    if (finished) return;
    const reason = splitter.repeatsEvents()
      ? 'the stream repeats events of an earlier attempt'
      : eventProgress.add(chunk.length, completed?.count ?? 0, pendingBytes);
    if (reason !== undefined) {
      abort({kind: 'broken', reason}, reason);
      return;
    }
    if (completed === undefined) return;
    const gapMs = completed.count > 0 ? stallWatch.progress() : undefined;
    if (completed.count > 0) recordFirstResponse();
    if (gapMs !== undefined) health.recordEventGap(gapMs, clock.nowMs());
    if (receiver.events(response, completed, gapMs)) return;
    flow.waitForDrain();
    stallWatch.pause();
    receiver.onDrain(() => {
      stallWatch.resume();
      flow.drained();
    });
  }

  function handleEnd(endedByClose: boolean): void {
    if (finished || response === undefined) return;
    if (response.misdirected) {
      finish({kind: 'misdirected', reason: 'another upstream responded'});
    } else if (response.notRun) {
      finish({kind: 'not_run', status: response.status});
    } else if (body !== undefined) {
      recordFirstResponse();
      finish({kind: 'answered', response, body: body.take(), endedByClose});
    } else if (splitter.pendingBytes() > 0) {
      finish({kind: 'broken', reason: 'the stream ended within an event'});
    } else {
      finish({kind: 'streamed', response, endedByClose});
    }
  }

  const buffered = options.responseBuffers.open(() => {
    const reason = 'the responses that are buffered exceed their memory';
    body?.take();
    abort({kind: 'broken', reason}, reason);
  });
  health.requestStarted(work);
  const stallWatch = createStallWatch({
    clock,
    limits: options.stallLimits,
    onStalled,
  });
  const flow = createResponseFlow({
    pause: () => exchange.pause(),
    resume: () => exchange.resume(),
  });
  const exchange: UpstreamExchange = connections.send(
    {
      requestId: options.requestId,
      host: entry.host,
      port: entry.port,
      method: options.method,
      target: options.target,
      headers: options.headers,
      body: options.body,
      maxIdleMs: options.maxIdleMs,
    },
    {
      withdrawalReason: () => {
        const reason = options.withdrawalReason();
        withdrawn = reason !== undefined;
        return reason;
      },
      sent: () => {
        sent = true;
        sentAtMs = clock.nowMs();
      },
      started: (status, headers, rawHeaders, isReused) => {
        const head = dialect.readResponse(status, headers, rawHeaders);
        if (isFromRequest(head, isReused)) {
          options.onResponseHead(head, sentAtMs);
        }
        const invalid = invalidReason(head, isReused);
        if (invalid !== undefined) {
          abort({kind: 'broken', reason: invalid}, invalid);
          return;
        }
        response = head;
        const isStream =
          options.streams &&
          head.mayBeEventStream &&
          status >= 200 &&
          status < 300;
        body =
          isStream && !isRejection(head) ? undefined : createBufferedBody(head);
      },
      data: handleChunk,
      ended: handleEnd,
      failed: ({message: reason}) => {
        const rejection = resultOfHead(response);
        if (withdrawn) finish({kind: 'withdrawn', reason});
        else if (rejection !== undefined) finish(rejection);
        else finish({kind: sent ? 'broken' : 'unsent', reason});
      },
    },
  );
  return {
    result,
    lastEventId: splitter.lastEventId,
    wasSent: () => sent,
    wasCanceled: () => canceled,
    cancel: reason => {
      canceled ||= !finished;
      abort({kind: 'broken', reason}, reason);
    },
  };
}
