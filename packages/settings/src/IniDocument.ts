/**
 * Parses INI text into sections and entries with line numbers, which fault
 * reports need.
 */
import type {SettingsFault} from '@toucanrouter/common';
import {parse} from 'ini';

/** A `key = value` line. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** A `[name]` section with its entries in file order. */
export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly entries: readonly IniEntry[];
}

/** A parsed file with its syntax faults. */
export interface IniDocument {
  readonly file: string;
  readonly sections: readonly IniSection[];
  readonly faults: readonly SettingsFault[];
}

interface OpenSection {
  readonly name: string;
  readonly line: number;
  readonly entries: IniEntry[];
}

const sectionPattern = /^\[([^\]]*)\]\s*(?:[;#].*)?$/;
const commentPattern = /^[;#]/;

/** Returns whether the value of a key is the rest of its line as it is. */
export type IsVerbatim = (section: string, key: string) => boolean;

/** Parses INI text. Duplicate sections and keys are faults. */
export function parseIni(
  text: string,
  file: string,
  isVerbatim: IsVerbatim = () => false,
): IniDocument {
  const sections: OpenSection[] = [];
  const faults: SettingsFault[] = [];
  text.split(/\r?\n/).forEach((raw, index) => {
    const line = index + 1;
    const content = raw.trim();
    if (content === '' || commentPattern.test(content)) return;
    const message = parseLine(content, line, sections, isVerbatim);
    if (message !== undefined) faults.push({file, line, message});
  });
  return {file, sections, faults};
}

function parseLine(
  content: string,
  line: number,
  sections: OpenSection[],
  isVerbatim: IsVerbatim,
): string | undefined {
  const header = sectionPattern.exec(content);
  if (header !== null) {
    return openSection((header[1] ?? '').trim(), line, sections);
  }
  return addEntry(content, line, sections.at(-1), isVerbatim);
}

function openSection(
  name: string,
  line: number,
  sections: OpenSection[],
): string | undefined {
  const earlier = sections.find(section => section.name === name);
  sections.push({name, line, entries: []});
  if (earlier === undefined) return undefined;
  return `section [${name}] is a duplicate of line ${earlier.line}; keep one of them`;
}

function addEntry(
  content: string,
  line: number,
  section: OpenSection | undefined,
  isVerbatim: IsVerbatim,
): string | undefined {
  const entry = parseEntry(content, line);
  if (entry === undefined) {
    return `"${content}" is neither a section nor an entry; write [section] or key = value`;
  }
  if (section === undefined) {
    return `key "${entry.key}" is set before the first section; move it below a [section] line`;
  }
  const earlier = section.entries.find(other => other.key === entry.key);
  if (earlier !== undefined) {
    return `key "${entry.key}" is a duplicate of line ${earlier.line}; keep one of them`;
  }
  section.entries.push(
    isVerbatim(section.name, entry.key)
      ? {...entry, value: content.slice(content.indexOf('=') + 1).trim()}
      : entry,
  );
  return undefined;
}

/** Parses one entry; the `ini` library handles quotes, escapes and comments. */
function parseEntry(content: string, line: number): IniEntry | undefined {
  if (!content.includes('=')) return undefined;
  const [pair] = Object.entries(parse(content) as Record<string, unknown>);
  if (pair === undefined) return undefined;
  const [key, value] = pair;
  return {key, value: String(value), line};
}
