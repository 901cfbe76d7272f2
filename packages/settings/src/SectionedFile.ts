/**
 * Parser of settings files whose sections have fixed names. All faults are
 * reported at once, each with its line number.
 */
import {readFile} from 'node:fs/promises';
import {SettingsError} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type * as z from 'zod';
import type {IniDocument, IniSection} from './IniDocument.js';
import {parseIni} from './IniDocument.js';
import type {ListenAddress} from './InstanceSettings.js';
import type {FaultList, SectionSchema} from './SectionParser.js';
import {createFaultList, lineOf, parseSection} from './SectionParser.js';

/** Schemas of the sections of a file, by name. */
export type SectionSchemas = Readonly<Record<string, SectionSchema>>;

/** Validated values of all sections. */
export type SectionValues<Schemas extends SectionSchemas> = {
  readonly [Name in keyof Schemas]: z.output<Schemas[Name]>;
};

/** Returns the text of a file, or undefined when it cannot be read. */
export async function readTextFile(file: string): Promise<string | undefined> {
  try {
    return await readFile(file, 'utf8');
  } catch {
    return undefined;
  }
}

/** Parses all sections; `file` is the file name in reported faults. */
export function parseSections<Schemas extends SectionSchemas>(
  text: string,
  file: string,
  schemas: Schemas,
): Result<SectionValues<Schemas>, SettingsError> {
  return validateSections(parseIni(text, file), schemas);
}

/**
 * Validates all sections of a parsed file. The addresses of `[listen]` must
 * differ, except those whose keys are `sharable`.
 */
export function validateSections<Schemas extends SectionSchemas>(
  document: IniDocument,
  schemas: Schemas,
  sharable: readonly string[] = [],
): Result<SectionValues<Schemas>, SettingsError> {
  const faults = createFaultList(document);
  checkSectionNames(document, schemas, faults);
  const values = parseKnownSections(document, schemas, faults);
  const listen = document.sections.find(section => section.name === 'listen');
  if (listen !== undefined && values['listen'] !== undefined) {
    checkDistinctAddresses(listen, values['listen'], sharable, faults);
  }
  if (faults.faults.length > 0) return err(toSettingsError(faults.faults));
  return ok(values as SectionValues<Schemas>);
}

/** Creates an error with the faults sorted by line. */
export function toSettingsError(
  faults: SettingsError['faults'],
): SettingsError {
  const sorted = [...faults].sort((a, b) => a.line - b.line);
  return new SettingsError('settings_invalid', sorted);
}

function checkSectionNames(
  document: IniDocument,
  schemas: SectionSchemas,
  faults: FaultList,
): void {
  for (const section of document.sections) {
    if (Object.hasOwn(schemas, section.name)) continue;
    faults.add(
      section.line,
      `section [${section.name}] is unknown; allowed are ${Object.keys(schemas).join(', ')}`,
    );
  }
}

function parseKnownSections(
  document: IniDocument,
  schemas: SectionSchemas,
  faults: FaultList,
): Record<string, Record<string, unknown> | undefined> {
  const values: Record<string, Record<string, unknown> | undefined> = {};
  for (const [name, schema] of Object.entries(schemas)) {
    const section = document.sections.find(other => other.name === name);
    values[name] = parseSection(
      section ?? {name, line: 0, entries: []},
      schema,
      faults,
    );
  }
  return values;
}

function checkDistinctAddresses(
  section: IniSection,
  listen: Record<string, unknown>,
  sharable: readonly string[],
  faults: FaultList,
): void {
  const seen = new Map<string, string>();
  for (const [key, address] of Object.entries(listen)) {
    if (sharable.includes(key)) continue;
    const text = formatAddress(address as ListenAddress);
    const otherKey = seen.get(text);
    seen.set(text, key);
    if (otherKey === undefined) continue;
    faults.add(
      lineOf(section, key),
      `${key}: ${text} is also the address of "${otherKey}"; use another port`,
    );
  }
}

/** Formats an address as `host:port`. */
export function formatAddress(address: ListenAddress): string {
  return `${address.host}:${address.port}`;
}
