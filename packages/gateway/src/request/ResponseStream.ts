/**
 * Keeps a resumable stream at one software version. The version is that of the
 * upstream whose part of the response was passed on first. A stream that the
 * caller resumes goes on at the version that began it, and is refused if that
 * is not known.
 */
import type {ServiceName, SoftwareVersion} from '@toucanrouter/common';
import type {GatewayRoute} from '../config/GatewayConfig.js';
import {pickService} from '../config/RouteTable.js';
import {maxOriginLookupMs} from '../streams/StreamOriginLookup.js';
import type {StreamKey} from '../streams/StreamOrigins.js';
import {
  createStreamVersion,
  streamVersionOf,
} from '../streams/StreamVersion.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';
import {isSameProcess} from '../upstreams/UpstreamEntry.js';
import type {AdmittedRequest} from './Admission.js';
import type {CallerRequest} from './Dialect.js';
import type {GatewayContext} from './GatewayContext.js';

/** What became of a stream that its caller resumed. */
export type ResumptionOutcome =
  /** A part of the response was passed on. */
  | 'went_on'
  /** Nobody knows which version began the stream. */
  | 'unknown'
  /** No upstream of the version is registered. */
  | 'no_upstream'
  /** Upstreams of the version did not serve the request. */
  | 'failed';

/** Where the first attempt of a request goes. */
export type StreamPlace =
  | {readonly kind: 'placed'; readonly service: ServiceName | undefined}
  | {readonly kind: 'unknown'; readonly reason: string};

/** Decides what of one attempt may be passed on. */
export interface StreamAttempt {
  /**
   * Called before each part of a response is passed on, the first of which holds
   * an event. Returns why it must not be, or undefined.
   */
  refusalReason(): string | undefined;
}

/** The stream of one request, over all of its attempts. */
export interface ResponseStream {
  /** Picks the service; finds out first which version began the stream. */
  place(remainingMs: number): Promise<StreamPlace>;
  /** Undefined while any version may serve the request. */
  version(): SoftwareVersion | undefined;
  mayServe(entry: UpstreamEntry): boolean;
  /** False for an upstream that serves the request only if no other one can. */
  isPreferred(entry: UpstreamEntry): boolean;
  /**
   * Verifies with the store that an upstream still runs the version that the
   * stream goes on at. Returns false if the upstream was replaced, which the
   * registry knows then.
   */
  verify(entry: UpstreamEntry, remainingMs: number): Promise<boolean>;
  /** Returns why a chosen upstream must not get the request, or undefined. */
  withdrawalReason(entry: UpstreamEntry): string | undefined;
  startAttempt(entry: UpstreamEntry): StreamAttempt;
  /** Counts what became of a stream that was resumed. */
  close(isServed: boolean): void;
}

type StreamContext = Pick<
  GatewayContext,
  'logger' | 'onResumptionEnded' | 'random' | 'readUpstream' | 'streamOrigins'
> & {
  readonly registry: Pick<
    GatewayContext['registry'],
    'entryOf' | 'put' | 'usable'
  >;
};

/** Without an answer of the store, the entry that is known is trusted. */
const maxVerificationMs = 200;

function createUnversionedStream(
  {random}: Pick<StreamContext, 'random'>,
  route: GatewayRoute,
): ResponseStream {
  return {
    place: () =>
      Promise.resolve({kind: 'placed', service: pickService(route, random)}),
    version: () => undefined,
    mayServe: () => true,
    isPreferred: () => true,
    verify: () => Promise.resolve(true),
    withdrawalReason: () => undefined,
    startAttempt: () => ({refusalReason: () => undefined}),
    close: () => undefined,
  };
}

