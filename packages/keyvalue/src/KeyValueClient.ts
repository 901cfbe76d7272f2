/**
 * Client of the platform's key-value service over gRPC.
 */
import {credentials} from '@grpc/grpc-js';
import type {
  Clock,
  KeyValue,
  KeyValueStore,
  StoreHistoryId,
} from '@toucanrouter/common';
import {PlatformError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';
import type {KeyValue__Output} from './generated/etcdserverpb/KeyValue.js';
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
  maxListBytes,
  maxListEntries,
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
import type {StoreHistory} from './StoreHistory.js';
import {createStoreHistory} from './StoreHistory.js';

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
  const history = createStoreHistory();
  const context = {client: kvClient, clock, timeoutMs, history};
  const activeWatches = new Set<() => void>();

  return {
    get: key =>
      callRange(context, {key: Buffer.from(key)}).map(({response}) => {
        const message = response.kvs[0];
        return message === undefined ? undefined : toKeyValue(message);
      }),

    list: prefix => listPrefix(context, prefix).map(listing => listing.entries),

    transact: transaction => {
      const request = toTxnRequest(transaction);
      const mark = history.mark();
      return callUnary<TxnResponse__Output>(context, 'Txn', 'write', callback =>
        kvClient.txn(request, callback),
      ).map(({header, succeeded}) => {
        if (header !== null) history.observe(header, mark);
        return {succeeded, revision: header?.revision ?? 0};
      });
    },

    watch: (prefix, onEvents) => {
      const stop = startWatch({
        prefix,
        clock,
        timeoutMs,
        history,
        openStream: () => watchClient.watch(),
        listPrefix: listed => listPrefix(context, listed),
        onEvents,
      });
      activeWatches.add(stop);
      return () => {
        activeWatches.delete(stop);
        stop();
      };
    },

    history: history.status,
    registerHistoryHandler: history.registerHandler,

    close: () => {
      for (const stop of activeWatches) stop();
      activeWatches.clear();
      watchClient.close();
      kvClient.close();
    },
  };
}

interface ReadContext extends CallContext {
  readonly client: KVClient;
  readonly history: StoreHistory;
}

interface RangeRead {
  readonly response: RangeResponse__Output;
  readonly historyId: StoreHistoryId | undefined;
}

function callRange(
  context: ReadContext,
  request: RangeRequest,
): ResultAsync<RangeRead, PlatformError> {
  const {client, history} = context;
  const mark = history.mark();
  return callUnary<RangeResponse__Output>(context, 'Range', 'read', callback =>
    client.range(request, callback),
  ).map(response => {
    const {header} = response;
    const historyId = header ? history.observe(header, mark) : undefined;
    return {response, historyId};
  });
}

/** Lists a prefix in pages, all at the revision of the first page. */
function listPrefix(
  context: ReadContext,
  prefix: string,
): ResultAsync<Listing, PlatformError> {
  return new ResultAsync(listPages(context, Buffer.from(prefix)));
}

async function listPages(
  context: ReadContext,
  prefix: Uint8Array,
): Promise<Result<Listing, PlatformError>> {
  const rangeEnd = prefixEnd(prefix);
  const entries: KeyValue[] = [];
  let sizeBytes = 0;
  let revision = 0;
  let historyId: StoreHistoryId | undefined;
  let key = prefix;
  for (;;) {
    const request = {key, rangeEnd, revision, limit: keysPerListPage};
    const response = await callRange(context, request);
    if (response.isErr()) return err(response.error);
    const {header, kvs, more} = response.value.response;
    if (revision > 0 && response.value.historyId !== historyId) {
      return err(listError('the service came back from a copy meanwhile'));
    }
    ({historyId} = response.value);
    sizeBytes += sizeOf(kvs);
    if (
      sizeBytes > maxListBytes ||
      entries.length + kvs.length > maxListEntries
    ) {
      return err(listError('the list is too large'));
    }
    for (const message of kvs) entries.push(toKeyValue(message));
    revision ||= header?.revision ?? 0;
    if (!more) return ok({entries, revision, historyId});
    const last = kvs.at(-1);
    if (last === undefined || Buffer.compare(last.key, key) < 0) {
      return err(listError('a page does not lead to the next one'));
    }
    key = keyAfter(last.key);
  }
}

function sizeOf(messages: readonly KeyValue__Output[]): number {
  return messages.reduce(
    (sum, {key, value}) => sum + key.length + value.length,
    0,
  );
}

function listError(reason: string): PlatformError {
  return new PlatformError(`key-value list failed: ${reason}`, false);
}
