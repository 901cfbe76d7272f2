export type {BurnReportOptions} from './BurnCalculation.js';
export {toBurnReport} from './BurnCalculation.js';
export {renderBurnPage} from './BurnPage.js';
export {renderBurnTable, renderClassesTable} from './BurnTable.js';
export type {HistogramSnapshot} from './LatencyHistogram.js';
export {formatDuration, formatTime} from './ReportFormat.js';
export type {RequestCountSnapshot} from './RequestCountSeries.js';
export type {
  ObservedOutcome,
  ServiceLevelObservation,
  ServiceLevelRecorder,
  ServiceLevelRecorderOptions,
} from './ServiceLevelRecorder.js';
export {createServiceLevelRecorder} from './ServiceLevelRecorder.js';
export type {
  ClassIndicators,
  ServiceLevelIndicators,
  ServiceLevelSnapshot,
  WorkspaceIndicators,
} from './ServiceLevelSnapshot.js';
export {mergeSnapshots} from './ServiceLevelSnapshot.js';
export type {TableColumn} from './TextTable.js';
export {renderTable} from './TextTable.js';
