/**
 * Access to upstreams and their permits for the filters that call upstreams.
 */
import type {
  BufferBudget,
  Clock,
  RouterError as RouterErrorType,
} from '@toucanrouter/common';
import type {ShardId, UpstreamId, UpstreamInfo} from '@toucanrouter/common';
import {RouterError} from '@toucanrouter/common';
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

/** Acquires a permit for one attempt of a call. */
export async function acquireUpstream(
  access: UpstreamAccess,
  exchange: Exchange,
  shardId: ShardId,
  fields: AttemptFields,
  signal: AbortSignal = exchange.signal,
): Promise<Result<GrantedUpstream, RouterErrorType>> {
  const serviceClass = classOf(exchange);
  const requestedAtMs = access.clock.nowMs();
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
    },
    signal,
  );
  exchange.stats.waitedMs += access.clock.nowMs() - requestedAtMs;
  return granted.andThen(permit => resolveUpstream(access, permit));
}

function resolveUpstream(
  access: UpstreamAccess,
  permit: Permit,
): Result<GrantedUpstream, RouterErrorType> {
  const upstream = access.directory.find(permit.upstreamId);
  if (upstream !== undefined) return ok({permit, upstream});
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
