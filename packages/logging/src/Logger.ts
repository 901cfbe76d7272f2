/**
 * Structured logging with `consola`: one JSON object per line, or readable text
 * for a terminal. Prompts, responses and tokens are never passed to a logger.
 */
import type {InstanceId} from '@toucanrouter/common';
import type {ConsolaReporter, LogObject} from 'consola';
import {createConsola, LogLevels} from 'consola';

/** Structured fields of a log line. */
export type LogFields = Readonly<
  Record<string, boolean | number | string | readonly string[] | undefined>
>;

/** Writes log messages with fields. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
}

/** Options of a logger. */
export interface LoggerOptions {
  readonly format: 'json' | 'pretty';
  readonly level: 'debug' | 'error' | 'info' | 'warn';
  readonly instanceId: InstanceId;
  /** Receives each JSON line; standard output by default. */
  readonly write?: (line: string) => void;
}

function toJsonLine(entry: LogObject, instanceId: InstanceId): string {
  const [message, fields] = entry.args as [string, LogFields | undefined];
  return JSON.stringify({
    time: entry.date.toISOString(),
    level: entry.type,
    instance: instanceId,
    message,
    ...fields,
  });
}

/** Creates the logger of an instance. */
export function createLogger(options: LoggerOptions): Logger {
  const write =
    options.write ?? ((line: string) => process.stdout.write(`${line}\n`));
  const jsonReporter: ConsolaReporter = {
    log: entry => write(toJsonLine(entry, options.instanceId)),
  };
  const consola = createConsola({
    level: LogLevels[options.level],
    ...(options.format === 'json' ? {reporters: [jsonReporter]} : {}),
    formatOptions: {date: true},
  });
  return {
    debug: (message, fields) => consola.debug(message, fields ?? {}),
    error: (message, fields) => consola.error(message, fields ?? {}),
    info: (message, fields) => consola.info(message, fields ?? {}),
    warn: (message, fields) => consola.warn(message, fields ?? {}),
  };
}
