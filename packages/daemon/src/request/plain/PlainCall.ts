/**
 * Serves one call of a plain service. An idempotent call is retried after a
 * fault; any other call is sent once.
 */
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import type {
  BufferBudget,
  RouterError as RouterErrorType,
  ShardId,
  UpstreamId,
  UpstreamInfo,
} from '@toucanrouter/common';
import {
  hopByHopHeaders,
  maxBatchBytes,
  maxBufferedBodyBytes,
  readWholeBody,
  RouterError,
} from '@toucanrouter/common';
import {decideRecovery} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {CallTarget, Exchange} from '../Exchange.js';
import {abortError, classOf, permitError} from '../Exchange.js';
import {
  checkStatus,
  leavingHeader,
  rateLimitHeader,
  receiveHead,
  serviceUnavailableStatus,
} from '../ResponseHeads.js';
import type {GrantedUpstream, UpstreamAccess} from '../UpstreamAccess.js';
import {
  acquireUpstream,
  hasOtherUnpaused,
  hasOtherUpstream,
  returnIfUnusable,
} from '../UpstreamAccess.js';

/** The complete response of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

/** Headers that each connection sets on its own; they are not forwarded. */
const perConnectionHeaders: ReadonlySet<string> = new Set([
  ...hopByHopHeaders,
  'content-length',
  'expect',
  'host',
]);

/** Headers of callers that only the router reads; upstreams do not get them. */
const routerOnlyHeaders = new Set([
  'authorization',
  'x-fencing-token',
  'x-request-id',
  'x-request-timeout-ms',
  'x-service-class',
  // A service may return headers that it received.
  leavingHeader,
  rateLimitHeader,
]);

const connectFailureCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** A plain call counts as one token in budgets and statistics. */
const callCostTokens = 1;

interface PlainState {
  readonly access: UpstreamAccess;
  readonly exchange: Exchange;
  readonly shardId: ShardId;
  readonly extraHeaders: Readonly<Record<string, string>>;
  readonly excluded: Set<UpstreamId>;
  permitsRequested: number;
  /** Attempts that ended in a fault. */
  faults: number;
  /** Upstream of the last attempt if that attempt was preempted. */
  preemptedUpstreamId: UpstreamId | undefined;
  /** Permit of the upstream that the call moves to. */
  reserved: GrantedUpstream | undefined;
}

interface PlainFault {
  readonly endReason: 'broken' | 'not_sent' | 'preempted';
  readonly cause: unknown;
}

/** Serves the call; `extraHeaders` are added to the upstream request. */
export async function servePlain(
  access: UpstreamAccess,
  exchange: Exchange,
  shardId: ShardId,
  extraHeaders: Readonly<Record<string, string>>,
): Promise<Result<PlainResponse, RouterErrorType>> {
  const state: PlainState = {
    access,
    exchange,
    shardId,
    extraHeaders,
    excluded: new Set(),
    permitsRequested: 0,
    faults: 0,
    preemptedUpstreamId: undefined,
    reserved: undefined,
  };
  access.retryBudget.recordRequest(access.clock.nowMs());
  try {
    return await runAttempts(state);
  } finally {
    state.reserved?.permit.release({outcome: 'unused', wastedTokens: 0});
  }
}

async function runAttempts(
  state: PlainState,
): Promise<Result<PlainResponse, RouterErrorType>> {
  const {access, exchange} = state;
  for (;;) {
    const granted = await acquireAttempt(state);
    if (granted.isErr()) return err(permitError(exchange, granted.error));
    if (access.clock.nowMs() >= exchange.deadlineAtMs) {
      granted.value.permit.release({outcome: 'unused', wastedTokens: 0});
      return err(permitError(exchange, deadlineExceededError()));
    }
    const response = await send(state, granted.value);
    if (response.isOk()) return ok(response.value);
    if (exchange.signal.aborted && classOf(exchange).idempotent) {
      return err(abortError(exchange, true));
    }
    const error = recover(state, granted.value, response.error);
    if (error !== undefined) return err(error);
  }
}

