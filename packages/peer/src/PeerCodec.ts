/**
 * Converts between the shared types and the messages of the peer protocol.
 * Times are sent as durations relative to the time of sending, because the
 * clocks of two instances are not synchronized.
 */
import type {
  AcquireRequest,
  AnnouncedPermit,
  InstanceId,
  PermitOutcome,
  PermitRelease,
  PreemptReason,
  ProgressSample,
  RefusalKind,
  SchedulerEffect,
  ShardId,
  StoredConfig,
  StoredResponse,
  Tier,
} from '@toucanrouter/common';
import {
  toClassId,
  toPermitId,
  toRequestId,
  toUpstreamId,
  toWorkspaceId,
} from '@toucanrouter/common';
import type {Acquire} from './generated/toucanrouter/peer/v1/Acquire.js';
import type {Acquire__Output} from './generated/toucanrouter/peer/v1/Acquire.js';
import type {AnnouncedPermit as WirePermit} from './generated/toucanrouter/peer/v1/AnnouncedPermit.js';
import type {AnnouncedPermit__Output} from './generated/toucanrouter/peer/v1/AnnouncedPermit.js';
import type {Config} from './generated/toucanrouter/peer/v1/Config.js';
import type {Config__Output} from './generated/toucanrouter/peer/v1/Config.js';
import type {Envelope} from './generated/toucanrouter/peer/v1/Envelope.js';
import type {Envelope__Output} from './generated/toucanrouter/peer/v1/Envelope.js';
import type {Outcome__Output} from './generated/toucanrouter/peer/v1/Outcome.js';
import type {ProgressSample__Output} from './generated/toucanrouter/peer/v1/ProgressSample.js';
import type {Release__Output} from './generated/toucanrouter/peer/v1/Release.js';

function durationMs(endMs: number, startMs: number): number {
  return Math.max(0, Math.round(endMs - startMs));
}

/** Encodes a permit request, with its times relative to `nowMs`. */
export function encodeAcquire(
  shardId: ShardId,
  request: AcquireRequest,
  nowMs: number,
): Envelope {
  const acquire: Acquire = {
    shardId,
    requestId: request.requestId,
    classId: request.classId,
    workspaceId: request.workspaceId,
    fallbackTier: request.fallbackTier,
    waitedMs: durationMs(nowMs, request.arrivedAtMs),
    remainingMs: durationMs(request.deadlineAtMs, nowMs),
    attempt: request.attempt,
    idempotent: request.idempotent,
    promptTokens: request.promptTokens,
    prefixHash: request.prefixHash,
    resumeUpstreamId: request.resume?.upstreamId,
    resumeTokens: request.resume?.tokens,
    exclude: [...request.exclude],
    hedge: request.hedge,
  };
  return {acquire};
}

/** Decodes a permit request, with its times on the receiver's clock. */
export function decodeAcquire(
  wire: Acquire__Output,
  holder: InstanceId,
  nowMs: number,
): AcquireRequest {
  return {
    requestId: toRequestId(wire.requestId),
    holder,
    classId: toClassId(wire.classId),
    workspaceId: toWorkspaceId(wire.workspaceId),
    fallbackTier: toTier(wire.fallbackTier),
    arrivedAtMs: nowMs - wire.waitedMs,
    deadlineAtMs: nowMs + wire.remainingMs,
    attempt: wire.attempt,
    idempotent: wire.idempotent,
    promptTokens: wire.promptTokens,
    prefixHash: wire.prefixHash === '' ? undefined : wire.prefixHash,
    resume:
      wire.resumeUpstreamId === ''
        ? undefined
        : {
            upstreamId: toUpstreamId(wire.resumeUpstreamId),
            tokens: wire.resumeTokens,
          },
    exclude: wire.exclude.map(toUpstreamId),
    hedge: wire.hedge,
  };
}

function toTier(value: number): Tier {
  return value === 1 || value === 2 || value === 3 ? value : 4;
}

/** Encodes a message from a scheduler to the holder of a request. */
export function encodeEffect(
  shardId: ShardId,
  effect: SchedulerEffect,
): Envelope {
  const {requestId} = effect;
  switch (effect.kind) {
    case 'grant': {
      const {attempt, limitPerS, permitId, upstreamId} = effect;
      return {
        grant: {shardId, requestId, attempt, permitId, upstreamId, limitPerS},
      };
    }
    case 'refuse': {
      const {attempt, error, retryAfterMs} = effect;
      const wireRetryAfterMs = Math.round(retryAfterMs);
      return {
        refuse: {
          shardId,
          requestId,
          attempt,
          error,
          retryAfterMs: wireRetryAfterMs,
        },
      };
    }
    case 'preempt': {
      const {permitId, reason} = effect;
      return {preempt: {shardId, requestId, permitId, reason}};
    }
    case 'suspect':
      return {suspect: {shardId, requestId, permitId: effect.permitId}};
  }
}

