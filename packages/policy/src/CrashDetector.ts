/**
 * Distinguishes the end of an upstream from a fault of one request or of the
 * network. After a connection broke under a request, it is found out once for
 * all requests that broke there whether the upstream's process has ended.
 * Upstreams that are leaving end as planned.
 */
import type {Clock} from '@toucanrouter/common';
import {createBoundedMap} from './BoundedMap.js';
import type {
  UpstreamCrash,
  UpstreamStartHash,
  WaitingRequest,
} from './PromptQuarantineTypes.js';

/** Options of a detector. */
export interface CrashDetectorOptions<Upstream> {
  readonly clock: Clock;
  /** Identifies one process of an upstream. */
  readonly startHashOf: (upstream: Upstream) => UpstreamStartHash;
  /** Finds out whether this process of the upstream has ended. */
  readonly hasEnded: (upstream: Upstream) => Promise<boolean>;
  /** Returns whether this process of the upstream still takes new work. */
  readonly isUsable: (upstream: Upstream) => boolean;
  /** Called for each group of requests under which an upstream ended. */
  readonly onCrash: (crash: UpstreamCrash) => void;
}

/** Detects that upstreams ended. */
export interface CrashDetector<Upstream> {
  /** Records a connection that broke before the request's first event. */
  connectionBroke(upstream: Upstream, waiting: WaitingRequest): void;
  close(): void;
}

/** A process that ends closes its connections before or after its listener. */
const probeDelayMs = 20;
const maxEndedCount = 256;

interface PendingProbe {
  readonly atMs: number;
  readonly requests: WaitingRequest[];
}

/** Creates a detector. */
export function createCrashDetector<Upstream>(
  options: CrashDetectorOptions<Upstream>,
): CrashDetector<Upstream> {
  const {clock} = options;
  const pending = new Map<UpstreamStartHash, PendingProbe>();
  const endedAtMs = createBoundedMap<UpstreamStartHash, number>(maxEndedCount);
  let closed = false;

  async function confirmEnd(
    upstream: Upstream,
    startHash: UpstreamStartHash,
  ): Promise<void> {
    const hasEnded = await options.hasEnded(upstream);
    const probed = pending.get(startHash);
    pending.delete(startHash);
    if (closed || probed === undefined || !hasEnded) return;
    endedAtMs.set(startHash, probed.atMs);
    options.onCrash({upstream: startHash, ...probed});
  }

  return {
    connectionBroke: (upstream, waiting) => {
      const startHash = options.startHashOf(upstream);
      const atMs = endedAtMs.get(startHash);
      if (atMs !== undefined) {
        options.onCrash({upstream: startHash, atMs, requests: [waiting]});
        return;
      }
      const probed = pending.get(startHash);
      if (probed !== undefined) {
        probed.requests.push(waiting);
        return;
      }
      if (!options.isUsable(upstream)) return;
      pending.set(startHash, {atMs: clock.nowMs(), requests: [waiting]});
      clock.after(probeDelayMs, () => void confirmEnd(upstream, startHash));
    },
    close: () => {
      closed = true;
      pending.clear();
    },
  };
}
