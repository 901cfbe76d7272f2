/**
 * Access to upstreams and their permits for the filters that call upstreams. An
 * upstream that pauses or is leaving is excluded from each permit request, as
 * its scheduler may not know yet; a permit for one that began to pause or to
 * leave meanwhile is returned unused. A call whose upstreams all pause waits, or
 * is refused if it would wait too long.
 */
import type {
  BufferBudget,
  Clock,
  RandomSource,
  RouterError as RouterErrorType,
  Undo,
} from '@toucanrouter/common';
import type {ShardId, UpstreamId, UpstreamInfo} from '@toucanrouter/common';
import {RouterError, shardOf} from '@toucanrouter/common';
import type {HedgeBudget, RetryBudget} from '@toucanrouter/policy';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Dispatcher} from 'undici';
import type {UpstreamDirectory} from '../fleet/UpstreamDirectory.js';
import type {
  Permit,
  PermitClient,
  PermitRequest,
} from '../scheduling/PermitClient.js';
import type {PromptGuard} from './chat/PromptGuard.js';
import type {Exchange} from './Exchange.js';
import {classOf, workspaceOf} from './Exchange.js';
import type {LimitedUpstreams} from './LimitedUpstreams.js';
import type {PausedUpstreams} from './PausedUpstreams.js';

/** The parts of the instance that calls to upstreams use. */
export interface UpstreamAccess {
  readonly clock: Clock;
  readonly region: string;
  readonly directory: UpstreamDirectory;
  readonly permits: PermitClient;
  readonly dispatcher: Dispatcher;
  /** Bounds the responses that are buffered at the same time. */
  readonly responseBuffers: BufferBudget;
  readonly retryBudget: RetryBudget;
  readonly hedgeBudget: HedgeBudget;
  readonly promptGuard: PromptGuard;
  readonly pausedUpstreams: PausedUpstreams;
  readonly limitedUpstreams: LimitedUpstreams;
  readonly random: RandomSource;
}

/** A permit and the upstream that it grants a slot on. */
export interface GrantedUpstream {
  readonly permit: Permit;
  readonly upstream: UpstreamInfo;
}

/** Fields of a permit request that differ between the attempts of a call. */
export type AttemptFields = Pick<
  PermitRequest,
  'attempt' | 'exclude' | 'hedge' | 'prefixHash' | 'promptTokens' | 'resume'
> &
  Partial<Pick<PermitRequest, 'deadlineAtMs' | 'requestId'>>;

/** The fields on which the use of upstreams that pause depends. */
export type PauseFields = Pick<
  AttemptFields,
  'deadlineAtMs' | 'exclude' | 'hedge'
>;

/** Longest random delay that spreads the calls after the end of a pause. */
const maxSpreadMs = 2_000;

/** Returns the shard that serves a call. */
export function shardFor(
  access: UpstreamAccess,
  exchange: Exchange,
): Result<ShardId, RouterErrorType> {
  const {kind, serves} = exchange.target;
  const shardId = access.directory.shardsServing(
    kind,
    serves,
    access.region,
  )[0];
  if (shardId !== undefined) return ok(shardId);
  const message = `no upstream serves "${serves}" at present`;
  return err(new RouterError('no_upstream', message));
}

/**
 * Acquires a permit for one attempt of a call. Permits that are requested again
 * because of a pause are numbered by `nextAttempt`.
 */
export async function acquireUpstream(
  access: UpstreamAccess,
  exchange: Exchange,
  shardId: ShardId,
  fields: AttemptFields,
  nextAttempt: () => number,
  signal: AbortSignal = exchange.signal,
): Promise<Result<GrantedUpstream, RouterErrorType>> {
  const requestedAtMs = access.clock.nowMs();
  try {
    for (let {attempt} = fields; ; attempt = nextAttempt()) {
      await waitForPauses(access, exchange, shardId, fields, signal);
      const refusal = signal.aborted
        ? undefined
        : refuseForPauses(access, exchange, shardId, fields);
      if (refusal !== undefined) return err(refusal);
      const numbered = {...fields, attempt};
      const granted = await requestOnce(
        access,
        exchange,
        shardId,
        numbered,
        signal,
      );
      if (granted !== undefined) return granted;
    }
  } finally {
    exchange.stats.waitedMs += access.clock.nowMs() - requestedAtMs;
  }
}

