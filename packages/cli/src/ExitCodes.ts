/**
 * Exit codes of the command-line tool, which scripts rely on.
 */
import type {ErrorKind} from '@toucanrouter/common';

/** Exit codes by meaning. */
export const exitCodes = {
  ok: 0,
  /** The instance responded with an error that has no exit code of its own. */
  failed: 1,
  /** Wrong arguments or flags, or a file that cannot be read or written. */
  usage: 2,
  /** The token is missing, wrong, or does not permit changes. */
  denied: 3,
  /** Another change was accepted first; nothing was changed. */
  conflict: 4,
  /** The change may or may not take effect. */
  notYetKnown: 5,
  /** The classes file has faults; nothing was changed. */
  invalid: 6,
  /** The instance cannot be reached. */
  unreachable: 7,
  /** The change was accepted but is not in force everywhere yet. */
  notInForce: 8,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

const codesByKind: Partial<Record<ErrorKind, ExitCode>> = {
  config_conflict: exitCodes.conflict,
  config_invalid: exitCodes.invalid,
  config_unknown: exitCodes.notYetKnown,
  forbidden: exitCodes.denied,
  unauthenticated: exitCodes.denied,
};

/** Returns the exit code for an error kind. */
export function exitCodeOf(kind: ErrorKind): ExitCode {
  return codesByKind[kind] ?? exitCodes.failed;
}
