export type {BurnReportOptions} from './BurnCalculation.js';
export {toBurnReport} from './BurnCalculation.js';
export type {CountSnapshot} from './CountSeries.js';
export type {HistogramSnapshot} from './LatencyHistogram.js';
export type {
  ObservedOutcome,
  ServiceLevelObservation,
  ServiceLevelRecorder,
  ServiceLevelRecorderOptions,
} from './ServiceLevelRecorder.js';
export {createServiceLevelRecorder} from './ServiceLevelRecorder.js';
export type {
  ClassLevels,
  ServiceLevelSnapshot,
  WorkspaceLevels,
} from './ServiceLevelSnapshot.js';
export {mergeSnapshots} from './ServiceLevelSnapshot.js';