/** Returns undefined if the envelope contains no effect. */
export function decodeEffect(
  envelope: Envelope__Output,
  holder: InstanceId,
): {shardId: string; effect: SchedulerEffect} | undefined {
  const {grant, refuse, preempt, suspect} = envelope;
  if (grant) {
    return {
      shardId: grant.shardId,
      effect: {
        kind: 'grant',
        holder,
        requestId: toRequestId(grant.requestId),
        attempt: grant.attempt,
        permitId: toPermitId(grant.permitId),
        upstreamId: toUpstreamId(grant.upstreamId),
        ...(grant.limitPerS === undefined ? {} : {limitPerS: grant.limitPerS}),
      },
    };
  }
  if (refuse) {
    return {
      shardId: refuse.shardId,
      effect: {
        kind: 'refuse',
        holder,
        requestId: toRequestId(refuse.requestId),
        attempt: refuse.attempt,
        error: refuse.error as RefusalKind,
        retryAfterMs: refuse.retryAfterMs,
      },
    };
  }
  if (preempt) {
    return {
      shardId: preempt.shardId,
      effect: {
        kind: 'preempt',
        holder,
        requestId: toRequestId(preempt.requestId),
        permitId: toPermitId(preempt.permitId),
        reason: preempt.reason as PreemptReason,
      },
    };
  }
  if (suspect) {
    return {
      shardId: suspect.shardId,
      effect: {
        kind: 'suspect',
        holder,
        requestId: toRequestId(suspect.requestId),
        permitId: toPermitId(suspect.permitId),
      },
    };
  }
  return undefined;
}

/** Encodes the release of a permit. */
export function encodeRelease(
  shardId: ShardId,
  release: PermitRelease,
): Envelope {
  return {release: {shardId, ...release}};
}

/** Decodes the release of a permit. */
export function decodeRelease(wire: Release__Output): PermitRelease {
  return {
    permitId: toPermitId(wire.permitId),
    outcome: wire.outcome as PermitOutcome,
    tokens: wire.tokens,
    wastedTokens: wire.wastedTokens,
    firstTokenMs: wire.firstTokenMs,
    tokenGapMs: wire.tokenGapMs,
    serviceMs: wire.serviceMs,
    ...(wire.reachedUpstream === undefined
      ? {}
      : {reachedUpstream: wire.reachedUpstream}),
  };
}

/** Decodes a holder's report on the progress of a running request. */
export function decodeProgress(wire: ProgressSample__Output): ProgressSample {
  return {
    permitId: toPermitId(wire.permitId),
    tokens: wire.tokens,
    firstTokenMs: wire.firstTokenMs,
    sinceLastTokenMs: wire.sinceLastTokenMs,
    tokenGapMs: wire.tokenGapMs,
  };
}

/** Encodes a permit that its holder announces to a new scheduler. */
export function encodePermit(
  permit: AnnouncedPermit,
  nowMs: number,
): WirePermit {
  return {
    permitId: permit.permitId,
    requestId: permit.requestId,
    classId: permit.classId,
    workspaceId: permit.workspaceId,
    fallbackTier: permit.fallbackTier,
    upstreamId: permit.upstreamId,
    idempotent: permit.idempotent,
    tokens: permit.tokens,
    grantedAgoMs: durationMs(nowMs, permit.grantedAtMs),
    arrivedAgoMs: durationMs(nowMs, permit.arrivedAtMs),
  };
}

/**
 * Decodes a permit that its holder announces, with times on the receiver's
 * clock.
 */
export function decodePermit(
  wire: AnnouncedPermit__Output,
  holder: InstanceId,
  nowMs: number,
): AnnouncedPermit {
  return {
    permitId: toPermitId(wire.permitId),
    requestId: toRequestId(wire.requestId),
    holder,
    classId: toClassId(wire.classId),
    workspaceId: toWorkspaceId(wire.workspaceId),
    fallbackTier: toTier(wire.fallbackTier),
    upstreamId: toUpstreamId(wire.upstreamId),
    idempotent: wire.idempotent,
    tokens: wire.tokens,
    grantedAtMs: nowMs - wire.grantedAgoMs,
    arrivedAtMs: nowMs - wire.arrivedAgoMs,
  };
}

export function encodeConfig(stored: StoredConfig): Envelope {
  const config: Config = {
    ...stored,
    drainedUpstreams: [...stored.drainedUpstreams],
  };
  return {config};
}

export function decodeConfig(wire: Config__Output): StoredConfig {
  return {
    version: wire.version,
    writeId: wire.writeId,
    author: wire.author,
    changedAtWallMs: wire.changedAtWallMs,
    classesText: wire.classesText,
    drainedUpstreams: wire.drainedUpstreams.map(toUpstreamId),
  };
}

/** Decodes the stored response of a non-idempotent call. */
export function decodeOutcome(
  wire: Outcome__Output | null | undefined,
): StoredResponse | undefined {
  if (!wire) return undefined;
  const {status, contentType, bodyBase64} = wire;
  return {status, contentType, bodyBase64};
}
