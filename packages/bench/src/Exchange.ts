/**
 * The record of a simulated request: its attempts, its outcome and the values
 * measured on the way.
 */
import type {PermitId, UpstreamId} from '@toucanrouter/common';
import type {Arrival} from './Arrivals.js';
import type {EngineJobHandle} from './FakeEngine.js';

/** Outcome of a request as its caller sees it. */
export type ExchangeOutcome = 'completed' | 'failed' | 'refused' | 'timed_out';

/** An attempt to serve a request under one permit. */
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

/** A request of a caller with all of its attempts. */
export interface Exchange {
  readonly arrival: Arrival;
  readonly attempts: Map<PermitId, Attempt>;
  /** Permits requested so far. */
  acquireCount: number;
  /** Time since which the request has been waiting for a permit. */
  queuedAtMs: number | undefined;
  /** Attempt number of the hedge, if one was requested. */
  hedgeAttempt: number | undefined;
  /** Times that an engine failure left the request without an attempt. */
  failedAttempts: number;
  outcome: ExchangeOutcome | undefined;
  /** Whether work of a lower tier could have been preempted at the refusal. */
  refusedAboveLowerTier: boolean;
  receivedTokens: number;
  /** Tokens received in the measured period. */
  measuredTokens: number;
  wastedTokens: number;
  firstTokenAtMs: number | undefined;
  lastTokenAtMs: number;
  maxQueueingDelayMs: number;
  /** Wait for the first permit, or until the request ended without one. */
  firstQueueingDelayMs: number | undefined;
}

/** Creates the record of a request that has just arrived. */
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

/** Creates the record of an attempt that starts now. */
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
