/**
 * Runs the command-line tool, from sources in tests and from `dist` otherwise.
 */
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Interfaces} from '@oclif/core';
import {Config, Errors, flush, handle, run, settings} from '@oclif/core';

const here = path.dirname(fileURLToPath(import.meta.url));
const root = path.dirname(here);

/** Runs one command line and exits with its code. */
export async function runToucanctl(argv: string[]): Promise<void> {
  settings.enableAutoTranspile = false;
  try {
    const pjson = await readPackage();
    const config = await Config.load({root, pjson});
    await run(argv, config);
    await flush();
  } catch (error) {
    await handle(withHint(error as Error));
  }
}

/** Errors of `oclif` about commands do not say where they are listed. */
function withHint(error: Error): Error {
  if (!(error instanceof Errors.CLIError)) return error;
  if (error.message.endsWith('not found')) {
    error.suggestions = ['run "toucanctl --help" to see all commands'];
  }
  return error;
}

/** Names the commands module beside this one. */
async function readPackage(): Promise<Interfaces.PJSON> {
  const text = await readFile(path.join(root, 'package.json'), 'utf8');
  const pjson = JSON.parse(text) as Interfaces.PJSON;
  const target = `./${path.relative(root, path.join(here, 'Commands'))}`;
  const commands = {strategy: 'explicit', target, identifier: 'commands'};
  return {
    ...pjson,
    oclif: {...pjson.oclif, commands},
  } as Interfaces.PJSON;
}
