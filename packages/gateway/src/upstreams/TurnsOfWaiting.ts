/**
 * The order of the requests that wait for upstreams with a limited request rate:
 * the most urgent first, and the longest waiting within a tier.
 */
import type {ServiceName, UpstreamId} from '@toucanrouter/common';

/** A request that waits. */
export interface WaitingRequest {
  readonly service: ServiceName;
  readonly tier: number;
  readonly mayUse: (id: UpstreamId) => boolean;
}

/** The place of a waiting request. */
export interface WaitingPlace {
  readonly order: number;
  /** Leaves the order. */
  close(): void;
}

/** The requests that wait at an instance. */
export interface TurnsOfWaiting {
  join(request: WaitingRequest): WaitingPlace;
  /**
   * Number of requests that come before one of `tier` at an upstream. A request
   * without a place comes after all of its tier.
   */
  aheadCount(
    service: ServiceName,
    upstream: UpstreamId,
    tier: number,
    place: WaitingPlace | undefined,
  ): number;
}

interface Waiting extends WaitingRequest {
  readonly order: number;
}

/** Creates an order without requests. */
export function createTurnsOfWaiting(): TurnsOfWaiting {
  const waitingByService = new Map<ServiceName, Set<Waiting>>();
  let nextOrder = 0;

  return {
    join: request => {
      const {service} = request;
      const waiting = {...request, order: nextOrder++};
      const others = waitingByService.get(service) ?? new Set<Waiting>();
      waitingByService.set(service, others.add(waiting));
      return {
        order: waiting.order,
        close: () => {
          others.delete(waiting);
          if (others.size === 0 && waitingByService.get(service) === others) {
            waitingByService.delete(service);
          }
        },
      };
    },
    aheadCount: (service, upstream, tier, place) => {
      const order = place?.order ?? Infinity;
      let count = 0;
      for (const other of waitingByService.get(service) ?? []) {
        const isAhead =
          other.tier < tier || (other.tier === tier && other.order < order);
        if (isAhead && other.mayUse(upstream)) count += 1;
      }
      return count;
    },
  };
}
