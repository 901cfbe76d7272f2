/**
 * The pauses that upstreams have asked this instance for. An upstream that
 * rejects a request may state for how long it wants no further one; until then
 * it is not chosen. A pause belongs to one process of the upstream: after a
 * restart it does not hold. Clock and upstreams are passed in, so the decisions
 * need no network.
 */
import type {UpstreamId} from '@toucanrouter/common';

/** One process of an upstream. */
export interface UpstreamProcess {
  readonly id: UpstreamId;
  /** Distinguishes the processes of an upstream; undefined if not reported. */
  readonly start: number | undefined;
}

/** How a requested pause changed what is known. */
export type PauseChange = 'began' | 'extended' | 'unchanged';

/** The pauses that hold at an instance. */
export interface UpstreamPauses {
  /** Records that `upstream` wants no request for `durationMs`. */
  request(
    upstream: UpstreamProcess,
    durationMs: number,
    nowMs: number,
  ): PauseChange;
  isPaused(upstream: UpstreamProcess, nowMs: number): boolean;
  /** Time until the pause ends; 0 if there is none. */
  remainingMs(upstream: UpstreamProcess, nowMs: number): number;
  /** Returns the processes that pause, in no order. */
  paused(nowMs: number): readonly UpstreamProcess[];
}

interface Pause {
  readonly upstream: UpstreamProcess;
  readonly endMs: number;
}

/** A late response of an earlier process must not replace a later pause. */
function keyOf({id, start}: UpstreamProcess): string {
  return `${start ?? ''}/${id}`;
}

/** Creates a record without pauses. */
export function createUpstreamPauses(): UpstreamPauses {
  const pauses = new Map<string, Pause>();

  function removeEnded(nowMs: number): void {
    for (const [key, {endMs}] of pauses) {
      if (endMs <= nowMs) pauses.delete(key);
    }
  }

  function remainingMs(upstream: UpstreamProcess, nowMs: number): number {
    const endMs = pauses.get(keyOf(upstream))?.endMs ?? nowMs;
    return Math.max(0, endMs - nowMs);
  }

  return {
    request: (upstream, durationMs, nowMs) => {
      removeEnded(nowMs);
      if (durationMs <= 0) return 'unchanged';
      const knownMs = remainingMs(upstream, nowMs);
      if (durationMs <= knownMs) return 'unchanged';
      pauses.set(keyOf(upstream), {upstream, endMs: nowMs + durationMs});
      return knownMs > 0 ? 'extended' : 'began';
    },
    isPaused: (upstream, nowMs) => remainingMs(upstream, nowMs) > 0,
    remainingMs,
    paused: nowMs => {
      removeEnded(nowMs);
      return [...pauses.values()].map(({upstream}) => upstream);
    },
  };
}
