/**
 * Parser of the settings file of a router instance. All faults are reported at
 * once, each with its line number.
 */
import path from 'node:path';
import {SettingsError, toInstanceId} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err} from 'neverthrow';
import {parseIni} from './IniDocument.js';
import type {InstanceSettings} from './InstanceSettings.js';
import type {InstanceSectionValues} from './InstanceSettingsSchema.js';
import {instanceSections} from './InstanceSettingsSchema.js';
import {parseSections, readTextFile, toSettingsError} from './SectionedFile.js';
import type {FaultList} from './SectionParser.js';
import {createFaultList} from './SectionParser.js';

/** Parses instance settings; `file` is the file name in reported faults. */
export function parseInstanceSettings(
  text: string,
  file: string,
): Result<InstanceSettings, SettingsError> {
  return parseSections(text, file, instanceSections).map(values =>
    toInstanceSettings(values as InstanceSectionValues, file),
  );
}

/** Loads a settings file and checks that its token files can be read. */
export async function loadInstanceSettings(
  file: string,
): Promise<Result<InstanceSettings, SettingsError>> {
  const text = await readTextFile(file);
  if (text === undefined) {
    const message =
      'the settings file cannot be read; check its path and permissions';
    return err(
      new SettingsError('settings_invalid', [{file, line: 0, message}]),
    );
  }
  const tokenFaults = await checkTokenFiles(text, file);
  const parsed = parseInstanceSettings(text, file);
  if (tokenFaults.faults.length === 0) return parsed;
  const parseFaults = parsed.isErr() ? parsed.error.faults : [];
  return err(toSettingsError([...parseFaults, ...tokenFaults.faults]));
}

async function checkTokenFiles(text: string, file: string): Promise<FaultList> {
  const document = parseIni(text, file);
  const faults = createFaultList({...document, faults: []});
  const section = document.sections.find(({name}) => name === 'admin');
  for (const {key, value, line} of section?.entries ?? []) {
    if (!key.endsWith('_token_file') || value === '') continue;
    const tokenFile = resolveRelativeTo(file, value);
    const token = await readTextFile(tokenFile);
    if (token === undefined) {
      faults.add(line, `${key}: "${tokenFile}" cannot be read; create it`);
    } else if (token.trim() === '') {
      faults.add(line, `${key}: "${tokenFile}" is empty; write a token to it`);
    }
  }
  return faults;
}

function resolveRelativeTo(file: string, target: string): string {
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
    stopGraceMs: values.instance.stop_grace,
    callers: values.listen.callers,
    admin: values.listen.admin,
    peers: values.listen.peers,
    keyValueAddress: values.platform.key_value,
    instanceListUrl: values.platform.instance_list,
    instanceListPollMs: values.platform.instance_list_poll,
    platformTimeoutMs: values.platform.timeout,
    seedPeers: values.peers.seeds,
    readerTokenFile: resolveRelativeTo(file, values.admin.reader_token_file),
    writerTokenFile: resolveRelativeTo(file, values.admin.writer_token_file),
    defaultTimeoutMs: values.requests.default_timeout,
    maxBodyBytes: values.requests.max_body,
    memoryLimitBytes: values.limits.memory,
    servicesIgnoringFencing: values.upstreams.services_ignoring_fencing,
    logFormat: values.log.format,
    logLevel: values.log.level,
  };
}
