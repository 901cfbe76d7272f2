/**
 * Conversions between the shared key-value types and the messages of the
 * protocol.
 */
import type {
  KeyValue,
  KeyValueTransaction,
  RevisionCompare,
  WatchEvent,
} from '@toucanrouter/common';
import type {Compare} from './generated/etcdserverpb/Compare.js';
import type {Event__Output} from './generated/etcdserverpb/Event.js';
import type {KeyValue__Output} from './generated/etcdserverpb/KeyValue.js';
import type {TxnRequest} from './generated/etcdserverpb/TxnRequest.js';

/** Returns the first key after all keys that start with `prefix`. */
export function prefixEnd(prefix: Uint8Array): Uint8Array {
  const end = Uint8Array.from(prefix);
  for (let i = end.length - 1; i >= 0; i--) {
    const byte = end[i] ?? 0;
    if (byte === 0xff) continue;
    end[i] = byte + 1;
    return end.subarray(0, i + 1);
  }
  return Uint8Array.of(0); // The protocol's range end for "no upper bound".
}

/** Returns the smallest key that is greater than `key`. */
export function keyAfter(key: Uint8Array): Uint8Array {
  return Uint8Array.of(...key, 0);
}

export function toKeyValue(message: KeyValue__Output): KeyValue {
  return {
    key: message.key.toString('utf8'),
    value: message.value,
    modRevision: message.modRevision,
  };
}

/** Returns undefined for an event without an entry. */
export function toWatchEvent(message: Event__Output): WatchEvent | undefined {
  if (message.kv === null) return undefined;
  const entry = toKeyValue(message.kv);
  const deleted = message.type === 'DELETE';
  return {key: entry.key, entry: deleted ? undefined : entry};
}

function toCompares({key, modRevision, value}: RevisionCompare): Compare[] {
  const common = {result: 'EQUAL' as const, key: Buffer.from(key)};
  const compares: Compare[] = [{...common, target: 'MOD', modRevision}];
  if (value !== undefined) compares.push({...common, target: 'VALUE', value});
  return compares;
}

/** Converts a transaction. A compare with revision 0 requires an absent key. */
export function toTxnRequest(transaction: KeyValueTransaction): TxnRequest {
  const puts = transaction.puts.map(put => ({
    requestPut: {key: Buffer.from(put.key), value: put.value},
  }));
  const deletes = transaction.deletes.map(key => ({
    requestDeleteRange: {key: Buffer.from(key)},
  }));
  return {
    compare: transaction.compares.flatMap(toCompares),
    success: [...puts, ...deletes],
  };
}
