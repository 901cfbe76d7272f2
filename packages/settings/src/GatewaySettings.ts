/**
 * The settings file of an instance that runs as a gateway on the users'
 * platform: listen addresses, the store, and the limits that the platform sets.
 *
 * The platform fills in the file from a template, and a field that it does not
 * set is filled in as nothing. A key that has a default and is left without a
 * value takes its default, and the caller learns which keys did. All other faults
 * are reported.
 */
import type {InstanceId} from '@toucanrouter/common';
import {SettingsError, toInstanceId} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err} from 'neverthrow';
import * as z from 'zod';
import type {ListenAddress} from './InstanceSettings.js';
import type {IniDocument, IniEntry, IniSection} from './IniDocument.js';
import {parseIni} from './IniDocument.js';
import type {SectionValues} from './SectionedFile.js';
import {
  formatAddress,
  readTextFile,
  validateSections,
} from './SectionedFile.js';
import type {SectionSchema} from './SectionParser.js';
import {
  addressField,
  addressTextField,
  choiceField,
  countField,
  durationField,
  durationOrZeroField,
  isBlank,
  isZero,
  listField,
  memoryField,
  numberField,
  opaqueField,
  optionalAddressField,
} from './SettingsFields.js';

/** Work that one instance of the fleet does at a time. */
export type DutyName = 'scaling' | 'usage_reporting';

/** The duties that the platform asks for, and its API for them. */
export interface DutySettings {
  /** Address of the API, as `host:port`. */
  readonly address: string;
  readonly names: ReadonlySet<DutyName>;
  /** Calls that the platform accepts from all instances together. */
  readonly callsPerSecond: number;
  /** Lease under which one instance holds the duties. */
  readonly leaseMs: number;
  /** Length of the windows of the wall clock for which usage is reported. */
  readonly usageWindowMs: number;
  /** Time after the end of a window at which its report is due. */
  readonly usageDeadlineMs: number;
}

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
  /** Undefined if the platform asks for no duties. */
  readonly duties?: DutySettings | undefined;
  /** Memory that the process may occupy; undefined if it is not set. */
  readonly memoryLimitBytes: number | undefined;
  /** Descriptors that the process may open; undefined if it is not set. */
  readonly maxDescriptors?: number | undefined;
  readonly logLevel: 'debug' | 'error' | 'info' | 'warn';
}

/** Settings as parsed from a file. */
export interface ParsedGatewaySettings extends GatewaySettings {
  /** Keys of the file that have no value, as `section.key`. */
  readonly unsetKeys: readonly string[];
}

const dutyNames: readonly DutyName[] = ['scaling', 'usage_reporting'];

function isDutyName(text: string): text is DutyName {
  return dutyNames.some(name => name === text);
}

const instanceShape = {id: opaqueField, failure_domain: opaqueField};

/** Schemas of the sections of a gateway's settings file, by name. */
export const gatewaySections = {
  instance: z.strictObject(instanceShape),
  listen: z.strictObject({
    callers: addressField,
    readiness: addressField,
    metrics: optionalAddressField,
    peers: optionalAddressField,
  }),
  store: z.strictObject({address: addressTextField}),
  bounds: z.strictObject({
    stop_grace: durationOrZeroField.prefault('8s'),
    revocation: durationField.prefault('5s'),
    config_delay: durationOrZeroField.prefault('2s'),
    leaving_delay: durationOrZeroField.prefault('2s'),
    repeat_share: numberField.prefault('0.2'),
    repeat_window: durationField.prefault('10s'),
    repeat_slack: numberField.prefault('50'),
  }),
  platform_api: z.strictObject({
    address: opaqueField.prefault(''),
    duties: listField(isDutyName, `use ${dutyNames.join(', ')}`).prefault(''),
    rate: numberField.prefault('50'),
    lease: durationField.prefault('3s'),
    usage_window: durationField.prefault('5s'),
    usage_deadline: durationField.prefault('10s'),
  }),
  limits: z.strictObject({
    memory: memoryField.optional(),
    descriptors: countField.optional(),
  }),
  log: z.strictObject({
    level: choiceField(['debug', 'error', 'info', 'warn']).prefault('info'),
  }),
} as const;

/**
 * Listeners without which a gateway serves its callers. The platform chooses the
 * other ports, so one of them may be the port of such a listener.
 */
