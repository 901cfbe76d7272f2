export type {
  AdminErrorBody,
  AdminRole,
  AuditEntry,
  BurnReportResponse,
  ConfigAcceptedResponse,
  ConfigApplyRequest,
  ConfigConflict,
  ConfigDiffRequest,
  ConfigDiffResponse,
  ConfigDifference,
  ConfigHistoryEntry,
  ConfigHistoryResponse,
  ConfigInForceResponse,
  ConfigShowResponse,
  ConfigSummary,
  FleetStatus,
  InstanceState,
  InstanceStatus,
  LaggingInstance,
  QueuedClass,
  QueuedRequests,
  QueuedWorkspace,
  ShardStatus,
  UpstreamChangeRequest,
  UpstreamStatus,
} from './AdminApi.js';
export type {AcceptedConnections} from './AcceptQueue.js';
export {closeOnceAccepted, maxQueueingMs} from './AcceptQueue.js';
export {answerReserveFor} from './AnswerReserve.js';
export type {
  BurnAlarm,
  BurnPoint,
  BurnReport,
  ClassBurn,
  LatencyBucket,
  LatencyQuantiles,
  ReportSource,
  WorkspaceBurn,
} from './BurnReport.js';
export type {BufferGarbage, Collector} from './BufferGarbage.js';
export {
  bufferGarbage,
  countReceivedBodies,
  createBufferGarbage,
} from './BufferGarbage.js';
export type {BufferBudget, BufferShare} from './BufferBudget.js';
export {createBufferBudget, defaultBufferBudgetBytes} from './BufferBudget.js';
export type {ByteCollector} from './ByteCollector.js';
export {createByteCollector} from './ByteCollector.js';
export type {LimitedBody} from './LimitedBody.js';
export {
  maxBatchBytes,
  PieceLimitError,
  readBatches,
  readLimitedBody,
  readWholeBody,
} from './LimitedBody.js';
export type {
  PortConnections,
  PortConnectionsOptions,
} from './PortConnections.js';
export {createPortConnections} from './PortConnections.js';
export type {PieceLimit} from './PieceLimit.js';
export {createPieceLimit} from './PieceLimit.js';
export {
  maxBufferedBodyBytes,
  maxBytesWithoutEvent,
  maxRejectionBodyBytes,
} from './ResponseLimits.js';
export type {
  ClaimEnd,
  ClaimReference,
  ClaimReply,
  ClaimRequest,
  ClaimStore,
  StoredResponse,
} from './Claims.js';
export {limitConnections} from './CallerConnections.js';
export type {Clock, ManualClock, Undo} from './Clock.js';
export {
  createManualClock,
  createSystemClock,
  delay,
  delayOrAbort,
} from './Clock.js';
export type {
  ConnectionBudget,
  ConnectionBudgetStatus,
  ConnectionClaim,
  ConnectionPlace,
} from './ConnectionBudget.js';
export {createConnectionBudget} from './ConnectionBudget.js';
export type {DescriptorPlan} from './DescriptorPlan.js';
export {
  descriptorLimit,
  parseDescriptorLimit,
  planDescriptors,
} from './DescriptorPlan.js';
export type {ConnectCallback, ConnectTarget} from './ConnectWithin.js';
export {connectWithin} from './ConnectWithin.js';
export type {
  ErrorBody,
  ErrorDetails,
  ErrorKind,
  RunStatus,
  SettingsFault,
} from './Errors.js';
export {
  errorResponseFor,
  errorResponses,
  isErrorKind,
  PlatformError,
  RouterError,
  SettingsError,
  toErrorBody,
} from './Errors.js';
export {hash32, hash64, partitionOf} from './Hash.js';
export {hopByHopHeaders} from './HttpHeaders.js';
export {isResponseStatus} from './HttpStatuses.js';
export type {
  ClaimId,
  ClassId,
  InstanceId,
  PermitId,
  RequestId,
  ServiceName,
  ShardId,
  StoreHistoryId,
  SoftwareVersion,
  UpstreamId,
  WorkspaceId,
} from './Ids.js';
export {
  toClaimId,
  toClassId,
  toInstanceId,
  toPermitId,
  toRequestId,
  toServiceName,
  toShardId,
  toStoreHistoryId,
  toSoftwareVersion,
  toUpstreamId,
  toWorkspaceId,
} from './Ids.js';
export {invariant} from './Invariant.js';
export {hasTooManyValues} from './JsonValues.js';
export type {
  KeyValue,
  KeyValueStore,
  KeyValueTransaction,
  NewStoreHistory,
  RevisionCompare,
  StoreHistoryStatus,
  TransactionResponse,
  WatchEvent,
} from './KeyValue.js';
export type {
  AcquireRequest,
  AnnouncedPermit,
  PermitOutcome,
  PermitRelease,
  PreemptReason,
  ProgressSample,
  QueueSnapshot,
  RefusalKind,
  ResumePoint,
  SchedulerCounters,
  SchedulerEffect,
  ShardSnapshot,
  UpstreamSnapshot,
  UpstreamState,
} from './Permits.js';
export {
  lingerAfterLastResponse,
  maxLingerMs,
  minLingerMs,
} from './LingeringClose.js';
export type {LoopDelay, LoopDelayOptions} from './LoopDelay.js';
export {createLoopDelay} from './LoopDelay.js';
export type {LoopTimes} from './LoopUtilization.js';
export {createLoopUtilization} from './LoopUtilization.js';
export type {
  MemoryBudget,
  MemoryBudgetOptions,
  MemoryBudgetStatus,
  MemoryClaim,
  MemoryReservation,
} from './MemoryBudget.js';
export {createMemoryBudget, usableBytes} from './MemoryBudget.js';
export type {
  OpenRequestLimit,
  OpenRequestShare,
  OpenRequestStatus,
} from './OpenRequestLimit.js';
export {
  createOpenRequestLimit,
  headBytesOf,
  headerBytesOf,
} from './OpenRequestLimit.js';
export type {MemoryPlan} from './MemoryPlan.js';
export {defaultMemoryLimitBytes, planMemory} from './MemoryPlan.js';
export type {HolderMemory, ProcessMemory} from './ProcessMemory.js';
export {createProcessMemory} from './ProcessMemory.js';
export type {PipelinedRequests} from './PipelinedRequests.js';
export {
  closeWaitingResponses,
  trackPipelinedRequests,
} from './PipelinedRequests.js';
export type {
  Listener,
  ListenerOptions,
  ListenError,
  ListenTarget,
  ServerListenerOptions,
} from './Listener.js';
export {
  createListener,
  createOpenListenerErrorLog,
  createServerListener,
  isLastingListenError,
  listenOnce,
} from './Listener.js';
export type {RandomSource} from './Random.js';
export {createProcessRandom, createSeededRandom} from './Random.js';
export {answerBeforeErrors} from './ConnectionErrors.js';
export {readBeforeIdleTimeout} from './IdleConnections.js';
export type {
  Refusal,
  RefusedPlace,
  RefusedRequests,
} from './RefusedRequests.js';
export {
  handOverRefusedRequests,
  refuseOpenRequest,
  sendRefusal,
  unrefusedOptions,
} from './RefusedRequests.js';
export type {RequestRate} from './RequestRate.js';
export {readRequestRate, unlimitedRate} from './RequestRate.js';
export type {RetryAfter} from './RetryAfter.js';
export {maxRetryAfterMs, readRetryAfter} from './RetryAfter.js';
export type {
  ClassMatch,
  LatencyTarget,
  OperatorConfig,
  ServiceClass,
  StoredConfig,
  Tier,
  Workspace,
} from './ServiceClasses.js';
export {lowestTier} from './ServiceClasses.js';
export {turnEnded} from './SocketsRead.js';
export type {StopPhase, StopPlan, StopPlanOptions} from './StopPlan.js';
export {limitReads} from './SocketReads.js';
export {createStopPlan} from './StopPlan.js';
export type {TimeMark} from './TimeMark.js';
export {elapsedBetween, markNow, shiftMark} from './TimeMark.js';
export {closeUnfinishedBodies} from './UnfinishedBodies.js';
export {spareUnsentResponses} from './UnsentResponses.js';
export type {UpstreamInfo, UpstreamKind} from './Upstreams.js';
export {shardOf} from './Upstreams.js';
