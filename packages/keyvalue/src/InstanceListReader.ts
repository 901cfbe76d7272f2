/**
 * Polls the platform's instance list. While the source is down or its response
 * is malformed, the last valid list stays in effect.
 */
import type {Clock} from '@toucanrouter/common';
import {
  connectWithin,
  hasTooManyValues,
  PlatformError,
  readWholeBody,
} from '@toucanrouter/common';
import {ResultAsync} from 'neverthrow';
import {Agent, request} from 'undici';
import type {
  InstanceList,
  InstanceListFault,
  ParsedInstanceList,
} from './InstanceListParser.js';
import {parseInstanceList} from './InstanceListParser.js';

const defaultTimeoutMs = 2000;
/** `undici` does not cancel a call before its connection is established. */
const connectTimeoutMs = 500;
/** Bounds memory, since the list is held as a whole. */
const maxListBytes = 16 * 1024 * 1024;

export interface InstanceListReaderOptions {
  readonly url: string;
  readonly pollMs: number;
  readonly clock: Clock;
  /** Time after which a poll fails; 2 s if absent. */
  readonly timeoutMs?: number;
  /** Called after each poll that succeeds. */
  readonly onList: (list: InstanceList) => void;
  /** Called with the invalid entries of a poll, if there are any. */
  readonly onFaults?: (faults: readonly InstanceListFault[]) => void;
  /** Called when a poll fails. */
  readonly onError?: (error: PlatformError) => void;
}

export interface InstanceListReader {
  /** The last valid list, or undefined before the first. */
  current(): InstanceList | undefined;
  /** Clock time of the last successful poll, or undefined before the first. */
  lastSuccessAtMs(): number | undefined;
  /** Polls immediately, or joins a poll that is in progress. */
  poll(): Promise<void>;
  close(): void;
}

/** Creates a reader that polls immediately and then every `pollMs`. */
export function createInstanceListReader(
  options: InstanceListReaderOptions,
): InstanceListReader {
  let currentList: InstanceList | undefined;
  let lastSuccessAtMs: number | undefined;
  let pendingPoll: Promise<void> | undefined;
  const dispatcher = new Agent({connect: connectWithin(connectTimeoutMs)});
  let closed = false;

  function handleList(parsed: ParsedInstanceList): void {
    if (closed) return;
    currentList = parsed.list;
    lastSuccessAtMs = options.clock.nowMs();
    if (parsed.faults.length > 0) options.onFaults?.(parsed.faults);
    options.onList(parsed.list);
  }

  function handleError(error: PlatformError): void {
    if (!closed) options.onError?.(error);
  }

  function poll(): Promise<void> {
    pendingPoll ??= fetchList(options, dispatcher)
      .match(handleList, handleError)
      .finally(() => {
        pendingPoll = undefined;
      });
    return pendingPoll;
  }

  void poll();
  const stopPolling = options.clock.every(options.pollMs, () => void poll());
  return {
    current: () => currentList,
    lastSuccessAtMs: () => lastSuccessAtMs,
    poll,
    close: () => {
      closed = true;
      stopPolling();
      void dispatcher.destroy();
    },
  };
}

function fetchList(
  options: InstanceListReaderOptions,
  dispatcher: Agent,
): ResultAsync<ParsedInstanceList, PlatformError> {
  return ResultAsync.fromPromise(fetchJson(options, dispatcher), error =>
    toListError(String(error), error),
  ).andThen(body =>
    parseInstanceList(body).mapErr(message => toListError(message)),
  );
}

async function fetchJson(
  options: InstanceListReaderOptions,
  dispatcher: Agent,
): Promise<unknown> {
  const abort = new AbortController();
  const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
  const stopTimer = options.clock.after(timeoutMs, () =>
    abort.abort(new Error(`no response within ${timeoutMs} ms`)),
  );
  try {
    const response = await request(options.url, {
      dispatcher,
      signal: abort.signal,
    });
    const body = await readWholeBody(response.body, maxListBytes);
    if (response.statusCode !== 200) {
      throw new Error(`status ${response.statusCode}`);
    }
    const text = body.toString();
    if (hasTooManyValues(text)) throw new Error('it has too many values');
    return JSON.parse(text) as unknown;
  } finally {
    stopTimer();
  }
}

function toListError(reason: string, cause?: unknown): PlatformError {
  return new PlatformError(`instance list: ${reason}`, false, {cause});
}
