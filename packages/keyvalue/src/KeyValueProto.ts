/**
 * Loads the definition of the key-value protocol. 64-bit integers are decoded
 * as numbers, because revisions and counts stay far below 2^53.
 */
import {fileURLToPath} from 'node:url';
import {loadPackageDefinition} from '@grpc/grpc-js';
import {loadSync} from '@grpc/proto-loader';
import type {ProtoGrpcType} from './generated/kv.js';

const protoUrl = new URL('../proto/kv.proto', import.meta.url);

/** Returns the services and messages of the key-value protocol. */
export function loadKeyValueProto(): ProtoGrpcType['etcdserverpb'] {
  const definition = loadSync(fileURLToPath(protoUrl), {
    longs: Number,
    enums: String,
    defaults: true,
    oneofs: true,
  });
  const loaded = loadPackageDefinition(definition) as unknown as ProtoGrpcType;
  return loaded.etcdserverpb;
}
