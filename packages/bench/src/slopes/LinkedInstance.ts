/**
 * Child process: an instance with the daemon's fleet over a real peer hub,
 * which other processes dial.
 */
import {createSystemClock} from '@toucanrouter/common';
import {createFleet} from '@toucanrouter/daemon';
import {createMemberTable} from '@toucanrouter/membership';
import type {PeerHub} from '@toucanrouter/peer';
import {createPeerHub} from '@toucanrouter/peer';
import {serveParentCalls} from './ChildProcess.js';
import {cpuMicros} from './Cost.js';
import {sampleMember} from './SampleMembers.js';

const clock = createSystemClock();
// The highest id, so that the peers dial.
const self = sampleMember(999);
const fleet = createFleet({
  clock,
  table: createMemberTable(self),
  seedPeers: [],
  currentConfig: () => undefined,
  offerConfig: () => {},
  leavingUpstreams: () => [],
  onLeavingUpstream: () => {},
});
let hub: PeerHub | undefined;

/** Peers have no server of their own, so the fleet must not dial them. */
function withoutDialing(created: PeerHub): PeerHub {
  return {...created, setTargets: () => {}};
}

serveParentCalls({
  start: async () => {
    const created = await createPeerHub({
      selfId: self.instanceId,
      listen: {host: '127.0.0.1', port: 0},
      clock,
      createHeartbeat: fleet.createHeartbeat,
      onEnvelope: fleet.receive,
    });
    if (created.isErr()) throw created.error;
    hub = created.value;
    fleet.start(withoutDialing(hub));
    return hub.port;
  },
  linked: () => hub?.linkedPeers().length ?? 0,
  cpu: cpuMicros,
});
