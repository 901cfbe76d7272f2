/**
 * Bounds what an event stream may bring between two events. Comments and blank
 * lines are passed on, so they never add up in a buffer, but an upstream that
 * sends nothing else makes no progress.
 */
import {createPieceLimit, maxBytesWithoutEvent} from '@toucanrouter/common';

/** Counts what a stream brings since its last event. */
export interface EventProgress {
  /**
   * Counts a piece of the stream that completed `eventCount` events and left
   * `pendingBytes` of an incomplete one. Returns why the stream is given up.
   */
  add(
    bytes: number,
    eventCount: number,
    pendingBytes: number,
  ): string | undefined;
}

/** Creates the progress of a stream that has not begun. */
export function createEventProgress(): EventProgress {
  const pieces = createPieceLimit();
  let bytesWithoutEvent = 0;
  return {
    add: (bytes, eventCount, pendingBytes) => {
      if (eventCount > 0) {
        pieces.reset();
        bytesWithoutEvent = pendingBytes;
        return undefined;
      }
      bytesWithoutEvent += bytes;
      if (pendingBytes > maxBytesWithoutEvent) {
        return `an event exceeds ${maxBytesWithoutEvent} bytes`;
      }
      if (bytesWithoutEvent > maxBytesWithoutEvent) {
        return `no event within ${maxBytesWithoutEvent} bytes`;
      }
      return pieces.tryAdd(bytes)
        ? undefined
        : 'the stream brings too many small pieces without an event';
    },
  };
}
