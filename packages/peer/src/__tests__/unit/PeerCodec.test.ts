import type {
  AcquireRequest,
  PermitRelease,
  SchedulerEffect,
} from '@toucanrouter/common';
import {
  createManualClock,
  toClassId,
  toInstanceId,
  toPermitId,
  toRequestId,
  toShardId,
  toUpstreamId,
  toWorkspaceId,
} from '@toucanrouter/common';
import {expect} from 'chai';
import type {Envelope, ReceivedEnvelope} from '../../index.js';
import {
  createPeerHub,
  decodeAcquire,
  decodeEffect,
  decodeRelease,
  encodeAcquire,
  encodeEffect,
  encodeRelease,
} from '../../index.js';
import {PeerService} from '../../PeerProtocol.js';

const shardId = toShardId('engine:kilt-advisor@zilina');
const holder = toInstanceId('entry-1');
const {requestSerialize, requestDeserialize} = PeerService.service.Exchange;

function roundTrip(envelope: Envelope): ReceivedEnvelope {
  return requestDeserialize(requestSerialize(envelope)) as ReceivedEnvelope;
}

function acquireRequest(): AcquireRequest {
  return {
    requestId: toRequestId('r1'),
    holder,
    classId: toClassId('fitting'),
    workspaceId: toWorkspaceId('kosice'),
    fallbackTier: 2,
    arrivedAtMs: 900,
    deadlineAtMs: 4_000,
    attempt: 2,
    idempotent: true,
    promptTokens: 300,
    prefixHash: 'abc',
    resume: {upstreamId: toUpstreamId('e1'), tokens: 12},
    exclude: [toUpstreamId('e2')],
    hedge: false,
  };
}

describe('PeerCodec', () => {
  it('keeps hashes and times of a quarantine report', () => {
    const hash = 0xffffffff;
    const quarantineReport = {
      crashes: [
        {
          upstream: hash,
          ageMs: 20,
          requests: [{request: 1, segments: [2, hash]}],
        },
      ],
      verdicts: [
        {segment: hash, ageMs: 1, evidenceAgeMs: 5_000, remainingMs: 60_000},
      ],
      clearings: [{segment: 3, ageMs: 0}],
    };
    const received = roundTrip({quarantineReport});
    expect(received.quarantineReport).to.deep.equal(quarantineReport);
  });

  it('reads a message of a later build as none, so that it can be ignored', () => {
    const unknownField = Buffer.from([0xa2, 0x06, 0x00]);
    const received = requestDeserialize(unknownField) as ReceivedEnvelope;
    expect(received.message).to.equal(undefined);
  });

  it('sends times as durations, so that instances with different clocks agree on them', () => {
    const sent = acquireRequest();
    const {acquire} = roundTrip(encodeAcquire(shardId, sent, 1_000));
    const received = decodeAcquire(acquire!, holder, 50_000);
    expect(received).to.deep.equal({
      ...sent,
      arrivedAtMs: 49_900,
      deadlineAtMs: 53_000,
    });
  });

  it('preserves every kind of effect in a round trip', () => {
    const requestId = toRequestId('r1');
    const permitId = toPermitId('p1');
    const effects: SchedulerEffect[] = [
      {
        kind: 'grant',
        holder,
        requestId,
        attempt: 1,
        permitId,
        upstreamId: toUpstreamId('e1'),
      },
      {
        kind: 'grant',
        holder,
        requestId,
        attempt: 1,
        permitId,
        upstreamId: toUpstreamId('e1'),
        limitPerS: 0.5,
      },
      {
        kind: 'refuse',
        holder,
        requestId,
        attempt: 1,
        error: 'overloaded',
        retryAfterMs: 700,
      },
      {kind: 'preempt', holder, requestId, permitId, reason: 'make_room'},
      {kind: 'suspect', holder, requestId, permitId},
    ];
    for (const effect of effects) {
      const wire = roundTrip(encodeEffect(shardId, effect));
      expect(decodeEffect(wire, holder)?.effect).to.deep.equal(effect);
    }
  });

  // Guards against holders of earlier builds whose requests count as not sent.
  it('distinguishes a request that was not sent from one of which nothing is said', () => {
    const release: PermitRelease = {
      permitId: toPermitId('p1'),
      outcome: 'failed',
      tokens: 0,
      wastedTokens: 0,
      serviceMs: 10,
    };
    for (const sent of [undefined, false, true]) {
      const expected: PermitRelease = {...release, reachedUpstream: sent};
      const wire = roundTrip(encodeRelease(shardId, expected));
      expect(decodeRelease(wire.release!).reachedUpstream).to.equal(sent);
    }
  });

  it('distinguishes an absent first-token time from zero', () => {
    const release: PermitRelease = {
      permitId: toPermitId('p1'),
      outcome: 'completed',
      tokens: 3,
      wastedTokens: 0,
      firstTokenMs: undefined,
      tokenGapMs: 0,
      serviceMs: 10,
    };
    const wire = roundTrip(encodeRelease(shardId, release));
    expect(decodeRelease(wire.release!)).to.deep.equal(release);
  });
});

describe('PeerHub', () => {
  it('fails to start on an address that it cannot bind, and names the address', async () => {
    const options = {
      selfId: holder,
      clock: createManualClock(),
      createHeartbeat: () => ({}),
      onEnvelope: () => undefined,
    };
    const first = await createPeerHub({
      ...options,
      listen: {host: '127.0.0.1', port: 0},
    });
    const hub = first._unsafeUnwrap();
    const second = await createPeerHub({
      ...options,
      listen: {host: '127.0.0.1', port: hub.port},
    });
    hub.close();
    expect(second._unsafeUnwrapErr().message).to.contain(`:${hub.port}`);
  });
});
