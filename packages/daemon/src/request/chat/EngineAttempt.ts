/**
 * One request to a model engine: sends it, reads the response stream and passes
 * complete events on. Every way in which the attempt can end is returned as a
 * value, on which the recovery policy decides.
 */
import type {Readable} from 'node:stream';
import type {
  BufferBudget,
  BufferShare,
  RequestId,
  RouterError,
} from '@toucanrouter/common';
import {
  createPieceLimit,
  maxBatchBytes,
  maxBytesWithoutEvent,
  maxRejectionBodyBytes,
  PieceLimitError,
  readBatches,
  readLimitedBody,
  RouterError as RouterErrorClass,
} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import type {Dispatcher} from 'undici';
import {errors} from 'undici';
import type {ResponseHead} from '../ResponseHeads.js';
import {checkStatus, serviceUnavailableStatus} from '../ResponseHeads.js';
import type {ScannedEvents} from './SseScanner.js';
import {createSseScanner} from './SseScanner.js';

/** How an attempt ended. */
export type AttemptEnd =
  | {readonly kind: 'aborted'}
  /** The stream ended without a transport error. */
  | {readonly kind: 'ended'}
  /** The connection or the stream broke, or the response was not valid. */
  | {
      readonly kind: 'broken';
      readonly error: RouterError;
      /** False if no connection could be opened. */
      readonly connected: boolean;
    }
  /** The engine rejected the call before it ran. */
  | {
      readonly kind: 'rejected';
      readonly status: number;
      readonly body: Buffer;
      readonly contentType: string;
    };

/** A call to an engine. */
export interface EngineCall {
  readonly dispatcher: Dispatcher;
  readonly responseBuffers: BufferBudget;
  /** `host:port`. */
  readonly address: string;
  readonly requestId: RequestId;
  readonly body: string;
  /** If set, the engine resumes the same request after this event. */
  readonly lastEventId: number | undefined;
  readonly signal: AbortSignal;
  readonly onHead: (head: ResponseHead) => void;
  /** Handles complete events; an error ends the attempt as `broken`. */
  readonly onEvents: (
    events: ScannedEvents,
  ) => Promise<Result<void, RouterError>>;
}

/** An engine that sends no data for this long is considered to have failed. */
const engineIdleTimeoutMs = 20_000;

/** Runs one attempt to its end. */
export async function runEngineAttempt(call: EngineCall): Promise<AttemptEnd> {
  try {
    const response = await call.dispatcher.request({
      origin: `http://${call.address}`,
      path: '/v1/chat/completions',
      method: 'POST',
      headers: toHeaders(call),
      body: call.body,
      signal: call.signal,
      headersTimeout: engineIdleTimeoutMs,
      bodyTimeout: engineIdleTimeoutMs,
      highWaterMark: maxBatchBytes,
      onInfo: checkStatus,
    });
    checkStatus(response);
    const {statusCode} = response;
    call.onHead(response);
    if (isRejection(statusCode)) return await readRejection(response);
    if (statusCode === 200) return await readStream(response.body, call);
    // Reads a short body to its end, so that the connection can be used again.
    await readLimitedBody(response.body, maxRejectionBodyBytes);
    const error = statusError(call, statusCode);
    return {kind: 'broken', error, connected: true};
  } catch (cause) {
    if (call.signal.aborted) return {kind: 'aborted'};
    const error = connectionError(call, cause);
    return {kind: 'broken', error, connected: !isConnectError(cause)};
  }
}

/**
 * Returns whether an engine returns a status before it runs a call. Any other
 * error status may come from an engine that failed during the run.
 */
function isRejection(status: number): boolean {
  return (status >= 400 && status < 500) || status === serviceUnavailableStatus;
}

function toHeaders(call: EngineCall): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    accept: 'text/event-stream',
    'x-request-id': call.requestId,
  };
  if (call.lastEventId !== undefined) {
    headers['last-event-id'] = String(call.lastEventId);
  }
  return headers;
}

async function readStream(
  body: Readable,
  call: EngineCall,
): Promise<AttemptEnd> {
  const share = call.responseBuffers.open(() =>
    body.destroy(new Error('the buffered responses exceed their memory')),
  );
  try {
    return await readEvents(body, call, share);
  } finally {
    share.close();
  }
}

async function readEvents(
  body: Readable,
  call: EngineCall,
  share: BufferShare,
): Promise<AttemptEnd> {
  const scanner = createSseScanner();
  const pieces = createPieceLimit();
  let bytesWithoutEvent = 0;
  for await (const batch of readBatches(body, pieces)) {
    const scanned = scanner.push(batch);
    share.resize(scanner.pendingBytes());
    bytesWithoutEvent += batch.length;
    if (scanned !== undefined && scanned.events.length > 0) {
      pieces.reset();
      bytesWithoutEvent = scanner.pendingBytes();
    }
    if (bytesWithoutEvent > maxBytesWithoutEvent) {
      const message = `upstream ${call.address} sent more than ${maxBytesWithoutEvent} bytes without a complete event`;
      const error = new RouterErrorClass('answer_incomplete', message);
      return {kind: 'broken', error, connected: true};
    }
    if (scanned === undefined) continue;
    const handled = await call.onEvents(scanned);
    if (call.signal.aborted) return {kind: 'aborted'};
    if (handled.isErr()) {
      return {kind: 'broken', error: handled.error, connected: true};
    }
  }
  return {kind: 'ended'};
}

async function readRejection(
  response: Dispatcher.ResponseData,
): Promise<AttemptEnd> {
  const {bytes} = await readLimitedBody(response.body, maxRejectionBodyBytes);
  const contentType = response.headers['content-type'];
  return {
    kind: 'rejected',
    status: response.statusCode,
    body: bytes,
    contentType: typeof contentType === 'string' ? contentType : 'text/plain',
  };
}

function statusError(call: EngineCall, status: number): RouterError {
  const message = `upstream ${call.address} returned status ${status}`;
  return new RouterErrorClass('upstream_failed', message);
}

function isConnectError(cause: unknown): boolean {
  if (cause instanceof errors.ConnectTimeoutError) return true;
  return (
    cause instanceof Error && 'syscall' in cause && cause.syscall === 'connect'
  );
}

function connectionError(call: EngineCall, cause: unknown): RouterError {
  if (cause instanceof PieceLimitError) {
    const message = `upstream ${call.address}: ${cause.message}`;
    return new RouterErrorClass('answer_incomplete', message);
  }
  const reason = cause instanceof Error ? cause.message : String(cause);
  const message = `the connection to upstream ${call.address} failed: ${reason}`;
  return new RouterErrorClass('upstream_failed', message, {cause});
}
