/**
 * Distinguishes the end of an upstream from a fault of one request or of the
 * network. After a connection broke under a request, the upstream is probed
 * once for all requests that broke there; only a refused connection shows that
 * its process ended. Upstreams that are leaving end as planned.
 */
import type {Clock} from '@toucanrouter/common';
import type {
  UpstreamCrash,
  UpstreamStartHash,
  WaitingRequest,
} from '@toucanrouter/policy';
import {createBoundedMap, upstreamStartHashOf} from '@toucanrouter/policy';
import type {UpstreamEntry} from './UpstreamEntry.js';
import type {ProbeResult} from './UpstreamProbe.js';

/** Options of a detector. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  readonly probe: (entry: UpstreamEntry) => Promise<ProbeResult>;
  /** Returns whether this process of the upstream still takes new work. */
  readonly isUsable: (entry: UpstreamEntry) => boolean;
  /** Called for each group of requests under which an upstream ended. */
  readonly onCrash: (crash: UpstreamCrash) => void;
}

/** Detects that upstreams ended. */
export interface CrashDetector {
  /** Records a connection that broke before the request's first event. */
  connectionBroke(entry: UpstreamEntry, waiting: WaitingRequest): void;
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
export function createCrashDetector(
  options: CrashDetectorOptions,
): CrashDetector {
  const {clock} = options;
  const pending = new Map<UpstreamStartHash, PendingProbe>();
  const endedAtMs = createBoundedMap<UpstreamStartHash, number>(maxEndedCount);
  let closed = false;

  async function probe(
    entry: UpstreamEntry,
    upstream: UpstreamStartHash,
  ): Promise<void> {
    const result = await options.probe(entry);
    const probed = pending.get(upstream);
    pending.delete(upstream);
    if (closed || probed === undefined || result !== 'refused') return;
    endedAtMs.set(upstream, probed.atMs);
    options.onCrash({upstream, ...probed});
  }

  return {
    connectionBroke: (entry, waiting) => {
      const upstream = upstreamStartHashOf(entry.id, entry.startedAtMs);
      const atMs = endedAtMs.get(upstream);
      if (atMs !== undefined) {
        options.onCrash({upstream, atMs, requests: [waiting]});
        return;
      }
      const probed = pending.get(upstream);
      if (probed !== undefined) {
        probed.requests.push(waiting);
        return;
      }
      if (!options.isUsable(entry)) return;
      pending.set(upstream, {atMs: clock.nowMs(), requests: [waiting]});
      clock.after(probeDelayMs, () => void probe(entry, upstream));
    },
    close: () => {
      closed = true;
      pending.clear();
    },
  };
}
