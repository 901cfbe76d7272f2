/**
 * An in-memory key-value store that counts calls and bytes.
 */
import type {
  KeyValue,
  KeyValueStore,
  KeyValueTransaction,
} from '@toucanrouter/common';
import {okAsync} from 'neverthrow';

/** Calls and bytes of a store since its creation. */
export interface StoreTraffic {
  readonly reads: number;
  readonly writes: number;
  readonly writtenBytes: number;
  readonly readBytes: number;
  readonly failedCompares: number;
}

/** A key-value store with traffic counters. */
export interface CountingStore extends KeyValueStore {
  traffic(): StoreTraffic;
}

function sizeOf({key, value}: Pick<KeyValue, 'key' | 'value'>): number {
  return Buffer.byteLength(key) + value.length;
}

/** Creates an empty store. */
export function createCountingStore(): CountingStore {
  const entries = new Map<string, KeyValue>();
  const traffic = {
    reads: 0,
    writes: 0,
    writtenBytes: 0,
    readBytes: 0,
    failedCompares: 0,
  };
  let revision = 0;

  function comparesSucceed({compares}: KeyValueTransaction): boolean {
    return compares.every(
      ({key, modRevision}) =>
        (entries.get(key)?.modRevision ?? 0) === modRevision,
    );
  }

  function apply({deletes, puts}: KeyValueTransaction): void {
    revision += 1;
    for (const put of puts) {
      traffic.writtenBytes += sizeOf(put);
      entries.set(put.key, {...put, modRevision: revision});
    }
    for (const key of deletes) entries.delete(key);
  }

  function recordRead(found: readonly KeyValue[]): void {
    traffic.reads += 1;
    for (const entry of found) traffic.readBytes += sizeOf(entry);
  }

  return {
    get: key => {
      const entry = entries.get(key);
      recordRead(entry === undefined ? [] : [entry]);
      return okAsync(entry);
    },
    list: prefix => {
      const found = [...entries.values()]
        .filter(entry => entry.key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      recordRead(found);
      return okAsync(found);
    },
    transact: transaction => {
      traffic.writes += 1;
      const succeeded = comparesSucceed(transaction);
      if (succeeded) apply(transaction);
      else traffic.failedCompares += 1;
      return okAsync({succeeded, revision});
    },
    watch: () => () => {},
    history: () => ({id: undefined, clusterId: 0, revision, count: 1}),
    registerHistoryHandler: () => () => {},
    close: () => {},
    traffic: () => ({...traffic}),
  };
}