const optionalListeners = ['metrics', 'peers'];

/** A platform without duties leaves the section out or its keys empty. */
function toDuties(
  api: SectionValues<typeof gatewaySections>['platform_api'],
): DutySettings | undefined {
  const names = new Set(api.duties.filter(isDutyName));
  if (api.address === '' || names.size === 0) return undefined;
  return {
    address: api.address,
    names,
    callsPerSecond: api.rate,
    leaseMs: api.lease,
    usageWindowMs: api.usage_window,
    usageDeadlineMs: api.usage_deadline,
  };
}

function toGatewaySettings(
  values: SectionValues<typeof gatewaySections>,
): GatewaySettings {
  const {bounds, instance, limits, listen, log, store} = values;
  return {
    // The address for callers is unique in the fleet, as an id must be.
    instanceId: toInstanceId(instance.id || formatAddress(listen.callers)),
    failureDomain: instance.failure_domain,
    callers: listen.callers,
    readiness: listen.readiness,
    // Beside the listener for callers these do not open, except UDP for peers.
    metrics: listen.metrics ?? listen.callers,
    peers: listen.peers ?? listen.callers,
    storeAddress: store.address,
    stopGraceMs: bounds.stop_grace,
    revocationDelayMs: bounds.revocation,
    configDelayMs: bounds.config_delay,
    leavingDelayMs: bounds.leaving_delay,
    retryShare: bounds.repeat_share,
    retryWindowMs: bounds.repeat_window,
    retryAllowance: bounds.repeat_slack,
    duties: toDuties(values.platform_api),
    memoryLimitBytes: limits.memory,
    maxDescriptors: limits.descriptors,
    logLevel: log.level,
  };
}

/** The platform fills in names without quotes, so no character is special. */
function isName(section: string, key: string): boolean {
  return section === 'instance' && Object.hasOwn(instanceShape, key);
}

function findSchema(section: IniSection, key: string) {
  const schemas: Readonly<Record<string, SectionSchema>> = gatewaySections;
  const shape = Object.hasOwn(schemas, section.name)
    ? schemas[section.name]?.shape
    : undefined;
  return shape !== undefined && Object.hasOwn(shape, key)
    ? shape[key]
    : undefined;
}

/** Returns whether an entry should be the address of an optional listener. */
function isUnusableAddress(
  section: IniSection,
  {key, value}: IniEntry,
): boolean {
  return (
    findSchema(section, key) === optionalAddressField &&
    !z.safeParse(addressField, value).success
  );
}

/** Returns whether an entry has no value that its key, with a default, allows. */
function isUnset(section: IniSection, {key, value}: IniEntry): boolean {
  const schema = findSchema(section, key);
  if (schema === undefined || !z.safeParse(schema, undefined).success) {
    return false;
  }
  return (
    isBlank(value) || (isZero(value) && !z.safeParse(schema, value).success)
  );
}

function withoutUnset(document: IniDocument): IniDocument {
  return {
    ...document,
    sections: document.sections.map(section => ({
      ...section,
      entries: section.entries.filter(entry => !isUnset(section, entry)),
    })),
  };
}

function findUnsetKeys({sections}: IniDocument): readonly string[] {
  return sections.flatMap(section =>
    section.entries
      .filter(
        entry =>
          entry.value === '' ||
          isUnset(section, entry) ||
          isUnusableAddress(section, entry),
      )
      .map(({key}) => `${section.name}.${key}`),
  );
}

/** Parses gateway settings; `file` is the file name in reported faults. */
export function parseGatewaySettings(
  text: string,
  file: string,
): Result<ParsedGatewaySettings, SettingsError> {
  const document = parseIni(text, file, isName);
  return validateSections(
    withoutUnset(document),
    gatewaySections,
    optionalListeners,
  ).map(values => ({
    ...toGatewaySettings(values),
    unsetKeys: findUnsetKeys(document),
  }));
}

/** Loads the settings file of a gateway. */
export async function loadGatewaySettings(
  file: string,
): Promise<Result<ParsedGatewaySettings, SettingsError>> {
  const text = await readTextFile(file);
  if (text !== undefined) return parseGatewaySettings(text, file);
  const message =
    'the settings file cannot be read; check its path and permissions';
  const fault = {file, line: 0, message};
  return err(new SettingsError('settings_invalid', [fault]));
}
