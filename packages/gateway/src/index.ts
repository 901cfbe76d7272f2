export type {
  CallerLimits,
  GatewayConfig,
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
  RetryPolicy,
  RouteTarget,
} from './config/GatewayConfig.js';
export type {Gateway, GatewayOptions} from './Gateway.js';
export {createGateway} from './Gateway.js';
export type {PeerEntry} from './peers/PeerDirectory.js';
export type {
  CallerRequest,
  Dialect,
  UpstreamRequestAttributes,
  UpstreamResponse,
} from './request/Dialect.js';
export type {
  LeaseId,
  StateChange,
  StateStore,
  StateUpdate,
  WatchResult,
} from './state/StateStore.js';
export type {Prompt, PromptSegment} from './upstreams/Prompt.js';
export {parsePromptSegments} from './upstreams/Prompt.js';
export type {UpstreamEntry} from './upstreams/UpstreamEntry.js';
