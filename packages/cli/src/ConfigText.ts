/**
 * Text of configurations: the version line of classes files, differences,
 * conflicts and faults.
 */
import type {
  ConfigConflict,
  ConfigDifference,
  ConfigShowResponse,
  SettingsFault,
} from '@toucanrouter/common';
import type {ConfigChange} from '@toucanrouter/gateway';
import type {LocatedFinding} from '@toucanrouter/platform';
import {formatTime, renderTable} from '@toucanrouter/report';

const versionPattern = /^; toucanrouter configuration version (\d+)\b.*$/;

/** Adds the version as the first line, which `config apply` reads. */
export function addVersionLine(config: ConfigShowResponse): string {
  const changed =
    config.version === 0
      ? 'nothing applied yet'
      : `${config.author}, ${formatTime(config.changedAtWallMs)}`;
  const line = `; toucanrouter configuration version ${config.version} (${changed})`;
  return `${line}\n${removeVersionLine(config.classesText)}`;
}

/** Removes the version line, so that stored texts do not accumulate them. */
export function removeVersionLine(text: string): string {
  return parseVersionLine(text) === undefined
    ? text
    : text.slice(text.indexOf('\n') + 1);
}

/** Returns the version on the first line, or undefined without one. */
export function parseVersionLine(text: string): number | undefined {
  const match = versionPattern.exec(text.split(/\r?\n/, 1)[0] ?? '');
  return match === null ? undefined : Number(match[1]);
}

/** Renders differences as a table. */
export function renderDifferences(
  differences: readonly ConfigDifference[],
): string {
  if (differences.length === 0) return 'no differences';
  return renderTable(
    [
      {heading: 'SUBJECT'},
      {heading: 'KEY'},
      {heading: 'BEFORE'},
      {heading: 'AFTER'},
    ],
    differences.map(({subject, field, before, after}) => [
      subject,
      field ?? '',
      before ?? '(absent)',
      after ?? '(removed)',
    ]),
  );
}

/** Renders the version that was accepted instead of a change. */
export function renderConflict({winner, differences}: ConfigConflict): string {
  const time = formatTime(winner.changedAtWallMs);
  return `Version ${winner.version} by ${winner.author} at ${time} was accepted first. Differences from it to your change:\n${renderDifferences(differences)}`;
}

/** Renders what a check found, one finding per line. */
export function renderFindings(
  file: string,
  findings: readonly LocatedFinding[],
): string {
  if (findings.length === 0) return `${file}: nothing found`;
  return findings
    .map(
      ({line, message, severity, subject}) =>
        `${file}:${line}: ${severity}: ${subject} ${message}`,
    )
    .join('\n');
}

/** Renders changes with what they do to requests. */
export function renderChanges(changes: readonly ConfigChange[]): string {
  if (changes.length === 0) return 'no differences of routes, keys or limits';
  return renderTable(
    [{heading: 'SUBJECT'}, {heading: 'CHANGE'}, {heading: 'EFFECT'}],
    changes.map(({change, effect, subject}) => [subject, change, effect]),
  );
}

/** Renders the faults of a file, one per line. */
export function renderFaults(faults: readonly SettingsFault[]): string {
  return faults
    .map(({file, line, message}) => `${file}:${line}: ${message}`)
    .join('\n');
}
