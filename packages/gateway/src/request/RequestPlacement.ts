/**
 * Places the attempts of one request on upstreams. It collects the inputs of
 * upstream selection and load shedding.
 */
import type {ServiceName, UpstreamId} from '@toucanrouter/common';
import {refusalReason} from '../upstreams/EngineAdmission.js';
import type {Choice} from '../upstreams/UpstreamChoice.js';
import {chooseUpstream} from '../upstreams/UpstreamChoice.js';
import type {AdmittedRequest} from './Admission.js';
import type {CallerRequest} from './Dialect.js';
import type {GatewayContext} from './GatewayContext.js';

/** Options of a placement. */
export interface RequestPlacementOptions {
  readonly context: GatewayContext;
  readonly request: CallerRequest;
  readonly admitted: AdmittedRequest;
  readonly service: ServiceName;
}

/** Chooses the upstreams for the attempts of one request. */
export interface RequestPlacement {
  /** Returns the best upstream not in `used`, or undefined if none is left. */
  choose(used: readonly UpstreamId[]): Choice | undefined;
  /** Returns why the request is shed, or undefined if it is admitted. */
  overloadReason(choice: Choice, remainingMs: number): string | undefined;
}

/** Creates the placement of a request. */
export function createRequestPlacement(
  options: RequestPlacementOptions,
): RequestPlacement {
  const {admitted, context, request, service} = options;
  const {config, route, tier} = admitted;
  const {clock, responseStats} = context;
  const {prompt} = request;

  function assignPools() {
    return prompt === undefined
      ? new Map()
      : context
          .enginePools(service)
          .assign(context.registry.usable(service), clock.nowMs());
  }

  return {
    choose: used => {
      const entries = context.registry
        .usable(service)
        .filter(({id}) => !used.includes(id));
      const candidates = entries.map(entry => ({
        entry,
        health: context.healthOf(entry.id),
        peerLoad: context.peerLoads.loadAt(entry.id),
      }));
      return chooseUpstream(
        candidates,
        {
          prompt,
          servesModels: config.services.get(service)?.servesModels === true,
          targetLatencyMs: route.targetLatencyMs,
          retryable: route.retryPolicy !== 'never',
          failureDomain: context.failureDomain,
          prefixAffinity: context.prefixAffinity,
          averageResponseMs: responseStats.averageResponseMs(),
          enginePools: assignPools(),
          tieBreak: context.random.next,
        },
        clock.nowMs(),
      );
    },
    overloadReason: (choice, remainingMs) => {
      if (prompt === undefined) return undefined;
      const input = {
        prompt,
        tier,
        leastUrgent: route.tier >= config.leastUrgentTier(service),
        targetLatencyMs: route.targetLatencyMs,
        expectedEvents: responseStats.expectedEvents(route.classId, prompt),
        averageEventGapMs: responseStats.averageEventGapMs(route.classId),
        remainingMs,
      };
      return refusalReason(choice, input, clock.nowMs());
    },
  };
}
