/**
 * Divides the memory limit of a process among what it holds. The runtime itself
 * takes the largest part: its heap up to the heap's own limit, code, stacks and
 * native structures. Data may use what is left, and a part of that stays free
 * for buffers that are garbage and for bytes that the operating system buffers.
 */

/** The memory that each kind of holder may use. */
export interface MemoryPlan {
  readonly limitBytes: number;
  /** Above this much resident memory, larger bodies are refused. */
  readonly maxResidentBytes: number;
  /** Bodies of requests that are received or not answered yet. */
  readonly requestBodyBytes: number;
  /** Responses that are buffered until they are complete. */
  readonly responseBytes: number;
  /** Part of the heap that open requests may fill, bodies not included. */
  readonly openRequestBytes: number;
}

const bytesPerMiB = 1024 * 1024;
/** Code, stacks and native structures of the runtime. */
const nativeOverheadBytes = 64 * bytesPerMiB;
const maxResidentShare = 0.8;
const requestBodyShare = 0.35;
const responseShare = 0.25;
/** The rest of the heap is for all else and for what is garbage. */
const openRequestHeapShare = 0.2;
/** Least part of the limit that data gets, however large the heap may grow. */
const minDataShare = 0.2;
/** Limit of a process without a setting on a machine with more memory. */
const maxDefaultLimitBytes = 512 * bytesPerMiB;

/** Returns the limit of a process that has no setting for it. */
export function defaultMemoryLimitBytes(machineBytes: number): number {
  return Math.min(machineBytes, maxDefaultLimitBytes);
}

/** Divides `limitBytes` for a runtime whose heap may grow to `maxHeapBytes`. */
export function planMemory(
  limitBytes: number,
  maxHeapBytes: number,
): MemoryPlan {
  const dataBytes = Math.max(
    limitBytes * minDataShare,
    limitBytes - maxHeapBytes - nativeOverheadBytes,
  );
  return {
    limitBytes,
    maxResidentBytes: Math.floor(limitBytes * maxResidentShare),
    requestBodyBytes: Math.floor(dataBytes * requestBodyShare),
    responseBytes: Math.floor(dataBytes * responseShare),
    openRequestBytes: Math.floor(maxHeapBytes * openRequestHeapShare),
  };
}
