/**
 * A file of run records that outlives the process, so that the runs of a
 * killed stand-in can still be counted.
 */
import {appendFileSync, existsSync, readFileSync} from 'node:fs';

/** Writes records; the last state of each one counts. */
export interface RunJournal<Record extends object> {
  write(record: Record): void;
}

interface JournalLine<Record> {
  readonly process: string;
  readonly number: number;
  readonly record: Record;
}

/** Creates a journal at `file`; without a file nothing is written. */
export function createRunJournal<Record extends object>(
  file: string | undefined,
): RunJournal<Record> {
  // Process ids may be used again, so the start time is part of the name.
  const processName = `${process.pid}-${Date.now()}`;
  const numbers = new WeakMap<Record, number>();
  let nextNumber = 0;
  return {
    write: record => {
      if (file === undefined) return;
      const number = numbers.get(record) ?? nextNumber++;
      numbers.set(record, number);
      const line: JournalLine<Record> = {process: processName, number, record};
      appendFileSync(file, `${JSON.stringify(line)}\n`);
    },
  };
}

/** Reads the last state of all records; none when the file is absent. */
export function readRunJournal<Record extends object>(
  file: string | undefined,
): readonly Record[] {
  if (file === undefined || !existsSync(file)) return [];
  const records = new Map<string, Record>();
  for (const text of readFileSync(file, 'utf8').split('\n')) {
    if (text === '') continue;
    const line = JSON.parse(text) as JournalLine<Record>;
    records.set(`${line.process}-${line.number}`, line.record);
  }
  return [...records.values()];
}
