/**
 * Child process: the scheduler's side of the permit exchange. It decodes
 * messages from the peer stream, calls the scheduler and sends the effects
 * back.
 */
import type {InstanceId, SchedulerEffect} from '@toucanrouter/common';
import {createSystemClock, toInstanceId} from '@toucanrouter/common';
import type {PeerHub, ReceivedEnvelope} from '@toucanrouter/peer';
import {
  createPeerHub,
  decodeAcquire,
  decodeProgress,
  decodeRelease,
  encodeEffect,
} from '@toucanrouter/peer';
import {serveParentCalls} from './ChildProcess.js';
import {cpuMicros} from './Cost.js';
import {createSampleScheduler} from './LoadedScheduler.js';
import {sampleShardId} from './SampleRequests.js';

const upstreamCount = 32;
const jobsPerUpstream = 64;

const clock = createSystemClock();
const scheduler = createSampleScheduler(upstreamCount, jobsPerUpstream);
let hub: PeerHub | undefined;

function send(effects: readonly SchedulerEffect[]): void {
  for (const effect of effects) {
    hub?.send(effect.holder, encodeEffect(sampleShardId, effect));
  }
}

function receive(from: InstanceId, envelope: ReceivedEnvelope): void {
  const {acquire, progress, release} = envelope;
  const nowMs = clock.nowMs();
  if (acquire) {
    send(scheduler.acquire(decodeAcquire(acquire, from, nowMs), nowMs));
  } else if (progress) {
    send(scheduler.progress(progress.samples.map(decodeProgress), nowMs));
  } else if (release) {
    send(scheduler.release(decodeRelease(release), nowMs));
  }
}

serveParentCalls({
  start: async () => {
    const created = await createPeerHub({
      selfId: toInstanceId('router-201'),
      listen: {host: '127.0.0.1', port: 0},
      clock,
      createHeartbeat: () => ({
        sender: {instanceId: 'router-201', peerAddress: '127.0.0.1:1'},
      }),
      onEnvelope: receive,
    });
    if (created.isErr()) throw created.error;
    hub = created.value;
    return hub.port;
  },
  cpu: cpuMicros,
});
