/**
 * The operators' configuration as the gateway uses it: routes, their target
 * services, the API keys of workspaces, and the limits on callers.
 */
import type {ClassId, ServiceName, WorkspaceId} from '@toucanrouter/common';
import type {ScalingLimits} from '@toucanrouter/duties';

/**
 * What may be retried after a request was sent to an upstream: nothing, the rest
 * of a stream, or the whole request.
 */
export type RetryPolicy = 'never' | 'resume' | 'whole';

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** A route, which defines a class: its requests and their service level. */
export interface GatewayRoute {
  readonly classId: ClassId;
  readonly host: string;
  /** Starts and ends with a slash; the longest matching prefix wins. */
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  /** True when the response is a stream of server-sent events. */
  readonly streams: boolean;
  readonly retryPolicy: RetryPolicy;
  /** Maximum number of upstreams to which one request may be sent. */
  readonly maxUpstreams: number;
  /** Timeout for the complete response. */
  readonly timeoutMs: number;
  /** Target time to the response, or to the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Target for the longest gap between the events of a stream. */
  readonly targetGapMs: number | undefined;
  /** Tier of the class; 0 is the most urgent. */
  readonly tier: number;
  /** True when requests need no API key. */
  readonly anonymous: boolean;
}

/** A target service of routes. */
export interface GatewayService {
  readonly name: ServiceName;
  /** True when the upstreams are model engines. */
  readonly servesModels: boolean;
  /** Undefined if the number of upstreams is not ours to order. */
  readonly scaling?: ScalingLimits | undefined;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The workspace that an API key belongs to. */
export interface GatewayWorkspace {
  readonly workspaceId: WorkspaceId;
  /** Overrides the tier of the route if present. */
  readonly tier: number | undefined;
}

/** One version of the configuration. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: ReadonlyMap<ServiceName, GatewayService>;
  readonly limits: CallerLimits;
  /** Undefined when no request needs an API key. */
  readonly workspacesByKey: ReadonlyMap<string, GatewayWorkspace> | undefined;
}
