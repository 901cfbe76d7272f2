/**
 * The memory of the process: its limit, what each kind of holder may use of it,
 * and what is in use.
 */
import {totalmem} from 'node:os';
import {getHeapStatistics} from 'node:v8';
import type {BufferBudget} from './BufferBudget.js';
import {createBufferBudget} from './BufferBudget.js';
import type {Clock} from './Clock.js';
import type {MemoryBudget} from './MemoryBudget.js';
import {createMemoryBudget} from './MemoryBudget.js';
import type {MemoryPlan} from './MemoryPlan.js';
import {defaultMemoryLimitBytes, planMemory} from './MemoryPlan.js';

/** The memory that one kind of holder uses. */
export interface HolderMemory {
  readonly holder: 'request_bodies' | 'responses';
  readonly usedBytes: number;
  readonly maxBytes: number;
}

/** The memory of the process. */
export interface ProcessMemory {
  readonly plan: MemoryPlan;
  readonly requestBodies: MemoryBudget;
  readonly responses: BufferBudget;
  /** Memory of the process that the operating system counts. */
  residentBytes(): number;
  /** Heap of the runtime in use; the process aborts at its limit. */
  heapBytes(): number;
  readonly heapLimitBytes: number;
  holders(): readonly HolderMemory[];
}

/** Memory of the machine, or of the container in which the process runs. */
function machineBytes(): number {
  const constrainedBytes = process.constrainedMemory();
  return constrainedBytes > 0
    ? Math.min(constrainedBytes, totalmem())
    : totalmem();
}

/** Divides the limit, or a default that suits the machine. */
export function createProcessMemory(
  clock: Clock,
  limitBytes: number | undefined,
  readResidentBytes = () => process.memoryUsage.rss(),
): ProcessMemory {
  const maxHeapBytes = getHeapStatistics().heap_size_limit;
  const plan = planMemory(
    limitBytes ?? defaultMemoryLimitBytes(machineBytes()),
    maxHeapBytes,
  );
  // A process without a configured limit may occupy what the machine has.
  const {maxResidentBytes} = planMemory(
    limitBytes ?? machineBytes(),
    maxHeapBytes,
  );
  let latestResidentBytes = 0;
  function residentBytes(): number {
    try {
      latestResidentBytes = readResidentBytes();
    } catch {
      // Reading opens a file, which fails while no descriptor is free. Requests
      // are served then as well, so the latest value is used.
    }
    return latestResidentBytes;
  }
  residentBytes();
  const requestBodies = createMemoryBudget({
    clock,
    maxBytes: plan.requestBodyBytes,
    freeResidentBytes: () => maxResidentBytes - residentBytes(),
  });
  const responses = createBufferBudget(plan.responseBytes, clock.nowMs);
  return {
    plan,
    requestBodies,
    responses,
    residentBytes,
    heapBytes: () => getHeapStatistics().used_heap_size,
    heapLimitBytes: maxHeapBytes,
    holders: () => [
      {holder: 'request_bodies', ...requestBodies.status()},
      {
        holder: 'responses',
        usedBytes: responses.usedBytes(),
        maxBytes: plan.responseBytes,
      },
    ],
  };
}
