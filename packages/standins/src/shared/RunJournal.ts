/**
 * An append-only file of run records that survives the process, so that the
 * runs of a killed stand-in are still counted.
 */
import {appendFileSync, existsSync, readFileSync} from 'node:fs';

/** Writes records; a later write of the same record supersedes earlier ones. */
export interface RunJournal<T extends object> {
  write(record: T): void;
}

interface JournalLine<T> {
  readonly process: string;
  readonly number: number;
  readonly record: T;
}

/**
 * Creates a journal that appends to `file`; without a file, writes are ignored.
 */
export function createRunJournal<T extends object>(
  file: string | undefined,
): RunJournal<T> {
  // Process ids are reused, so the start time is part of the name.
  const processName = `${process.pid}-${Date.now()}`;
  const recordNumbers = new WeakMap<T, number>();
  let nextNumber = 0;
  return {
    write: record => {
      if (file === undefined) return;
      const number = recordNumbers.get(record) ?? nextNumber++;
      recordNumbers.set(record, number);
      const line: JournalLine<T> = {process: processName, number, record};
      appendFileSync(file, `${JSON.stringify(line)}\n`);
    },
  };
}

/** Reads the last state of every record; empty when the file does not exist. */
export function readRunJournal<T extends object>(
  file: string | undefined,
): readonly T[] {
  if (file === undefined || !existsSync(file)) return [];
  const records = new Map<string, T>();
  for (const text of readFileSync(file, 'utf8').split('\n')) {
    if (text === '') continue;
    const line = JSON.parse(text) as JournalLine<T>;
    records.set(`${line.process}-${line.number}`, line.record);
  }
  return [...records.values()];
}
