/**
 * The operators' configuration as the gateway uses it: routes, the services
 * that they lead to, the workspaces' keys, and the limits on callers.
 */
import type {ClassId, ServiceName, WorkspaceId} from '@toucanrouter/common';

/** What may be repeated after a request was sent to an upstream. */
export type RetryPolicy = 'never' | 'resume' | 'whole';

/** A share of a route's requests that goes to one service. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** A class of work: which requests belong to it and what they are owed. */
export interface GatewayRoute {
  readonly classId: ClassId;
  readonly host: string;
  /** Starts and ends with a slash; the longest one that fits wins. */
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  /** True when the answer is a stream of server-sent events. */
  readonly streams: boolean;
  readonly retryPolicy: RetryPolicy;
  /** Upstreams to which one request may be sent. */
  readonly maxUpstreams: number;
  /** Longest time that a caller is kept waiting for the whole answer. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream. */
  readonly targetLatencyMs: number;
  /** Longest pause between the events of a stream. */
  readonly targetGapMs: number | undefined;
  /** Rank of the class; 0 goes first. */
  readonly tier: number;
  /** True when no key is asked for. */
  readonly anonymous: boolean;
}

/** A service that routes lead to. */
export interface GatewayService {
  readonly name: ServiceName;
  /** True when the upstreams are model engines. */
  readonly servesModels: boolean;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace, found by one of its keys. */
export interface GatewayWorkspace {
  readonly workspaceId: WorkspaceId;
  /** Takes precedence over the tier of the route. */
  readonly tier: number | undefined;
}

/** One version of the configuration. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly GatewayRoute[];
  readonly services: ReadonlyMap<ServiceName, GatewayService>;
  readonly limits: CallerLimits;
  /** Undefined when requests need no key. */
  readonly workspacesByKey: ReadonlyMap<string, GatewayWorkspace> | undefined;
}
