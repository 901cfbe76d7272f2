/**
 * The body of a response that is not streamed. What it may cost depends on the
 * use of its bytes: the body of a rejection is not passed on, and a failure needs
 * no more than a description.
 */
import {
  createByteCollector,
  createPieceLimit,
  maxBufferedBodyBytes,
  maxRejectionBodyBytes,
} from '@toucanrouter/common';
import type {UpstreamResponse} from './Dialect.js';
import {minServerErrorStatus} from './Dialect.js';

/** Collects a body within its limits. */
export interface BufferedBody {
  /** Number of bytes that are held. */
  readonly sizeBytes: number;
  /** Adds a chunk; returns why the body exceeds its limits. */
  add(chunk: Buffer): string | undefined;
  /** Returns the bytes and forgets them. */
  take(): Buffer;
}

const maxFailureBodyBytes = 1024 * 1024;
const maxRejectionPiecesCount = 256;

/** True if the head states that the request did not run at its upstream. */
export function isRejection(head: UpstreamResponse): boolean {
  return head.notRun || head.misdirected;
}

/** Counts the body of a rejection, of which nothing is held. */
function createRejectionBody(): BufferedBody {
  let piecesCount = 0;
  let readBytes = 0;
  return {
    sizeBytes: 0,
    add: chunk => {
      piecesCount += 1;
      readBytes += chunk.length;
      return piecesCount > maxRejectionPiecesCount ||
        readBytes > maxRejectionBodyBytes
        ? `the body of a rejection exceeds ${maxRejectionBodyBytes} bytes or ${maxRejectionPiecesCount} pieces`
        : undefined;
    },
    take: () => Buffer.alloc(0),
  };
}

/** Creates the empty body of a response with the given head. */
export function createBufferedBody(head: UpstreamResponse): BufferedBody {
  if (isRejection(head)) return createRejectionBody();
  const maxBytes =
    head.status >= minServerErrorStatus
      ? maxFailureBodyBytes
      : maxBufferedBodyBytes;
  const collector = createByteCollector();
  const pieces = createPieceLimit();
  return {
    get sizeBytes() {
      return collector.sizeBytes;
    },
    add: chunk => {
      collector.add(chunk);
      if (collector.sizeBytes > maxBytes) {
        return `the response exceeds ${maxBytes} bytes`;
      }
      return pieces.tryAdd(chunk.length)
        ? undefined
        : 'the response consists of too many small pieces';
    },
    take: () => collector.take(),
  };
}
