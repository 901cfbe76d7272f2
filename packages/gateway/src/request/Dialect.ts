/**
 * How requests and answers are spelled on the wire. The gateway itself knows
 * no header names; an adapter translates them.
 */
import type {IncomingMessage} from 'node:http';
import type {UpstreamId, WorkspaceId} from '@toucanrouter/common';
import type {Prompt} from '../upstreams/Prompt.js';

/** A request of a caller, without its body. */
export interface CallerRequest {
  /** The caller's id; empty when it sent none. */
  readonly requestId: string;
  readonly method: string;
  readonly host: string;
  /** Path with its query, as the caller sent it. */
  readonly target: string;
  readonly path: string;
  readonly key: string | undefined;
  /** How long the caller waits; undefined when it does not tell. */
  readonly callerTimeoutMs: number | undefined;
  readonly prompt: Prompt | undefined;
  /** The event after which the caller wants the stream to go on. */
  readonly resumeAfterId: string | undefined;
  /** Header names and values to pass on, one after the other. */
  readonly headers: readonly string[];
}

/** What the gateway adds to a request that it sends to an upstream. */
export interface UpstreamRequestAttributes {
  readonly upstreamId: UpstreamId;
  readonly remainingMs: number;
  readonly workspaceId: WorkspaceId | undefined;
  /** Rank among the requests at the upstream, from 0, which goes first, to 9. */
  readonly requestPriority: number;
  readonly resumeAfterId: string | undefined;
}

/** The head of an upstream's answer. */
export interface UpstreamResponse {
  readonly status: number;
  /** The id that the upstream says it answers; undefined when it says none. */
  readonly requestId: string | undefined;
  /** The upstream states that it did not run the request and never will. */
  readonly notRun: boolean;
  /** Another upstream answers at this address. */
  readonly misdirected: boolean;
  /** The answer bears the mark that only upstreams can make. */
  readonly stamped: boolean;
  /** The body was transformed on its way. */
  readonly contentEncoded: boolean;
  /** Header names and values to pass on, one after the other. */
  readonly headers: readonly string[];
}

/** Names and formats of requests and answers. */
export interface Dialect {
  readRequest(message: IncomingMessage): CallerRequest;
  /** Headers of the request to an upstream. */
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
