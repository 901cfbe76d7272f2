/**
 * Base class of all commands: connection flags, JSON output and error messages.
 */
import {readFile} from 'node:fs/promises';
import os from 'node:os';
import {Command, Flags} from '@oclif/core';
import {createConsola} from 'consola';
import type {AdminClient} from './AdminClient.js';
import {createAdminClient} from './AdminClient.js';
import {renderConflict, renderFaults} from './ConfigText.js';
import {exitCodes} from './ExitCodes.js';
import {ToolError} from './ToolError.js';

const connectionHelpGroup = 'CONNECTION';

/** Flags of all commands. */
const connectionFlags = {
  address: Flags.string({
    default: 'http://127.0.0.1:9090',
    description: 'administration address of any instance',
    env: 'TOUCANROUTER_ADDRESS',
    helpGroup: connectionHelpGroup,
  }),
  token: Flags.string({
    description:
      'bearer token; prefer a file, since flags are visible in process lists',
    env: 'TOUCANROUTER_TOKEN',
    exclusive: ['token-file'],
    helpGroup: connectionHelpGroup,
  }),
  'token-file': Flags.string({
    description: 'file that contains the bearer token',
    env: 'TOUCANROUTER_TOKEN_FILE',
    helpGroup: connectionHelpGroup,
  }),
};

/** Flags of commands that change something. */
export const authorFlags = {
  author: Flags.string({
    default: async () => os.userInfo().username,
    defaultHelp: 'name of the user',
    description: 'author of the change, for the audit log',
    env: 'TOUCANROUTER_AUTHOR',
  }),
};

interface ConnectionFlags {
  readonly address: string;
  readonly token?: string | undefined;
  readonly 'token-file'?: string | undefined;
}

/** Logs progress and errors to stderr, so that stdout has only the result. */
const stderrLogger = createConsola({
  fancy: false,
  level: 3,
  stdout: process.stderr,
  stderr: process.stderr,
  formatOptions: {date: false},
});

/** A command that calls the administration API. */
export abstract class AdminCommand extends Command {
  static override baseFlags = connectionFlags;
  static override enableJsonFlag = true;

  /** Creates a client from the connection flags. */
  protected async createClient(flags: ConnectionFlags): Promise<AdminClient> {
    const address = flags.address.replace(/\/+$/, '');
    if (!/^https?:\/\//.test(address) || !URL.canParse(address)) {
      throw new ToolError(
        exitCodes.usage,
        `"${flags.address}" is not an HTTP or HTTPS URL`,
        {next: 'write --address http://host:port'},
      );
    }
    return createAdminClient({address, token: await readToken(flags)});
  }

  /** Logs progress, unless the output is JSON. */
  protected logProgress(message: string): void {
    if (!this.jsonEnabled()) stderrLogger.info(message);
  }

  protected override async catch(error: Error): Promise<void> {
    if (!(error instanceof ToolError)) return super.catch(error);
    if (this.jsonEnabled()) this.logJson(this.toErrorJson(error));
    else describeError(error).forEach(line => stderrLogger.error(line));
    this.exit(error.exitCode);
  }

  protected override toErrorJson(error: unknown): unknown {
    if (!(error instanceof ToolError)) return super.toErrorJson(error);
    const {message, next, exitCode, body} = error;
    return {...(body ?? {error: {message}}), next, exitCode};
  }
}

/** Reads a file that was passed on the command line. */
export async function readOperatorFile(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (cause) {
    throw new ToolError(exitCodes.usage, `"${file}" cannot be read`, {
      cause,
      next: 'check the path and the permissions of the file',
    });
  }
}

async function readToken(flags: ConnectionFlags): Promise<string> {
  const file = flags['token-file'];
  const text = file === undefined ? flags.token : await readOperatorFile(file);
  const token = text?.trim() ?? '';
  if (token !== '') return token;
  throw new ToolError(exitCodes.denied, 'there is no bearer token', {
    next: 'pass the token file with --token-file or TOUCANROUTER_TOKEN_FILE',
  });
}

function describeError({message, next, body}: ToolError): readonly string[] {
  const lines = [message];
  if (body?.faults !== undefined) lines.splice(0, 1, renderFaults(body.faults));
  if (body?.conflict !== undefined) lines.push(renderConflict(body.conflict));
  if (next !== undefined) lines.push(`Next: ${next}`);
  return lines;
}
