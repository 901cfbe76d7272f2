/**
 * Reads the classes files that operators pass to commands.
 */
import type {ConfigDiffRequest} from '@toucanrouter/common';
import {toErrorBody} from '@toucanrouter/common';
import {parseClasses} from '@toucanrouter/settings';
import {readOperatorFile} from './AdminCommand.js';
import {parseVersionLine} from './ConfigText.js';
import {fromErrorBody} from './ToolError.js';

/** A validated classes file. */
export interface ClassesInput extends ConfigDiffRequest {
  /** Version on the first line, if any, as written by `config show`. */
  readonly version: number | undefined;
}

/** Reads a classes file and reports its faults before anything is sent. */
export async function readClassesInput(file: string): Promise<ClassesInput> {
  const classesText = await readOperatorFile(file);
  const parsed = parseClasses(classesText, file);
  if (parsed.isErr()) {
    const {error} = parsed;
    throw fromErrorBody({...toErrorBody(error), faults: error.faults});
  }
  return {classesText, fileName: file, version: parseVersionLine(classesText)};
}
