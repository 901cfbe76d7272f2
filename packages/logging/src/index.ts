export type {
  RateLimitedLogWriter,
  RateLimitedLogWriterOptions,
  WriteText,
} from './BoundedLines.js';
export {createRateLimitedLogWriter} from './BoundedLines.js';
export type {LogFields, Logger, LoggerOptions} from './Logger.js';
export {createLogger} from './Logger.js';
