/**
 * State and services that all requests of an instance share.
 */
import type {
  BufferBudget,
  Clock,
  ConnectionBudget,
  MemoryBudget,
  RandomSource,
  ServiceName,
  UpstreamId,
  OpenRequestLimit,
  WorkspaceId,
} from '@toucanrouter/common';
import type {Logger} from '@toucanrouter/logging';
import type {RetryBudget} from '@toucanrouter/policy';
import type {ActiveConfig} from '../config/ActiveConfig.js';
import type {ConfigAge} from '../config/ConfigAge.js';
import type {StreamOrigins} from '../streams/StreamOrigins.js';
import type {UpstreamConnections} from '../upstreams/UpstreamConnections.js';
import type {UpstreamKnowledge} from '../upstreams/UpstreamKnowledge.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';
import type {UpstreamNotices} from '../upstreams/UpstreamNotices.js';
import type {UpstreamRateLimits} from '../upstreams/UpstreamRateLimits.js';
import type {UpstreamRegistry} from '../upstreams/UpstreamRegistry.js';
import type {Dialect} from './Dialect.js';
import type {EndedRequest} from './EndedRequest.js';
import type {LoadControl} from './LoadControl.js';
import type {PromptGuard} from './PromptGuard.js';
import type {ResumptionOutcome} from './ResponseStream.js';
import type {TurnQueue} from './TurnQueue.js';

/** The dependencies of request handling. */
export interface GatewayContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly dialect: Dialect;
  readonly failureDomain: string;
  readonly config: ActiveConfig;
  readonly configAge: ConfigAge;
  /** API keys are refused while the configuration is older than this. */
  readonly maxConfigAgeMs: () => number;
  /** Resolves once the store confirmed the configuration or the attempt failed. */
  readonly confirmConfig: () => Promise<void>;
  readonly registry: UpstreamRegistry;
  readonly knowledge: UpstreamKnowledge;
  /** Reports this instance's work to its peers without waiting long. */
  readonly reportSoon: () => void;
  /** Refuses requests for lack of processor time. */
  readonly loadControl: Pick<
    LoadControl,
    'unreadMs' | 'tryAdmit' | 'loopDelay'
  >;
  /** Requests that were admitted and begin one after the other. */
  readonly turnQueue: TurnQueue;
  readonly connections: UpstreamConnections;
  /** Bounds the connections of callers. */
  readonly callerConnections: ConnectionBudget;
  /** Callers that may still send when their connection was answered and closed. */
  readonly lingeringCallerCount: number;
  /** Bounds the requests that are open at the same time. */
  readonly openRequestLimit: OpenRequestLimit;
  /** Bounds the memory of callers' bodies. */
  readonly requestBodies: MemoryBudget;
  /** Bounds the bytes of responses that are buffered at the same time. */
  readonly responseBuffers: BufferBudget;
  readonly promptGuard: PromptGuard;
  readonly upstreamNotices: UpstreamNotices;
  readonly upstreamRates: UpstreamRateLimits;
  /** Knows which software versions began the streams of callers. */
  readonly streamOrigins: StreamOrigins;
  /** Reads the entry of an upstream from the store; undefined without news. */
  readonly readUpstream: (
    id: UpstreamId,
    timeoutMs: number,
  ) => Promise<UpstreamEntry | undefined>;
  /** A stream that its caller resumed has ended, or was refused. */
  readonly onResumptionEnded: (outcome: ResumptionOutcome) => void;
  readonly retryBudget: (service: ServiceName) => RetryBudget;
  /** True once the instance accepts no new requests. */
  readonly isDraining: () => boolean;
  /** Called once when an upstream has begun to run a request of a workspace. */
  readonly onBegun: (workspaceId: WorkspaceId) => void;
  readonly onEnded: (ended: EndedRequest) => void;
}
