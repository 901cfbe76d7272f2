export type {
  EngineOrder,
  PlatformAnswer,
  PlatformApi,
  UsageReport,
  WindowIndex,
} from './PlatformApi.js';
export {toWindowIndex} from './PlatformApi.js';
export {rankCandidates, standbysOf} from './ownership/CandidateOrder.js';
export type {
  DutyOwnership,
  DutyOwnershipOptions,
  DutyOwnershipStatus,
  OwnedDuty,
} from './ownership/DutyOwnership.js';
export {createDutyOwnership} from './ownership/DutyOwnership.js';
export type {
  DutyClaim,
  DutyLease,
  DutyRecord,
  DutyStore,
  StoredDuty,
} from './ownership/DutyStore.js';
export type {FencingToken} from './ownership/FencingToken.js';
export {toFencingToken} from './ownership/FencingToken.js';
export type {
  DomainEngines,
  EngineCountInput,
  EngineCountPlan,
  EngineCounts,
  EnginePlanState,
  PlannedOrder,
  ScalingLimits,
} from './engines/EngineCountPlan.js';
export {createEngineCountPlan} from './engines/EngineCountPlan.js';
export type {EnginePlanStore} from './engines/EnginePlanStore.js';
export type {EngineNeed, EngineNeedTracker} from './engines/EngineNeed.js';
export {createEngineNeedTracker} from './engines/EngineNeed.js';
export type {DemandTable, ServiceDemand} from './engines/ServiceDemand.js';
export {createDemandTable} from './engines/ServiceDemand.js';
export type {FleetTime} from './usage/FleetTime.js';
export {createFleetTime} from './usage/FleetTime.js';
export type {
  ProcessId,
  ProcessUsage,
  UsageCollector,
  UsageCount,
} from './usage/UsageCollector.js';
export {createUsageCollector} from './usage/UsageCollector.js';
export type {UsageCounter, WindowCounts} from './usage/UsageCounter.js';
export {
  createUsageCounter,
  windowAt,
  windowEndMs,
} from './usage/UsageCounter.js';
export type {
  UsageReporter,
  UsageReporterOptions,
  UsageReporterStatus,
} from './usage/UsageReporter.js';
export {createUsageReporter} from './usage/UsageReporter.js';
export type {UsageStore, UsageWrite} from './usage/UsageStore.js';
