/**
 * Describes the machine and the time of a run.
 */
import {availableParallelism, cpus, loadavg, totalmem} from 'node:os';

const bytesPerGibibyte = 1024 ** 3;

/** Returns one line that names the machine, its load and the time. */
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
