import {Server, ServerCredentials} from '@grpc/grpc-js';
import type {PlatformError} from '@toucanrouter/common';
import {createSystemClock} from '@toucanrouter/common';
import {expect} from 'chai';
import type {Result} from 'neverthrow';
import type {KVHandlers} from '../../generated/etcdserverpb/KV.js';
import type {RangeResponse} from '../../generated/etcdserverpb/RangeResponse.js';
import {createKeyValueClient, loadKeyValueProto} from '../../index.js';

const host = '127.0.0.1';
const timeoutMs = 2_000;
const prefix = '/p/';
/** As many as a client reads. */
const manyEntriesCount = 100_000;
/** More than a client reads, so that a test ends without the bounds. */
const maxPages = 400;

interface Page {
  readonly keys: readonly string[];
  readonly valueBytes?: number;
  readonly more?: boolean;
}

function toResponse({keys, valueBytes = 0, more = true}: Page): RangeResponse {
  const value = Buffer.alloc(valueBytes);
  const kvs = keys.map(key => ({key: Buffer.from(key), value}));
  return {header: {revision: 1}, kvs, more};
}

/** Returns `count` keys of a page; later pages have greater keys. */
function keysOf(page: number, count: number): readonly string[] {
  const text = String(page).padStart(6, '0');
  return Array.from(
    {length: count},
    (_, index) => `${prefix}${text}-${String(index).padStart(6, '0')}`,
  );
}

interface Listed {
  readonly result: Result<readonly unknown[], PlatformError>;
  readonly pagesCount: number;
}

/** Lists a prefix of a service that answers with the pages of a function. */
async function listOf(pageAt: (page: number) => Page): Promise<Listed> {
  let pagesCount = 0;
  const handlers: Pick<KVHandlers, 'Range'> = {
    Range: (_, callback) => {
      const page = pageAt(pagesCount);
      pagesCount += 1;
      const more = page.more !== false && pagesCount < maxPages;
      callback(null, toResponse({...page, more}));
    },
  };
  const server = new Server();
  server.addService(loadKeyValueProto().KV.service, {...handlers});
  const port = await new Promise<number>((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync(`${host}:0`, credentials, (error, bound) =>
      error ? reject(error) : resolve(bound),
    );
  });
  const store = createKeyValueClient({
    address: `${host}:${port}`,
    timeoutMs,
    clock: createSystemClock(),
  });
  try {
    return {result: await store.list(prefix), pagesCount};
  } finally {
    store.close();
    server.forceShutdown();
  }
}

describe('listing of keys', () => {
  it('reads a list of several pages', async () => {
    const {result} = await listOf(page => ({
      keys: keysOf(page, 64),
      more: page < 9,
    }));
    expect(result._unsafeUnwrap()).to.have.length(640);
  });

  it('reads a page of many entries', async () => {
    const keys = keysOf(0, manyEntriesCount);
    const {result} = await listOf(() => ({keys, more: false}));
    expect(result._unsafeUnwrap()).to.have.length(manyEntriesCount);
  });

  // Guards against pages without an end, which fill the memory.
  it('gives up a list of too many bytes', async () => {
    const {result} = await listOf(page => ({
      keys: keysOf(page, 1),
      valueBytes: 1024 * 1024,
    }));
    expect(result._unsafeUnwrapErr().message).to.include('too large');
  });

  it('gives up a list of too many entries', async () => {
    const {result} = await listOf(page => ({keys: keysOf(page, 1_000)}));
    expect(result._unsafeUnwrapErr().message).to.include('too large');
  });

  // Guards against reading the same pages again for ever.
  it('gives up when a page does not advance', async () => {
    const {pagesCount, result} = await listOf(() => ({keys: keysOf(0, 64)}));
    expect(result._unsafeUnwrapErr().message).to.include('does not lead');
    expect(pagesCount).to.equal(2);
  });

  it('gives up when an empty page is not the last one', async () => {
    const {result} = await listOf(() => ({keys: []}));
    expect(result._unsafeUnwrapErr().message).to.include('does not lead');
  });
});
