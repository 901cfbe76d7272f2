/**
 * Bounds the memory of buffers that are no longer used. Every piece of a body
 * arrives in a buffer of its own. Buffers are outside the heap, and the runtime
 * collects them only after they have grown by 64 MB, which may be more than a
 * small process has. A collection of the young generation frees most of them in
 * well below a millisecond, so it is requested after a few megabytes. Buffers that
 * were in use for longer are left to a collection of all, which is rare.
 */
import type {Server} from 'node:http';
import {getHeapStatistics, setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Counts the buffers into which bytes were received. */
export interface BufferGarbage {
  /** Counts a buffer of the given size. */
  received(bytes: number): void;
}

/** Frees what is no longer used of the process. */
export interface Collector {
  /** Bytes of buffers, in use or not. */
  bufferBytes(): number;
  /** Frees most buffers that were received a moment ago. */
  collectYoung(): void;
  /** Frees all unused buffers, at the price of several milliseconds. */
  collectAll(): void;
}

/** Buffers received since the latest collection that may be garbage. */
const maxReceivedBytes = 4 * 1024 * 1024;
/** Memory that a buffer takes beside its bytes. */
const bufferOverheadBytes = 512;
/** Growth of all buffers after which those that got old are collected too. */
const maxOldBytes = 4 * 1024 * 1024;

type Collect = (options?: {readonly type: 'minor'}) => void;

/** Returns the collector of the runtime, which is not exposed by default. */
function exposeCollector(): Collect {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as Collect;
}

function createProcessCollector(): Collector {
  let exposed: Collect | undefined;
  const collect: Collect = options => {
    exposed ??= exposeCollector();
    exposed(options);
  };
  return {
    bufferBytes: () => getHeapStatistics().external_memory,
    collectYoung: () => collect({type: 'minor'}),
    collectAll: () => collect(),
  };
}

/** Creates a count that requests a collection whenever it reaches a limit. */
export function createBufferGarbage(collector: Collector): BufferGarbage {
  let receivedBytes = 0;
  let usedBytes = collector.bufferBytes();
  return {
    received: bytes => {
      receivedBytes += bytes + bufferOverheadBytes;
      if (receivedBytes < maxReceivedBytes) return;
      receivedBytes = 0;
      collector.collectYoung();
      if (collector.bufferBytes() < usedBytes + maxOldBytes) return;
      collector.collectAll();
      usedBytes = collector.bufferBytes();
    },
  };
}

/** The count of the process, whose connections share one heap. */
export const bufferGarbage = createBufferGarbage(createProcessCollector());

/** Counts the bodies that `server` receives, also those that it discards. */
export function countReceivedBodies(
  server: Server,
  garbage: BufferGarbage = bufferGarbage,
): void {
  server.prependListener('request', (message, response) => {
    const push = message.push.bind(message) as typeof message.push;
    message.push = (chunk: Buffer | null, encoding) => {
      if (chunk !== null) garbage.received(chunk.length);
      return push(chunk, encoding);
    };
    // Node.js discards a body that nobody has begun to read without pushing it.
    message.read(0);
    response.once('finish', () => message.resume());
  });
}
