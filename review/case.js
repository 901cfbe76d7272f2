/**
 * What the scripts share: the record, the cleanup and the exit code.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** The rule held. */
export const held = 0;
/** The rule was broken. */
export const broken = 1;
/** The case could not run. */
export const notRun = 2;

/** False when the script plays the same without the disruption. */
export const trouble = process.env.TROUBLE !== '0';

const maxRunMs = 110_000;

/**
 * Runs `play` and exits with what it returns. It gets a temporary folder, a
 * function for a line of the record, and one that registers a cleanup.
 */
export async function runCase(recordFile, play) {
  const directory = mkdtempSync(join(tmpdir(), 'toucanrouter-review-'));
  const startedAtMs = performance.now();
  const lines = [];
  const cleanups = [];
  const secondsOf = atMs => ((atMs - startedAtMs) / 1000).toFixed(3);
  const note = (text, atMs = performance.now()) =>
    lines.push({atMs, text: `${secondsOf(atMs)} s  ${text}`});
  const finish = result => {
    for (const cleanup of cleanups.reverse()) cleanup();
    lines.sort((a, b) => a.atMs - b.atMs);
    const text = lines.map(line => line.text).join('\n');
    writeFileSync(recordFile, `${text}\nexit ${result}\n`);
    if (process.env.KEEP) process.stdout.write(`${directory}\n`);
    else rmSync(directory, {recursive: true, force: true});
    process.exit(result);
  };
  setTimeout(() => {
    note('the case took too long');
    finish(notRun);
  }, maxRunMs);
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => finish(notRun));
  }
  try {
    const onEnd = cleanup => cleanups.push(cleanup);
    finish(await play({directory, note, onEnd}));
  } catch (error) {
    note(`the case could not run: ${error.stack}`);
    finish(notRun);
  }
}
