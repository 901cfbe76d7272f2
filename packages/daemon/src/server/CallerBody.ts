/**
 * Receives the body of a call within the memory for request bodies. The memory
 * is reserved before the bytes are read, and belongs to the call until the body
 * is closed. Bytes that are not read stay with the caller.
 */
import type {IncomingMessage} from 'node:http';
import type {MemoryBudget, MemoryReservation} from '@toucanrouter/common';
import {createPieceLimit, RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

/** The body of one call. */
export interface CallerBody {
  /** The complete body, or why there is none. */
  readonly received: Promise<Result<Buffer, RouterError>>;
  /** Frees the memory. */
  close(): void;
}

/** Options of a body. */
export interface CallerBodyOptions {
  readonly maxBytes: number;
  readonly memory: MemoryBudget;
  /** Tier of the call; 0 is the most urgent. */
  readonly tier: () => number;
  /** How often the call holds its body at once, in whatever form. */
  readonly copyCount: number;
  /** How long a caller should wait that is refused for lack of memory. */
  readonly retryAfterMs: () => number;
  /** False once the call may have been run. */
  readonly canGiveUp: () => boolean;
  /** Called when the memory of a complete body is needed by other calls. */
  readonly onGivenUp: (error: RouterError) => void;
}

/** First size of a body whose length is not known. */
const firstChunkedBytes = 16 * 1024;

function declaredBytesOf({headers}: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}

/** Starts to receive a body, or refuses it before a byte of it is read. */
export function openCallerBody(
  incoming: IncomingMessage,
  options: CallerBodyOptions,
): CallerBody {
  const {copyCount, memory} = options;
  const memoryBytes = Math.floor(memory.status().maxBytes / copyCount);
  const maxBytes = Math.min(options.maxBytes, memoryBytes);
  const pieces = createPieceLimit();
  let reservation: MemoryReservation | undefined;
  let buffer = Buffer.alloc(0);
  let filledBytes = 0;
  let isSettled = false;
  let resolveReceived: (result: Result<Buffer, RouterError>) => void;
  const received = new Promise<Result<Buffer, RouterError>>(resolve => {
    resolveReceived = resolve;
  });

  function settle(result: Result<Buffer, RouterError>): void {
    isSettled = true;
    incoming.off('data', onData);
    resolveReceived(result);
  }

  function release(): void {
    reservation?.close();
    buffer = Buffer.alloc(0);
  }

  function refuse(error: RouterError): void {
    if (isSettled) return;
    incoming.pause();
    settle(err(error));
    release();
  }

  function refuseTooLarge(): void {
    const message = `the request body is larger than ${maxBytes} bytes`;
    refuse(new RouterError('bad_request', message));
  }

  function refusePieces(): void {
    const message = 'the request body consists of too many small pieces';
    refuse(new RouterError('bad_request', message));
    // A paused message would keep the pieces that the parser holds already.
    incoming.resume();
    setImmediate(() => incoming.pause());
  }

  function overloadedError(message: string): RouterError {
    const retryAfterMs = options.retryAfterMs();
    return new RouterError('overloaded', message, {retryAfterMs});
  }

  function onGivenUp(reason: string): void {
    const error = overloadedError(reason);
    if (isSettled) options.onGivenUp(error);
    else refuse(error);
  }

  function tryReserve(bytes: number): boolean {
    if (reservation !== undefined) return reservation.tryResize(bytes);
    reservation = memory.tryReserve({
      // The class of a call may become known later.
      get tier() {
        return options.tier();
      },
      bytes,
      canGiveUp: options.canGiveUp,
      onGivenUp,
    });
    return reservation !== undefined;
  }

  /** Makes room for `bytes`; refuses the call if the memory is in use. */
  function tryExtend(bytes: number): boolean {
    if (!tryReserve(bytes * copyCount)) {
      refuse(overloadedError('the memory for request bodies is in use'));
      return false;
    }
    const extended = Buffer.allocUnsafeSlow(bytes);
    buffer.copy(extended, 0, 0, filledBytes);
    buffer = extended;
    return true;
  }

  function onData(chunk: Buffer): void {
    if (!pieces.tryAdd(chunk.length)) return refusePieces();
    const bytes = filledBytes + chunk.length;
    if (bytes > maxBytes) return refuseTooLarge();
    if (bytes > buffer.length) {
      const doubledBytes = Math.max(firstChunkedBytes, 2 * buffer.length);
      const extendedBytes = Math.min(maxBytes, Math.max(bytes, doubledBytes));
      if (!tryExtend(extendedBytes)) return;
    }
    chunk.copy(buffer, filledBytes);
    filledBytes = bytes;
    reservation?.filled(filledBytes);
  }

  function onEnd(): void {
    if (isSettled) return;
    reservation?.complete();
    settle(ok(buffer.subarray(0, filledBytes)));
  }

  function onBroken(cause?: unknown): void {
    const message = 'the request body was not received completely';
    refuse(new RouterError('canceled', message, {cause}));
  }

  function start(): void {
    const declaredBytes = declaredBytesOf(incoming);
    if (declaredBytes > maxBytes) return refuseTooLarge();
    if (declaredBytes > 0 && !tryExtend(declaredBytes)) return;
    incoming.on('data', onData);
    incoming.once('end', onEnd);
    incoming.once('error', onBroken);
    incoming.once('close', () => onBroken());
  }

  if (incoming.readableEnded) onEnd();
  // The events of a connection that has closed already do not come again.
  else if (incoming.destroyed) onBroken();
  else start();
  return {received, close: release};
}
