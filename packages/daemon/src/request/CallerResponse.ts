/**
 * The answer to a caller. It has one of three forms: a stream of events, a
 * whole document, or an error. A stream that has begun can only end complete
 * or with an explicit error event.
 */
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {RequestId, RouterError} from '@toucanrouter/common';
import {errorResponseFor, toErrorBody} from '@toucanrouter/common';

/** Writes one answer. */
export interface CallerResponse {
  readonly started: boolean;
  /** Begins a stream of server-sent events. */
  startStream(): void;
  /** Writes to the stream; resolves when the caller takes more. */
  write(chunk: Uint8Array): Promise<void>;
  /** Ends the stream as complete. */
  endStream(): void;
  /** Sends a whole answer. */
  sendWhole(
    status: number,
    headers: OutgoingHttpHeaders,
    body: Uint8Array,
  ): void;
  /** Sends an error, as an event when the stream has begun. */
  sendError(error: RouterError): void;
}

const msPerSecond = 1_000;

/** Creates the answer that is written to `outgoing`. */
export function createCallerResponse(
  outgoing: ServerResponse,
  requestId: RequestId,
  callerRequestId: string | undefined,
): CallerResponse {
  const commonHeaders: OutgoingHttpHeaders = {
    'x-request-id': callerRequestId ?? requestId,
  };

  function sendErrorDocument(error: RouterError): void {
    const {status, runStatus} = errorResponseFor(error.kind);
    const headers: OutgoingHttpHeaders = {
      ...commonHeaders,
      'content-type': 'application/json',
      'x-run-status': runStatus,
    };
    if (error.retryAfterMs !== undefined) {
      const seconds = Math.ceil(error.retryAfterMs / msPerSecond);
      headers['retry-after'] = String(seconds);
    }
    const body = JSON.stringify(toErrorBody(error, callerRequestId));
    headers['content-length'] = Buffer.byteLength(body);
    outgoing.writeHead(status, headers);
    outgoing.end(body);
  }

  function sendErrorEvent(error: RouterError): void {
    const body = JSON.stringify(toErrorBody(error, callerRequestId));
    outgoing.end(`event: error\ndata: ${body}\n\n`);
  }

  return {
    get started() {
      return outgoing.headersSent;
    },
    startStream: () => {
      outgoing.writeHead(200, {
        ...commonHeaders,
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
      });
    },
    write: chunk => {
      if (outgoing.destroyed || outgoing.write(chunk)) return Promise.resolve();
      return new Promise(resolve => {
        const settle = () => {
          outgoing.off('drain', settle);
          outgoing.off('close', settle);
          resolve();
        };
        outgoing.on('drain', settle);
        outgoing.on('close', settle);
      });
    },
    endStream: () => {
      outgoing.end();
    },
    sendWhole: (status, headers, body) => {
      outgoing.writeHead(status, {
        ...headers,
        ...commonHeaders,
        'content-length': body.length,
      });
      outgoing.end(body);
    },
    sendError: error => {
      if (outgoing.destroyed || outgoing.writableEnded) return;
      if (outgoing.headersSent) sendErrorEvent(error);
      else sendErrorDocument(error);
    },
  };
}
