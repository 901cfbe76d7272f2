/**
 * The settings file of an instance that runs as a gateway on the users'
 * platform: listen addresses, the store, and the limits that the platform sets.
 */
import type {InstanceId} from '@toucanrouter/common';
import {SettingsError, toInstanceId} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err} from 'neverthrow';
import {z} from 'zod';
import type {ListenAddress} from './InstanceSettings.js';
import type {SectionValues} from './SectionedFile.js';
import {parseSections, readTextFile} from './SectionedFile.js';
import {
  addressField,
  addressTextField,
  choiceField,
  durationField,
  memoryField,
  nameField,
  numberField,
} from './SettingsFields.js';

/** Settings of a gateway instance. */
export interface GatewaySettings {
  readonly instanceId: InstanceId;
  readonly failureDomain: string;
  /** Where callers connect. */
  readonly callers: ListenAddress;
  /** Where the load balancer queries whether the instance is ready. */
  readonly readiness: ListenAddress;
  readonly metrics: ListenAddress;
  /** Where peers send their load, over UDP. */
  readonly peers: ListenAddress;
  readonly storeAddress: string;
  /** A graceful stop completes within this time. */
  readonly stopGraceMs: number;
  /** A revoked key stops working within this time. */
  readonly revocationDelayMs: number;
  /** A changed configuration is in force within this time. */
  readonly configDelayMs: number;
  /** A leaving upstream gets no new work after this time. */
  readonly leavingDelayMs: number;
  /** Retries allowed per request to a service, over all instances. */
  readonly retryShare: number;
  readonly retryWindowMs: number;
  /** Retries allowed per window beyond that share, over all instances. */
  readonly retryAllowance: number;
  /** Memory that the process may occupy; undefined if it is not set. */
  readonly memoryLimitBytes: number | undefined;
  readonly logLevel: 'debug' | 'error' | 'info' | 'warn';
}

/** Schemas of the sections of a gateway's settings file, by name. */
export const gatewaySections = {
  instance: z.strictObject({id: nameField, failure_domain: nameField}),
  listen: z.strictObject({
    callers: addressField,
    readiness: addressField,
    metrics: addressField,
    peers: addressField,
  }),
  store: z.strictObject({address: addressTextField}),
  bounds: z.strictObject({
    stop_grace: durationField.prefault('8s'),
    revocation: durationField.prefault('5s'),
    config_delay: durationField.prefault('2s'),
    leaving_delay: durationField.prefault('2s'),
    repeat_share: numberField.prefault('0.2'),
    repeat_window: durationField.prefault('10s'),
    repeat_slack: numberField.prefault('50'),
  }),
  limits: z.strictObject({memory: memoryField.optional()}),
  log: z.strictObject({
    level: choiceField(['debug', 'error', 'info', 'warn']).prefault('info'),
  }),
} as const;

function toGatewaySettings(
  values: SectionValues<typeof gatewaySections>,
): GatewaySettings {
  const {bounds, instance, limits, listen, log, store} = values;
  return {
    instanceId: toInstanceId(instance.id),
    failureDomain: instance.failure_domain,
    callers: listen.callers,
    readiness: listen.readiness,
    metrics: listen.metrics,
    peers: listen.peers,
    storeAddress: store.address,
    stopGraceMs: bounds.stop_grace,
    revocationDelayMs: bounds.revocation,
    configDelayMs: bounds.config_delay,
    leavingDelayMs: bounds.leaving_delay,
    retryShare: bounds.repeat_share,
    retryWindowMs: bounds.repeat_window,
    retryAllowance: bounds.repeat_slack,
    memoryLimitBytes: limits.memory,
    logLevel: log.level,
  };
}

/** Parses gateway settings; `file` is the file name in reported faults. */
export function parseGatewaySettings(
  text: string,
  file: string,
): Result<GatewaySettings, SettingsError> {
  return parseSections(text, file, gatewaySections).map(toGatewaySettings);
}

/** Loads the settings file of a gateway. */
export async function loadGatewaySettings(
  file: string,
): Promise<Result<GatewaySettings, SettingsError>> {
  const text = await readTextFile(file);
  if (text !== undefined) return parseGatewaySettings(text, file);
  const message =
    'the settings file cannot be read; check its path and permissions';
  const fault = {file, line: 0, message};
  return err(new SettingsError('settings_invalid', [fault]));
}
