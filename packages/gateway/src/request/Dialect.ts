/**
 * Wire format of requests and responses. The gateway itself depends on no
 * header names; an adapter translates them.
 */
import type {IncomingMessage} from 'node:http';
import type {
  RequestRate,
  RetryAfter,
  UpstreamId,
  WorkspaceId,
} from '@toucanrouter/common';
import type {Prompt} from '../upstreams/Prompt.js';

/** A caller's request without its body. */
export interface CallerRequest {
  /** The request id that the caller sent, or an empty string. */
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path with its query, as the caller sent it. */
  readonly target: string;
  readonly path: string;
  readonly key: string | undefined;
  /** How long the caller waits for the response, if it says so. */
  readonly callerTimeoutMs: number | undefined;
  readonly prompt: Prompt | undefined;
  /** Id of the event after which the caller resumes a stream. */
  readonly resumeAfterId: string | undefined;
  /**
   * Id of the request that brought the first event of the stream that the caller
   * resumes.
   */
  readonly resumesRequestId: string | undefined;
  /** Headers to pass on, as alternating names and values. */
  readonly headers: readonly string[];
}

/** Attributes that the gateway adds to a request to an upstream. */
export interface UpstreamRequestAttributes {
  readonly upstreamId: UpstreamId;
  readonly remainingMs: number;
  readonly workspaceId: WorkspaceId | undefined;
  /** Scheduling priority at the upstream, from 0 (first) to 9 (last). */
  readonly requestPriority: number;
  readonly resumeAfterId: string | undefined;
}

/** Statuses from this one on count as failures of the upstream. */
export const minServerErrorStatus = 500;

/** The head of an upstream's response. */
export interface UpstreamResponse {
  readonly status: number;
  /** Id of the request that the upstream responds to, if the head has one. */
  readonly requestId: string | undefined;
  /** True when the upstream states that it did not and will not run the request. */
  readonly notRun: boolean;
  /** True when another upstream responded at this address. */
  readonly misdirected: boolean;
  /** True when the response has the stamp that only upstreams set. */
  readonly stamped: boolean;
  /** False when the head names a type other than server-sent events. */
  readonly mayBeEventStream: boolean;
  /** True when the upstream announces that it leaves. */
  readonly leaving: boolean;
  /** For how long an upstream that rejects the request wants no other one. */
  readonly retryAfter: RetryAfter;
  /** The rate to which the upstream limits all instances together. */
  readonly requestRate: RequestRate;
  /** True when the body has a content encoding. */
  readonly contentEncoded: boolean;
  /** Headers to pass on, as alternating names and values. */
  readonly headers: readonly string[];
}

/** Translates between the wire format and the gateway's types. */
export interface Dialect {
  readRequest(message: IncomingMessage): CallerRequest;
  /** Returns the headers of a request to an upstream, in alternating form. */
  upstreamHeaders(
    request: CallerRequest,
    attributes: UpstreamRequestAttributes,
  ): string[];
  readResponse(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    rawHeaders: readonly string[],
  ): UpstreamResponse;
}
