/**
 * A request in a run, with everything that is measured about it.
 */
import type {PermitId, UpstreamId} from '@toucanrouter/common';
import type {Arrival} from './Arrivals.js';
import type {EngineJobHandle} from './FakeEngine.js';

/** How a request ended for its caller. */
export type ExchangeOutcome = 'completed' | 'failed' | 'refused' | 'timed_out';

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
  acquireCount: number;
  /** Start of the present wait for a permit. */
  queuedAtMs: number | undefined;
  hedgeAttempt: number | undefined;
  /** Attempts lost to faults. */
  failedAttempts: number;
  outcome: ExchangeOutcome | undefined;
  refusedAboveLowerTier: boolean;
  receivedTokens: number;
  measuredTokens: number;
  wastedTokens: number;
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number;
  maxQueueingDelayMs: number;
  /** Wait before the first token that is not spent on the prompt. */
  firstQueueingDelayMs: number | undefined;
}

/** Creates the record of a request that arrives now. */
export function createExchange(arrival: Arrival): Exchange {
  return {
    arrival,
    attempts: new Map(),
    acquireCount: 0,
    queuedAtMs: undefined,
    hedgeAttempt: undefined,
    failedAttempts: 0,
    outcome: undefined,
    refusedAboveLowerTier: false,
    receivedTokens: 0,
    measuredTokens: 0,
    wastedTokens: 0,
    firstTokenAtMs: undefined,
    lastTokenAtMs: arrival.atMs,
    maxQueueingDelayMs: 0,
    firstQueueingDelayMs: undefined,
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
