/**
 * Buffers the body of a request. A request is sent to an upstream only when it
 * is complete, so that a slow caller occupies no slot there and the request can
 * be retried. The memory is reserved before the bytes are read and belongs to
 * the body until it is closed. Bytes that are not read stay with the caller.
 */
import type {IncomingMessage} from 'node:http';
import type {MemoryBudget, MemoryReservation} from '@toucanrouter/common';
import {createPieceLimit, RouterError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {CallerLimits} from '../config/GatewayConfig.js';

/** The body of one request. */
export interface CallerBody {
  /** The complete body, or why there is none. */
  readonly received: Promise<Result<Buffer, RouterError>>;
  /** Frees the memory; what is still to come is discarded. */
  close(): void;
}

/** Options of a body. */
export interface CallerBodyOptions {
  readonly limits: Pick<CallerLimits, 'maxBodyBytes'>;
  readonly memory: MemoryBudget;
  /** Tier of the request; 0 is the most urgent. */
  readonly tier: number;
  /** False once the request may have been run. */
  readonly canGiveUp: () => boolean;
  /** Called when the memory is needed by other requests. */
  readonly onGivenUp: (reason: string) => void;
}

/** First size of a body whose length is not known. */
const firstChunkedBytes = 16 * 1024;

const empty = Buffer.alloc(0);

function declaredBytes({headers}: IncomingMessage): number | undefined {
  const text = headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/** Starts to read a body; a larger one than the limits allow is refused. */
export function openCallerBody(
  message: IncomingMessage,
  options: CallerBodyOptions,
): CallerBody {
  const {memory} = options;
  const maxBytes = Math.min(
    options.limits.maxBodyBytes,
    memory.status().maxBytes,
  );
  const declared = declaredBytes(message);
  const pieces = createPieceLimit();
  let reservation: MemoryReservation | undefined;
  let buffer = empty;
  let filledBytes = 0;
  let settled = false;
  let resolveReceived: (result: Result<Buffer, RouterError>) => void = () =>
    undefined;
  const received = new Promise<Result<Buffer, RouterError>>(resolve => {
    resolveReceived = resolve;
  });

  function settle(result: Result<Buffer, RouterError>): void {
    if (settled) return;
    settled = true;
    resolveReceived(result);
  }

  function discard(): void {
    message.removeListener('data', onData);
    reservation?.close();
    buffer = empty;
  }

  function refuse(error: RouterError): void {
    settle(err(error));
    discard();
  }

  function refuseTooLarge(): void {
    message.pause();
    const reason = `the body exceeds ${maxBytes} bytes`;
    refuse(new RouterError('body_too_large', reason));
  }

  function refusePieces(): void {
    const reason = 'the body consists of too many small pieces';
    refuse(new RouterError('body_too_large', reason));
    // A paused message would keep the pieces that the parser holds already.
    setImmediate(() => message.pause());
  }

  /** Reserves memory and makes the buffer large enough. */
  function tryExtend(bytes: number): boolean {
    if (reservation === undefined) {
      reservation = memory.tryReserve({
        tier: options.tier,
        bytes,
        canGiveUp: options.canGiveUp,
        onGivenUp: options.onGivenUp,
      });
      if (reservation === undefined) return false;
    } else if (!reservation.tryResize(bytes)) return false;
    const extended = Buffer.allocUnsafeSlow(bytes);
    buffer.copy(extended, 0, 0, filledBytes);
    buffer = extended;
    return true;
  }

  function refuseForMemory(): void {
    const reason = 'the memory for request bodies is in use';
    refuse(new RouterError('overloaded', reason));
  }

  function onData(chunk: Buffer): void {
    if (settled) return;
    if (!pieces.tryAdd(chunk.length)) return refusePieces();
    const bytes = filledBytes + chunk.length;
    if (bytes > maxBytes) return refuseTooLarge();
    if (bytes > buffer.length) {
      const doubledBytes = Math.max(firstChunkedBytes, 2 * buffer.length);
      const extendedBytes = Math.min(maxBytes, Math.max(bytes, doubledBytes));
      if (!tryExtend(extendedBytes)) return refuseForMemory();
    }
    chunk.copy(buffer, filledBytes);
    filledBytes = bytes;
    reservation?.filled(filledBytes);
  }

  function onEnd(): void {
    reservation?.complete();
    settle(ok(buffer.subarray(0, filledBytes)));
  }

  const fail = (reason: string) =>
    refuse(new RouterError('bad_request', reason));

  if (message.complete && message.readableLength === 0) onEnd();
  // The events of a connection that has closed already do not come again.
  else if (message.destroyed) fail('the caller closed the connection');
  else if (declared !== undefined && declared > maxBytes) refuseTooLarge();
  else if (declared !== undefined && declared > 0 && !tryExtend(declared))
    refuseForMemory();
  else {
    message.on('data', onData);
    message.once('end', onEnd);
    message.once('error', error => fail(error.message));
  }
  return {
    received,
    close: () => {
      const unread = !settled;
      refuse(new RouterError('canceled', 'the request has ended'));
      if (unread && !message.destroyed) message.resume();
    },
  };
}
