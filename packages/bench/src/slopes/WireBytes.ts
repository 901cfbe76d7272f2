/**
 * Bytes of messages between instances on the wire.
 */
import type {Envelope} from '@toucanrouter/peer';
import {encodedSizeBytes} from '@toucanrouter/peer';

/**
 * A gRPC message has a prefix of 5 bytes, and each message travels in an
 * HTTP/2 frame of its own with a header of 9 bytes. TCP and IP headers are not
 * counted, since messages that are close together share a packet.
 */
export const framingOverheadBytes = 5 + 9;

/** Returns the bytes of a message with its framing. */
export function wireSizeBytes(envelope: Envelope): number {
  return encodedSizeBytes(envelope) + framingOverheadBytes;
}
