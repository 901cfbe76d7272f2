/**
 * Implements the dependencies of the administration API by the instance that
 * serves it.
 */
import type {ConfigChangeResult} from '@toucanrouter/keyvalue';
import {okAsync, ResultAsync} from 'neverthrow';
import type {Instance, InstanceOptions} from '../Instance.js';
import type {
  AdminDependencies,
  ConfigChangeOutcome,
} from './AdminDependencies.js';
import {initialConfig} from './ConfigViews.js';
import {
  readConfigVersions,
  readFleetStatus,
  readQueuedRequests,
  readServiceLevels,
} from './FleetViews.js';

/** Returns the functions that the administration API calls. */
export function createAdminDependencies(
  {clock, logger, settings}: InstanceOptions,
  instance: Instance,
): AdminDependencies {
  const {configStore, directory, fleet, holder} = instance;
  const views = {...instance, config: holder.inForce};
  return {
    clock,
    readerTokenFile: settings.readerTokenFile,
    writerTokenFile: settings.writerTokenFile,
    fleetStatus: () => ResultAsync.fromSafePromise(readFleetStatus(views)),
    queuedRequests: () =>
      ResultAsync.fromSafePromise(readQueuedRequests(views)),
    currentConfig: holder.stored,
    changeConfig: change =>
      configStore.change(change).map(result => {
        if (result.kind === 'accepted') holder.offer(result.config);
        return toChangeOutcome(result);
      }),
    configHistory: limit => configStore.history(limit),
    configVersions: () => okAsync(readConfigVersions(fleet)),
    isKnownUpstream: upstreamId => directory.find(upstreamId) !== undefined,
    serviceLevels: () => ResultAsync.fromSafePromise(readServiceLevels(views)),
    audit: entry => logger.info('configuration change', {...entry}),
    logUnexpectedError: cause =>
      logger.error('administration request failed', {error: String(cause)}),
  };
}

function toChangeOutcome(result: ConfigChangeResult): ConfigChangeOutcome {
  switch (result.kind) {
    case 'accepted':
      return {kind: 'accepted', stored: result.config};
    case 'conflict':
      return {kind: 'conflict', winner: result.winner ?? initialConfig};
    case 'not_yet_known':
      return {kind: 'not_yet_known'};
  }
}
