/**
 * The answer to a caller. An answer is sent once: whole, as a stream, or as an
 * error; a stream that cannot go on is broken off, so that it never looks
 * complete.
 */
import type {ServerResponse} from 'node:http';
import type {RouterError} from '@toucanrouter/common';
import {errorResponseFor, toErrorBody} from '@toucanrouter/common';

/** Sends the answer of one request. */
export interface CallerReply {
  readonly begun: boolean;
  whole(status: number, headers: readonly string[], body: Buffer): void;
  begin(status: number, headers: readonly string[]): void;
  /** Sends a part; false when the caller reads too slowly. */
  write(chunk: Buffer): boolean;
  end(): void;
  error(error: RouterError, requestId: string): void;
  /** Closes the connection of an answer that cannot be completed. */
  breakOff(): void;
  onDrain(run: () => void): void;
}

const msPerSecond = 1_000;

/** Options of a reply. */
export interface CallerReplyOptions {
  readonly response: ServerResponse;
  /** True when the connection closes after this answer. */
  readonly closing: () => boolean;
}

/** Creates the reply to one request. */
export function createCallerReply(options: CallerReplyOptions): CallerReply {
  const {response} = options;

  function head(status: number, headers: readonly string[]): void {
    const flat = [...headers];
    if (options.closing()) flat.push('Connection', 'close');
    response.sendDate = false;
    response.writeHead(status, flat);
  }

  const open = () => !response.headersSent && !response.destroyed;

  return {
    get begun() {
      return response.headersSent;
    },
    whole: (status, headers, body) => {
      if (!open()) return;
      head(status, headers);
      response.end(body);
    },
    begin: (status, headers) => {
      if (open()) head(status, headers);
    },
    write: chunk => response.write(chunk),
    end: () => response.end(),
    error: (error, requestId) => {
      if (!open()) return;
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
      head(errorResponseFor(error.kind).status, headers);
      response.end(body);
    },
    breakOff: () => response.destroy(),
    onDrain: run => response.once('drain', run),
  };
}
