/**
 * What upstreams say about themselves in the heads of their responses: that
 * they are leaving, that they want no request for some time, or how many
 * requests a second they take from all instances together.
 */
import type {Readable} from 'node:stream';
import type {RequestId, UpstreamInfo} from '@toucanrouter/common';
import {isResponseStatus} from '@toucanrouter/common';
import type {UpstreamAccess} from './UpstreamAccess.js';

/** The status of a rejection for lack of capacity. */
export const serviceUnavailableStatus = 503;

/** Sent with the value 1 in all responses of an upstream that is leaving. */
export const leavingHeader = 'x-upstream-leaving';

const leavingValue = '1';

/**
 * Sent in all responses of an upstream in need: the requests a second, as a
 * decimal number, that it takes from all instances together.
 */
export const rateLimitHeader = 'x-upstream-rate-limit';

/** The parts of a response head that are read here. */
export interface ResponseHead {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** The request to which a response belongs. */
export interface SentRequest {
  readonly upstream: UpstreamInfo;
  readonly requestId: RequestId;
  readonly sentAtMs: number;
}

/**
 * Throws if a status is not valid, and closes the connection. Also for interim
 * responses, as the HTTP client takes any status below 200 for one of them.
 */
export function checkStatus({
  body,
  statusCode,
}: Pick<ResponseHead, 'statusCode'> & {readonly body?: Readable}): void {
  if (isResponseStatus(statusCode)) return;
  body?.on('error', () => undefined).destroy();
  throw new Error(`the response has the invalid status ${statusCode}`);
}

/** Handles the head of a response. */
export function receiveHead(
  {directory, limitedUpstreams, pausedUpstreams}: UpstreamAccess,
  {requestId, sentAtMs, upstream}: SentRequest,
  {headers, statusCode}: ResponseHead,
): void {
  const value = headers[rateLimitHeader];
  limitedUpstreams.recordHead({upstream, requestId, value, sentAtMs});
  if (headers[leavingHeader] === leavingValue) {
    const {id, incarnation} = upstream;
    directory.markLeaving({upstreamId: id, incarnation});
  }
  if (statusCode === serviceUnavailableStatus) {
    const retryAfter = headers['retry-after'];
    pausedUpstreams.recordRefusal(upstream, requestId, retryAfter);
  }
}
