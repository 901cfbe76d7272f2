/**
 * The response to a caller. It is sent once: buffered, as a stream, or as an
 * error. A stream that cannot continue is aborted, so that it never looks
 * complete.
 */
import type {ServerResponse} from 'node:http';
import type {RouterError} from '@toucanrouter/common';
import {errorResponseFor, toErrorBody} from '@toucanrouter/common';
import {createEventWriter} from './EventWriter.js';

/** Sends the response to one request. */
export interface CallerResponse {
  readonly started: boolean;
  /**
   * True if the caller did not wait for the earlier responses on the connection,
   * of which some may not be sent yet.
   */
  isWaiting(): boolean;
  send(status: number, headers: readonly string[], body: Buffer): void;
  /** Starts a stream, whose length is not known in advance. */
  start(status: number, headers: readonly string[]): void;
  /** Writes events; false under backpressure from the caller. */
  write(events: Buffer): boolean;
  end(): void;
  /** `closes` is true if the rest of the request is not waited for. */
  sendError(error: RouterError, requestId: string, closes?: boolean): void;
  /** Closes the connection of a response that cannot be completed. */
  abort(): void;
  onDrain(run: () => void): void;
  /** Calls `run` once the response was handed over completely, or closed. */
  onClosed(run: () => void): void;
}

const msPerSecond = 1_000;

/**
 * Returns the headers without the length that the first upstream announced. The
 * rest of a stream may come from another upstream, whose events can differ in
 * size.
 */
function withoutLength(headers: readonly string[]): string[] {
  return headers.filter((_, index) => {
    const name = headers[index - (index % 2)] ?? '';
    return name.toLowerCase() !== 'content-length';
  });
}

/** Decides whether a connection closes after a response. */
export interface ConnectionClosing {
  /** True when connections close as soon as they can. */
  readonly isClosing: () => boolean;
  /**
   * Marks the connection as closing after this response. Returns false if a
   * later request was read on it, whose response has to follow.
   */
  readonly tryClose: () => boolean;
  /** True if the caller did not wait for the answer to its earlier request. */
  readonly isPipelined: () => boolean;
}

/** Options of a caller response. */
export interface CallerResponseOptions extends ConnectionClosing {
  readonly response: ServerResponse;
}

/** Creates the response to one request; nothing is sent yet. */
export function createCallerResponse(
  options: CallerResponseOptions,
): CallerResponse {
  const {response} = options;
  const writer = createEventWriter({
    write: (bytes, done) => response.write(bytes, done),
    maxUnsentBytes: () => response.writableHighWaterMark,
  });

  function writeHead(
    status: number,
    headers: readonly string[],
    mustClose = false,
  ): void {
    const flat = [...headers];
    const closes = mustClose || options.isClosing();
    if (closes && options.tryClose()) flat.push('Connection', 'close');
    response.sendDate = false;
    response.writeHead(status, flat);
  }

  const canStart = () => !response.headersSent && !response.destroyed;

  return {
    get started() {
      return response.headersSent;
    },
    isWaiting: () => response.socket === null || options.isPipelined(),
    send: (status, headers, body) => {
      if (!canStart()) return;
      writeHead(status, headers);
      response.end(body);
    },
    start: (status, headers) => {
      if (canStart()) writeHead(status, withoutLength(headers));
    },
    write: events => writer.write(events),
    end: () => response.end(writer.close()),
    sendError: (error, requestId, closes = false) => {
      if (!canStart()) return;
      const body = Buffer.from(JSON.stringify(toErrorBody(error, requestId)));
      const headers = [
        'Content-Type',
        'application/json',
        'Content-Length',
        String(body.length),
      ];
      if (error.retryAfterMs !== undefined) {
        const seconds = (error.retryAfterMs / msPerSecond).toFixed(3);
        headers.push('Retry-After', seconds);
      }
      // The rest of a body that is too large is not read.
      const mustClose = closes || error.kind === 'body_too_large';
      writeHead(errorResponseFor(error.kind).status, headers, mustClose);
      response.end(body);
    },
    abort: () => {
      writer.close();
      // Only a reset shows that a body without a length or chunks is incomplete.
      if (response.headersSent && !response.chunkedEncoding) {
        response.socket?.resetAndDestroy();
      }
      response.destroy();
    },
    onDrain: writer.onDrain,
    onClosed: run => {
      if (response.destroyed) run();
      else response.once('close', run);
    },
  };
}
