/**
 * Size of peer messages on the wire.
 */
import type {Envelope} from '@toucanrouter/peer';
import {encodedSizeBytes} from '@toucanrouter/peer';

/**
 * The gRPC message prefix of 5 bytes and the HTTP/2 frame header of 9 bytes;
 * each message has its own frame. TCP and IP headers are not counted, since
 * messages sent close together share a packet.
 */
export const framingOverheadBytes = 5 + 9;

/** Returns the size of an encoded message with its framing. */
export function wireSizeBytes(envelope: Envelope): number {
  return encodedSizeBytes(envelope) + framingOverheadBytes;
}
