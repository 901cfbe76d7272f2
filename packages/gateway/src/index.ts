export type {
  CallerLimits,
  GatewayConfig,
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
  RepeatRule,
  RouteTarget,
} from './config/GatewayConfig.js';
export type {Gateway, GatewayOptions} from './Gateway.js';
export {createGateway} from './Gateway.js';
export type {PeerEntry} from './peers/PeerDirectory.js';
export type {
  CallerRequest,
  Dialect,
  UpstreamAnswer,
  UpstreamTerms,
} from './request/Dialect.js';
export type {
  ChangeReading,
  LeaseId,
  StateChange,
  StateReading,
  StateStore,
} from './state/StateStore.js';
export type {Prompt, PromptPart} from './upstreams/Prompt.js';
export {parsePromptParts} from './upstreams/Prompt.js';
export type {UpstreamEntry} from './upstreams/UpstreamEntry.js';
