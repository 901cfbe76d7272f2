/**
 * Sends scheduling messages to schedulers on other instances and dispatches
 * those that arrive from other instances.
 */
import type {
  Clock,
  InstanceId,
  SchedulerEffect,
  ShardId,
} from '@toucanrouter/common';
import {toRequestId, toShardId} from '@toucanrouter/common';
import type {
  Envelope,
  ReceivedEnvelope,
  ReceivedStatedRates,
  StatedRate,
} from '@toucanrouter/peer';
import {
  decodeAcquire,
  decodeEffect,
  decodePermit,
  decodeProgress,
  decodeRelease,
  encodeAcquire,
  encodePermit,
  encodeRelease,
} from '@toucanrouter/peer';
import type {ProcessHash, RateStatement} from '@toucanrouter/policy';
import type {SchedulerPort} from './SchedulerHost.js';

/** Creates the port of a scheduler that runs on another instance. */
export function createRemoteSchedulerPort(
  clock: Clock,
  send: (envelope: Envelope) => void,
): SchedulerPort {
  return {
    acquire: (shardId, request) =>
      send(encodeAcquire(shardId, request, clock.nowMs())),
    cancel: (shardId, _holder, requestId) =>
      send({cancel: {shardId, requestId}}),
    progress: (shardId, _holder, samples) =>
      send({progress: {shardId, samples: [...samples]}}),
    release: (shardId, release) => send(encodeRelease(shardId, release)),
    announce: (shardId, _holder, permits) => {
      const nowMs = clock.nowMs();
      const wirePermits = permits.map(permit => encodePermit(permit, nowMs));
      send({announce: {shardId, permits: wirePermits}});
    },
    receiveRates: (shardId, _from, statements) =>
      send({statedRates: {shardId, rates: statements.map(encodeRate)}}),
  };
}

function encodeRate({
  endedAgeMs,
  perS,
  process,
  statedAgeMs,
}: RateStatement): StatedRate {
  return {process, perS, statedAgoMs: statedAgeMs, endedAgoMs: endedAgeMs};
}

/** Decodes the request rates that an instance was told. */
export function decodeRates({
  rates,
}: ReceivedStatedRates): readonly RateStatement[] {
  return rates.map(({endedAgoMs, perS, process, statedAgoMs}) => ({
    process: process as ProcessHash,
    perS,
    statedAgeMs: statedAgoMs,
    endedAgeMs: endedAgoMs,
  }));
}

/** Handlers of received scheduling messages. */
export interface SchedulingReceivers {
  readonly host: SchedulerPort;
  readonly deliver: (
    shardId: ShardId,
    from: InstanceId,
    effect: SchedulerEffect,
  ) => void;
}

/** Passes a received message to the scheduler host or the permit client. */
export function dispatchSchedulingMessage(
  receivers: SchedulingReceivers,
  clock: Clock,
  from: InstanceId,
  envelope: ReceivedEnvelope,
): void {
  const {host} = receivers;
  const {acquire, announce, cancel, progress, release, statedRates} = envelope;
  const nowMs = clock.nowMs();
  if (acquire) {
    const shardId = toShardId(acquire.shardId);
    host.acquire(shardId, decodeAcquire(acquire, from, nowMs));
  } else if (cancel) {
    const requestId = toRequestId(cancel.requestId);
    host.cancel(toShardId(cancel.shardId), from, requestId);
  } else if (progress) {
    const samples = progress.samples.map(decodeProgress);
    host.progress(toShardId(progress.shardId), from, samples);
  } else if (release) {
    host.release(toShardId(release.shardId), decodeRelease(release));
  } else if (announce) {
    const permits = announce.permits.map(permit =>
      decodePermit(permit, from, nowMs),
    );
    host.announce(toShardId(announce.shardId), from, permits);
  } else if (statedRates) {
    const statements = decodeRates(statedRates);
    host.receiveRates(toShardId(statedRates.shardId), from, statements);
  } else {
    const decoded = decodeEffect(envelope, from);
    if (decoded === undefined) return;
    receivers.deliver(toShardId(decoded.shardId), from, decoded.effect);
  }
}
