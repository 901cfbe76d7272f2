/**
 * Limits the header lines of a response. `undici` limits the bytes of names and
 * values, but holds two objects of some hundred bytes for each line, however
 * short it is, so that a few responses with many short lines could fill the heap.
 * Trailers are counted like a head of their own.
 */
import type {Socket} from 'node:net';
import type {Dispatcher} from 'undici';
import symbols from 'undici/lib/core/symbols.js';

/** Header lines of a head, or of trailers. */
export const maxHeaderLinesCount = 256;

/** The parts of `undici`'s parser of responses that are used here. */
interface ResponseParser {
  readonly socket: Socket;
  /** Names and values in turn. */
  readonly headers: Buffer[];
  /** Called with the size of each name and value that was added. */
  trackHeader(bytes: number): void;
}

function limitLines(parser: ResponseParser): void {
  const trackHeader = parser.trackHeader.bind(parser);
  parser.trackHeader = bytes => {
    trackHeader(bytes);
    const {headers, socket} = parser;
    if (headers.length > 2 * maxHeaderLinesCount && !socket.destroyed) {
      socket.destroy(
        new Error(`the response has more than ${maxHeaderLinesCount} headers`),
      );
    }
    // The parser goes on to the end of what was read, and adds to the last line.
    if (socket.destroyed) headers.splice(0, headers.length - lastLine(headers));
  };
}

/** Returns how many of the last items belong to the last line. */
function lastLine({length}: readonly Buffer[]): number {
  return length % 2 === 1 ? 1 : Math.min(length, 2);
}

/** Limits the header lines of all responses that a dispatcher receives. */
export function limitHeaderLines(dispatcher: Dispatcher): void {
  dispatcher.on('connect', (_, targets) => {
    const client = targets.at(-1) as unknown as Record<symbol, unknown>;
    const socket = client[symbols.kSocket] as Record<symbol, unknown> | null;
    const parser = socket?.[symbols.kParser] as ResponseParser | null;
    if (parser) limitLines(parser);
  });
}
