/**
 * Child process: several peers that keep a link to one instance and send it
 * heartbeats with four member entries each.
 */
import {createSystemClock, toInstanceId} from '@toucanrouter/common';
import type {Heartbeat} from '@toucanrouter/peer';
import {createPeerHub} from '@toucanrouter/peer';
import {serveParent} from './ChildProcess.js';
import {sampleMember} from './SampleMembers.js';

interface PeersPlan {
  readonly port: number;
  readonly links: number;
  readonly heartbeatIntervalMs: number;
}

const clock = createSystemClock();
const entries = 4;

function wireMember(index: number) {
  const {state, ...member} = sampleMember(index);
  return {...member, leaving: state === 'leaving', heardAgoMs: 40};
}

function heartbeat(index: number, links: number): Heartbeat {
  const members = Array.from({length: entries}, (_, i) =>
    wireMember((index + i + 1) % links),
  );
  return {sender: wireMember(index), configVersion: 0, members};
}

async function startPeer(index: number, plan: PeersPlan): Promise<void> {
  const created = await createPeerHub({
    selfId: sampleMember(index).instanceId,
    listen: {host: '127.0.0.1', port: 0},
    clock,
    createHeartbeat: () => heartbeat(index, plan.links),
    onEnvelope: () => {},
  });
  if (created.isErr()) throw created.error;
  const hub = created.value;
  const address = `127.0.0.1:${plan.port}`;
  hub.setTargets([{instanceId: toInstanceId('router-999'), address}]);
  clock.every(plan.heartbeatIntervalMs, hub.sendHeartbeats);
}

serveParent({
  start: async (plan: PeersPlan) => {
    for (let index = 0; index < plan.links; index++) {
      await startPeer(index, plan);
    }
  },
});
