/**
 * Errors of the administration API and the responses to them.
 */
import type {AdminErrorBody, ConfigConflict} from '@toucanrouter/common';
import {
  errorResponseFor,
  RouterError,
  SettingsError,
  toErrorBody,
} from '@toucanrouter/common';

/** Another change was accepted before this one. */
export class ConfigConflictError extends RouterError {
  readonly conflict: ConfigConflict;

  constructor(conflict: ConfigConflict) {
    const {expectedVersion, winner} = conflict;
    super(
      'config_conflict',
      `the configuration is at version ${winner.version}, changed by ${winner.author}, and not at version ${expectedVersion}; nothing was changed. Look at the differences, then apply again to version ${winner.version}`,
    );
    this.conflict = conflict;
  }
}

/** It is not known whether a change took effect. */
export class ConfigUnknownError extends RouterError {
  readonly writeId: string;

  constructor(writeId: string, details: {cause?: unknown} = {}) {
    super(
      'config_unknown',
      `the platform has not confirmed the change ${writeId}, which may or may not take effect; look for this id in the configuration history, or retry the request with the same id`,
      details,
    );
    this.writeId = writeId;
  }
}

/** Builds the JSON body of an error response. */
export function toAdminErrorBody(error: RouterError): AdminErrorBody {
  const body = toErrorBody(error);
  if (error instanceof ConfigConflictError) {
    return {...body, conflict: error.conflict};
  }
  if (error instanceof ConfigUnknownError) {
    return {...body, writeId: error.writeId};
  }
  if (error instanceof SettingsError) return {...body, faults: error.faults};
  return body;
}

/** Builds the HTTP response for an error. */
export function toErrorResponse(error: RouterError): Response {
  const headers = new Headers({'content-type': 'application/json'});
  if (error.retryAfterMs !== undefined) {
    headers.set('retry-after', String(Math.ceil(error.retryAfterMs / 1000)));
  }
  return new Response(JSON.stringify(toAdminErrorBody(error)), {
    status: errorResponseFor(error.kind).status,
    headers,
  });
}