async function acquireAttempt(
  state: PlainState,
): Promise<Result<GrantedUpstream, RouterErrorType>> {
  const {reserved} = state;
  state.reserved = undefined;
  if (reserved !== undefined && !returnIfUnusable(state.access, reserved)) {
    return ok(reserved);
  }
  const nextAttempt = () => ++state.permitsRequested;
  const fields = {
    attempt: nextAttempt(),
    exclude: [...state.excluded],
    hedge: false,
    promptTokens: 0,
    prefixHash: undefined,
    // Resuming puts a preempted call at the head of the queue of its class.
    resume:
      state.preemptedUpstreamId === undefined
        ? undefined
        : {upstreamId: state.preemptedUpstreamId, tokens: 0},
  };
  const {access, exchange, shardId} = state;
  return acquireUpstream(access, exchange, shardId, fields, nextAttempt);
}

function deadlineExceededError(): RouterErrorType {
  const message = 'the request could not be started within the caller timeout';
  return new RouterError('deadline_exceeded', message);
}

async function send(
  state: PlainState,
  granted: GrantedUpstream,
): Promise<Result<PlainResponse, PlainFault>> {
  const {access, exchange} = state;
  const {permit, upstream} = granted;
  exchange.stats.attempts += 1;
  const {idempotent} = classOf(exchange);
  const abort = new AbortController();
  const withdrawal = new AbortController();
  if (idempotent) registerAborts(state, granted, abort, withdrawal.signal);
  const sentAtMs = access.clock.nowMs();
  try {
    const response = await access.dispatcher.request({
      origin: `http://${upstream.address}`,
      path: exchange.target.path,
      method: exchange.target.method as 'GET',
      headers: toUpstreamHeaders(exchange.headers, exchange.requestId, state),
      body: exchange.body.length > 0 ? exchange.body : null,
      // A call that must not be retried is not aborted once it is sent, so that
      // its outcome can be recorded.
      signal: idempotent
        ? AbortSignal.any([exchange.signal, abort.signal])
        : undefined,
      highWaterMark: maxBatchBytes,
      onInfo: checkStatus,
    });
    checkStatus(response);
    const {requestId} = exchange;
    receiveHead(access, {upstream, requestId, sentAtMs}, response);
    const body = await readBody(response.body, access.responseBuffers);
    if (isPauseRequest(access, upstream, response.statusCode)) {
      // The time that a rejection takes says nothing about the upstream.
      permit.release({
        outcome: 'unused',
        wastedTokens: 0,
        reachedUpstream: true,
      });
    } else {
      permit.recordTokens(callCostTokens);
      access.hedgeBudget.recordWork(callCostTokens);
      permit.release({outcome: 'completed', wastedTokens: 0});
    }
    exchange.stats.firstTokenMs = access.clock.nowMs() - exchange.arrivedAtMs;
    return ok({
      status: response.statusCode,
      headers: toCallerHeaders(response.headers),
      body,
    });
  } catch (cause) {
    const endReason = endReasonOf(cause, abort.signal);
    permit.release({
      outcome: exchange.signal.aborted ? 'canceled' : permitOutcomes[endReason],
      wastedTokens: 0,
      reachedUpstream: !wasNotSent(cause),
    });
    return err({endReason, cause});
  } finally {
    withdrawal.abort();
  }
}

/** Returns whether an upstream rejected a call because it pauses. */
function isPauseRequest(
  {pausedUpstreams}: UpstreamAccess,
  upstream: UpstreamInfo,
  status: number,
): boolean {
  return (
    status === serviceUnavailableStatus &&
    pausedUpstreams.remainingMs(upstream) > 0
  );
}

async function readBody(
  body: Readable,
  responseBuffers: BufferBudget,
): Promise<Buffer> {
  const share = responseBuffers.open(() =>
    body.destroy(new Error('the buffered responses exceed their memory')),
  );
  try {
    return await readWholeBody(body, maxBufferedBodyBytes, sizeBytes =>
      share.resize(sizeBytes),
    );
  } finally {
    share.close();
  }
}

const permitOutcomes = {
  broken: 'failed',
  not_sent: 'failed',
  preempted: 'preempted',
} as const;