/** Creates the stream of a request to which nothing was passed on yet. */
export function createResponseStream(
  context: StreamContext,
  request: Pick<
    CallerRequest,
    'requestId' | 'resumeAfterId' | 'resumesRequestId'
  >,
  {route, workspace}: Pick<AdmittedRequest, 'route' | 'workspace'>,
): ResponseStream {
  if (route.retryPolicy !== 'resume') {
    return createUnversionedStream(context, route);
  }
  const {logger, random, registry, streamOrigins} = context;
  const {requestId, resumeAfterId, resumesRequestId} = request;
  const workspaceId = workspace?.workspaceId;
  const isResumption = resumeAfterId !== undefined;
  const version = createStreamVersion();
  let service: ServiceName | undefined;
  let hasBegun = false;
  let isUnknown = false;

  async function placeResumption(remainingMs: number): Promise<StreamPlace> {
    const services = route.targets.map(target => target.service);
    const key: StreamKey | undefined =
      resumesRequestId === undefined
        ? undefined
        : {workspaceId, requestId: resumesRequestId};
    const timeoutMs = Math.max(0, Math.min(maxOriginLookupMs, remainingMs));
    const found = await streamOrigins.find(key, services, timeoutMs);
    if (found.kind === 'unknown') return found;
    const {origin} = found;
    version.fix(origin.softwareVersion);
    logger.info('caller resumes a stream', {
      requestId,
      resumesRequestId,
      service: origin.service,
      upstreamVersion: origin.softwareVersion,
    });
    return {
      kind: 'placed',
      service: services.includes(origin.service)
        ? origin.service
        : pickService(route, random),
    };
  }

  function hasUpstream(): boolean {
    return (
      service !== undefined && registry.usable(service).some(version.mayServe)
    );
  }

  function resumptionOutcome(isServed: boolean): ResumptionOutcome {
    if (isServed || hasBegun) return 'went_on';
    if (isUnknown) return 'unknown';
    return hasUpstream() ? 'failed' : 'no_upstream';
  }

  /** An upstream may return under its id with other software. */
  function isReplaced(entry: UpstreamEntry): boolean {
    const latest = registry.entryOf(entry.id);
    return (
      latest !== undefined && streamVersionOf(latest) !== streamVersionOf(entry)
    );
  }

  /** True for an entry that was written by a later process of the upstream. */
  function isLaterProcess(read: UpstreamEntry, known: UpstreamEntry): boolean {
    const isEarlier =
      read.startedAtMs !== undefined &&
      known.startedAtMs !== undefined &&
      read.startedAtMs < known.startedAtMs;
    return !isSameProcess(read, known) && !isEarlier;
  }

  return {
    verify: async (entry, remainingMs) => {
      if (version.current() === undefined) return true;
      const timeoutMs = Math.min(maxVerificationMs, Math.max(0, remainingMs));
      const read = await context.readUpstream(entry.id, timeoutMs);
      if (read === undefined || !isLaterProcess(read, entry)) return true;
      // The watch may have shown a still later one meanwhile.
      const latest = registry.entryOf(entry.id);
      if (latest !== undefined && isLaterProcess(read, latest)) {
        registry.put(read);
      }
      return false;
    },
    place: async remainingMs => {
      const place: StreamPlace = isResumption
        ? await placeResumption(remainingMs)
        : {kind: 'placed', service: pickService(route, random)};
      if (place.kind === 'placed') service = place.service;
      else isUnknown = true;
      return place;
    },
    version: version.current,
    mayServe: version.mayServe,
    isPreferred: entry =>
      version.current() !== undefined ||
      streamOrigins.mayBegin({
        service: entry.service,
        softwareVersion: streamVersionOf(entry),
      }),
    withdrawalReason: entry =>
      isReplaced(entry)
        ? 'the upstream runs another software version now'
        : undefined,
    startAttempt: entry => {
      let isFirstPart = true;
      return {
        refusalReason: () => {
          if (!version.mayServe(entry)) {
            return 'the stream goes on at another software version';
          }
          if (isFirstPart && isReplaced(entry)) {
            return 'the software version that responds is not known';
          }
          isFirstPart = false;
          const softwareVersion = streamVersionOf(entry);
          version.fix(softwareVersion);
          if (hasBegun) return undefined;
          hasBegun = true;
          if (!isResumption) {
            const origin = {service: entry.service, softwareVersion};
            streamOrigins.streamBegan({workspaceId, requestId}, origin);
          }
          return undefined;
        },
      };
    },
    close: isServed => {
      if (isResumption) context.onResumptionEnded(resumptionOutcome(isServed));
    },
  };
}