/**
 * Requests a permit from upstreams that do not pause. Returns undefined if the
 * request must be repeated because a pause has begun or ended.
 */
async function requestOnce(
  access: UpstreamAccess,
  exchange: Exchange,
  shardId: ShardId,
  fields: AttemptFields,
  signal: AbortSignal,
): Promise<Result<GrantedUpstream, RouterErrorType> | undefined> {
  const serviceClass = classOf(exchange);
  const paused = pausedIn(access, shardId);
  const unusable = [...paused, ...leavingIn(access, shardId)];
  const pauseEnd = new AbortController();
  const undo =
    paused.length === 0
      ? () => undefined
      : onPauseEnd(
          access,
          firstEndMs(access, paused),
          () => pausedIn(access, shardId).length < paused.length,
          () => pauseEnd.abort(),
        );
  const granted = await access.permits.acquire(
    shardId,
    {
      requestId: exchange.requestId,
      classId: serviceClass.id,
      workspaceId: workspaceOf(exchange),
      fallbackTier: serviceClass.tier,
      arrivedAtMs: exchange.arrivedAtMs,
      deadlineAtMs: exchange.deadlineAtMs,
      idempotent: serviceClass.idempotent,
      ...fields,
      exclude: [...new Set([...fields.exclude, ...unusable.map(({id}) => id)])],
    },
    paused.length === 0 ? signal : AbortSignal.any([signal, pauseEnd.signal]),
  );
  undo();
  if (granted.isErr()) {
    const isWithdrawn = granted.error.kind === 'canceled' && !signal.aborted;
    return isWithdrawn && pauseEnd.signal.aborted
      ? undefined
      : err(granted.error);
  }
  return resolveUpstream(access, exchange, granted.value).match(
    resolved => (returnIfUnusable(access, resolved) ? undefined : ok(resolved)),
    error => err(error),
  );
}

/** Returns the permit unused if its upstream pauses or is leaving. */
export function returnIfUnusable(
  access: UpstreamAccess,
  {permit, upstream}: GrantedUpstream,
): boolean {
  const isPaused = access.pausedUpstreams.remainingMs(upstream) > 0;
  const isLeaving = access.directory.find(upstream.id)?.leaving === true;
  if (!isPaused && !isLeaving) return false;
  permit.release({outcome: 'unused', wastedTokens: 0});
  return true;
}

/** Returns the upstreams of a shard that pause, also those not in service. */
function pausedIn(access: UpstreamAccess, shardId: ShardId): UpstreamInfo[] {
  return access.directory
    .all()
    .filter(
      upstream =>
        shardOf(upstream) === shardId &&
        access.pausedUpstreams.remainingMs(upstream) > 0,
    );
}

function leavingIn(access: UpstreamAccess, shardId: ShardId): UpstreamInfo[] {
  return access.directory
    .all()
    .filter(upstream => upstream.leaving && shardOf(upstream) === shardId);
}

function firstEndMs(
  access: UpstreamAccess,
  upstreams: readonly UpstreamInfo[],
): number {
  return Math.min(...upstreams.map(access.pausedUpstreams.remainingMs));
}

/** Returns when the first upstream is back; 0 unless all pause. */
function allPauseMs(
  access: UpstreamAccess,
  shardId: ShardId,
  {exclude}: PauseFields,
): number {
  const usable = access.directory
    .inShard(shardId)
    .filter(({id, leaving}) => !leaving && !exclude.includes(id));
  return usable.length === 0 ? 0 : firstEndMs(access, usable);
}

/** Returns the time by which an upstream must be back for a call to wait. */
function waitLimitAtMs(exchange: Exchange, fields: PauseFields): number {
  if (fields.hedge) return -Infinity;
  if (fields.deadlineAtMs !== undefined) return fields.deadlineAtMs;
  const {maxWaitMs, target} = classOf(exchange);
  const limitMs = target.firstTokenMs ?? target.totalMs ?? maxWaitMs;
  return Math.min(exchange.arrivedAtMs + limitMs, exchange.deadlineAtMs);
}

