/**
 * Finds the route of a request: the route of its host with the longest matching
 * path prefix.
 */
import type {RandomSource, ServiceName} from '@toucanrouter/common';
import type {GatewayRoute} from './GatewayConfig.js';

/** Finds routes by host and path. */
export interface RouteTable {
  find(host: string, path: string): GatewayRoute | undefined;
}

const portSuffix = /:\d+$/;

/** Hosts are compared without port and without regard to case. */
export function normalizeHost(host: string): string {
  return host.replace(portSuffix, '').toLowerCase();
}

/** Yields each route prefix that matches the path, longest first. */
function* prefixesOf(path: string): Generator<string> {
  for (
    let end = path.lastIndexOf('/');
    end >= 0;
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)
  ) {
    yield path.slice(0, end + 1);
  }
}

/** Creates a table of the routes of one configuration. */
export function createRouteTable(routes: readonly GatewayRoute[]): RouteTable {
  const byHost = new Map<string, Map<string, GatewayRoute>>();
  for (const route of routes) {
    const host = normalizeHost(route.host);
    const byPrefix = byHost.get(host) ?? new Map<string, GatewayRoute>();
    byPrefix.set(route.pathPrefix, route);
    byHost.set(host, byPrefix);
  }
  return {
    find: (host, path) => {
      const byPrefix = byHost.get(normalizeHost(host));
      if (byPrefix === undefined) return undefined;
      for (const prefix of prefixesOf(path)) {
        const route = byPrefix.get(prefix);
        if (route !== undefined) return route;
      }
      return undefined;
    },
  };
}

/** Picks the service of a request at random by the weights of its route. */
export function pickService(
  route: GatewayRoute,
  random: RandomSource,
): ServiceName | undefined {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = random.next() * total;
  for (const {service, weight} of route.targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.targets.at(-1)?.service;
}
