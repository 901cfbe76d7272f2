/**
 * Reads bodies that come in pieces of any size. Pieces are counted as they
 * arrive and joined before they are handed on, so that neither what is held nor
 * what a reader does follows their number. A body that is not read to its end is
 * closed with its connection.
 */
import type {Readable} from 'node:stream';
import {createByteCollector} from './ByteCollector.js';
import type {PieceLimit} from './PieceLimit.js';
import {createPieceLimit} from './PieceLimit.js';

/** A body, or its beginning if it exceeded a limit. */
export interface LimitedBody {
  readonly bytes: Buffer;
  readonly complete: boolean;
}

/** Bytes that may wait for the reader of a body. */
export const maxBatchBytes = 8 * 1024;

/** A body was closed because its pieces were too many for their bytes. */
export class PieceLimitError extends Error {
  constructor() {
    super('the body consists of too many small pieces');
  }
}

function closedError(): Error {
  return new Error('the body was closed before its end');
}

/**
 * Yields the bytes of a body as they arrive; what arrives while the reader is
 * busy is joined. Throws if the body breaks or `pieces` is exceeded.
 */
export async function* readBatches(
  body: Readable,
  pieces: PieceLimit,
): AsyncGenerator<Buffer, void, void> {
  const collector = createByteCollector();
  let ended = false;
  let failure: unknown;
  let wake: () => void = () => undefined;

  function fail(cause: unknown): void {
    failure ??= cause;
    wake();
  }

  function onData(piece: Buffer): void {
    if (failure !== undefined) return;
    if (!pieces.tryAdd(piece.length)) {
      fail(new PieceLimitError());
      body.destroy();
      return;
    }
    collector.add(piece);
    if (collector.sizeBytes >= maxBatchBytes) body.pause();
    wake();
  }

  body.on('end', () => {
    ended = true;
    wake();
  });
  // Stays, because a body that is destroyed reports an error later.
  body.on('error', fail);
  body.on('close', () => {
    if (!ended) fail(closedError());
  });
  body.on('data', onData);
  // The events of a body that has ended already do not come again.
  ended = body.readableEnded;
  if (body.destroyed && !ended) fail(body.errored ?? closedError());
  try {
    for (;;) {
      if (failure !== undefined) throw failure;
      if (collector.sizeBytes > 0) {
        yield collector.take();
        body.resume();
      } else if (ended) {
        return;
      } else {
        await new Promise<void>(resolve => (wake = resolve));
      }
    }
  } finally {
    body.off('data', onData);
    if (!ended) body.destroy();
  }
}

/**
 * Reads a body up to `maxBytes`; `onSize` is told how much is held. Rejects if
 * the body breaks.
 */
export async function readLimitedBody(
  body: Readable,
  maxBytes: number,
  onSize: (bytes: number) => void = () => undefined,
): Promise<LimitedBody> {
  const collector = createByteCollector();
  try {
    for await (const batch of readBatches(body, createPieceLimit())) {
      const freeBytes = maxBytes - collector.sizeBytes;
      collector.add(batch.subarray(0, freeBytes));
      if (batch.length > freeBytes) {
        return {bytes: collector.take(), complete: false};
      }
      onSize(collector.sizeBytes);
    }
  } catch (cause) {
    if (!(cause instanceof PieceLimitError)) throw cause;
    return {bytes: collector.take(), complete: false};
  }
  return {bytes: collector.take(), complete: true};
}

/** Reads a body like `readLimitedBody`; rejects if it exceeds a limit. */
export async function readWholeBody(
  body: Readable,
  maxBytes: number,
  onSize?: (bytes: number) => void,
): Promise<Buffer> {
  const {bytes, complete} = await readLimitedBody(body, maxBytes, onSize);
  if (complete) return bytes;
  throw new Error(
    `the body exceeds ${maxBytes} bytes or consists of too many small pieces`,
  );
}
