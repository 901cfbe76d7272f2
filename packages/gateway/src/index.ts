export type {
  CallerLimits,
  GatewayConfig,
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
  RetryPolicy,
  RouteTarget,
} from './config/GatewayConfig.js';
export type {ConfigChange, ConfigFinding} from './config/ConfigReview.js';
export {describeChanges, reviewConfig} from './config/ConfigReview.js';
export type {Gateway, GatewayOptions} from './Gateway.js';
export {createGateway} from './Gateway.js';
export {decodeReport, encodeReport} from './peers/LoadReportCodec.js';
export type {PeerEntry} from './peers/PeerDirectory.js';
export type {ReportSchedule} from './peers/ReportSchedule.js';
export {createReportSchedule} from './peers/ReportSchedule.js';
export {shortIdOf} from './peers/ShortIds.js';
export type {
  CallerRequest,
  Dialect,
  UpstreamRequestAttributes,
  UpstreamResponse,
} from './request/Dialect.js';
export type {
  PlacementContext,
  RequestPlacement,
} from './request/RequestPlacement.js';
export {createRequestPlacement} from './request/RequestPlacement.js';
export {retryDelayMs} from './request/RetryAfter.js';
export {upstreamPriority} from './request/UpstreamPriority.js';
export type {
  InstanceEntry,
  Lease,
  LeaseId,
  LeaseRenewal,
  StateChange,
  StateStore,
  StoredVerdict,
  StateUpdate,
  StoredItem,
  StoreEra,
  ConditionalWrite,
  StoredVersionList,
  StreamHash,
  StreamRecord,
  StreamRecordBatch,
  StreamRecords,
  VersionLists,
  VersionList,
  WatchResult,
} from './state/StateStore.js';
export {toStoreEra, toStreamHash} from './state/StateStore.js';
export type {EngineModel} from './upstreams/EngineModel.js';
export {createEngineModel, initialEstimates} from './upstreams/EngineModel.js';
export type {Prompt, PromptSegment} from './upstreams/Prompt.js';
export {parsePromptSegments} from './upstreams/Prompt.js';
export type {Choice} from './upstreams/UpstreamChoice.js';
export type {UpstreamEntry} from './upstreams/UpstreamEntry.js';
export {unlimitedPlacement} from './upstreams/UpstreamRateLimits.js';
export type {UpstreamKnowledge} from './upstreams/UpstreamKnowledge.js';
export {createUpstreamKnowledge} from './upstreams/UpstreamKnowledge.js';
