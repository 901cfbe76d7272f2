/**
 * The memory of the process: its limit, what each kind of holder may use of it,
 * and what is in use.
 */
import {totalmem} from 'node:os';
import {getHeapStatistics} from 'node:v8';
import type {BufferBudget, Clock, MemoryBudget} from '@toucanrouter/common';
import {
  createBufferBudget,
  createMemoryBudget,
  defaultMemoryLimitBytes,
  planMemory,
} from '@toucanrouter/common';

/** The memory that one kind of holder uses. */
export interface HolderMemory {
  readonly holder: 'request_bodies' | 'responses';
  readonly usedBytes: number;
  readonly maxBytes: number;
}

/** The memory of the process. */
export interface ProcessMemory {
  readonly limitBytes: number;
  readonly requestBodies: MemoryBudget;
  readonly responses: BufferBudget;
  holders(): readonly HolderMemory[];
}

/** Options of the memory of the process; the functions allow tests. */
export interface ProcessMemoryOptions {
  readonly clock: Clock;
  /** The configured limit; undefined if there is none. */
  readonly limitBytes: number | undefined;
  readonly machineBytes?: () => number;
  readonly maxHeapBytes?: () => number;
  readonly residentBytes?: () => number;
}

/** Memory of the machine, or of the container in which the process runs. */
function readMachineBytes(): number {
  const constrainedBytes = process.constrainedMemory();
  return constrainedBytes > 0
    ? Math.min(constrainedBytes, totalmem())
    : totalmem();
}

/** Divides the limit, or a default that suits the machine. */
export function createProcessMemory({
  clock,
  limitBytes,
  machineBytes = readMachineBytes,
  maxHeapBytes = () => getHeapStatistics().heap_size_limit,
  residentBytes = process.memoryUsage.rss,
}: ProcessMemoryOptions): ProcessMemory {
  const plan = planMemory(
    limitBytes ?? defaultMemoryLimitBytes(machineBytes()),
    maxHeapBytes(),
  );
  // A process without a configured limit may occupy what the machine has.
  const {maxResidentBytes} = planMemory(
    limitBytes ?? machineBytes(),
    maxHeapBytes(),
  );
  const requestBodies = createMemoryBudget({
    clock,
    maxBytes: plan.requestBodyBytes,
    freeResidentBytes: () => maxResidentBytes - residentBytes(),
  });
  const responses = createBufferBudget(plan.responseBytes);
  return {
    limitBytes: plan.limitBytes,
    requestBodies,
    responses,
    holders: () => {
      const {maxBytes, usedBytes} = requestBodies.status();
      return [
        {holder: 'request_bodies', usedBytes, maxBytes},
        {
          holder: 'responses',
          usedBytes: responses.usedBytes(),
          maxBytes: plan.responseBytes,
        },
      ];
    },
  };
}
