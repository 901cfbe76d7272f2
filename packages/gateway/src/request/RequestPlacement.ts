/**
 * Places the attempts of one request on upstreams. It collects the inputs of
 * upstream selection and load shedding, and records what placement learns from.
 */
import type {ServiceName, UpstreamId} from '@toucanrouter/common';
import type {GatewayRoute} from '../config/GatewayConfig.js';
import {refusalReason} from '../upstreams/EngineAdmission.js';
import {placementPrefixId} from '../upstreams/PrefixAffinity.js';
import type {Prompt} from '../upstreams/Prompt.js';
import type {WaitingPlace} from '../upstreams/TurnsOfWaiting.js';
import type {Choice} from '../upstreams/UpstreamChoice.js';
import {
  chooseUpstream,
  hasFleetWidePrefix,
} from '../upstreams/UpstreamChoice.js';
import type {UpstreamEntry} from '../upstreams/UpstreamEntry.js';
import type {PlacementRates} from '../upstreams/UpstreamRateLimits.js';
import type {GatewayContext} from './GatewayContext.js';

/** The parts of the context that a placement depends on. */
export type PlacementContext = Pick<
  GatewayContext,
  'clock' | 'failureDomain' | 'knowledge' | 'random' | 'reportSoon'
> & {
  readonly upstreamNotices: Pick<
    GatewayContext['upstreamNotices'],
    'pauseRemainingMs'
  >;
  readonly upstreamRates: PlacementRates;
  readonly registry: Pick<GatewayContext['registry'], 'usable'>;
};

/** Time until a request may be sent, and why not now. */
export interface SendDelay {
  readonly delayMs: number;
  readonly cause: 'pause' | 'rate_limit';
}

/** The properties of an admitted request that its placement depends on. */
export interface PlacedRequest {
  readonly prompt: Prompt | undefined;
  readonly route: GatewayRoute;
  /** Tier of the workspace, or else of the route. */
  readonly tier: number;
  readonly service: ServiceName;
  /** True when the upstreams of the service are model engines. */
  readonly servesModels: boolean;
  /** True when no other class of the service is less urgent. */
  readonly leastUrgent: boolean;
  /** False for an upstream that must not get the request now. */
  readonly mayServe: (entry: UpstreamEntry) => boolean;
  /** False for an upstream that is chosen only if no other one can be. */
  readonly isPreferred: (entry: UpstreamEntry) => boolean;
}

/** Chooses the upstreams for the attempts of one request. */
export interface RequestPlacement {
  readonly service: ServiceName;
  /** Returns the best upstream that may be used, or undefined without one. */
  choose(mayUse: (id: UpstreamId) => boolean): Choice | undefined;
  /**
   * Time until the first of the upstreams that may be used takes the request;
   * undefined if one takes it now, and without any.
   */
  sendDelay(mayUse: (id: UpstreamId) => boolean): SendDelay | undefined;
  /** Keeps the request's turn among those that wait for limited upstreams. */
  joinWaiting(mayUse: (id: UpstreamId) => boolean): void;
  /** Ends the wait, if there is one. */
  leaveWaiting(): void;
  /**
   * Time after which a caller that `delay` kept from being served may return. It
   * hands out a turn if a limited rate is the cause.
   */
  returnDelayMs(delay: SendDelay): number;
  /** Estimated time to the first response on an upstream without other work. */
  unqueuedResponseMs(): number;
  /** Returns why the request is shed, or undefined if it is admitted. */
  overloadReason(choice: Choice, remainingMs: number): string | undefined;
  /** Records work that is offered to the engines, also if it is shed. */
  recordOffered(choice: Choice): void;
  /** Records that the request is sent; returns a function for its end. */
  recordSent(choice: Choice): () => void;
  /** Learns from the time between sending and the first response. */
  recordFirstResponse(choice: Choice, observedMs: number): void;
}

/** Peers learn soon of work whose prefill takes at least this time. */
const minReportedPrefillMs = 30;

