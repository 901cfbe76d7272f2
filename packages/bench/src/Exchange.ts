/**
 * A request in a run, with everything that is measured about it.
 */
import type {PermitId, UpstreamId} from '@toucanrouter/common';
import type {Arrival} from './Arrivals.js';
import type {EngineJobHandle} from './FakeEngine.js';

/** How a request ended for its caller. */
export type ExchangeEnd = 'completed' | 'failed' | 'refused' | 'timed_out';

/** A permit in use. */
export interface Attempt {
  readonly permitId: PermitId;
  readonly upstreamId: UpstreamId;
  readonly hedge: boolean;
  readonly startedAtMs: number;
  handle: EngineJobHandle | undefined;
  tokens: number;
  firstTokenMs: number | undefined;
  lastTokenAtMs: number;
}

/** A request of a caller, through all of its attempts. */
export interface Exchange {
  readonly arrival: Arrival;
  readonly attempts: Map<PermitId, Attempt>;
  /** Permits asked for so far. */
  asked: number;
  /** Start of the present wait for a permit. */
  waitingSinceMs: number | undefined;
  hedgeAskedAttempt: number | undefined;
  /** Attempts lost to faults. */
  lost: number;
  end: ExchangeEnd | undefined;
  refusedByTier: boolean;
  received: number;
  receivedInWindow: number;
  wasted: number;
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number;
  longestWaitMs: number;
  /** Wait before the first token that is not spent on the prompt. */
  firstWaitMs: number | undefined;
}

/** Creates the record of a request that arrives now. */
export function createExchange(arrival: Arrival): Exchange {
  return {
    arrival,
    attempts: new Map(),
    asked: 0,
    waitingSinceMs: undefined,
    hedgeAskedAttempt: undefined,
    lost: 0,
    end: undefined,
    refusedByTier: false,
    received: 0,
    receivedInWindow: 0,
    wasted: 0,
    firstTokenAtMs: undefined,
    lastTokenAtMs: arrival.atMs,
    longestWaitMs: 0,
    firstWaitMs: undefined,
  };
}

/** Creates the record of a permit that is used from now on. */
export function createAttempt(
  permitId: PermitId,
  upstreamId: UpstreamId,
  hedge: boolean,
  nowMs: number,
): Attempt {
  return {
    permitId,
    upstreamId,
    hedge,
    startedAtMs: nowMs,
    handle: undefined,
    tokens: 0,
    firstTokenMs: undefined,
    lastTokenAtMs: nowMs,
  };
}
