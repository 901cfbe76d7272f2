/**
 * The response to a caller, which is a stream of events, a complete document or
 * an error. A stream that has started ends either complete or with an explicit
 * error event.
 */
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import type {RequestId, RouterError} from '@toucanrouter/common';
import {errorResponseFor, toErrorBody} from '@toucanrouter/common';

/** Writes one response. */
export interface CallerResponse {
  /** True once the headers have been sent. */
  readonly started: boolean;
  /** Starts a stream of server-sent events. */
  startStream(): void;
  /** Writes to the stream; resolves once backpressure allows another write. */
  write(chunk: Uint8Array): Promise<void>;
  /** Ends the stream as complete. */
  endStream(): void;
  /** Sends a complete document. */
  send(status: number, headers: OutgoingHttpHeaders, body: Uint8Array): void;
  /** Sends an error, as an event if a stream has started. */
  sendError(error: RouterError): void;
}

const msPerSecond = 1_000;

/** Creates the response that is written to `outgoing`. */
export function createCallerResponse(
  outgoing: ServerResponse,
  requestId: RequestId,
  callerRequestId: string | undefined,
  /** Returns whether the connection closes after this response. */
  tryClose: () => boolean = () => false,
): CallerResponse {
  const commonHeaders: OutgoingHttpHeaders = {
    'x-request-id': callerRequestId ?? requestId,
  };

  function writeHead(status: number, headers: OutgoingHttpHeaders): void {
    if (tryClose()) outgoing.setHeader('connection', 'close');
    outgoing.writeHead(status, headers);
  }

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
    writeHead(status, headers);
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
      writeHead(200, {
        ...commonHeaders,
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
      });
    },
    write: chunk => {
      if (outgoing.destroyed || outgoing.write(chunk)) return Promise.resolve();
      return new Promise(resolve => {
        const finish = () => {
          outgoing.off('drain', finish);
          outgoing.off('close', finish);
          resolve();
        };
        outgoing.on('drain', finish);
        outgoing.on('close', finish);
      });
    },
    endStream: () => {
      outgoing.end();
    },
    send: (status, headers, body) => {
      writeHead(status, {
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
