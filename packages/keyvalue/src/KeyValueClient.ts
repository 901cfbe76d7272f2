/**
 * Client of the platform's key-value service over gRPC.
 */
import {credentials} from '@grpc/grpc-js';
import type {
  Clock,
  KeyValue,
  KeyValueStore,
  PlatformError,
} from '@toucanrouter/common';
import type {ResultAsync} from 'neverthrow';
import {okAsync} from 'neverthrow';
import type {KVClient} from './generated/etcdserverpb/KV.js';
import type {RangeRequest} from './generated/etcdserverpb/RangeRequest.js';
import type {RangeResponse__Output} from './generated/etcdserverpb/RangeResponse.js';
import type {TxnResponse__Output} from './generated/etcdserverpb/TxnResponse.js';
import type {CallContext} from './KeyValueCall.js';
import {callUnary} from './KeyValueCall.js';
import {
  keepaliveIntervalMs,
  keepaliveTimeoutMs,
  keysPerListPage,
  maxReconnectBackoffMs,
  maxReceiveBytes,
  minReconnectBackoffMs,
} from './KeyValueConstants.js';
import {loadKeyValueProto} from './KeyValueProto.js';
import {
  keyAfter,
  prefixEnd,
  toKeyValue,
  toTxnRequest,
} from './KeyValueUtils.js';
import type {Listing} from './KeyValueWatch.js';
import {startWatch} from './KeyValueWatch.js';

export interface KeyValueClientOptions {
  /** `host:port` of the service. */
  readonly address: string;
  /** Time after which a call without a response fails. */
  readonly timeoutMs: number;
  readonly clock: Clock;
}

const channelOptions = {
  // gRPC retries are disabled, because a retried transaction could take effect
  // twice.
  'grpc.enable_retries': 0,
  'grpc.initial_reconnect_backoff_ms': minReconnectBackoffMs,
  'grpc.min_reconnect_backoff_ms': minReconnectBackoffMs,
  'grpc.max_reconnect_backoff_ms': maxReconnectBackoffMs,
  'grpc.keepalive_time_ms': keepaliveIntervalMs,
  'grpc.keepalive_timeout_ms': keepaliveTimeoutMs,
  'grpc.max_receive_message_length': maxReceiveBytes,
};

/** Creates a client that connects on the first call. */
export function createKeyValueClient(
  options: KeyValueClientOptions,
): KeyValueStore {
  const {clock, timeoutMs} = options;
  const proto = loadKeyValueProto();
  const security = credentials.createInsecure();
  const kvClient = new proto.KV(options.address, security, channelOptions);
  const watchClient = new proto.Watch(
    options.address,
    security,
    channelOptions,
  );
  const context = {client: kvClient, clock, timeoutMs};
  const activeWatches = new Set<() => void>();

  return {
    get: key =>
      callRange(kvClient, context, {key: Buffer.from(key)}).map(response => {
        const message = response.kvs[0];
        return message === undefined ? undefined : toKeyValue(message);
      }),

    list: prefix =>
      listPrefix(kvClient, context, prefix).map(listing => listing.entries),

    transact: transaction => {
      const request = toTxnRequest(transaction);
      return callUnary<TxnResponse__Output>(context, 'Txn', 'write', callback =>
        kvClient.txn(request, callback),
      ).map(response => ({
        succeeded: response.succeeded,
        revision: response.header?.revision ?? 0,
      }));
    },

    watch: (prefix, onEvents) => {
      const stop = startWatch({
        prefix,
        clock,
        timeoutMs,
        openStream: () => watchClient.watch(),
        listPrefix: listed => listPrefix(kvClient, context, listed),
        onEvents,
      });
      activeWatches.add(stop);
      return () => {
        activeWatches.delete(stop);
        stop();
      };
    },

    close: () => {
      for (const stop of activeWatches) stop();
      activeWatches.clear();
      watchClient.close();
      kvClient.close();
    },
  };
}

function callRange(
  kv: KVClient,
  context: CallContext,
  request: RangeRequest,
): ResultAsync<RangeResponse__Output, PlatformError> {
  return callUnary<RangeResponse__Output>(context, 'Range', 'read', callback =>
    kv.range(request, callback),
  );
}

/** Lists a prefix in pages, all at the revision of the first page. */
function listPrefix(
  kv: KVClient,
  context: CallContext,
  prefix: string,
): ResultAsync<Listing, PlatformError> {
  const startKey = Buffer.from(prefix);
  const rangeEnd = prefixEnd(startKey);

  function listFrom(
    key: Uint8Array,
    revision: number,
    precedingEntries: readonly KeyValue[],
  ): ResultAsync<Listing, PlatformError> {
    const request = {key, rangeEnd, revision, limit: keysPerListPage};
    return callRange(kv, context, request).andThen(page => {
      const entries = [...precedingEntries, ...page.kvs.map(toKeyValue)];
      const listedRevision = revision || (page.header?.revision ?? 0);
      const last = page.kvs.at(-1);
      if (!page.more || last === undefined) {
        return okAsync({entries, revision: listedRevision});
      }
      return listFrom(keyAfter(last.key), listedRevision, entries);
    });
  }

  return listFrom(startKey, 0, []);
}
