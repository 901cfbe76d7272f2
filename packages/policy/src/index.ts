export type {CrashDetector, CrashDetectorOptions} from './CrashDetector.js';
export {createCrashDetector} from './CrashDetector.js';
export type {BoundedMap} from './BoundedMap.js';
export {createBoundedMap} from './BoundedMap.js';
export type {ClassifiedCall, ModelCall, ServiceCall} from './Classification.js';
export {classify} from './Classification.js';
export type {EngineDemand, WorkKind, WorkKindCounts} from './EnginesNeeded.js';
export {
  addCounts,
  enginesNeeded,
  enginesToKeepUp,
  zeroCounts,
} from './EnginesNeeded.js';
export type {HedgeBudget, HedgeBudgetParameters} from './HedgeBudget.js';
export {
  createHedgeBudget,
  defaultHedgeBudgetParameters,
} from './HedgeBudget.js';
export type {LengthModel} from './LengthModel.js';
export {createLengthModel} from './LengthModel.js';
export type {
  LoadShedding,
  LoadSheddingOptions,
  SheddingReason,
  SheddingRequest,
} from './LoadShedding.js';
export {createLoadShedding} from './LoadShedding.js';
export type {
  BlockedSegment,
  PromptQuarantine,
  PromptQuarantineOptions,
} from './PromptQuarantine.js';
export {createPromptQuarantine} from './PromptQuarantine.js';
export type {
  ClearingReason,
  Conviction,
  QuarantineLimits,
  QuarantineReport,
  ReportedClearing,
  ReportedCrash,
  ReportedVerdict,
  RequestHash,
  SegmentHash,
  UpstreamCrash,
  UpstreamStartHash,
  InterruptedRequest,
} from './PromptQuarantineTypes.js';
export {
  defaultQuarantineLimits,
  requestHashOf,
  segmentHashOf,
  toSegmentHash,
  upstreamStartHashOf,
} from './PromptQuarantineTypes.js';
export type {
  AttemptEndReason,
  RecoveryDecision,
  RecoveryState,
} from './Recovery.js';
export {decideRecovery, maxAttempts} from './Recovery.js';
export type {
  RetryBudget,
  RetryBudgetParameters,
  RetryBudgetStatus,
  RetryLimit,
  RetryUse,
  RetryReservation,
} from './RetryBudget.js';
export {
  createRetryBudget,
  createRetryBudgetOf,
  defaultRetryBudgetParameters,
} from './RetryBudget.js';
export type {SchedulerParameters} from './SchedulerParameters.js';
export {defaultSchedulerParameters} from './SchedulerParameters.js';
export type {ShardSchedulerOptions} from './SchedulerState.js';
export type {ShardScheduler} from './ShardScheduler.js';
export {createShardScheduler} from './ShardScheduler.js';
export type {
  PauseChange,
  UpstreamPauses,
  UpstreamProcess,
} from './UpstreamPauses.js';
export {createUpstreamPauses} from './UpstreamPauses.js';
export type {JobStart, UpstreamTracker} from './UpstreamTracker.js';
export {createUpstreamTracker} from './UpstreamTracker.js';
export type {UpstreamTrackerParameters} from './UpstreamTrackerConstants.js';
export {defaultUpstreamTrackerParameters} from './UpstreamTrackerConstants.js';
export type {RateBucket} from './rates/RateBucket.js';
export {createRateBucket} from './rates/RateBucket.js';
export type {RateDivision, RateMember, RateShare} from './rates/RateShares.js';
export {noShare, rateShareOf} from './rates/RateShares.js';
export type {
  ProcessHash,
  RateChange,
  RateStatement,
  RateStatements,
} from './rates/RateStatements.js';
export {createRateStatements} from './rates/RateStatements.js';
export {maxDemandTiers} from './rates/TierDemand.js';
export type {
  RatedUpstream,
  RateReport,
  RateServiceHash,
  ServiceDemand,
  UpstreamRates,
  UpstreamRatesOptions,
} from './rates/UpstreamRates.js';
export {
  createUpstreamRates,
  processHashOf,
  rateServiceHashOf,
} from './rates/UpstreamRates.js';
export type {
  RateSharerId,
  RateSharing,
  UpstreamRateLimit,
} from './SchedulerRates.js';
export {createSchedulerRates} from './SchedulerRates.js';
export type {RateStatus} from './ShardScheduler.js';
