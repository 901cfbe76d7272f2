/**
 * Errors that the command-line tool shows, each with advice on the next step.
 */
import type {AdminErrorBody, ErrorKind} from '@toucanrouter/common';
import type {ExitCode} from './ExitCodes.js';
import {exitCodeOf, exitCodes} from './ExitCodes.js';

/** Ends a command with a message and an exit code. */
export class ToolError extends Error {
  readonly exitCode: ExitCode;
  /** What the operator can do next. */
  readonly next: string | undefined;
  /** The error response of the instance, for `--json`. */
  readonly body: AdminErrorBody | undefined;

  constructor(
    exitCode: ExitCode,
    message: string,
    details: {next?: string; body?: AdminErrorBody; cause?: unknown} = {},
  ) {
    super(message, {cause: details.cause});
    this.name = 'ToolError';
    this.exitCode = exitCode;
    this.next = details.next;
    this.body = details.body;
  }
}

const nextStepByKind: Partial<Record<ErrorKind, string>> = {
  config_conflict:
    'run "toucanctl config show > FILE", repeat your edit in FILE, then "toucanctl config apply FILE"',
  config_invalid: 'correct the lines above and run the command again',
  config_unknown:
    'run "toucanctl config history" until the platform responds; if the write id is listed, the change was accepted',
  forbidden:
    'pass the file of the writer token with --token-file or TOUCANROUTER_TOKEN_FILE',
  internal: 'search the log of the instance for the error',
  not_found: 'run "toucanctl status" to see the ids of the upstreams',
  platform_unavailable:
    'nothing was changed; run the command again once the platform responds',
  unauthenticated:
    'pass the token file with --token-file or TOUCANROUTER_TOKEN_FILE',
};

/** Converts an error response of an instance. */
export function fromErrorBody(body: AdminErrorBody): ToolError {
  const {type, message} = body.error;
  return new ToolError(exitCodeOf(type), message, {
    next: nextStepByKind[type],
    body,
  });
}

/** The instance cannot be reached; if this was a change, nothing was sent. */
export function unreachableError(address: string, cause: unknown): ToolError {
  return new ToolError(
    exitCodes.unreachable,
    `no instance responds at ${address}`,
    {
      cause,
      next: 'check --address or TOUCANROUTER_ADDRESS, and that the instance runs; administration listens on loopback by default',
    },
  );
}

/** The connection broke before the response to a change arrived. */
export function responseLostError(writeId: string, cause: unknown): ToolError {
  return new ToolError(
    exitCodes.notYetKnown,
    `the instance did not respond; the change ${writeId} may or may not take effect`,
    {cause, next: nextStepByKind.config_unknown},
  );
}
