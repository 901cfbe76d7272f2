/**
 * Loads the definition of the peer protocol.
 */
import {fileURLToPath} from 'node:url';
import {loadPackageDefinition} from '@grpc/grpc-js';
import {loadSync} from '@grpc/proto-loader';
import type {ProtoGrpcType} from './generated/peer.js';
import type {Envelope} from './generated/toucanrouter/peer/v1/Envelope.js';

const definition = loadSync(
  fileURLToPath(new URL('../proto/peer.proto', import.meta.url)),
  {longs: Number, enums: String, defaults: true, oneofs: true},
);

const loaded = loadPackageDefinition(definition) as unknown as ProtoGrpcType;

/** Client constructor and service definition of the peer protocol. */
export const {Peer: PeerService} = loaded.toucanrouter.peer.v1;

/** Returns the size of an envelope on the wire, without framing. */
export function encodedSizeBytes(envelope: Envelope): number {
  return PeerService.service.Exchange.requestSerialize(envelope).length;
}
