export type {
  BoundedLines,
  BoundedLinesOptions,
  WriteText,
} from './BoundedLines.js';
export {createBoundedLines} from './BoundedLines.js';
export type {LogFields, Logger, LoggerOptions} from './Logger.js';
export {createLogger} from './Logger.js';
