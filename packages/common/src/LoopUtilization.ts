/**
 * Measures which share of the time the event loop of the process works. A loop
 * that waits for events for part of the time has read all that had arrived.
 */
import {performance} from 'node:perf_hooks';

/** Times for which a loop was idle and active since its start. */
export interface LoopTimes {
  readonly idle: number;
  readonly active: number;
}

/** Returns a function for the share, from 0 to 1, since its last call. */
export function createLoopUtilization(
  readTimes: () => LoopTimes = () => performance.eventLoopUtilization(),
): () => number {
  let previous = readTimes();
  return () => {
    const current = readTimes();
    const idleMs = current.idle - previous.idle;
    const activeMs = current.active - previous.active;
    previous = current;
    // A loop that has had no time to wait has not waited.
    return idleMs > 0 ? activeMs / (activeMs + idleMs) : 1;
  };
}
