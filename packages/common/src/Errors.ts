/**
 * The closed list of error kinds and the response that a caller gets for each.
 * Every failure that crosses a module boundary is a `RouterError`.
 */

/** What an error response tells the caller: whether its request was run. */
export type RunStatus = 'not_run' | 'run' | 'unknown';

interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  readonly runStatus: RunStatus;
}

/** Error responses by error kind. */
export const errorResponses = {
  answer_incomplete: {status: 502, runStatus: 'unknown'},
  answer_timeout: {status: 504, runStatus: 'unknown'},
  bad_request: {status: 400, runStatus: 'not_run'},
  body_too_large: {status: 413, runStatus: 'not_run'},
  canceled: {status: 499, runStatus: 'unknown'},
  config_conflict: {status: 409, runStatus: 'not_run'},
  config_invalid: {status: 422, runStatus: 'not_run'},
  config_unknown: {status: 503, runStatus: 'unknown'},
  deadline_exceeded: {status: 504, runStatus: 'not_run'},
  forbidden: {status: 403, runStatus: 'not_run'},
  headers_too_large: {status: 431, runStatus: 'not_run'},
  idempotency_key_in_progress: {status: 409, runStatus: 'unknown'},
  idempotency_key_missing: {status: 400, runStatus: 'not_run'},
  idempotency_key_reused: {status: 422, runStatus: 'not_run'},
  internal: {status: 500, runStatus: 'unknown'},
  no_upstream: {status: 503, runStatus: 'not_run'},
  not_found: {status: 404, runStatus: 'not_run'},
  outcome_unknown: {status: 502, runStatus: 'unknown'},
  overloaded: {status: 503, runStatus: 'not_run'},
  platform_unavailable: {status: 503, runStatus: 'not_run'},
  prompt_quarantined: {status: 503, runStatus: 'not_run'},
  settings_invalid: {status: 400, runStatus: 'not_run'},
  shutting_down: {status: 503, runStatus: 'not_run'},
  unauthenticated: {status: 401, runStatus: 'not_run'},
  upstream_failed: {status: 502, runStatus: 'unknown'},
} as const satisfies Record<string, ErrorResponse>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof errorResponses;

/** Optional details of an error. */
export interface ErrorDetails {
  /** The error that led to this one. */
  readonly cause?: unknown;
  /** How long a caller should wait before it retries. */
  readonly retryAfterMs?: number;
}

/** Base class of all errors that cross a module boundary. */
export class RouterError extends Error {
  readonly kind: ErrorKind;
  readonly retryAfterMs: number | undefined;

  constructor(kind: ErrorKind, message: string, details: ErrorDetails = {}) {
    super(message, {cause: details.cause});
    this.name = new.target.name;
    this.kind = kind;
    this.retryAfterMs = details.retryAfterMs;
  }
}

/** The platform's key-value service or instance list did not respond. */
export class PlatformError extends RouterError {
  /** True when a write may have taken effect although its response was lost. */
  readonly mayHaveTakenEffect: boolean;

  constructor(
    message: string,
    mayHaveTakenEffect: boolean,
    details: ErrorDetails = {},
  ) {
    super('platform_unavailable', message, details);
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }
}

/** One fault in a settings or classes file. */
export interface SettingsFault {
  readonly file: string;
  /** Line number from 1, or 0 when the fault concerns the whole file. */
  readonly line: number;
  readonly message: string;
}

/** Reports all faults of a settings or classes file. */
export class SettingsError extends RouterError {
  readonly faults: readonly SettingsFault[];

  constructor(
    kind: 'config_invalid' | 'settings_invalid',
    faults: readonly SettingsFault[],
  ) {
    super(
      kind,
      faults.map(f => `${f.file}:${f.line}: ${f.message}`).join('\n'),
    );
    this.faults = faults;
  }
}

/** Returns the response for an error kind. */
export function errorResponseFor(kind: ErrorKind): ErrorResponse {
  return errorResponses[kind];
}

/** Returns whether a string is an error kind. */
export function isErrorKind(value: string): value is ErrorKind {
  return Object.hasOwn(errorResponses, value);
}

/** JSON body of an error response, in the OpenAI-compatible format. */
export interface ErrorBody {
  readonly error: {
    readonly type: ErrorKind;
    readonly message: string;
    readonly run_status: RunStatus;
    readonly request_id?: string;
  };
}

/** Builds the JSON body of an error response. */
export function toErrorBody(error: RouterError, requestId?: string): ErrorBody {
  return {
    error: {
      type: error.kind,
      message: error.message,
      run_status: errorResponseFor(error.kind).runStatus,
      request_id: requestId,
    },
  };
}
