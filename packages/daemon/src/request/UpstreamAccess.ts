/**
 * What the filters that call upstreams need from the rest of the instance.
 */
import type {Clock, RouterError as RouterErrorType} from '@toucanrouter/common';
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
import type {Exchange} from './Exchange.js';
import {classOf, workspaceOf} from './Exchange.js';

/** Access to upstreams and to the permits for them. */
export interface UpstreamAccess {
  readonly clock: Clock;
  readonly region: string;
  readonly directory: UpstreamDirectory;
  readonly permits: PermitClient;
  readonly dispatcher: Dispatcher;
  readonly retryBudget: RetryBudget;
  readonly hedgeBudget: HedgeBudget;
}

/** A permit with the upstream that it is for. */
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

/** Finds the shard that serves a call. */
export function shardFor(
  access: UpstreamAccess,
  exchange: Exchange,
): Result<ShardId, RouterErrorType> {
  const {kind, serves} = exchange.target;
  const shardId = access.directory.shardsOf(kind, serves, access.region)[0];
  if (shardId !== undefined) return ok(shardId);
  const message = `no upstream serves "${serves}" at present`;
  return err(new RouterError('no_upstream', message));
}

/** Asks for a permit for one attempt of a call. */
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

/** Tells whether a shard has an upstream in service besides `upstreamId`. */
export function hasOtherUpstream(
  access: UpstreamAccess,
  shardId: ShardId,
  upstreamId: UpstreamId,
): boolean {
  return access.directory
    .inShard(shardId)
    .some(upstream => upstream.id !== upstreamId && !upstream.leaving);
}
