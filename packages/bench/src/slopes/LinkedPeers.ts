/**
 * Child process: peers that stay connected to one instance and send it
 * heartbeats with four member entries each.
 */
import {createSystemClock, toInstanceId} from '@toucanrouter/common';
import type {Heartbeat} from '@toucanrouter/peer';
import {createPeerHub} from '@toucanrouter/peer';
import {serveParentCalls} from './ChildProcess.js';
import {sampleMember} from './SampleMembers.js';

interface PeersPlan {
  readonly port: number;
  readonly links: number;
  readonly heartbeatIntervalMs: number;
}

const clock = createSystemClock();
const entriesPerHeartbeat = 4;

function toWireMember(index: number) {
  const {state, ...member} = sampleMember(index);
  return {...member, leaving: state === 'leaving', heardAgoMs: 40};
}

function createSampleHeartbeat(index: number, links: number): Heartbeat {
  const members = Array.from({length: entriesPerHeartbeat}, (_, i) =>
    toWireMember((index + i + 1) % links),
  );
  return {sender: toWireMember(index), configVersion: 0, members};
}

async function startPeer(index: number, plan: PeersPlan): Promise<void> {
  const created = await createPeerHub({
    selfId: sampleMember(index).instanceId,
    listen: {host: '127.0.0.1', port: 0},
    clock,
    createHeartbeat: () => createSampleHeartbeat(index, plan.links),
    onEnvelope: () => {},
  });
  if (created.isErr()) throw created.error;
  const hub = created.value;
  const address = `127.0.0.1:${plan.port}`;
  hub.setTargets([{instanceId: toInstanceId('router-999'), address}]);
  clock.every(plan.heartbeatIntervalMs, hub.sendHeartbeats);
}

serveParentCalls({
  start: async (plan: PeersPlan) => {
    for (let index = 0; index < plan.links; index++) {
      await startPeer(index, plan);
    }
  },
});
