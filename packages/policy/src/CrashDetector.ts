/**
 * Distinguishes the end of an upstream from a fault of one request or of the
 * network. After a connection ended under a request, it is found out once for
 * all requests that ended there whether the upstream's process has ended.
 * Upstreams that are leaving end as planned.
 */
import type {Clock} from '@toucanrouter/common';
import {createBoundedMap} from './BoundedMap.js';
import type {
  UpstreamCrash,
  UpstreamStartHash,
  InterruptedRequest,
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
  /**
   * Records a connection that ended under a request. `onJudged` is called once
   * it is known whether the upstream crashed.
   */
  connectionEnded(
    upstream: Upstream,
    request: InterruptedRequest,
    onJudged?: (crashed: boolean) => void,
  ): void;
  close(): void;
}

/** A process that ends closes its connections before or after its listener. */
const probeDelayMs = 20;
const maxEndedCount = 256;

interface PendingProbe {
  readonly atMs: number;
  readonly requests: InterruptedRequest[];
  readonly onJudged: ((crashed: boolean) => void)[];
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
    if (closed || probed === undefined) return;
    const {atMs, onJudged, requests} = probed;
    if (hasEnded) {
      endedAtMs.set(startHash, atMs);
      options.onCrash({upstream: startHash, atMs, requests});
    }
    for (const notify of onJudged) notify(hasEnded);
  }

  return {
    connectionEnded: (upstream, request, onJudged = () => undefined) => {
      const startHash = options.startHashOf(upstream);
      const atMs = endedAtMs.get(startHash);
      if (atMs !== undefined) {
        options.onCrash({upstream: startHash, atMs, requests: [request]});
        onJudged(true);
        return;
      }
      const probed = pending.get(startHash);
      if (probed !== undefined) {
        probed.requests.push(request);
        probed.onJudged.push(onJudged);
        return;
      }
      if (!options.isUsable(upstream)) {
        onJudged(false);
        return;
      }
      pending.set(startHash, {
        atMs: clock.nowMs(),
        requests: [request],
        onJudged: [onJudged],
      });
      clock.after(probeDelayMs, () => void confirmEnd(upstream, startHash));
    },
    close: () => {
      closed = true;
      for (const {onJudged} of pending.values()) {
        for (const notify of onJudged) notify(false);
      }
      pending.clear();
    },
  };
}
