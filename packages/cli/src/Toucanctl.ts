/**
 * Runs the command-line tool, from sources in tests and from `dist` otherwise.
 */
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Interfaces} from '@oclif/core';
import {Config, Errors, flush, handle, run, settings} from '@oclif/core';

const moduleDirectory = path.dirname(fileURLToPath(import.meta.url));
const root = path.dirname(moduleDirectory);

/** Runs one command line and exits with its code. */
export async function runToucanctl(argv: string[]): Promise<void> {
  settings.enableAutoTranspile = false;
  try {
    const pjson = await loadPackageJson();
    const config = await Config.load({root, pjson});
    await run(argv, config);
    await flush();
  } catch (error) {
    await handle(addHelpHint(error as Error));
  }
}

/** Adds a hint to unknown-command errors, since `oclif` lists no commands. */
function addHelpHint(error: Error): Error {
  if (!(error instanceof Errors.CLIError)) return error;
  if (error.message.endsWith('not found')) {
    error.suggestions = ['run "toucanctl --help" to see all commands'];
  }
  return error;
}

/** Loads package.json and points `oclif` to the commands of this folder. */
async function loadPackageJson(): Promise<Interfaces.PJSON> {
  const text = await readFile(path.join(root, 'package.json'), 'utf8');
  const pjson = JSON.parse(text) as Interfaces.PJSON;
  const target = `./${path.relative(root, path.join(moduleDirectory, 'Commands'))}`;
  const commands = {strategy: 'explicit', target, identifier: 'commands'};
  return {
    ...pjson,
    oclif: {...pjson.oclif, commands},
  } as Interfaces.PJSON;
}
