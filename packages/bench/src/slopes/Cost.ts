/**
 * Processor time and memory of code in this process.
 */

/** Code that has run for this long is compiled. */
const warmUpMicros = 150_000;
const msPerSecond = 1_000;

/** Returns the processor time of this process in microseconds. */
export function cpuMicros(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

/** Returns the mean processor time of one call in microseconds. */
export function measureMicrosPerCall(calls: number, run: () => void): number {
  for (const endMicros = cpuMicros() + warmUpMicros; cpuMicros() < endMicros;) {
    run();
  }
  collectGarbage();
  const beforeMicros = cpuMicros();
  for (let i = 0; i < calls; i++) run();
  return (cpuMicros() - beforeMicros) / calls;
}

/** Collects garbage when node was started with --expose-gc. */
export function collectGarbage(): void {
  globalThis.gc?.();
}

/** Returns the bytes on the heap and in buffers that are in use. */
export function usedBytes(): number {
  collectGarbage();
  collectGarbage();
  const {arrayBuffers, heapUsed} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Copies whose mean is taken, since the heap varies by some 100 KB. */
const copyCount = 8;

/**
 * Returns the bytes that stay in use for what `create` returns. A first call,
 * whose result is dropped, pays for what is created only once.
 */
export function measureRetainedBytes(create: () => unknown): number {
  create();
  const beforeBytes = usedBytes();
  const copies = Array.from({length: copyCount}, create);
  const retainedBytes = usedBytes() - beforeBytes;
  return retainedBytes / copies.length;
}

/** Waits in real time. */
export function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Returns the time of the monotonic clock in seconds. */
export function nowSeconds(): number {
  return performance.now() / msPerSecond;
}
