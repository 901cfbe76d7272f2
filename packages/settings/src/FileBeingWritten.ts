/**
 * Loads a settings file that another process may be writing. A file that is
 * empty, cut short or not there yet is read again for a bounded time; a process
 * that is started together with the writer may wait longer for a file that is not
 * there or empty, since ending would only have it started again. A value cut
 * short can be valid, such as a port without its last digit, so a text whose last
 * line is not complete counts only after it has stayed the same for a while.
 */
import type {Clock, SettingsError} from '@toucanrouter/common';
import {delay} from '@toucanrouter/common';
import type {Result} from 'neverthrow';
import {readTextFile} from './SectionedFile.js';

/** Options of a load. */
export interface FileLoadOptions<Settings> {
  readonly file: string;
  readonly clock: Clock;
  readonly load: (file: string) => Promise<Result<Settings, SettingsError>>;
  /** Longest wait for a file that is not there or empty; by default that for faults. */
  readonly maxAbsenceMs?: number;
}

/** What a load resulted in. */
export interface LoadedFile<Settings> {
  readonly settings: Result<Settings, SettingsError>;
  /** The text of the file; empty if it cannot be read. */
  readonly text: string;
  /** Time for which the file was incomplete; 0 if the first read counted. */
  readonly waitedMs: number;
}

/** The file is read again for this time before its faults are final. */
const maxFaultsMs = 3_000;
const readIntervalMs = 50;
/** A text is taken as written once it has stayed the same for this time. */
export const settledAfterMs = 200;

/** Loads a file, and again while it may be incomplete. */
export async function loadWhenWritten<Settings>(
  options: FileLoadOptions<Settings>,
): Promise<LoadedFile<Settings>> {
  const {clock, file, load, maxAbsenceMs = maxFaultsMs} = options;
  const startedAtMs = clock.nowMs();
  let text = await readTextFile(file);
  let changedAtMs = startedAtMs;
  let absentUntilMs = startedAtMs;
  for (let isFirst = true; ; isFirst = false) {
    // A process may be suspended while it reads, so only the time before counts.
    const readAtMs = clock.nowMs();
    const settings = await load(file);
    const next = await readTextFile(file);
    const nowMs = clock.nowMs();
    const isSame = next === text;
    if (!isSame) changedAtMs = nowMs;
    text = next;
    const isWritten =
      text?.endsWith('\n') === true || nowMs - changedAtMs >= settledAfterMs;
    const isAbsent = text === undefined || text.trim() === '';
    if (isAbsent) absentUntilMs = readAtMs;
    const isTimeUp = isAbsent
      ? readAtMs - startedAtMs >= maxAbsenceMs
      : readAtMs - absentUntilMs >= maxFaultsMs;
    if (
      (isSame && isWritten && settings.isOk()) ||
      (isTimeUp && (isSame || settings.isErr()))
    ) {
      const waitedMs = isFirst ? 0 : readAtMs - startedAtMs;
      return {settings, text: text ?? '', waitedMs};
    }
    await delay(clock, readIntervalMs);
  }
}
