/**
 * Distinguishes the end of an engine from a broken connection. An engine that
 * refuses new connections after connections to it broke has ended.
 */
import type {Clock, UpstreamInfo} from '@toucanrouter/common';
import type {
  UpstreamCrash,
  UpstreamStartHash,
  WaitingRequest,
} from '@toucanrouter/policy';
import {createBoundedMap, upstreamStartHashOf} from '@toucanrouter/policy';
import type {ProbeResult} from './EngineProbe.js';

/** Options of a detector. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  readonly probe: (address: string) => Promise<ProbeResult>;
  /** Returns the present entry of an upstream. */
  readonly find: (id: UpstreamInfo['id']) => UpstreamInfo | undefined;
  /** Called for each group of requests under which an engine ended. */
  readonly onCrash: (crash: UpstreamCrash) => void;
}

/** Detects that engines ended. */
export interface CrashDetector {
  /** Records a connection that broke before the request's first token. */
  connectionBroke(engine: UpstreamInfo, waiting: WaitingRequest): void;
  close(): void;
}

/** A process that ends may close its connections before its listener. */
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

  /** True once a process with the same id has taken the place of `engine`. */
  function isReplaced({id, incarnation}: UpstreamInfo): boolean {
    const current = options.find(id);
    return current !== undefined && current.incarnation > incarnation;
  }

  async function confirmEnd(
    engine: UpstreamInfo,
    upstream: UpstreamStartHash,
  ): Promise<void> {
    const result = await options.probe(engine.address);
    const probed = pending.get(upstream);
    pending.delete(upstream);
    if (closed || probed === undefined) return;
    if (result !== 'refused' && !isReplaced(engine)) return;
    endedAtMs.set(upstream, probed.atMs);
    options.onCrash({upstream, ...probed});
  }

  function isLeaving(engine: UpstreamInfo): boolean {
    return engine.leaving || options.find(engine.id)?.leaving === true;
  }

  return {
    connectionBroke: (engine, waiting) => {
      const upstream = upstreamStartHashOf(engine.id, engine.incarnation);
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
      if (isLeaving(engine)) return;
      pending.set(upstream, {atMs: clock.nowMs(), requests: [waiting]});
      clock.after(probeDelayMs, () => void confirmEnd(engine, upstream));
    },
    close: () => {
      closed = true;
      pending.clear();
    },
  };
}
