export type {LogFields, Logger, LoggerOptions} from './Logger.js';
export {createLogger} from './Logger.js';
export type {
  RateLimitedLogWriter,
  RateLimitedLogWriterOptions,
  WriteChunk,
} from './RateLimitedLogWriter.js';
export {createRateLimitedLogWriter} from './RateLimitedLogWriter.js';
export {createUncaughtErrorLog} from './UncaughtErrorLog.js';
