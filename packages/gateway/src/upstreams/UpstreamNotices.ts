/**
 * What upstreams say about themselves in the heads of their responses. An
 * upstream that rejects a request may state for how long it wants no further
 * one.
 */
import type {Logger} from '@toucanrouter/logging';
import type {UpstreamResponse} from '../request/Dialect.js';
import type {UpstreamEntry} from './UpstreamEntry.js';

/** The parts of a response head that notices depend on. */
export type NoticeHead = Pick<UpstreamResponse, 'retryAfter' | 'status'>;

/** Receives the response heads of upstreams. */
export interface UpstreamNotices {
  /** Handles the head of a response to a request that was sent to `entry`. */
  receive(entry: UpstreamEntry, requestId: string, head: NoticeHead): void;
}

/** Options of {@link createUpstreamNotices}. */
export interface UpstreamNoticesOptions {
  readonly logger: Logger;
  /** Called for each response that rejects a request for lack of capacity. */
  readonly onRefused: (entry: UpstreamEntry, asksForPause: boolean) => void;
}

const serviceUnavailableStatus = 503;

/** Creates the receiver of an instance. */
export function createUpstreamNotices(
  options: UpstreamNoticesOptions,
): UpstreamNotices {
  const {logger} = options;
  return {
    receive: (entry, requestId, {retryAfter, status}) => {
      if (status !== serviceUnavailableStatus) return;
      const {delayMs = 0, problem} = retryAfter;
      options.onRefused(entry, delayMs > 0);
      const fields = {upstream: entry.id, service: entry.service, requestId};
      if (problem !== undefined) {
        logger.warn('an upstream sent an unusable Retry-After', {
          ...fields,
          problem,
        });
      }
      if (delayMs > 0) {
        logger.info('an upstream asks for a pause', {...fields, delayMs});
      }
    },
  };
}
