/**
 * Serves one call of a plain service. An idempotent call is sent again after a
 * fault; any other call is sent once.
 */
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import type {
  RouterError as RouterErrorType,
  ShardId,
  UpstreamId,
} from '@toucanrouter/common';
import {hopByHopHeaders, RouterError} from '@toucanrouter/common';
import {decideRecovery} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {CallTarget, Exchange} from '../Exchange.js';
import {abortError, afterRefusal, classOf} from '../Exchange.js';
import type {GrantedUpstream, UpstreamAccess} from '../UpstreamAccess.js';
import {acquireUpstream, hasOtherUpstream} from '../UpstreamAccess.js';

/** The whole answer of a plain service. */
export interface PlainAnswer {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

/** Headers that are set anew for each connection. */
const ownHeaders: ReadonlySet<string> = new Set([
  ...hopByHopHeaders,
  'content-length',
  'expect',
  'host',
]);

/** Headers of callers that upstreams do not receive. */
const routerHeaders = new Set([
  'authorization',
  'x-fencing-token',
  'x-request-id',
  'x-request-timeout-ms',
  'x-service-class',
]);

const connectFailureCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** A plain call counts as one token in budgets and figures. */
const callCost = 1;

interface PlainState {
  readonly access: UpstreamAccess;
  readonly exchange: Exchange;
  readonly shardId: ShardId;
  readonly extraHeaders: Readonly<Record<string, string>>;
  readonly excluded: Set<UpstreamId>;
  permitsAsked: number;
  /** Attempts that ended in a fault. */
  faults: number;
  /** Upstream of the last attempt when that one was preempted. */
  preemptedOn: UpstreamId | undefined;
}

interface PlainFault {
  readonly end: 'broken' | 'not_sent' | 'preempted';
  readonly cause: unknown;
}

/** Serves the call; `extraHeaders` are added for the upstream. */
export async function servePlain(
  access: UpstreamAccess,
  exchange: Exchange,
  shardId: ShardId,
  extraHeaders: Readonly<Record<string, string>>,
): Promise<Result<PlainAnswer, RouterErrorType>> {
  const state: PlainState = {
    access,
    exchange,
    shardId,
    extraHeaders,
    excluded: new Set(),
    permitsAsked: 0,
    faults: 0,
    preemptedOn: undefined,
  };
  access.retryBudget.recordRequest(access.clock.nowMs());
  for (;;) {
    const granted = await acquireAttempt(state);
    if (granted.isErr()) return err(afterRefusal(exchange, granted.error));
    if (access.clock.nowMs() >= exchange.deadlineAtMs) {
      granted.value.permit.release({outcome: 'unused', wastedTokens: 0});
      return err(afterRefusal(exchange, tooLate()));
    }
    const answer = await send(state, granted.value);
    if (answer.isOk()) return ok(answer.value);
    if (exchange.signal.aborted && classOf(exchange).idempotent) {
      return err(abortError(exchange, true));
    }
    const error = recover(state, granted.value, answer.error);
    if (error !== undefined) return err(error);
  }
}

function acquireAttempt(
  state: PlainState,
): Promise<Result<GrantedUpstream, RouterErrorType>> {
  state.permitsAsked += 1;
  return acquireUpstream(state.access, state.exchange, state.shardId, {
    attempt: state.permitsAsked,
    exclude: [...state.excluded],
    hedge: false,
    promptTokens: 0,
    prefixHash: undefined,
    // A preempted call keeps its place at the head of its class.
    resume:
      state.preemptedOn === undefined
        ? undefined
        : {upstreamId: state.preemptedOn, tokens: 0},
  });
}

function tooLate(): RouterErrorType {
  const message = 'the request could not be started within the caller timeout';
  return new RouterError('deadline_exceeded', message);
}

async function send(
  state: PlainState,
  granted: GrantedUpstream,
): Promise<Result<PlainAnswer, PlainFault>> {
  const {access, exchange} = state;
  const {permit, upstream} = granted;
  exchange.figures.attempts += 1;
  const {idempotent} = classOf(exchange);
  const abort = new AbortController();
  if (idempotent) registerAborts(state, granted, abort);
  try {
    const response = await access.dispatcher.request({
      origin: `http://${upstream.address}`,
      path: exchange.target.path,
      method: exchange.target.method as 'GET',
      headers: upstreamHeaders(exchange.headers, exchange.requestId, state),
      body: exchange.body.length > 0 ? exchange.body : null,
      // Once sent, a call that must not be repeated is seen through to its
      // answer, so that the outcome can be kept.
      signal: idempotent
        ? AbortSignal.any([exchange.signal, abort.signal])
        : undefined,
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    permit.countTokens(callCost);
    access.hedgeBudget.recordWork(callCost);
    permit.release({outcome: 'completed', wastedTokens: 0});
    exchange.figures.firstTokenMs = access.clock.nowMs() - exchange.arrivedAtMs;
    return ok({
      status: response.statusCode,
      headers: callerHeaders(response.headers),
      body,
    });
  } catch (cause) {
    const end = endOf(cause, abort.signal);
    permit.release({
      outcome: exchange.signal.aborted ? 'canceled' : outcomes[end],
      wastedTokens: 0,
    });
    return err({end, cause});
  }
}

const outcomes = {
  broken: 'failed',
  not_sent: 'failed',
  preempted: 'preempted',
} as const;

function endOf(cause: unknown, abort: AbortSignal): PlainFault['end'] {
  if (abort.aborted) return 'preempted';
  return wasNotSent(cause) ? 'not_sent' : 'broken';
}

/** Lets the scheduler take the slot back, or move the call off a straggler. */
function registerAborts(
  state: PlainState,
  {permit, upstream}: GrantedUpstream,
  abort: AbortController,
): void {
  permit.onPreempt = () => abort.abort();
  permit.onSuspect = () => {
    if (!hasOtherUpstream(state.access, state.shardId, upstream.id)) return;
    if (!state.access.hedgeBudget.tryHedge(callCost)) return;
    state.excluded.add(upstream.id);
    abort.abort();
  };
}

function recover(
  state: PlainState,
  granted: GrantedUpstream,
  fault: PlainFault,
): RouterErrorType | undefined {
  const {access, exchange, shardId} = state;
  const nowMs = access.clock.nowMs();
  const upstreamId = granted.upstream.id;
  const {idempotent} = classOf(exchange);
  const preempted = fault.end === 'preempted';
  if (!preempted) state.faults += 1;
  state.preemptedOn = preempted ? upstreamId : undefined;
  const decision = decideRecovery(
    {
      endReason: fault.end,
      idempotent,
      attempts: state.faults,
      nowMs,
      deadlineAtMs: exchange.deadlineAtMs,
      receivedTokens: 0,
      relayed: false,
      resumable: false,
      sameUpstreamUsable: true,
      resumeFailed: false,
      continuable: false,
      otherUpstreamUsable: hasOtherUpstream(access, shardId, upstreamId),
    },
    () => access.retryBudget.tryRetry(nowMs),
  );
  if (decision.kind !== 'fail') {
    if (!preempted) state.excluded.add(upstreamId);
    return undefined;
  }
  const reason =
    fault.cause instanceof Error ? fault.cause.message : 'unknown fault';
  const message = `the call to upstream ${upstreamId} failed: ${reason}`;
  return new RouterError(decision.error, message, {cause: fault.cause});
}

function wasNotSent(cause: unknown): boolean {
  const code = (cause as {code?: unknown} | undefined)?.code;
  return typeof code === 'string' && connectFailureCodes.has(code);
}

function upstreamHeaders(
  headers: IncomingHttpHeaders,
  requestId: string,
  state: PlainState,
): Record<string, string[] | string> {
  const passed: Record<string, string[] | string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || ownHeaders.has(name)) continue;
    if (!routerHeaders.has(name)) passed[name] = value;
  }
  return {...passed, 'x-request-id': requestId, ...state.extraHeaders};
}

function callerHeaders(
  headers: Record<string, string[] | string | undefined>,
): OutgoingHttpHeaders {
  const passed: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !ownHeaders.has(name)) {
      passed[name] = value;
    }
  }
  return passed;
}

/**
 * Returns the service and the path at the upstream of
 * `/services/<service>/<path>`, or undefined when the URL has another form.
 * Segments `.` and `..` are refused: an upstream that resolves them would see
 * another path than the one by which the call was classified.
 */
export function parseServicePath(
  url: string,
): Pick<CallTarget, 'path' | 'serves'> | undefined {
  const match = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/.exec(url);
  const [, serves, path = '/', query = ''] = match ?? [];
  if (serves === undefined) return undefined;
  const segments = [serves, ...path.split('/')].map(decodeSegment);
  if (segments.some(isUnsafeSegment)) return undefined;
  return {serves: segments[0] ?? '', path: path + query};
}

function decodeSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}

function isUnsafeSegment(segment: string | undefined): boolean {
  return segment === undefined || /(^|[\\/])\.{1,2}($|[\\/])/.test(segment);
}
