/**
 * The configuration in force on this instance. Its version never decreases.
 */
import type {ServiceName} from '@toucanrouter/common';
import type {
  GatewayConfig,
  GatewayRoute,
  GatewayWorkspace,
} from './GatewayConfig.js';
import type {RouteTable} from './RouteTable.js';
import {createRouteTable} from './RouteTable.js';

/** A configuration with its lookup tables. */
export interface ConfigInForce extends GatewayConfig {
  readonly table: RouteTable;
  /** Returns the highest tier number among the routes to a service. */
  leastUrgentTier(service: ServiceName): number;
  workspaceOf(key: string): GatewayWorkspace | undefined;
}

/** Holds the newest configuration that this instance received. */
export interface ActiveConfig {
  current(): ConfigInForce | undefined;
  /** Applies a newer configuration; returns false for any other. */
  applyIfNewer(config: GatewayConfig): boolean;
}

function leastUrgentTiers(
  routes: readonly GatewayRoute[],
): ReadonlyMap<ServiceName, number> {
  const tiers = new Map<ServiceName, number>();
  for (const {targets, tier} of routes) {
    for (const {service} of targets) {
      tiers.set(service, Math.max(tier, tiers.get(service) ?? 0));
    }
  }
  return tiers;
}

/** Creates a holder without configuration. */
export function createActiveConfig(
  onChange: (config: ConfigInForce) => void,
): ActiveConfig {
  let current: ConfigInForce | undefined;
  return {
    current: () => current,
    applyIfNewer: config => {
      if (current !== undefined && config.version <= current.version) {
        return false;
      }
      const tiers = leastUrgentTiers(config.routes);
      current = {
        ...config,
        table: createRouteTable(config.routes),
        leastUrgentTier: service => tiers.get(service) ?? 0,
        workspaceOf: key => config.workspacesByKey?.get(key),
      };
      onChange(current);
      return true;
    },
  };
}
