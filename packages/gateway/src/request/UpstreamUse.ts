/**
 * The upstreams that one request has used. A request may use a limited number of
 * upstreams. One that was given up for another, without having failed, may be
 * used once more when the other one fails, which adds no upstream.
 */
import type {UpstreamId} from '@toucanrouter/common';

/** Records the attempts of a request by upstream. */
export interface UpstreamUse {
  /** Number of upstreams that have or may have received the request. */
  count(): number;
  /** Upstreams that were given up and may be used once more. */
  returnable(): readonly UpstreamId[];
  attemptStarted(id: UpstreamId): void;
  /** Withdraws an attempt that did not reach the upstream. */
  attemptNotReceived(id: UpstreamId): void;
  /** Records that an attempt was canceled in favor of another one. */
  attemptSuperseded(id: UpstreamId): void;
}

interface Attempts {
  readonly count: number;
  readonly superseded: boolean;
}

const maxAttemptsPerUpstream = 2;
const noAttempts: Attempts = {count: 0, superseded: false};

/** Creates the record of a request that was not sent yet. */
export function createUpstreamUse(): UpstreamUse {
  const attemptsById = new Map<UpstreamId, Attempts>();

  function change(id: UpstreamId, by: number, superseded: boolean): void {
    const {count} = attemptsById.get(id) ?? noAttempts;
    attemptsById.set(id, {count: count + by, superseded});
  }

  return {
    count: () =>
      [...attemptsById.values()].filter(({count}) => count > 0).length,
    returnable: () =>
      [...attemptsById].flatMap(([id, {count, superseded}]) =>
        superseded && count < maxAttemptsPerUpstream ? [id] : [],
      ),
    attemptStarted: id => change(id, 1, false),
    attemptNotReceived: id => change(id, -1, false),
    attemptSuperseded: id => change(id, 0, true),
  };
}
