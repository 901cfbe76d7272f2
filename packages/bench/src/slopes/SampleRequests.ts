/**
 * Generates permit messages whose ids and fields are as long as the daemon's.
 */
import type {
  AcquireRequest,
  PermitId,
  PermitRelease,
  ProgressSample,
  UpstreamInfo,
} from '@toucanrouter/common';
import {
  toClassId,
  toInstanceId,
  toRequestId,
  toShardId,
  toUpstreamId,
  toWorkspaceId,
} from '@toucanrouter/common';

export const sampleShardId = toShardId('engine:general-large@region-3');
export const sampleClassId = toClassId('interactive-answer');
export const holderId = toInstanceId('router-117');

/** Long enough that no request reaches its deadline during a measurement. */
const maxDeadlineMs = 1e9;

const randomHexChars = 24;
const tokensPerResponse = 336;

/** Returns a request id in the format that instances generate. */
export function sampleRequestId(index: number): string {
  return `router-117-${index.toString(16).padStart(randomHexChars, '0')}`;
}

/** Returns a request for a permit. */
export function sampleAcquire(
  index: number,
  workspace: number,
  nowMs: number,
): AcquireRequest {
  return {
    requestId: toRequestId(sampleRequestId(index)),
    holder: holderId,
    classId: sampleClassId,
    workspaceId: toWorkspaceId(`workspace-${workspace}`),
    fallbackTier: 2,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + maxDeadlineMs,
    attempt: 1,
    idempotent: true,
    promptTokens: 800,
    prefixHash: '3w5e11264sgsf',
    exclude: [],
    hedge: false,
  };
}

/** Returns a progress sample of a running job. */
export function sampleProgress(permitId: PermitId): ProgressSample {
  return {
    permitId,
    tokens: 180,
    firstTokenMs: 212.4,
    sinceLastTokenMs: 11.7,
    tokenGapMs: 31.2,
  };
}

/** Returns the release of a completed job's permit. */
export function sampleRelease(permitId: PermitId): PermitRelease {
  return {
    permitId,
    outcome: 'completed',
    tokens: tokensPerResponse,
    wastedTokens: 0,
    firstTokenMs: 212.4,
    tokenGapMs: 31.2,
    serviceMs: 11_087.3,
  };
}

/** Returns the engines of a shard. */
export function sampleUpstreams(count: number): readonly UpstreamInfo[] {
  return Array.from({length: count}, (_, index) => ({
    id: toUpstreamId(`engine-${index}`),
    kind: 'engine' as const,
    serves: 'general-large',
    address: `10.3.0.${index}:8000`,
    region: 'region-3',
    failureDomain: `region-3-${index % 3}`,
    incarnation: 1_764_800_000_000 + index,
    softwareVersion: undefined,
    leaving: false,
  }));
}
