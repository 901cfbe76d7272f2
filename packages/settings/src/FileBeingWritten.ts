/**
 * Loads a settings file that another process may be writing. A file that is
 * empty, cut short or not there yet is read again for a bounded time. A value cut
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
const maxWaitMs = 3_000;
const readIntervalMs = 50;
/** A text is taken as written once it has stayed the same for this time. */
export const settledAfterMs = 200;

/** Loads a file, and again while it may be incomplete. */
export async function loadWhenWritten<Settings>(
  options: FileLoadOptions<Settings>,
): Promise<LoadedFile<Settings>> {
  const {clock, file, load} = options;
  const startedAtMs = clock.nowMs();
  let text = await readTextFile(file);
  let changedAtMs = startedAtMs;
  for (let isFirst = true; ; isFirst = false) {
    const settings = await load(file);
    const next = await readTextFile(file);
    const nowMs = clock.nowMs();
    const isSame = next === text;
    if (!isSame) changedAtMs = nowMs;
    text = next;
    const isWritten =
      text?.endsWith('\n') === true || nowMs - changedAtMs >= settledAfterMs;
    const waitedMs = isFirst ? 0 : nowMs - startedAtMs;
    if (
      (isSame && isWritten && settings.isOk()) ||
      (waitedMs >= maxWaitMs && (isSame || settings.isErr()))
    ) {
      return {settings, text: text ?? '', waitedMs};
    }
    await delay(clock, readIntervalMs);
  }
}
