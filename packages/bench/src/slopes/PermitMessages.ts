/**
 * The wire messages of the permit exchange, with their encoded sizes.
 */
import {toPermitId, toRequestId, toUpstreamId} from '@toucanrouter/common';
import type {Envelope} from '@toucanrouter/peer';
import {
  encodeAcquire,
  encodeEffect,
  encodePermit,
  encodeRelease,
} from '@toucanrouter/peer';
import {
  holderId,
  sampleAcquire,
  sampleClassId,
  sampleProgress,
  sampleRelease,
  sampleRequestId,
  sampleShardId,
} from './SampleRequests.js';
import {wireSizeBytes} from './WireBytes.js';

const permitId = toPermitId('router-201.mirsq7ow.2n9c');
const upstreamId = toUpstreamId('engine-17');
const requestId = toRequestId(sampleRequestId(1));

/** Returns a progress report with `count` samples. */
export function progressMessage(count: number): Envelope {
  const samples = Array.from({length: count}, () => sampleProgress(permitId));
  return {progress: {shardId: sampleShardId, samples}};
}

/** Returns the announcement of `count` permits to a new scheduler. */
export function announceMessage(count: number): Envelope {
  const permit = encodePermit(
    {
      permitId,
      requestId,
      holder: holderId,
      classId: sampleClassId,
      workspaceId: sampleAcquire(1, 1, 0).workspaceId,
      fallbackTier: 2,
      upstreamId,
      idempotent: true,
      tokens: 180,
      grantedAtMs: 0,
      arrivedAtMs: 0,
    },
    6_000,
  );
  const permits = Array.from({length: count}, () => permit);
  return {announce: {shardId: sampleShardId, permits}};
}

const grant: Envelope = encodeEffect(sampleShardId, {
  kind: 'grant',
  holder: holderId,
  requestId,
  attempt: 1,
  permitId,
  upstreamId,
});

/** Size of each message with framing; progress has one sample. */
export const permitBytes = {
  acquire: wireSizeBytes(
    encodeAcquire(sampleShardId, sampleAcquire(1, 1, 0), 0),
  ),
  grant: wireSizeBytes(grant),
  progress: wireSizeBytes(progressMessage(1)),
  release: wireSizeBytes(encodeRelease(sampleShardId, sampleRelease(permitId))),
} as const;
