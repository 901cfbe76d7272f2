import type {InstanceId, PermitRelease} from '@toucanrouter/common';
import {
  createManualClock,
  toInstanceId,
  toPermitId,
  toRequestId,
  toUpstreamId,
  toWorkspaceId,
} from '@toucanrouter/common';
import type {RateStatement} from '@toucanrouter/policy';
import {processHashOf} from '@toucanrouter/policy';
import {expect} from 'chai';
import type {PermitRequest} from '../../scheduling/PermitClient.js';
import {createPermitClient} from '../../scheduling/PermitClient.js';
import type {SchedulerPort} from '../../scheduling/SchedulerHost.js';
import {shardId, testClass} from './SchedulingFixture.js';

const selfId = toInstanceId('router-1');
const schedulerId = toInstanceId('router-2');
const nextSchedulerId = toInstanceId('router-3');
/** Longer than the interval at which rates are reported. */
const reportDueMs = 1_000;

const statement: RateStatement = {
  process: processHashOf({id: toUpstreamId('engine-1'), start: 1}),
  perS: 2,
  statedAgeMs: 0,
  endedAgeMs: undefined,
};

/** A client that was told of a rate, and the messages that it sent. */
function createLimitedClient() {
  const sent: string[] = [];
  const record = (kind: string, to: InstanceId) => () => {
    sent.push(`${kind} ${to}`);
  };
  const clock = createManualClock();
  let owner = schedulerId;
  let requests = 0;
  const client = createPermitClient({
    clock,
    selfId,
    ownerOf: () => owner,
    portOf: to => ({
      acquire: record('acquire', to),
      cancel: () => undefined,
      progress: () => undefined,
      announce: () => undefined,
      receiveRates: record('rates', to),
      release: () => undefined,
    }),
    statedRates: () => [statement],
  });
  return {
    client,
    clock,
    sent,
    moveTo: (next: InstanceId) => {
      owner = next;
      client.refreshOwners();
    },
    acquire: () => {
      const request: PermitRequest = {
        requestId: toRequestId(`r${++requests}`),
        classId: testClass.id,
        workspaceId: toWorkspaceId('w'),
        fallbackTier: 1,
        arrivedAtMs: clock.nowMs(),
        deadlineAtMs: clock.nowMs() + 60_000,
        attempt: 1,
        idempotent: true,
        promptTokens: 10,
        exclude: [],
        hedge: false,
      };
      const {signal} = new AbortController();
      void client.acquire(shardId, request, signal);
    },
  };
}

function createClient() {
  const released: {to: InstanceId; release: PermitRelease}[] = [];
  const portOf = (to: InstanceId): SchedulerPort => ({
    acquire: () => undefined,
    cancel: () => undefined,
    progress: () => undefined,
    announce: () => undefined,
    receiveRates: () => undefined,
    release: (_shardId, release) => released.push({to, release}),
  });
  const clock = createManualClock();
  const ownerOf = () => schedulerId;
  return {
    client: createPermitClient({clock, selfId, ownerOf, portOf}),
    released,
  };
}

describe('createPermitClient', () => {
  it('releases a late grant at the scheduler that made it, so that the slot is not blocked until a timeout', () => {
    const {client, released} = createClient();
    client.deliver(shardId, schedulerId, {
      kind: 'grant',
      holder: selfId,
      requestId: toRequestId('gone'),
      attempt: 1,
      permitId: toPermitId('p'),
      upstreamId: toUpstreamId('engine-1'),
    });
    expect(released).to.have.length(1);
    expect(released[0]?.to).to.equal(schedulerId);
    expect(released[0]?.release.outcome).to.equal('unused');
  });

  // Guards against a scheduler that grants permits before it knows of a rate, also one that has just taken over.
  it('reports stated rates ahead of its requests', () => {
    const {acquire, clock, moveTo, sent} = createLimitedClient();
    acquire();
    acquire();
    moveTo(nextSchedulerId);
    clock.advance(reportDueMs);
    acquire();
    expect(sent).to.deep.equal([
      `rates ${schedulerId}`,
      `acquire ${schedulerId}`,
      `acquire ${schedulerId}`,
      `rates ${nextSchedulerId}`,
      `acquire ${nextSchedulerId}`,
      `acquire ${nextSchedulerId}`,
      `rates ${nextSchedulerId}`,
      `acquire ${nextSchedulerId}`,
    ]);
  });

  // Guards against a change that waits for the next request.
  it('reports a change at once', () => {
    const {acquire, client, sent} = createLimitedClient();
    acquire();
    client.reportRates(shardId);
    expect(sent.at(-1)).to.equal(`rates ${schedulerId}`);
  });
});