/** Returns a random delay, so that calls do not follow a pause all at once. */
function spreadMs({random}: UpstreamAccess, limitMs: number): number {
  return random.next() * Math.min(limitMs, maxSpreadMs);
}

/** Waits while all upstreams pause, if one is back in time. */
async function waitForPauses(
  access: UpstreamAccess,
  exchange: Exchange,
  shardId: ShardId,
  fields: PauseFields,
  signal: AbortSignal,
): Promise<void> {
  const limitAtMs = waitLimitAtMs(exchange, fields);
  for (;;) {
    const pauseMs = allPauseMs(access, shardId, fields);
    const slackMs = limitAtMs - access.clock.nowMs() - pauseMs;
    if (pauseMs <= 0 || slackMs <= 0 || signal.aborted) return;
    const delayMs = pauseMs + spreadMs(access, Math.min(pauseMs, slackMs));
    await new Promise<void>(resolve => {
      const finish = () => {
        undo();
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const isBack = () => allPauseMs(access, shardId, fields) <= 0;
      const undo = onPauseEnd(access, delayMs, isBack, finish);
      signal.addEventListener('abort', finish);
    });
  }
}

/** Calls `run` after `delayMs`, or when the upstreams change as awaited. */
function onPauseEnd(
  {clock, directory}: UpstreamAccess,
  delayMs: number,
  hasChanged: () => boolean,
  run: () => void,
): Undo {
  const undos = [
    clock.after(delayMs, run),
    directory.registerChangeHandler(() => {
      if (hasChanged()) run();
    }),
  ];
  return () => undos.forEach(undo => undo());
}

/**
 * Returns the refusal of a call if all upstreams pause that it may use, and
 * none is back in time. Its delay is never shorter than the shortest pause.
 */
export function refuseForPauses(
  access: UpstreamAccess,
  exchange: Exchange,
  shardId: ShardId,
  fields: PauseFields,
): RouterErrorType | undefined {
  const pauseMs = allPauseMs(access, shardId, fields);
  if (pauseMs <= 0) return undefined;
  const limitAtMs = waitLimitAtMs(exchange, fields);
  if (access.clock.nowMs() + pauseMs < limitAtMs) return undefined;
  const message = 'all upstreams that may serve the request ask for a pause';
  const retryAfterMs = Math.ceil(pauseMs + spreadMs(access, pauseMs));
  return new RouterError('no_upstream', message, {retryAfterMs});
}

function resolveUpstream(
  access: UpstreamAccess,
  {requestId}: Exchange,
  permit: Permit,
): Result<GrantedUpstream, RouterErrorType> {
  const upstream = access.directory.find(permit.upstreamId);
  if (upstream !== undefined) {
    const {limitPerS} = permit;
    if (limitPerS !== undefined) {
      access.limitedUpstreams.recordGrant(upstream, requestId, limitPerS);
    }
    return ok({permit, upstream});
  }
  permit.release({outcome: 'unused', wastedTokens: 0});
  const message = `upstream ${permit.upstreamId} is not in the instance list`;
  return err(new RouterError('no_upstream', message));
}

/** Returns whether a shard has an upstream in service other than `upstreamId`. */
export function hasOtherUpstream(
  access: UpstreamAccess,
  shardId: ShardId,
  upstreamId: UpstreamId,
): boolean {
  return access.directory
    .inShard(shardId)
    .some(upstream => upstream.id !== upstreamId && !upstream.leaving);
}

/**
 * Returns whether a shard has another upstream in service that does not pause
 * and is not excluded.
 */
export function hasOtherUnpaused(
  access: UpstreamAccess,
  shardId: ShardId,
  upstreamId: UpstreamId,
  exclude: readonly UpstreamId[] = [],
): boolean {
  return access.directory
    .inShard(shardId)
    .some(
      upstream =>
        upstream.id !== upstreamId &&
        !exclude.includes(upstream.id) &&
        !upstream.leaving &&
        access.pausedUpstreams.remainingMs(upstream) <= 0,
    );
}
