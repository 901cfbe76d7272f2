/**
 * What upstreams say about themselves in the heads of their responses: that
 * they are leaving, or that they want no request for some time.
 */
import type {RequestId, UpstreamInfo} from '@toucanrouter/common';
import type {UpstreamAccess} from './UpstreamAccess.js';

/** The status of a rejection for lack of capacity. */
export const serviceUnavailableStatus = 503;

/** Sent with the value 1 in all responses of an upstream that is leaving. */
export const leavingHeader = 'x-upstream-leaving';

const leavingValue = '1';

/** The parts of a response head that are read here. */
export interface ResponseHead {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Handles the head of a response of `upstream`. */
export function receiveHead(
  {directory, pausedUpstreams}: UpstreamAccess,
  upstream: UpstreamInfo,
  requestId: RequestId,
  {headers, statusCode}: ResponseHead,
): void {
  if (headers[leavingHeader] === leavingValue) {
    const {id, incarnation} = upstream;
    directory.markLeaving({upstreamId: id, incarnation});
  }
  if (statusCode === serviceUnavailableStatus) {
    const retryAfter = headers['retry-after'];
    pausedUpstreams.recordRefusal(upstream, requestId, retryAfter);
  }
}
