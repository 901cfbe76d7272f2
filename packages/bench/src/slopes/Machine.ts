/**
 * Describes the machine on which a measurement runs.
 */
import {availableParallelism, cpus, loadavg, totalmem} from 'node:os';

const bytesPerGibibyte = 1024 ** 3;

/** Returns one line with the processor, memory, load average and time. */
export function describeMachine(): string {
  const model = cpus()[0]?.model ?? 'unknown processor';
  const memoryGibibytes = Math.round(totalmem() / bytesPerGibibyte);
  const [load] = loadavg();
  return [
    `${availableParallelism()} threads of ${model}`,
    `${memoryGibibytes} GiB`,
    `node ${process.version}`,
    `load average at the start ${load?.toFixed(1)}`,
    new Date().toISOString(),
  ].join(', ');
}
