/**
 * Fixture of a caller's call as the request path receives it, for tests that
 * replace only what they look at.
 */
import type {ServiceClass} from '@toucanrouter/common';
import {toWorkspaceId} from '@toucanrouter/common';
import type {Exchange} from '../../request/Exchange.js';

/** What each test says of its call. */
export type TestCall = Pick<Exchange, 'body' | 'requestId' | 'target'> & {
  readonly serviceClass: ServiceClass;
  readonly nowMs: number;
  /** Time until the call must have started. */
  readonly limitMs: number;
};

/** A response of which nothing is kept. */
export const discardedResponse: Exchange['response'] = {
  started: false,
  startStream: () => undefined,
  write: () => Promise.resolve(),
  endStream: () => undefined,
  send: () => undefined,
  sendError: () => undefined,
};

/** Creates a call that has just arrived. */
export function createTestExchange(
  {limitMs, nowMs, ...call}: TestCall,
  changes: Partial<Exchange> = {},
): Exchange {
  return {
    callerRequestId: undefined,
    headers: {},
    response: discardedResponse,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + limitMs,
    signal: new AbortController().signal,
    stats: {
      firstTokenMs: undefined,
      tokenGapMs: undefined,
      tokens: 0,
      wastedTokens: 0,
      waitedMs: 0,
      attempts: 0,
    },
    workspaceId: toWorkspaceId('w'),
    ...call,
    ...changes,
  };
}
