/**
 * The configuration in force on this instance. Versions only move forward.
 */
import type {GatewayConfig, GatewayWorkspace} from './GatewayConfig.js';
import type {RouteTable} from './RouteTable.js';
import {createRouteTable} from './RouteTable.js';

/** A configuration with the tables that requests are looked up in. */
export interface ConfigInForce extends GatewayConfig {
  readonly table: RouteTable;
  workspaceOf(key: string): GatewayWorkspace | undefined;
}

/** Holds the newest configuration that this instance has seen. */
export interface ActiveConfig {
  current(): ConfigInForce | undefined;
  /** Applies a configuration; false when it is not newer. */
  offer(config: GatewayConfig): boolean;
}

/** Creates a holder without configuration. */
export function createActiveConfig(
  onChange: (config: ConfigInForce) => void,
): ActiveConfig {
  let current: ConfigInForce | undefined;
  return {
    current: () => current,
    offer: config => {
      if (current !== undefined && config.version <= current.version) {
        return false;
      }
      current = {
        ...config,
        table: createRouteTable(config.routes),
        workspaceOf: key => config.workspacesByKey?.get(key),
      };
      onChange(current);
      return true;
    },
  };
}