function endReasonOf(
  cause: unknown,
  abort: AbortSignal,
): PlainFault['endReason'] {
  if (abort.aborted) return 'preempted';
  return wasNotSent(cause) ? 'not_sent' : 'broken';
}

/** Aborts the attempt on preemption, or to move the call off a straggler. */
function registerAborts(
  state: PlainState,
  granted: GrantedUpstream,
  abort: AbortController,
  withdrawn: AbortSignal,
): void {
  const {permit, upstream} = granted;
  let moving = false;
  permit.onPreempt = () => abort.abort();
  permit.onSuspect = () => {
    if (moving || abort.signal.aborted) return;
    if (!hasOtherUnpaused(state.access, state.shardId, upstream.id)) return;
    if (!state.access.hedgeBudget.tryHedge(callCostTokens)) return;
    moving = true;
    void moveToOtherUpstream(state, granted, abort, withdrawn).finally(
      () => (moving = false),
    );
  };
}

/**
 * Moves the call once another upstream has a slot for it. Until then the
 * running attempt goes on, because its upstream may only pause.
 */
async function moveToOtherUpstream(
  state: PlainState,
  running: GrantedUpstream,
  abort: AbortController,
  withdrawn: AbortSignal,
): Promise<void> {
  const {access, exchange, shardId} = state;
  const signal = AbortSignal.any([exchange.signal, abort.signal, withdrawn]);
  state.permitsRequested += 1;
  const granted = await acquireUpstream(
    access,
    exchange,
    shardId,
    {
      attempt: state.permitsRequested,
      exclude: [...state.excluded, running.upstream.id],
      hedge: true,
      promptTokens: 0,
      prefixHash: undefined,
      resume: {upstreamId: running.upstream.id, tokens: 0},
    },
    () => ++state.permitsRequested,
    signal,
  );
  if (granted.isOk() && !signal.aborted) {
    state.reserved = granted.value;
    state.excluded.add(running.upstream.id);
    abort.abort();
    return;
  }
  access.hedgeBudget.adjustReservation(callCostTokens, 0);
  if (granted.isErr()) return;
  granted.value.permit.release({outcome: 'unused', wastedTokens: 0});
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
  const preempted = fault.endReason === 'preempted';
  if (!preempted) state.faults += 1;
  state.preemptedUpstreamId = preempted ? upstreamId : undefined;
  const decision = decideRecovery(
    {
      endReason: fault.endReason,
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
      otherUpstreamUsable:
        state.reserved !== undefined ||
        hasOtherUpstream(access, shardId, upstreamId),
    },
    () => access.retryBudget.tryRetry(nowMs),
  );
  if (decision.kind !== 'fail') {
    if (!preempted) state.excluded.add(upstreamId);
    return undefined;
  }
  const reason =
    fault.cause instanceof Error ? fault.cause.message : 'unknown error';
  const message = `the call to upstream ${upstreamId} failed: ${reason}`;
  return new RouterError(decision.error, message, {cause: fault.cause});
}

function wasNotSent(cause: unknown): boolean {
  const code = (cause as {code?: unknown} | undefined)?.code;
  return typeof code === 'string' && connectFailureCodes.has(code);
}

function toUpstreamHeaders(
  headers: IncomingHttpHeaders,
  requestId: string,
  state: PlainState,
): Record<string, string[] | string> {
  const forwarded: Record<string, string[] | string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || perConnectionHeaders.has(name)) continue;
    if (!routerOnlyHeaders.has(name)) forwarded[name] = value;
  }
  return {...forwarded, 'x-request-id': requestId, ...state.extraHeaders};
}

function toCallerHeaders(
  headers: Record<string, string[] | string | undefined>,
): OutgoingHttpHeaders {
  const forwarded: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (name === leavingHeader || name === rateLimitHeader) continue;
    if (value !== undefined && !perConnectionHeaders.has(name)) {
      forwarded[name] = value;
    }
  }
  return forwarded;
}

/**
 * Parses `/services/<service>/<path>` into the service and the path at the
 * upstream; returns undefined if the URL has another form. Segments `.` and
 * `..` are rejected: an upstream that resolves them would serve another path
 * than the one by which the call was classified.
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
