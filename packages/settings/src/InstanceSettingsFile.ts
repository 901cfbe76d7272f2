/**
 * Reads the settings file of one router instance. All faults are reported at
 * once, each with its line.
 */
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {SettingsError, toInstanceId} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {IniDocument, IniSection} from './IniDocument.js';
import {readIni} from './IniDocument.js';
import type {InstanceSettings, ListenAddress} from './InstanceSettings.js';
import type {
  InstanceSectionName,
  InstanceSectionValues,
} from './InstanceSettingsSchema.js';
import {instanceSections} from './InstanceSettingsSchema.js';
import type {FaultList} from './SectionReader.js';
import {createFaultList, lineOf, readSection} from './SectionReader.js';

const sectionNames = Object.keys(instanceSections) as InstanceSectionName[];

/** Reads the settings in `text`; `file` names them in faults. */
export function parseInstanceSettings(
  text: string,
  file: string,
): Result<InstanceSettings, SettingsError> {
  const document = readIni(text, file);
  const faults = createFaultList(document);
  checkSectionNames(document, faults);
  const values = readSections(document, faults);
  const listen = document.sections.find(section => section.name === 'listen');
  if (listen !== undefined && values.listen !== undefined) {
    checkDistinctAddresses(listen, values.listen, faults);
  }
  if (faults.faults.length > 0) return err(toSettingsError(faults));
  return ok(toInstanceSettings(values as InstanceSectionValues, file));
}

/** Reads a settings file and checks that the token files can be read. */
export async function loadInstanceSettings(
  file: string,
): Promise<Result<InstanceSettings, SettingsError>> {
  const text = await readText(file);
  if (text === undefined) {
    const message = 'the settings file cannot be read; check path and rights';
    return err(
      new SettingsError('settings_invalid', [{file, line: 0, message}]),
    );
  }
  const tokenFaults = await checkTokenFiles(text, file);
  const parsed = parseInstanceSettings(text, file);
  if (tokenFaults.faults.length === 0) return parsed;
  const others = parsed.isErr() ? parsed.error.faults : [];
  return err(sortedError([...others, ...tokenFaults.faults]));
}

async function readText(file: string): Promise<string | undefined> {
  try {
    return await readFile(file, 'utf8');
  } catch {
    return undefined;
  }
}

async function checkTokenFiles(text: string, file: string): Promise<FaultList> {
  const document = readIni(text, file);
  const faults = createFaultList({...document, faults: []});
  const section = document.sections.find(({name}) => name === 'admin');
  for (const {key, value, line} of section?.entries ?? []) {
    if (!key.endsWith('_token_file') || value === '') continue;
    const tokenFile = relativeTo(file, value);
    const token = await readText(tokenFile);
    if (token === undefined) {
      faults.add(line, `${key}: "${tokenFile}" cannot be read; create it`);
    } else if (token.trim() === '') {
      faults.add(line, `${key}: "${tokenFile}" is empty; write a token to it`);
    }
  }
  return faults;
}

function checkSectionNames(document: IniDocument, faults: FaultList): void {
  for (const section of document.sections) {
    if (Object.hasOwn(instanceSections, section.name)) continue;
    faults.add(
      section.line,
      `section [${section.name}] is unknown; allowed are ${sectionNames.join(', ')}`,
    );
  }
}

function readSections(
  document: IniDocument,
  faults: FaultList,
): Partial<InstanceSectionValues> {
  const values: Record<string, unknown> = {};
  for (const name of sectionNames) {
    const section = document.sections.find(other => other.name === name);
    values[name] = readSection(
      section ?? {name, line: 0, entries: []},
      instanceSections[name],
      faults,
    );
  }
  return values as Partial<InstanceSectionValues>;
}

function checkDistinctAddresses(
  section: IniSection,
  listen: InstanceSectionValues['listen'],
  faults: FaultList,
): void {
  const seen = new Map<string, string>();
  for (const [key, address] of Object.entries(listen)) {
    const text = addressText(address);
    const other = seen.get(text);
    seen.set(text, key);
    if (other === undefined) continue;
    faults.add(
      lineOf(section, key),
      `${key}: ${text} is also the address of "${other}"; use another port`,
    );
  }
}

function addressText(address: ListenAddress): string {
  return `${address.host}:${address.port}`;
}

function toSettingsError(faults: FaultList): SettingsError {
  return sortedError(faults.faults);
}

function sortedError(faults: SettingsError['faults']): SettingsError {
  const sorted = [...faults].sort((a, b) => a.line - b.line);
  return new SettingsError('settings_invalid', sorted);
}

function relativeTo(file: string, target: string): string {
  return path.resolve(path.dirname(file), target);
}

function toInstanceSettings(
  values: InstanceSectionValues,
  file: string,
): InstanceSettings {
  return {
    instanceId: toInstanceId(values.instance.id),
    region: values.instance.region,
    failureDomain: values.instance.failure_domain,
    callers: values.listen.callers,
    admin: values.listen.admin,
    peers: values.listen.peers,
    keyValueAddress: values.platform.key_value,
    instanceListUrl: values.platform.instance_list,
    instanceListPollMs: values.platform.instance_list_poll,
    platformTimeoutMs: values.platform.timeout,
    seedPeers: values.peers.seeds,
    readerTokenFile: relativeTo(file, values.admin.reader_token_file),
    writerTokenFile: relativeTo(file, values.admin.writer_token_file),
    defaultTimeoutMs: values.requests.default_timeout,
    maxBodyBytes: values.requests.max_body,
    servicesIgnoringFencing: values.upstreams.services_ignoring_fencing,
    logFormat: values.log.format,
    logLevel: values.log.level,
  };
}
