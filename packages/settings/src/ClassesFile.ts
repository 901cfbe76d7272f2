/**
 * Parser of the operators' classes file. All faults are reported at once, each
 * with its line number.
 */
import type {
  ServiceClass,
  SettingsFault,
  Tier,
  Workspace,
} from '@toucanrouter/common';
import {SettingsError, toClassId, toWorkspaceId} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {ParsedClass} from './ClassesRules.js';
import {checkClassKeys, checkOverlaps} from './ClassesRules.js';
import type {ClassValues} from './ClassesSchema.js';
import {classSection, workspaceSection} from './ClassesSchema.js';
import type {IniSection} from './IniDocument.js';
import {parseIni} from './IniDocument.js';
import type {FaultList} from './SectionParser.js';
import {createFaultList, lineOf, parseSection} from './SectionParser.js';
import {namePattern, nameRule} from './SettingsFields.js';

/** The contents of a classes file. */
export interface ClassesFile {
  readonly classes: readonly ServiceClass[];
  readonly workspaces: readonly Workspace[];
}

interface ParsedWorkspace {
  readonly section: IniSection;
  readonly workspace: Workspace;
}

/** Parses a classes file; `file` is the file name in reported faults. */
export function parseClasses(
  text: string,
  file: string,
): Result<ClassesFile, SettingsError> {
  const document = parseIni(text, file);
  const faults = createFaultList(document);
  const classes: ParsedClass[] = [];
  const workspaces: ParsedWorkspace[] = [];
  for (const section of document.sections) {
    parseNamedSection(section, classes, workspaces, faults);
  }
  if (!document.sections.some(({name}) => name.startsWith('class.'))) {
    faults.add(0, 'no class is defined; add a [class.<name>] section');
  }
  checkOverlaps(classes, faults);
  checkDistinctKeys(workspaces, faults);
  if (faults.faults.length > 0) return err(toClassesError(faults.faults));
  return ok({
    classes: classes.map(({serviceClass}) => serviceClass),
    workspaces: workspaces.map(({workspace}) => workspace),
  });
}

function toClassesError(faults: readonly SettingsFault[]): SettingsError {
  const sorted = [...faults].sort((a, b) => a.line - b.line);
  return new SettingsError('config_invalid', sorted);
}

function parseNamedSection(
  section: IniSection,
  classes: ParsedClass[],
  workspaces: ParsedWorkspace[],
  faults: FaultList,
): void {
  const [kind = '', ...rest] = section.name.split('.');
  const name = rest.join('.');
  if (kind !== 'class' && kind !== 'workspace') {
    faults.add(
      section.line,
      `section [${section.name}] is unknown; allowed are [class.<name>] and [workspace.<name>]`,
    );
    return;
  }
  if (!namePattern.test(name)) {
    faults.add(section.line, `[${section.name}]: ${nameRule}`);
  }
  if (kind === 'class') parseClassSection(name, section, classes, faults);
  else parseWorkspaceSection(name, section, workspaces, faults);
}

function parseClassSection(
  name: string,
  section: IniSection,
  classes: ParsedClass[],
  faults: FaultList,
): void {
  checkClassKeys(section, faults);
  const values = parseSection(section, classSection, faults);
  if (values === undefined) return;
  classes.push({section, serviceClass: toServiceClass(name, values)});
}

function toServiceClass(name: string, values: ClassValues): ServiceClass {
  return {
    id: toClassId(name),
    tier: Number(values.priority) as Tier,
    target: {
      ...(values.target_first_token && {
        firstTokenMs: values.target_first_token,
      }),
      ...(values.target_token_gap && {tokenGapMs: values.target_token_gap}),
      ...(values.target_total && {totalMs: values.target_total}),
    },
    idempotent: values.idempotent,
    maxWaitMs: values.max_wait,
    match: {
      models: values.models,
      services: values.services,
      methods: values.methods,
      paths: values.paths,
      ...(values.only_when_named && {onlyWhenNamed: true}),
    },
  };
}

function parseWorkspaceSection(
  name: string,
  section: IniSection,
  workspaces: ParsedWorkspace[],
  faults: FaultList,
): void {
  const values = parseSection(section, workspaceSection, faults);
  if (values === undefined) return;
  const workspace = {id: toWorkspaceId(name), keySha256: values.key_sha256};
  workspaces.push({section, workspace});
}

function checkDistinctKeys(
  workspaces: readonly ParsedWorkspace[],
  faults: FaultList,
): void {
  const owners = new Map<string, string>();
  for (const {section, workspace} of workspaces) {
    const owner = owners.get(workspace.keySha256);
    owners.set(workspace.keySha256, section.name);
    if (owner === undefined) continue;
    faults.add(
      lineOf(section, 'key_sha256'),
      `key_sha256 is also the key of [${owner}]; give each workspace its own key`,
    );
  }
}
