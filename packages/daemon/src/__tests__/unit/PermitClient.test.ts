import type {InstanceId, PermitRelease} from '@toucanrouter/common';
import {
  createManualClock,
  toInstanceId,
  toPermitId,
  toRequestId,
  toUpstreamId,
} from '@toucanrouter/common';
import {expect} from 'chai';
import {createPermitClient} from '../../scheduling/PermitClient.js';
import type {SchedulerPort} from '../../scheduling/SchedulerHost.js';
import {shardId} from './SchedulingFixture.js';

const selfId = toInstanceId('router-1');
const schedulerId = toInstanceId('router-2');

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
});
