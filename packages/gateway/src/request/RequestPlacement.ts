/**
 * Where the attempts of one request go: it gathers what the choice of an
 * upstream and the refusal for load depend on.
 */
import type {ServiceName, UpstreamId} from '@toucanrouter/common';
import {refusalReason} from '../upstreams/EngineAdmission.js';
import type {Choice} from '../upstreams/UpstreamChoice.js';
import {chooseUpstream} from '../upstreams/UpstreamChoice.js';
import type {Admitted} from './Admission.js';
import type {CallerRequest} from './Dialect.js';
import type {GatewayContext} from './GatewayContext.js';

/** Options of a placement. */
export interface RequestPlacementOptions {
  readonly context: GatewayContext;
  readonly request: CallerRequest;
  readonly admitted: Admitted;
  readonly service: ServiceName;
}

/** Places the attempts of one request. */
export interface RequestPlacement {
  /** The best upstream that is not among `used`; undefined if none is left. */
  choose(used: readonly UpstreamId[]): Choice | undefined;
  /** Why the request is refused for load; undefined if it is admitted. */
  overload(choice: Choice, remainingMs: number): string | undefined;
}

/** Creates the placement of a request. */
export function createRequestPlacement(
  options: RequestPlacementOptions,
): RequestPlacement {
  const {admitted, context, request, service} = options;
  const {config, route, tier} = admitted;
  const {clock, lengths} = context;
  const {prompt} = request;

  function divide() {
    return prompt === undefined
      ? new Map()
      : context
          .division(service)
          .divide(context.registry.usable(service), clock.nowMs());
  }

  return {
    choose: used => {
      const entries = context.registry
        .usable(service)
        .filter(({id}) => !used.includes(id));
      const candidates = entries.map(entry => ({
        entry,
        condition: context.conditions(entry.id),
        others: context.peerLoads.at(entry.id),
      }));
      return chooseUpstream(
        candidates,
        {
          prompt,
          servesModels: config.services.get(service)?.servesModels === true,
          targetLatencyMs: route.targetLatencyMs,
          repeatable: route.repeat !== 'never',
          failureDomain: context.failureDomain,
          homes: context.homes,
          usualAnswerMs: lengths.usualAnswerMs(),
          division: divide(),
          tieBreak: context.random.next,
        },
        clock.nowMs(),
      );
    },
    overload: (choice, remainingMs) => {
      if (prompt === undefined) return undefined;
      const demand = {
        prompt,
        tier,
        leastUrgent: route.tier >= config.leastUrgentTier(service),
        targetLatencyMs: route.targetLatencyMs,
        usualEvents: lengths.usualEvents(route.classId, prompt),
        usualGapMs: lengths.usualGapMs(route.classId),
        remainingMs,
      };
      return refusalReason(choice, demand, clock.nowMs());
    },
  };
}
