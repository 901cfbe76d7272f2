/**
 * Child process: an instance with the daemon's fleet over a real peer hub that
 * other processes connect to.
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
// The instance with the lower id dials, so the highest id makes the peers dial.
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

/** Nothing listens at the sample addresses of peers, so they are not dialed. */
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
