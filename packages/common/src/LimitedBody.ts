/**
 * Reads bodies that come in pieces of any size. Pieces are counted as they
 * arrive and joined before they are handed on, so that neither what is held nor
 * what a reader does follows their number. A body that is not read to its end is
 * closed with its connection.
 */
import type {Readable} from 'node:stream';
import type {ByteCollector} from './ByteCollector.js';
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

/** A body was closed because it has too many bytes. */
class BodySizeError extends Error {
  constructor(maxBytes: number) {
    super(`the body exceeds ${maxBytes} bytes`);
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

/** Adds a body to a collector; throws if the body breaks or exceeds a limit. */
async function collectBody(
  body: Readable,
  collector: ByteCollector,
  maxBytes: number,
  onSize: (bytes: number) => void,
): Promise<void> {
  for await (const batch of readBatches(body, createPieceLimit())) {
    const freeBytes = maxBytes - collector.sizeBytes;
    collector.add(batch.subarray(0, freeBytes));
    if (batch.length > freeBytes) throw new BodySizeError(maxBytes);
    onSize(collector.sizeBytes);
  }
}

/** Reads a body up to its end or a limit. Rejects if the body breaks. */
export async function readLimitedBody(
  body: Readable,
  maxBytes: number,
): Promise<LimitedBody> {
  const collector = createByteCollector();
  try {
    await collectBody(body, collector, maxBytes, () => undefined);
    return {bytes: collector.take(), complete: true};
  } catch (cause) {
    const isLimit =
      cause instanceof PieceLimitError || cause instanceof BodySizeError;
    if (!isLimit) throw cause;
    return {bytes: collector.take(), complete: false};
  }
}

/**
 * Reads a whole body; `onSize` is told how much is held. Rejects if the body
 * breaks or exceeds a limit.
 */
export async function readWholeBody(
  body: Readable,
  maxBytes: number,
  onSize: (bytes: number) => void = () => undefined,
): Promise<Buffer> {
  const collector = createByteCollector();
  await collectBody(body, collector, maxBytes, onSize);
  return collector.take();
}
