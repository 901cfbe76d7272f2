/**
 * Polls the platform's instance list. While the source is down or answers
 * nonsense, the last good list stays in effect.
 */
import type {Clock} from '@toucanrouter/common';
import {PlatformError} from '@toucanrouter/common';
import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import type {
  InstanceList,
  ListFault,
  ParsedInstanceList,
} from './InstanceListParser.js';
import {parseInstanceList} from './InstanceListParser.js';

/** Time after which a poll counts as unanswered. */
const defaultTimeoutMs = 2000;

/** Parameters of an instance list reader. */
export interface InstanceListReaderOptions {
  readonly url: string;
  readonly pollMs: number;
  readonly clock: Clock;
  /** Time after which a poll counts as unanswered; 2 s when absent. */
  readonly timeoutMs?: number;
  /** Called after each poll that succeeds. */
  readonly onList: (list: InstanceList) => void;
  /** Called with the entries that a poll skipped, when there are any. */
  readonly onFaults?: (faults: readonly ListFault[]) => void;
  /** Called when a poll fails. */
  readonly onError?: (error: PlatformError) => void;
}

/** A running reader of the instance list. */
export interface InstanceListReader {
  /** The last good list, or undefined before the first. */
  current(): InstanceList | undefined;
  /** Clock time of the last good answer, or undefined before the first. */
  lastReadAtMs(): number | undefined;
  /** Polls at once; used at start and by tests. */
  poll(): Promise<void>;
  close(): void;
}

/** Creates a reader that polls at once and then every `pollMs`. */
export function createInstanceListReader(
  options: InstanceListReaderOptions,
): InstanceListReader {
  let list: InstanceList | undefined;
  let readAtMs: number | undefined;
  let polling: Promise<void> | undefined;
  let closed = false;

  function accept(parsed: ParsedInstanceList): void {
    if (closed) return;
    list = parsed.list;
    readAtMs = options.clock.nowMs();
    if (parsed.faults.length > 0) options.onFaults?.(parsed.faults);
    options.onList(parsed.list);
  }

  function reject(error: PlatformError): void {
    if (!closed) options.onError?.(error);
  }

  function poll(): Promise<void> {
    polling ??= fetchList(options)
      .match(accept, reject)
      .finally(() => {
        polling = undefined;
      });
    return polling;
  }

  void poll();
  const stopPolling = options.clock.every(options.pollMs, () => void poll());
  return {
    current: () => list,
    lastReadAtMs: () => readAtMs,
    poll,
    close: () => {
      closed = true;
      stopPolling();
    },
  };
}

function fetchList(
  options: InstanceListReaderOptions,
): ResultAsync<ParsedInstanceList, PlatformError> {
  return ResultAsync.fromPromise(fetchJson(options), error =>
    toListError(String(error), error),
  ).andThen(answer =>
    parseInstanceList(answer).mapErr(message => toListError(message)),
  );
}

async function fetchJson(options: InstanceListReaderOptions): Promise<unknown> {
  const abort = new AbortController();
  const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
  const stopTimer = options.clock.after(timeoutMs, () =>
    abort.abort(new Error(`no answer within ${timeoutMs} ms`)),
  );
  try {
    const response = await request(options.url, {signal: abort.signal});
    if (response.statusCode === 200) return await response.body.json();
    await response.body.dump();
    throw new Error(`status ${response.statusCode}`);
  } finally {
    stopTimer();
  }
}

function toListError(reason: string, cause?: unknown): PlatformError {
  return new PlatformError(`instance list: ${reason}`, false, {cause});
}
