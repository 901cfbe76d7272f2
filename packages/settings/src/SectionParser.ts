/**
 * Validates a section of an INI file against a schema and turns each issue into
 * a fault with its line number.
 */
import type {SettingsFault} from '@toucanrouter/common';
import type * as z from 'zod';
import type {IniDocument, IniSection} from './IniDocument.js';

/** A schema whose keys are the keys of a section. */
export type SectionSchema = z.ZodObject<z.ZodRawShape, z.core.$strict>;

/** Collects faults while a file is parsed. */
export interface FaultList {
  readonly faults: readonly SettingsFault[];
  add(line: number, message: string): void;
}

/** Creates a fault list that starts with the syntax faults of a file. */
export function createFaultList(document: IniDocument): FaultList {
  const faults: SettingsFault[] = [...document.faults];
  return {
    faults,
    add: (line, message) => faults.push({file: document.file, line, message}),
  };
}

/** Returns the line of a key, or the line of its section when it is absent. */
export function lineOf(section: IniSection, key: string): number {
  const entry = section.entries.find(candidate => candidate.key === key);
  return entry?.line ?? section.line;
}

/** Validates a section; if it has faults, adds them and returns undefined. */
export function parseSection<Schema extends SectionSchema>(
  section: IniSection,
  schema: Schema,
  faults: FaultList,
): z.output<Schema> | undefined {
  const values = Object.fromEntries(
    section.entries.map(entry => [entry.key, entry.value]),
  );
  const result = schema.safeParse(values);
  if (result.success) return result.data;
  const allowedKeys = Object.keys(schema.shape).join(', ');
  for (const issue of result.error.issues) {
    addIssueFault(issue, section, allowedKeys, faults);
  }
  return undefined;
}

function addIssueFault(
  issue: z.core.$ZodIssue,
  section: IniSection,
  allowedKeys: string,
  faults: FaultList,
): void {
  if (issue.code === 'unrecognized_keys') {
    for (const key of issue.keys) {
      faults.add(
        lineOf(section, key),
        `key "${key}" is unknown in [${section.name}]; allowed are ${allowedKeys}`,
      );
    }
    return;
  }
  const key = String(issue.path[0]);
  const present = section.entries.some(entry => entry.key === key);
  const message = present
    ? `${key}: ${issue.message}`
    : `key "${key}" is missing in [${section.name}]`;
  faults.add(lineOf(section, key), message);
}