/** Creates the placement of a request. */
export function createRequestPlacement(
  context: PlacementContext,
  request: PlacedRequest,
): RequestPlacement {
  const {clock, knowledge} = context;
  const {prompt, route, service} = request;
  const {prefixAffinity, responseStats} = knowledge;
  const engineModel = knowledge.engineModel(service);

  function assignPools() {
    return prompt === undefined
      ? new Map()
      : knowledge
          .enginePools(service)
          .assign(context.registry.usable(service), clock.nowMs());
  }

  const {pauseRemainingMs} = context.upstreamNotices;
  const {upstreamRates} = context;
  let place: WaitingPlace | undefined;

  const rateDelayMs = (entry: UpstreamEntry) =>
    upstreamRates.waitMs(entry, request.tier, place);

  function usableEntries(mayUse: (id: UpstreamId) => boolean) {
    return context.registry
      .usable(service)
      .filter(entry => mayUse(entry.id) && request.mayServe(entry));
  }

  function delayAt(entry: UpstreamEntry): SendDelay {
    const pauseMs = pauseRemainingMs(entry);
    const rateMs = rateDelayMs(entry);
    return rateMs > pauseMs
      ? {delayMs: rateMs, cause: 'rate_limit'}
      : {delayMs: pauseMs, cause: 'pause'};
  }

  function recordPrefix(sentPrompt: Prompt, upstream: UpstreamId): void {
    const prefixId = placementPrefixId(sentPrompt);
    if (prefixId === undefined) return;
    if (hasFleetWidePrefix(sentPrompt, engineModel)) {
      prefixAffinity.recordAndReport(prefixId, upstream, clock.nowMs());
    } else prefixAffinity.recordSent(prefixId, upstream, clock.nowMs());
  }

  return {
    service,
    choose: mayUse => {
      const unpaused = usableEntries(mayUse).filter(
        entry => pauseRemainingMs(entry) === 0,
      );
      const entries = unpaused.filter(entry => rateDelayMs(entry) === 0);
      if (entries.length > 0 && entries.length < unpaused.length) {
        upstreamRates.recordHeldBack(service, 'placed_elsewhere');
      }
      const nowMs = clock.nowMs();
      const candidates = entries.map(entry => ({
        entry,
        health: knowledge.healthOf(entry),
        peerLoad: knowledge.peerLoads.loadAt(entry.id),
      }));
      const preferred = candidates.filter(
        ({entry, health}) =>
          request.isPreferred(entry) && !health.isEjected(nowMs),
      );
      return chooseUpstream(
        preferred.length > 0 ? preferred : candidates,
        {
          prompt,
          servesModels: request.servesModels,
          targetLatencyMs: route.targetLatencyMs,
          retryable: route.retryPolicy !== 'never',
          failureDomain: context.failureDomain,
          prefixAffinity,
          engineModel,
          averageResponseMs: responseStats.averageResponseMs(),
          enginePools: assignPools(),
          tieBreak: context.random.next,
        },
        nowMs,
      );
    },
    sendDelay: mayUse => {
      const [first, ...others] = usableEntries(mayUse).map(delayAt);
      if (first === undefined) return undefined;
      const shortest = others.reduce(
        (least, delay) => (delay.delayMs < least.delayMs ? delay : least),
        first,
      );
      return shortest.delayMs > 0 ? shortest : undefined;
    },
    joinWaiting: mayUse => {
      if (place !== undefined) return;
      place = upstreamRates.joinWaiting({
        service,
        tier: request.tier,
        mayUse: id => usableEntries(mayUse).some(entry => entry.id === id),
      });
      upstreamRates.recordHeldBack(service, 'waited');
    },
    leaveWaiting: () => {
      place?.close();
      place = undefined;
    },
    returnDelayMs: ({cause, delayMs}) => {
      if (cause === 'pause') return delayMs;
      upstreamRates.recordHeldBack(service, 'refused');
      const pausesMs = usableEntries(() => true)
        .filter(entry => !upstreamRates.isLimited(entry))
        .map(pauseRemainingMs);
      const turnMs = upstreamRates.retryTurnMs(service, request.tier);
      return Math.min(turnMs, ...pausesMs);
    },
    unqueuedResponseMs: () =>
      engineModel.firstEventMs(prompt?.promptTokens ?? 0),
    overloadReason: (choice, remainingMs) => {
      if (prompt === undefined) return undefined;
      const input = {
        prompt,
        engineModel,
        tier: request.tier,
        leastUrgent: request.leastUrgent,
        targetLatencyMs: route.targetLatencyMs,
        expectedEvents: responseStats.expectedEvents(route.classId, prompt),
        averageEventGapMs: responseStats.averageEventGapMs(route.classId),
        remainingMs,
      };
      return refusalReason(choice, input, clock.nowMs());
    },
    recordOffered: ({uncachedPromptTokens}) => {
      if (prompt === undefined) return;
      const prefillMs = engineModel.prefillMs(uncachedPromptTokens);
      knowledge
        .enginePools(service)
        .recordOffered(prompt, prefillMs, clock.nowMs());
    },
    recordSent: ({candidate, uncachedPromptTokens}) => {
      if (prompt === undefined) return () => undefined;
      recordPrefix(prompt, candidate.entry.id);
      const prefillMs = engineModel.prefillMs(uncachedPromptTokens);
      if (prefillMs >= minReportedPrefillMs) context.reportSoon();
      return knowledge.enginePools(service).registerRequest(prompt);
    },
    recordFirstResponse: (choice, observedMs) => {
      if (!choice.isUnqueued) return;
      const prefilledTokens = choice.uncachedPromptTokens;
      engineModel.observeFirstEvent({prefilledTokens, observedMs});
    },
  };
}
