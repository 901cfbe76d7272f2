/**
 * Measures CPU time and memory of code in this process.
 */

/** CPU time after which the measured code has been compiled. */
const warmUpMicros = 150_000;
const msPerSecond = 1_000;

/** Returns the CPU time of this process in microseconds. */
export function cpuMicros(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

/** Returns the mean CPU time of one call in microseconds. */
export function measureMicrosPerCall(calls: number, run: () => void): number {
  for (const endMicros = cpuMicros() + warmUpMicros; cpuMicros() < endMicros;) {
    run();
  }
  collectGarbage();
  const beforeMicros = cpuMicros();
  for (let i = 0; i < calls; i++) run();
  return (cpuMicros() - beforeMicros) / calls;
}

/** Forces a garbage collection if node was started with --expose-gc. */
export function collectGarbage(): void {
  globalThis.gc?.();
}

/** Returns the bytes in use on the heap and in array buffers. */
export function usedBytes(): number {
  collectGarbage();
  collectGarbage();
  const {arrayBuffers, heapUsed} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Copies to average over, since the heap size varies by about 100 KB. */
const copyCount = 8;

/**
 * Returns the bytes retained by a result of `create`. The result of a first
 * call is discarded, to exclude one-time allocations.
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
