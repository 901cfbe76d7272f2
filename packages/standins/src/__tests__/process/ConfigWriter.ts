/**
 * The operators' own access to the key-value service of a platform.
 */
import {createSystemClock} from '@toucanrouter/common';
import {createConfigStore, createKeyValueClient} from '@toucanrouter/keyvalue';

/** Writes configurations to a store. */
export interface ConfigWriter {
  /** Resolves when the first configuration of the store is written. */
  write(classesText: string): Promise<void>;
  close(): void;
}

const timeoutMs = 2_000;

/** Creates a writer to the key-value service at an address. */
export function createConfigWriter(address: string): ConfigWriter {
  const clock = createSystemClock();
  const client = createKeyValueClient({address, timeoutMs, clock});
  const store = createConfigStore({
    store: client,
    clock,
    createWriteId: () => 'first',
  });
  return {
    write: async classesText => {
      const result = await store.change({
        author: 'operator',
        classesText,
        drainedUpstreams: [],
        expectedVersion: 0,
      });
      const {kind} = result._unsafeUnwrap();
      if (kind !== 'accepted') throw new Error(`the write ended as ${kind}`);
    },
    close: client.close,
  };
}
